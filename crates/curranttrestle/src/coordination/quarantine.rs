//! Quarantine of requests that crash endpoints.
//!
//! A request is identified by the digest of its operation and body, regardless of its
//! idempotency key. When an endpoint crashes, every request that ran on it becomes a suspect
//! and from then on runs only exclusively on an endpoint. Completing an exclusive run clears
//! it; a second endpoint crash gets it refused for [`QuarantineOptions::refuse_ms`]. The
//! recorded state only grows and is merged between all routers.
//!
//! A request that crashes every endpoint never completes. A request that recently completed
//! alongside others therefore stays unrestricted after a first crash, and runs exclusively after
//! further ones, so that a popular harmless request is not slowed down by a crash that another
//! request caused.
//!
//! Where endpoints cannot be reserved, suspects run beside other requests, and only the crashes since
//! a request last completed count against it.

use indexmap::IndexMap;

use crate::protocol::peer::{EndpointCrash, PeerMessage, Suspicion, Suspicions};
use crate::state::{EndpointId, InstanceId, MemberView, Now};

/// Digest of a request's operation and body.
pub type RequestDigest = [u8; 16];

/// Maximum number of crash reports stored per request. The latest are retained.
const MAX_CRASHES_PER_REQUEST: usize = 16;

/// Thresholds, retention times and limits of a [`Quarantine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineOptions {
    /// Number of endpoint crashes after which a request is refused.
    pub refuse_after_crashes: usize,
    /// Whether suspects can run alone on an endpoint. If not, any completed run clears a request.
    pub isolates_suspects: bool,
    /// Crashes within this time of each other count once against a request that completed before,
    /// since an outage can take several endpoints at once. Has no effect with isolation.
    pub outage_ms: u64,
    /// How long a request stays suspected or refused after its last crash.
    pub refuse_ms: u64,
    /// How long a completed run counts in favour of its request.
    pub finished_retention_ms: u64,
    /// Reports about one endpoint within this time count as the same crash.
    pub crash_dedup_ms: u64,
    /// How long a suspect waits after a crash, so that every router learns of the crash first.
    pub propagation_ms: u64,
    /// Interval between periodic gossip messages.
    pub gossip_interval_ms: u64,
    /// Maximum number of suspects in one periodic gossip message.
    pub max_gossip_suspects: usize,
    /// Maximum number of suspects in memory.
    pub max_suspects: usize,
    /// Maximum number of completed requests in memory.
    pub max_finished: usize,
}

impl Default for QuarantineOptions {
    fn default() -> Self {
        Self {
            refuse_after_crashes: 2,
            isolates_suspects: true,
            outage_ms: 1_000,
            refuse_ms: 600_000,
            finished_retention_ms: 600_000,
            crash_dedup_ms: 2_000,
            propagation_ms: 250,
            gossip_interval_ms: 1_000,
            max_gossip_suspects: 32,
            max_suspects: 1_024,
            max_finished: 4_096,
        }
    }
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Admission {
    /// Alongside other requests.
    Unrestricted,
    /// Only while nothing else runs on the endpoint.
    Exclusive,
    /// Not at all.
    Refused,
}

/// The evidence on a request, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Crashes that count against the request.
    pub crashes: usize,
    /// Time since the request last completed; `None` if that is not known.
    pub finished_age_ms: Option<u64>,
}

/// State of one suspected request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Crash reports, sorted by time.
    crashes: Vec<EndpointCrash>,
    cleared_unix_ms: u64,
    finished_unix_ms: u64,
}

impl Suspect {
    /// Records a crash report. Returns false if it is already recorded.
    fn add_crash(&mut self, crash: &EndpointCrash) -> bool {
        let Err(index) = self.crashes.binary_search(crash) else {
            return false;
        };
        self.crashes.insert(index, crash.clone());
        if self.crashes.len() > MAX_CRASHES_PER_REQUEST {
            self.crashes.remove(0);
        }
        true
    }

    /// Returns the crashes since the last clearance that have not expired, in order of time.
    fn current_crashes(
        &self,
        now: Now,
        options: &QuarantineOptions,
    ) -> impl Iterator<Item = &EndpointCrash> {
        let refuse_ms = options.refuse_ms;
        self.crashes
            .iter()
            .filter(|crash| crash.seen_unix_ms > self.cleared_unix_ms)
            .filter(move |crash| now.unix_ms < crash.seen_unix_ms + refuse_ms)
    }

    /// Returns the number of current crashes, and whether the request ran alone in any of them.
    fn count_crashes(&self, now: Now, options: &QuarantineOptions) -> (usize, bool) {
        let mut first_seen: IndexMap<&EndpointId, Vec<u64>> = IndexMap::new();
        let mut crashed_alone = false;
        for crash in self.current_crashes(now, options) {
            crashed_alone |= crash.alone;
            let seen = first_seen.entry(&crash.endpoint).or_default();
            // Several routers report the same crash, each with its own time.
            let is_duplicate = seen
                .last()
                .is_some_and(|first| crash.seen_unix_ms <= first + options.crash_dedup_ms);
            if !is_duplicate {
                seen.push(crash.seen_unix_ms);
            }
        }
        (first_seen.values().map(Vec::len).sum(), crashed_alone)
    }

    /// Returns the number of current crashes, where those close to each other count as one.
    fn count_outages(&self, now: Now, options: &QuarantineOptions) -> usize {
        let mut count = 0;
        let mut until_unix_ms = 0;
        for crash in self.current_crashes(now, options) {
            if crash.seen_unix_ms >= until_unix_ms {
                count += 1;
                until_unix_ms = crash.seen_unix_ms + options.outage_ms;
            }
        }
        count
    }

    /// Time of the last crash, zero if there was none.
    fn last_crash_unix_ms(&self) -> u64 {
        let seen = self.crashes.iter().map(|crash| crash.seen_unix_ms);
        seen.max().unwrap_or_default()
    }

    fn admission(&self, now: Now, options: &QuarantineOptions) -> Admission {
        if !options.isolates_suspects {
            return self.admission_without_isolation(now, options);
        }
        let (crashes, crashed_alone) = self.count_crashes(now, options);
        let has_finished = self.has_finished(now, options);
        match crashes {
            0 => Admission::Unrestricted,
            _ if crashed_alone => Admission::Refused,
            1 if has_finished => Admission::Unrestricted,
            crashes if crashes >= options.refuse_after_crashes && !has_finished => {
                Admission::Refused
            }
            _ => Admission::Exclusive,
        }
    }

    fn admission_without_isolation(&self, now: Now, options: &QuarantineOptions) -> Admission {
        let count = if self.has_finished(now, options) {
            self.count_outages(now, options)
        } else {
            self.count_crashes(now, options).0
        };
        if count >= options.refuse_after_crashes {
            Admission::Refused
        } else {
            Admission::Unrestricted
        }
    }

    /// Whether the request completed recently.
    fn has_finished(&self, now: Now, options: &QuarantineOptions) -> bool {
        now.unix_ms < self.finished_unix_ms + options.finished_retention_ms
    }
}

/// Suspected requests known to one router.
///
/// ```
/// use curranttrestle::coordination::quarantine::{Admission, Quarantine, QuarantineOptions};
/// use curranttrestle::state::Now;
/// let now = Now { steady_ms: 0, unix_ms: 1_700_000_000_000 };
/// let mut quarantine = Quarantine::new(QuarantineOptions::default());
/// quarantine.endpoint_crashed(&"m1".into(), &[[1; 16], [2; 16]], false, now);
/// assert_eq!(quarantine.admission(&[1; 16], now), Admission::Exclusive);
/// quarantine.record_finished(&[1; 16], true, now.plus_ms(10));
/// assert_eq!(quarantine.admission(&[1; 16], now.plus_ms(10)), Admission::Unrestricted);
/// quarantine.endpoint_crashed(&"m2".into(), &[[2; 16]], true, now.plus_ms(20));
/// assert_eq!(quarantine.admission(&[2; 16], now.plus_ms(20)), Admission::Refused);
/// ```
#[derive(Clone, Debug)]
pub struct Quarantine {
    options: QuarantineOptions,
    suspects: IndexMap<RequestDigest, Suspect>,
    /// Time at which each request last completed, most recent last.
    finished: IndexMap<RequestDigest, u64>,
    /// Suspects whose state changed and has not been sent to the other routers yet.
    pending: Vec<RequestDigest>,
    next_gossip_ms: u64,
    gossip_round: usize,
}

impl Quarantine {
    /// Creates a quarantine without suspects.
    #[must_use]
    pub fn new(options: QuarantineOptions) -> Self {
        Self {
            options,
            suspects: IndexMap::new(),
            finished: IndexMap::new(),
            pending: Vec::new(),
            next_gossip_ms: 0,
            gossip_round: 0,
        }
    }

    /// Returns how a request may run.
    #[must_use]
    pub fn admission(&self, digest: &RequestDigest, now: Now) -> Admission {
        self.suspects
            .get(digest)
            .map_or(Admission::Unrestricted, |suspect| {
                suspect.admission(now, &self.options)
            })
    }

    /// How long a request is still refused; `None` if it is not.
    #[must_use]
    pub fn refusal_ms(&self, digest: &RequestDigest, now: Now) -> Option<u64> {
        let suspect = self.suspects.get(digest)?;
        let is_refused = suspect.admission(now, &self.options) == Admission::Refused;
        let until_unix_ms = suspect.last_crash_unix_ms() + self.options.refuse_ms;
        is_refused.then(|| until_unix_ms.saturating_sub(now.unix_ms))
    }

    /// Returns the evidence on a request.
    #[must_use]
    pub fn evidence(&self, digest: &RequestDigest, now: Now) -> Evidence {
        let Some(suspect) = self.suspects.get(digest) else {
            return Evidence::default();
        };
        let finished_ms = Some(suspect.finished_unix_ms).filter(|ms| *ms > 0);
        Evidence {
            crashes: suspect.count_crashes(now, &self.options).0,
            finished_age_ms: finished_ms.map(|ms| now.unix_ms.saturating_sub(ms)),
        }
    }

    /// Whether a request may be dispatched to an endpoint now. `alone` states that nothing else
    /// runs or will be started on that endpoint. Call this right before each dispatch: the
    /// request may have become a suspect while it was queued.
    #[must_use]
    pub fn may_start(&self, digest: &RequestDigest, alone: bool, now: Now) -> bool {
        let Some(suspect) = self.suspects.get(digest) else {
            return true;
        };
        match suspect.admission(now, &self.options) {
            Admission::Unrestricted => true,
            Admission::Exclusive => {
                alone && now.unix_ms >= suspect.last_crash_unix_ms() + self.options.propagation_ms
            }
            Admission::Refused => false,
        }
    }

    /// Whether this router has seen the request complete.
    #[must_use]
    pub fn has_finished(&self, digest: &RequestDigest) -> bool {
        self.finished.contains_key(digest)
    }

    /// Records the crash of an endpoint that ran requests of this router. `alone` states that
    /// the endpoint ran nothing but the one given request. Call [`Self::tick`] next, so that
    /// other routers learn of the crash before the caller can retry its request.
    pub fn endpoint_crashed(
        &mut self,
        endpoint: &EndpointId,
        running: &[RequestDigest],
        alone: bool,
        now: Now,
    ) {
        let crash = EndpointCrash {
            endpoint: endpoint.clone(),
            seen_unix_ms: now.unix_ms,
            alone: alone && running.len() == 1,
        };
        for digest in running {
            let finished_unix_ms = self.finished.get(digest).copied().unwrap_or_default();
            let suspect = self.suspects.entry(*digest).or_default();
            suspect.finished_unix_ms = suspect.finished_unix_ms.max(finished_unix_ms);
            if suspect.add_crash(&crash) {
                self.pending.push(*digest);
            }
        }
        self.evict_oldest();
    }

    /// Records that a request completed. `alone` states that nothing else ran on the endpoint.
    pub fn record_finished(&mut self, digest: &RequestDigest, alone: bool, now: Now) {
        self.finished.shift_remove(digest);
        self.finished.insert(*digest, now.unix_ms);
        if self.finished.len() > self.options.max_finished {
            self.finished.shift_remove_index(0);
        }
        let Some(suspect) = self.suspects.get_mut(digest) else {
            return;
        };
        let options = &self.options;
        let verdict = |suspect: &Suspect| {
            let (crashes, _) = suspect.count_crashes(now, options);
            (suspect.admission(now, options), crashes)
        };
        let before = verdict(suspect);
        suspect.finished_unix_ms = suspect.finished_unix_ms.max(now.unix_ms);
        if alone || !options.isolates_suspects {
            suspect.cleared_unix_ms = suspect.cleared_unix_ms.max(now.unix_ms);
        }
        if verdict(suspect) != before {
            self.pending.push(*digest);
        }
    }

    /// Merges the state received from another router.
    pub fn receive(&mut self, suspicions: &Suspicions, now: Now) {
        for received in &suspicions.suspects {
            let finished_unix_ms = self.finished.get(&received.digest).copied();
            let suspect = self.suspects.entry(received.digest).or_default();
            for crash in &received.deaths {
                suspect.add_crash(crash);
            }
            suspect.cleared_unix_ms = suspect.cleared_unix_ms.max(received.cleared_unix_ms);
            suspect.finished_unix_ms = suspect
                .finished_unix_ms
                .max(received.finished_unix_ms)
                .max(finished_unix_ms.unwrap_or_default());
        }
        self.remove_expired(now);
        self.evict_oldest();
    }

    /// Returns the messages that are due: to every other router the changed suspects, and to one
    /// router in turn a periodic gossip batch.
    pub fn tick(&mut self, members: &MemberView, now: Now) -> Vec<(InstanceId, PeerMessage)> {
        let others: Vec<&InstanceId> = members
            .live
            .iter()
            .map(|member| &member.instance)
            .filter(|instance| **instance != members.local.instance)
            .collect();
        let mut messages = Vec::new();
        if let Some(pending) = self.take_pending() {
            let pending = PeerMessage::Suspicions(pending);
            messages.extend(others.iter().map(|to| ((*to).clone(), pending.clone())));
        }
        if !self.is_gossip_due(now) || others.is_empty() {
            return messages;
        }
        let receiver = others[self.gossip_round % others.len()];
        if let Some(batch) = self.next_gossip_batch() {
            messages.push((receiver.clone(), PeerMessage::Suspicions(batch)));
        }
        messages
    }

    /// Returns what is due to be sent to all peers: changes, and a periodic gossip batch.
    pub fn next_broadcast(&mut self, now: Now) -> Suspicions {
        let mut outgoing = self.take_pending().unwrap_or_default();
        if self.is_gossip_due(now)
            && let Some(batch) = self.next_gossip_batch()
        {
            outgoing.suspects.extend(batch.suspects);
        }
        outgoing
    }

    /// Takes the changed suspects, for every other gateway.
    pub fn take_changes(&mut self) -> Option<Suspicions> {
        self.take_pending()
    }

    /// Returns the periodic gossip batch if it is due. It goes to one gateway: many suspects sent by
    /// every gateway to every other one would cost more than all other messages.
    pub fn next_gossip(&mut self, now: Now) -> Option<Suspicions> {
        self.is_gossip_due(now)
            .then(|| self.next_gossip_batch())
            .flatten()
            .filter(|batch| !batch.suspects.is_empty())
    }

    fn take_pending(&mut self) -> Option<Suspicions> {
        let digests = std::mem::take(&mut self.pending);
        self.suspicions(digests.iter())
    }

    /// Whether the gossip interval has elapsed. If so, starts the next interval.
    fn is_gossip_due(&mut self, now: Now) -> bool {
        if now.steady_ms < self.next_gossip_ms {
            return false;
        }
        self.next_gossip_ms = now.steady_ms + self.options.gossip_interval_ms;
        self.remove_expired(now);
        true
    }

    /// Returns the next batch of suspects, cycling through all of them.
    fn next_gossip_batch(&mut self) -> Option<Suspicions> {
        let first = self.gossip_round * self.options.max_gossip_suspects;
        self.gossip_round += 1;
        let count = self.suspects.len().min(self.options.max_gossip_suspects);
        let digests = self.suspects.keys().cycle();
        let digests = digests.skip(first % self.suspects.len().max(1)).take(count);
        self.suspicions(digests)
    }

    /// Returns the number of suspects in memory, including cleared ones.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    fn suspicions<'a>(
        &self,
        digests: impl Iterator<Item = &'a RequestDigest>,
    ) -> Option<Suspicions> {
        let suspects: Vec<Suspicion> = digests
            .filter_map(|digest| {
                let suspect = self.suspects.get(digest)?;
                Some(Suspicion {
                    digest: *digest,
                    deaths: suspect.crashes.clone(),
                    cleared_unix_ms: suspect.cleared_unix_ms,
                    finished_unix_ms: suspect.finished_unix_ms,
                })
            })
            .collect();
        (!suspects.is_empty()).then_some(Suspicions { suspects })
    }

    /// Removes crash reports that have expired, and suspects without any.
    fn remove_expired(&mut self, now: Now) {
        let refuse_ms = self.options.refuse_ms;
        for suspect in self.suspects.values_mut() {
            suspect
                .crashes
                .retain(|crash| now.unix_ms < crash.seen_unix_ms + refuse_ms);
        }
        self.suspects
            .retain(|_, suspect| !suspect.crashes.is_empty());
    }

    /// Evicts the suspects with the oldest last crash until the limit is met.
    fn evict_oldest(&mut self) {
        while self.suspects.len() > self.options.max_suspects {
            let oldest = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| suspect.last_crash_unix_ms())
                .map(|(digest, _)| *digest);
            if let Some(oldest) = oldest {
                self.suspects.shift_remove(&oldest);
            }
        }
    }
}
