//! Data centres that must get no requests until their evacuation ends.
//!
//! A few gateways read the evacuations from the store and announce what they read, with its age. Every
//! gateway dates its knowledge by the oldest time at which the read may have been made, and reads for
//! itself before the knowledge is so old that an evacuation could take effect too late. While the store
//! is unavailable, the last known state holds.

use std::ops::RangeInclusive;

use indexmap::IndexSet;
use xxhash_rust::xxh3::xxh3_64;

use super::load_relay::LivePeer;
use crate::protocol::gateway::EvacuationUpdate;
use crate::state::Now;

/// How often a change is announced to the peers, since datagrams can be lost.
const SENDS_PER_CHANGE: u32 = 3;

/// Number of readers in a fleet with one data centre, so that the loss of one connection to the store
/// does not make all gateways read. In other fleets the readers of the other data centres serve for this.
const READERS_OF_ONE_DATA_CENTRE: usize = 2;

/// The bound on evacuations, and the times that it consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationOptions {
    /// Time after which an evacuated data centre must get no more requests.
    pub bound_ms: u64,
    /// Part of the bound for the time between the check and the request's arrival at the endpoint, and
    /// for the way of an announcement.
    pub margin_ms: u64,
    /// Part of the bound for one list that fails and the backoff after it.
    pub failed_list_ms: u64,
    /// Range of the ages at which gateways read for themselves, so that the first one renews the
    /// knowledge of the others.
    pub age_range_ms: u64,
    /// The maximum delay with which a watch of the store reports a change.
    pub watch_lag_ms: u64,
    /// Time for the announcement of a watch's response.
    pub announcement_ms: u64,
    /// The store counts as unavailable for this long after a list failed: longer than the timeout of the
    /// next list and the backoff before it, in the largest fleet.
    pub unavailable_ms: u64,
}

impl Default for EvacuationOptions {
    fn default() -> Self {
        Self {
            bound_ms: 5_000,
            margin_ms: 500,
            failed_list_ms: 900,
            age_range_ms: 300,
            watch_lag_ms: 1_000,
            announcement_ms: 300,
            unavailable_ms: 3_000,
        }
    }
}

/// The shortest wait of a watch, however short the bound is.
const MIN_WATCH_WAIT_MS: u64 = 200;

/// The lowest upper limit of the age at which a gateway lists, however short the bound is.
const MIN_LISTED_AGE_MS: u64 = 500;

impl EvacuationOptions {
    /// The ages at which gateways read for themselves. Each waits for a random one.
    ///
    /// ```
    /// use curranttrestle::coordination::gateway::evacuation::EvacuationOptions;
    /// let options = EvacuationOptions::default();
    /// assert_eq!(options.age_limits_ms(), 3_300..=3_600);
    /// assert_eq!(options.watch_wait_ms(), 2_000);
    /// ```
    #[must_use]
    pub fn age_limits_ms(&self) -> RangeInclusive<u64> {
        let max_ms = self
            .bound_ms
            .saturating_sub(self.margin_ms + self.failed_list_ms)
            .max(MIN_LISTED_AGE_MS);
        max_ms.saturating_sub(self.age_range_ms)..=max_ms
    }

    /// How long a watch waits for changes: the knowledge from one watch must last until the next one's
    /// response has been announced.
    #[must_use]
    pub fn watch_wait_ms(&self) -> u64 {
        let wait_ms = self
            .age_limits_ms()
            .start()
            .saturating_sub(self.watch_lag_ms + self.announcement_ms);
        wait_ms.max(MIN_WATCH_WAIT_MS)
    }

    /// Whether a watch that is sent now responds before the knowledge, which is `age_ms` old, has to be
    /// renewed.
    ///
    /// ```
    /// use curranttrestle::coordination::gateway::evacuation::EvacuationOptions;
    /// let options = EvacuationOptions::default();
    /// assert!(options.may_watch(1_600));
    /// assert!(!options.may_watch(1_601));
    /// ```
    #[must_use]
    pub fn may_watch(&self, age_ms: u64) -> bool {
        age_ms + self.watch_wait_ms() <= *self.age_limits_ms().end()
    }

    /// The time of which the response to a watch certainly shows the state, by the steady clock. The
    /// watch was sent at `sent_ms` and waited for `wait_ms`. `is_quiet` if it waited to the end.
    #[must_use]
    pub fn watch_proof_ms(&self, sent_ms: u64, wait_ms: u64, is_quiet: bool) -> u64 {
        let responded_ms = if is_quiet { sent_ms + wait_ms } else { sent_ms };
        responded_ms.saturating_sub(self.watch_lag_ms)
    }
}

/// The evacuated data centres at a revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationState {
    /// The revision of the store.
    pub revision: u64,
    /// The names of the evacuated data centres.
    pub data_centres: IndexSet<String>,
}

/// A data centre whose evacuation began or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The data centre must get no more requests.
    Began(String),
    /// The data centre may get requests again.
    Ended(String),
}

impl EvacuationState {
    /// The state at `revision`, after `changes`.
    #[must_use]
    pub fn after(&self, changes: &[EvacuationChange], revision: u64) -> Self {
        let mut data_centres = self.data_centres.clone();
        for change in changes {
            match change {
                EvacuationChange::Began(name) => data_centres.insert(name.clone()),
                EvacuationChange::Ended(name) => data_centres.shift_remove(name),
            };
        }
        Self {
            revision,
            data_centres,
        }
    }

    /// The changes from this state to `later`.
    fn changes_to(&self, later: &Self) -> Vec<EvacuationChange> {
        let ended = self.data_centres.difference(&later.data_centres);
        let began = later.data_centres.difference(&self.data_centres);
        let ended = ended.cloned().map(EvacuationChange::Ended);
        ended
            .chain(began.cloned().map(EvacuationChange::Began))
            .collect()
    }
}

/// The evacuations that a gateway has read or received.
///
/// ```
/// use curranttrestle::coordination::gateway::evacuation::{Evacuations, EvacuationState};
/// let mut evacuations = Evacuations::new(Some(Default::default()));
/// let data_centres = ["a".to_owned()].into_iter().collect();
/// evacuations.record_read(EvacuationState { revision: 7, data_centres }, 1_000);
/// assert!(evacuations.is_evacuated("a"));
/// assert!(!evacuations.is_evacuated("b"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// `None` if evacuations are not read.
    options: Option<EvacuationOptions>,
    /// The known state with the latest revision; `None` before the first one.
    state: Option<EvacuationState>,
    /// All evacuations that the store acknowledged until then are in the state, by the steady clock.
    proved_ms: u64,
    announcements_left: u32,
    /// When a list last failed, by the steady clock.
    failed_ms: Option<u64>,
}

impl Evacuations {
    /// Starts without any knowledge. Without options, evacuations do not matter.
    #[must_use]
    pub fn new(options: Option<EvacuationOptions>) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// The options; `None` if evacuations are not read.
    #[must_use]
    pub fn options(&self) -> Option<EvacuationOptions> {
        self.options
    }

    /// Whether requests may be sent: a gateway without any read could send them to an evacuated
    /// data centre.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.options.is_none() || self.state.is_some()
    }

    /// The known state; `None` before the first one.
    #[must_use]
    pub fn state(&self) -> Option<&EvacuationState> {
        self.state.as_ref()
    }

    /// Whether a data centre must get no requests.
    #[must_use]
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        let state = self.state.as_ref();
        state.is_some_and(|state| state.data_centres.contains(data_centre))
    }

    /// The number of evacuated data centres.
    #[must_use]
    pub fn count(&self) -> usize {
        let state = self.state.as_ref();
        state.map_or(0, |state| state.data_centres.len())
    }

    /// The age of the knowledge; `None` before the first read or announcement.
    #[must_use]
    pub fn age_ms(&self, now: Now) -> Option<u64> {
        self.state.as_ref()?;
        Some(now.since_ms(self.proved_ms))
    }

    /// Whether requests may be sent by what is known. Knowledge that is too old for the bound counts only
    /// while the store is unavailable: a process that was suspended must read first.
    #[must_use]
    pub fn may_be_used(&self, now: Now) -> bool {
        let Some(options) = self.options else {
            return true;
        };
        let max_age_ms = options.age_limits_ms().end() + options.failed_list_ms;
        let is_unavailable = || {
            self.failed_ms
                .is_some_and(|failed_ms| now.since_ms(failed_ms) < options.unavailable_ms)
        };
        self.age_ms(now)
            .is_some_and(|age_ms| age_ms < max_age_ms || is_unavailable())
    }

    /// Records that a list failed that was sent at `sent_ms` with this timeout. If it ended much later
    /// than at its timeout, the process did not run and the failure says nothing about the store.
    pub fn record_failed_list(&mut self, sent_ms: u64, timeout_ms: u64, now: Now) {
        if now.since_ms(sent_ms) <= 2 * timeout_ms {
            self.failed_ms = Some(now.steady_ms);
        }
    }

    /// Applies what this gateway read from the store, which includes all that was acknowledged until
    /// `proved_ms`. It is announced to the peers.
    pub fn record_read(&mut self, state: EvacuationState, proved_ms: u64) -> Vec<EvacuationChange> {
        let changes = self.apply(state, proved_ms);
        let sends = if changes.is_empty() {
            1
        } else {
            SENDS_PER_CHANGE
        };
        self.announcements_left = self.announcements_left.max(sends);
        changes
    }

    /// Applies the announcement of a peer, which was received at `received_ms` or earlier.
    pub fn receive(&mut self, update: EvacuationUpdate, received_ms: u64) -> Vec<EvacuationChange> {
        let state = EvacuationState {
            revision: update.revision,
            data_centres: update.data_centres.into_iter().collect(),
        };
        self.apply(state, received_ms.saturating_sub(update.age_ms))
    }

    /// What to announce to the peers now, if anything.
    pub fn next_announcement(&mut self, now: Now) -> Option<EvacuationUpdate> {
        self.announcements_left = self.announcements_left.checked_sub(1)?;
        let state = self.state.as_ref()?;
        Some(EvacuationUpdate {
            revision: state.revision,
            age_ms: now.since_ms(self.proved_ms),
            data_centres: state.data_centres.iter().cloned().collect(),
        })
    }

    fn apply(&mut self, state: EvacuationState, proved_ms: u64) -> Vec<EvacuationChange> {
        if self.options.is_none() {
            return Vec::new();
        }
        // The state with the later revision contains all that was acknowledged before either proof.
        self.proved_ms = self.proved_ms.max(proved_ms);
        let known = self.state.as_ref();
        if known.is_some_and(|known| known.revision >= state.revision) {
            return Vec::new();
        }
        let changes = self.state.take().unwrap_or_default().changes_to(&state);
        self.state = Some(state);
        changes
    }
}

/// Whether the gateway `own` reads the evacuations for the fleet of itself and its live `peers`. One
/// gateway of each data centre does, so that each has a reader when they cannot reach each other.
#[must_use]
pub fn is_reader(own: LivePeer, peers: &[LivePeer]) -> bool {
    let rank = |peer: &LivePeer| (xxh3_64(peer.address.to_string().as_bytes()), peer.address);
    let has_others = peers.iter().any(|peer| peer.data_centre != own.data_centre);
    let readers = if has_others {
        1
    } else {
        READERS_OF_ONE_DATA_CENTRE
    };
    let local = peers
        .iter()
        .filter(|peer| peer.data_centre == own.data_centre);
    local.filter(|peer| rank(peer) < rank(&own)).count() < readers
}
