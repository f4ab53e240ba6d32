//! The sheet and the marks in force at one router.

use std::sync::Arc;

use super::effect::{ConfigCallKey, ConfigEffect, ConfigFault, ConfigObject};
use super::fetch::PeerFetch;
use super::object_watch::ObjectWatch;
use super::sheet_state::{DigestedSheet, SheetState};
use crate::coordination::rendezvous;
use crate::protocol::peer::{
    ConfigNumbers, ConfigRequest, ConfigUpdate, MarksUpdate, PeerMessage, SheetUpdate,
};
use crate::protocol::platform::{Object, StoreResponse, Version};
use crate::state::marks::Marks;
use crate::state::sheet::{Sheet, SheetObject};
use crate::state::{InstanceId, MemberView, Now};

/// The rendezvous hashing key that selects the watchers of a data centre.
const WATCHER_KEY: &str = "config-watchers";

/// Intervals and timeouts of a [`ConfigManager`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigSettings {
    /// The number of routers in each data centre that watch the store continuously.
    pub watchers_per_data_centre: usize,
    /// The minimum time between the starts of two calls for the same object.
    pub min_call_interval_ms: u64,
    /// The pause between two watches of a router that is not a watcher, per live router of the
    /// fleet. Such routers still watch occasionally in case the watchers can't reach the store.
    /// The pause grows with the fleet, so that the fleet's call rate does not.
    pub watch_pause_per_member_ms: u64,
    /// The delay before the first retry of a failed call.
    pub initial_retry_delay_ms: u64,
    /// The maximum delay before a retry.
    pub max_retry_delay_ms: u64,
    /// The timeout of a request to a peer.
    pub peer_request_timeout_ms: u64,
    /// The time after startup during which a router that can't reach the store only collects
    /// sheets from peers. It then puts the newest one in force, so that the first response
    /// can't activate a stale sheet.
    pub startup_settle_ms: u64,
}

impl Default for ConfigSettings {
    fn default() -> Self {
        Self {
            watchers_per_data_centre: 2,
            min_call_interval_ms: 500,
            watch_pause_per_member_ms: 200,
            initial_retry_delay_ms: 250,
            max_retry_delay_ms: 8_000,
            peer_request_timeout_ms: 1_000,
            startup_settle_ms: 1_500,
        }
    }
}

/// Maintains the sheet and the marks in force at one router. Does no I/O: every method returns
/// the effects to perform.
///
/// ```
/// use curranttrestle::coordination::config::{ConfigManager, ConfigSettings};
/// use curranttrestle::state::Now;
/// let manager = ConfigManager::new("rennes-1".into(), ConfigSettings::default(), Now::default());
/// assert!(!manager.is_ready());
/// assert_eq!(manager.numbers().sheet_number, 0);
/// ```
#[derive(Clone, Debug)]
pub struct ConfigManager {
    me: InstanceId,
    settings: ConfigSettings,
    started_ms: u64,
    sheet_state: SheetState,
    marks: Marks,
    marks_version: Version,
    /// Whether the store, or a peer with a sheet or marks, has reported the marks.
    marks_known: bool,
    sheet_watch: ObjectWatch,
    marks_watch: ObjectWatch,
    /// The number of the sheet in force when the last call for the sheet was made. A response may
    /// be older than what came into force since then.
    in_force_at_call: u64,
    peer_fetch: PeerFetch,
    /// The sheet number of the last reported conflict.
    last_reported_conflict: u64,
}

impl ConfigManager {
    /// Creates a manager with no sheet and no marks in force.
    #[must_use]
    pub fn new(me: InstanceId, settings: ConfigSettings, now: Now) -> Self {
        Self {
            me,
            settings,
            started_ms: now.steady_ms,
            sheet_state: SheetState::default(),
            marks: Marks::default(),
            marks_version: Version::default(),
            marks_known: false,
            sheet_watch: ObjectWatch::new(ConfigObject::Sheet),
            marks_watch: ObjectWatch::new(ConfigObject::Marks),
            in_force_at_call: 0,
            peer_fetch: PeerFetch::default(),
            last_reported_conflict: 0,
        }
    }

    /// Returns the sheet in force, if any.
    #[must_use]
    pub fn sheet(&self) -> Option<&Arc<Sheet>> {
        self.sheet_state.in_force().map(|digested| &digested.sheet)
    }

    /// Returns the marks in force.
    #[must_use]
    pub fn marks(&self) -> &Marks {
        &self.marks
    }

    /// Whether a sheet is in force and the marks are known. Without the marks this router would
    /// send new requests to endpoints that are leaving.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sheet_state.in_force().is_some() && self.marks_known
    }

    /// Returns the numbers of the configuration in force, for heartbeats.
    #[must_use]
    pub fn numbers(&self) -> ConfigNumbers {
        self.numbers_of(self.sheet_state.in_force())
    }

    /// Whether this router is one of its data centre's watchers of the store.
    #[must_use]
    pub fn is_watcher(&self, view: &MemberView) -> bool {
        let members = view.in_data_centre(&view.local.data_centre);
        rendezvous::ranked(WATCHER_KEY, members)
            .into_iter()
            .take(self.settings.watchers_per_data_centre)
            .any(|member| member.instance == self.me)
    }

    /// Returns the store calls and peer requests that are due. Call it about every 100 ms.
    pub fn tick(&mut self, view: &MemberView, now: Now) -> Vec<ConfigEffect> {
        let mut effects = Vec::new();
        let me = self.me.clone();
        let pause_ms = self.watch_pause_ms(view);
        for object in [ConfigObject::Sheet, ConfigObject::Marks] {
            if let Some(call) = self.watch_mut(object).next_call(&me, pause_ms, now) {
                if object == ConfigObject::Sheet {
                    self.in_force_at_call = self.numbers().sheet_number;
                }
                let key = ConfigCallKey(object);
                effects.push(ConfigEffect::Store { key, call });
            }
        }
        self.activate_pending_sheet(now, &mut effects);
        self.fetch_if_behind(now, &mut effects);
        effects
    }

    /// Processes the store's response to a call.
    pub fn receive_store_response(
        &mut self,
        key: ConfigCallKey,
        response: &StoreResponse,
        now: Now,
    ) -> Vec<ConfigEffect> {
        let mut effects = Vec::new();
        let ConfigCallKey(object) = key;
        let has_responded = matches!(response, StoreResponse::Found(_) | StoreResponse::Absent);
        self.marks_known |= object == ConfigObject::Marks && has_responded;
        let settings = self.settings.clone();
        let me = self.me.clone();
        let watch = self.watch_mut(object);
        if let Some(found) = watch.handle_response(response, &me, &settings, now) {
            match object {
                ConfigObject::Sheet => self.apply_stored_sheet(found, &mut effects),
                ConfigObject::Marks => self.apply_stored_marks(found, &mut effects),
            }
        }
        self.activate_pending_sheet(now, &mut effects);
        effects
    }

    /// Processes the numbers in a peer's heartbeat.
    pub fn receive_numbers(
        &mut self,
        from: &InstanceId,
        peer_numbers: ConfigNumbers,
        now: Now,
    ) -> Vec<ConfigEffect> {
        let mut effects = Vec::new();
        self.report_sheet_conflict(from, peer_numbers, &mut effects);
        self.peer_fetch.record_numbers(from, peer_numbers);
        self.fetch_if_behind(now, &mut effects);
        effects
    }

    /// Responds to a peer that is behind.
    #[must_use]
    pub fn receive_request(&self, from: &InstanceId, request: &ConfigRequest) -> Vec<ConfigEffect> {
        let have = request.have;
        let base = if request.whole_sheet {
            (0, 0)
        } else {
            (have.sheet_number, have.sheet_digest)
        };
        let sheet = self.sheet_state.update_for(base.0, base.1);
        let marks = (self.marks_version > have.marks_version).then(|| MarksUpdate {
            version: self.marks_version,
            entries: self.marks.entries.clone(),
        });
        vec![ConfigEffect::Send {
            to: from.clone(),
            message: PeerMessage::ConfigUpdate(Box::new(ConfigUpdate { sheet, marks })),
        }]
    }

    /// Processes a peer's response to a request.
    pub fn receive_update(
        &mut self,
        from: &InstanceId,
        update: ConfigUpdate,
        now: Now,
    ) -> Vec<ConfigEffect> {
        let mut effects = Vec::new();
        self.peer_fetch.record_response(from);
        self.marks_known |= update.sheet.is_some() || update.marks.is_some();
        if let Some(marks) = update.marks {
            self.merge_marks(&marks, &mut effects);
        }
        match update.sheet {
            Some(SheetUpdate::Whole(sheet)) => {
                effects.extend(self.sheet_state.receive(sheet, from.as_str()));
            }
            Some(SheetUpdate::Diff(diff)) => {
                let base = self.sheet_state.newest();
                match base.and_then(|base| diff.apply(&base.sheet).ok()) {
                    Some(sheet) => effects.extend(self.sheet_state.receive(sheet, from.as_str())),
                    None => self.request_whole_sheet(from, now, &mut effects),
                }
            }
            None => {}
        }
        self.activate_pending_sheet(now, &mut effects);
        effects
    }

    fn numbers_of(&self, sheet: Option<&DigestedSheet>) -> ConfigNumbers {
        ConfigNumbers {
            sheet_number: sheet.map_or(0, |digested| digested.sheet.number),
            sheet_digest: sheet.map_or(0, |digested| digested.digest),
            marks_version: self.marks_version,
        }
    }

    /// Returns the newest known numbers, including those of a pending sheet.
    fn newest_numbers(&self) -> ConfigNumbers {
        self.numbers_of(self.sheet_state.newest())
    }

    fn watch_mut(&mut self, object: ConfigObject) -> &mut ObjectWatch {
        match object {
            ConfigObject::Sheet => &mut self.sheet_watch,
            ConfigObject::Marks => &mut self.marks_watch,
        }
    }

    fn watch_pause_ms(&self, view: &MemberView) -> u64 {
        if self.is_watcher(view) {
            return 0;
        }
        view.live.len() as u64 * self.settings.watch_pause_per_member_ms
    }

    fn activate_pending_sheet(&mut self, now: Now, effects: &mut Vec<ConfigEffect>) {
        let has_settled = now.since_ms(self.started_ms) >= self.settings.startup_settle_ms;
        if self.is_ready() || has_settled || self.sheet_watch.has_responded() {
            effects.extend(self.sheet_state.activate_pending());
        }
    }

    fn fetch_if_behind(&mut self, now: Now, effects: &mut Vec<ConfigEffect>) {
        let have = self.newest_numbers();
        if let Some(peer) =
            self.peer_fetch
                .next_peer(have, self.settings.peer_request_timeout_ms, now)
        {
            let whole_sheet = false;
            effects.push(send_request(&peer, ConfigRequest { have, whole_sheet }));
        }
    }

    fn request_whole_sheet(
        &mut self,
        from: &InstanceId,
        now: Now,
        effects: &mut Vec<ConfigEffect>,
    ) {
        self.peer_fetch.record_request(from, now);
        let have = self.newest_numbers();
        let whole_sheet = true;
        effects.push(send_request(from, ConfigRequest { have, whole_sheet }));
    }

    fn apply_stored_sheet(&mut self, found: &Object, effects: &mut Vec<ConfigEffect>) {
        let object = match SheetObject::from_text(&found.value) {
            Ok(object) => object,
            Err(error) => {
                let object = ConfigObject::Sheet;
                let reason = error.to_string();
                return effects.push(ConfigEffect::Unreadable { object, reason });
            }
        };
        let stored = object.sheet.number;
        let in_force = self.in_force_at_call;
        if stored < in_force {
            let fault = ConfigFault::StoreReverted { in_force, stored };
            effects.push(ConfigEffect::Fault(fault));
        }
        effects.extend(self.sheet_state.receive(object.sheet, SheetObject::NAME));
    }

    fn apply_stored_marks(&mut self, found: &Object, effects: &mut Vec<ConfigEffect>) {
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

    fn report_sheet_conflict(
        &mut self,
        from: &InstanceId,
        peer_numbers: ConfigNumbers,
        effects: &mut Vec<ConfigEffect>,
    ) {
        let own_numbers = self.numbers();
        let number = own_numbers.sheet_number;
        let differs = peer_numbers.sheet_number == number
            && peer_numbers.sheet_digest != own_numbers.sheet_digest;
        if differs && number > self.last_reported_conflict {
            self.last_reported_conflict = number;
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
