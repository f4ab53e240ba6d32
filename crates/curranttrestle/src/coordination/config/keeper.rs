//! The sheet and the marks in force at one router.

use std::sync::Arc;

use super::effect::{ConfigEffect, ConfigFault, ConfigObject, ConfigPurpose};
use super::fetch::Fetch;
use super::object_watch::ObjectWatch;
use super::sheet_state::{Digested, SheetState};
use crate::coordination::rendezvous;
use crate::protocol::peer::{
    ConfigNumbers, ConfigRequest, ConfigUpdate, MarksUpdate, PeerMessage, SheetUpdate,
};
use crate::protocol::platform::{Object, StoreAnswer, Version};
use crate::state::marks::Marks;
use crate::state::sheet::{Sheet, SheetObject};
use crate::state::{InstanceId, MemberView, Now};

/// The key by which the watchers of a data centre are chosen.
const WATCHER_KEY: &str = "config-watchers";

/// Intervals and timeouts of a [`ConfigKeeper`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigSettings {
    /// How many routers of each data centre watch the store.
    pub watchers_per_data_centre: usize,
    /// The least time between the starts of two calls about one object.
    pub call_interval_ms: u64,
    /// How long a router that is no watcher pauses between two watches, for each live
    /// router of the fleet. It watches now and then in case that the watchers can't reach
    /// the store; the pause grows with the fleet, the fleet's calls in a second do not.
    pub pause_per_member_ms: u64,
    /// The delay before the first retry of a failed call.
    pub first_retry_ms: u64,
    /// The longest delay before a retry.
    pub longest_retry_ms: u64,
    /// How long a peer may take to answer a request.
    pub peer_timeout_ms: u64,
    /// How long after its start a router that can't reach the store listens to peers before
    /// it puts the newest sheet they have in force, so that a stale one does not win.
    pub settle_ms: u64,
}

impl Default for ConfigSettings {
    fn default() -> Self {
        Self {
            watchers_per_data_centre: 2,
            call_interval_ms: 500,
            pause_per_member_ms: 200,
            first_retry_ms: 250,
            longest_retry_ms: 8_000,
            peer_timeout_ms: 1_000,
            settle_ms: 1_500,
        }
    }
}

/// Keeps the sheet and the marks in force at one router. Does no I/O: every method returns
/// what is to be done.
///
/// ```
/// use curranttrestle::coordination::config::{ConfigKeeper, ConfigSettings};
/// use curranttrestle::state::Now;
/// let keeper = ConfigKeeper::new("rennes-1".into(), ConfigSettings::default(), Now::default());
/// assert!(!keeper.is_ready());
/// assert_eq!(keeper.numbers().sheet_number, 0);
/// ```
#[derive(Clone, Debug)]
pub struct ConfigKeeper {
    me: InstanceId,
    settings: ConfigSettings,
    started_ms: u64,
    sheets: SheetState,
    marks: Marks,
    marks_version: Version,
    /// The store or a peer that has a sheet said which marks there are.
    marks_known: bool,
    sheet_watch: ObjectWatch,
    marks_watch: ObjectWatch,
    fetch: Fetch,
    /// The sheet number of the last conflict that was reported.
    reported_conflict: u64,
}

impl ConfigKeeper {
    /// A keeper with nothing in force.
    #[must_use]
    pub fn new(me: InstanceId, settings: ConfigSettings, now: Now) -> Self {
        Self {
            me,
            settings,
            started_ms: now.steady_ms,
            sheets: SheetState::default(),
            marks: Marks::default(),
            marks_version: Version::default(),
            marks_known: false,
            sheet_watch: ObjectWatch::new(ConfigObject::Sheet),
            marks_watch: ObjectWatch::new(ConfigObject::Marks),
            fetch: Fetch::default(),
            reported_conflict: 0,
        }
    }

    /// The sheet in force.
    #[must_use]
    pub fn sheet(&self) -> Option<&Arc<Sheet>> {
        self.sheets.in_force().map(|digested| &digested.sheet)
    }

    /// The marks in force.
    #[must_use]
    pub fn marks(&self) -> &Marks {
        &self.marks
    }

    /// Whether a sheet is in force and the marks are known. Without the marks this router
    /// would send new work to endpoints that are leaving.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sheets.in_force().is_some() && self.marks_known
    }

    /// What is in force, for heartbeats.
    #[must_use]
    pub fn numbers(&self) -> ConfigNumbers {
        self.numbers_of(self.sheets.in_force())
    }

    /// Whether this router is one of those of its data centre that watch the store.
    #[must_use]
    pub fn is_watcher(&self, view: &MemberView) -> bool {
        let members = view.in_data_centre(&view.me.data_centre);
        rendezvous::ranked(WATCHER_KEY, members)
            .into_iter()
            .take(self.settings.watchers_per_data_centre)
            .any(|member| member.instance == self.me)
    }

    /// Makes the calls and sends the requests that are due. To be called every 100 ms or so.
    pub fn tick(&mut self, view: &MemberView, now: Now) -> Vec<ConfigEffect> {
        let mut effects = Vec::new();
        let me = self.me.clone();
        let pause_ms = self.pause_between_watches_ms(view);
        for object in [ConfigObject::Sheet, ConfigObject::Marks] {
            if let Some(call) = self.watch_mut(object).next_call(&me, pause_ms, now) {
                let purpose = ConfigPurpose(object);
                effects.push(ConfigEffect::Store { purpose, call });
            }
        }
        self.put_sheet_in_force(now, &mut effects);
        self.fetch_when_behind(now, &mut effects);
        effects
    }

    /// Takes the store's answer to a call.
    pub fn store_answer(
        &mut self,
        purpose: ConfigPurpose,
        answer: &StoreAnswer,
        now: Now,
    ) -> Vec<ConfigEffect> {
        let mut effects = Vec::new();
        let ConfigPurpose(object) = purpose;
        let has_answered = matches!(answer, StoreAnswer::Found(_) | StoreAnswer::Absent);
        self.marks_known |= object == ConfigObject::Marks && has_answered;
        let settings = self.settings.clone();
        let me = self.me.clone();
        let watch = self.watch_mut(object);
        if let Some(found) = watch.take_answer(answer, &me, &settings, now) {
            match object {
                ConfigObject::Sheet => self.take_stored_sheet(found, &mut effects),
                ConfigObject::Marks => self.take_stored_marks(found, &mut effects),
            }
        }
        self.put_sheet_in_force(now, &mut effects);
        effects
    }

    /// Takes the numbers in a peer's heartbeat.
    pub fn observe_numbers(
        &mut self,
        from: &InstanceId,
        theirs: ConfigNumbers,
        now: Now,
    ) -> Vec<ConfigEffect> {
        let mut effects = Vec::new();
        self.report_conflict(from, theirs, &mut effects);
        self.fetch.observe(from, theirs);
        self.fetch_when_behind(now, &mut effects);
        effects
    }

    /// Answers a peer that is behind.
    #[must_use]
    pub fn handle_request(&self, from: &InstanceId, request: &ConfigRequest) -> Vec<ConfigEffect> {
        let have = request.have;
        let base = if request.whole_sheet {
            (0, 0)
        } else {
            (have.sheet_number, have.sheet_digest)
        };
        let sheet = self.sheets.update_for(base.0, base.1);
        let marks = (self.marks_version > have.marks_version).then(|| MarksUpdate {
            version: self.marks_version,
            entries: self.marks.entries.clone(),
        });
        vec![ConfigEffect::Send {
            to: from.clone(),
            message: PeerMessage::ConfigUpdate(Box::new(ConfigUpdate { sheet, marks })),
        }]
    }

    /// Takes a peer's answer.
    pub fn handle_update(
        &mut self,
        from: &InstanceId,
        update: ConfigUpdate,
        now: Now,
    ) -> Vec<ConfigEffect> {
        let mut effects = Vec::new();
        self.fetch.answered(from);
        self.marks_known |= update.sheet.is_some() || update.marks.is_some();
        if let Some(marks) = update.marks {
            self.merge_marks(&marks, &mut effects);
        }
        match update.sheet {
            Some(SheetUpdate::Whole(sheet)) => {
                effects.extend(self.sheets.take(sheet, from.as_str()));
            }
            Some(SheetUpdate::Diff(diff)) => {
                let base = self.sheets.newest();
                match base.and_then(|base| diff.apply(&base.sheet).ok()) {
                    Some(sheet) => effects.extend(self.sheets.take(sheet, from.as_str())),
                    None => self.request_whole(from, now, &mut effects),
                }
            }
            None => {}
        }
        self.put_sheet_in_force(now, &mut effects);
        effects
    }

    fn numbers_of(&self, sheet: Option<&Digested>) -> ConfigNumbers {
        ConfigNumbers {
            sheet_number: sheet.map_or(0, |digested| digested.sheet.number),
            sheet_digest: sheet.map_or(0, |digested| digested.digest),
            marks_version: self.marks_version,
        }
    }

    /// What this router has, also the sheet that waits to come into force.
    fn newest_numbers(&self) -> ConfigNumbers {
        self.numbers_of(self.sheets.newest())
    }

    fn watch_mut(&mut self, object: ConfigObject) -> &mut ObjectWatch {
        match object {
            ConfigObject::Sheet => &mut self.sheet_watch,
            ConfigObject::Marks => &mut self.marks_watch,
        }
    }

    fn pause_between_watches_ms(&self, view: &MemberView) -> u64 {
        if self.is_watcher(view) {
            return 0;
        }
        view.live.len() as u64 * self.settings.pause_per_member_ms
    }

    fn put_sheet_in_force(&mut self, now: Now, effects: &mut Vec<ConfigEffect>) {
        let is_settled = now.since_ms(self.started_ms) >= self.settings.settle_ms;
        if self.is_ready() || is_settled || self.sheet_watch.answered() {
            effects.extend(self.sheets.put_in_force());
        }
    }

    fn fetch_when_behind(&mut self, now: Now, effects: &mut Vec<ConfigEffect>) {
        let have = self.newest_numbers();
        if let Some(peer) = self.fetch.next(have, self.settings.peer_timeout_ms, now) {
            let whole_sheet = false;
            effects.push(send_request(&peer, ConfigRequest { have, whole_sheet }));
        }
    }

    fn request_whole(&mut self, from: &InstanceId, now: Now, effects: &mut Vec<ConfigEffect>) {
        self.fetch.expect_from(from, now);
        let have = self.newest_numbers();
        let whole_sheet = true;
        effects.push(send_request(from, ConfigRequest { have, whole_sheet }));
    }

    fn take_stored_sheet(&mut self, found: &Object, effects: &mut Vec<ConfigEffect>) {
        let object = match SheetObject::from_text(&found.value) {
            Ok(object) => object,
            Err(error) => {
                let object = ConfigObject::Sheet;
                let reason = error.to_string();
                return effects.push(ConfigEffect::Unreadable { object, reason });
            }
        };
        let stored = object.sheet.number;
        let in_force = self.numbers().sheet_number;
        if stored < in_force {
            let fault = ConfigFault::StoreWentBack { in_force, stored };
            effects.push(ConfigEffect::Fault(fault));
        }
        effects.extend(self.sheets.take(object.sheet, SheetObject::NAME));
    }

    fn take_stored_marks(&mut self, found: &Object, effects: &mut Vec<ConfigEffect>) {
        match serde_json::from_str::<Marks>(&found.value) {
            Ok(marks) => {
                let version = found.version;
                let entries = marks.entries;
                self.merge_marks(&MarksUpdate { version, entries }, effects);
            }
            Err(error) => {
                let object = ConfigObject::Marks;
                let reason = error.to_string();
                effects.push(ConfigEffect::Unreadable { object, reason });
            }
        }
    }

    fn merge_marks(&mut self, update: &MarksUpdate, effects: &mut Vec<ConfigEffect>) {
        let added = self.marks.merge(&update.entries);
        self.marks_version = self.marks_version.max(update.version);
        if !added.is_empty() {
            let version = self.marks_version;
            effects.push(ConfigEffect::MarksInForce { version, added });
        }
    }

    fn report_conflict(
        &mut self,
        from: &InstanceId,
        theirs: ConfigNumbers,
        effects: &mut Vec<ConfigEffect>,
    ) {
        let mine = self.numbers();
        let number = mine.sheet_number;
        let differs = theirs.sheet_number == number && theirs.sheet_digest != mine.sheet_digest;
        if differs && number > self.reported_conflict {
            self.reported_conflict = number;
            let other = from.to_string();
            let fault = ConfigFault::SheetConflict { number, other };
            effects.push(ConfigEffect::Fault(fault));
        }
    }
}

fn send_request(to: &InstanceId, request: ConfigRequest) -> ConfigEffect {
    ConfigEffect::Send {
        to: to.clone(),
        message: PeerMessage::ConfigRequest(request),
    }
}
