//! Refuses requests with a prompt part that crashes engines.
//!
//! The requests differ and share their customer and other parts with harmless ones, so evidence is
//! collected by part and from all gateways. A request that waited for its first event when the
//! connection to its engine was lost is evidence against all of its parts. A request that receives
//! an event proves that none of its parts crashes an engine. A part is refused once enough engines
//! crashed with it since it was last proved harmless. Crashes that a refused part explains are no
//! evidence against the parts beside it.

use indexmap::IndexMap;

use super::directory::EndpointRun;
use crate::protocol::gateway::{PartAge, PartCrash, PartReport};
use crate::state::Now;
use crate::state::gateway::PromptPart;

/// Thresholds, retention times and limits of a [`PartQuarantine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartQuarantineOptions {
    /// Engines that crashed with a part before it is refused.
    pub refuse_after_crashes: usize,
    /// Time from the crash that completes the evidence to the refusal, in which other gateways can
    /// report that the part is harmless.
    pub settle_ms: u64,
    /// How long a part is refused after its last crash. For as long again a single crash is enough
    /// to refuse it once more.
    pub refuse_ms: u64,
    /// How long a crash counts as evidence.
    pub crash_retention_ms: u64,
    /// Maximum number of crashed requests in memory; the oldest are evicted.
    pub max_crashes: usize,
    /// Maximum number of refused parts.
    pub max_refused: usize,
    /// Interval between two reports of all refused parts, for gateways that started later.
    pub report_interval_ms: u64,
    /// How often each change is sent, since datagrams can be lost.
    pub sends_per_change: u32,
    /// Maximum number of entries of each kind in a report.
    pub max_report_entries: usize,
}

impl Default for PartQuarantineOptions {
    fn default() -> Self {
        Self {
            refuse_after_crashes: 3,
            settle_ms: 700,
            refuse_ms: 600_000,
            crash_retention_ms: 60_000,
            max_crashes: 512,
            max_refused: 256,
            report_interval_ms: 1_000,
            sends_per_change: 3,
            max_report_entries: 32,
        }
    }
}

/// A request that waited for its first event when the connection to its engine was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Crash {
    run: EndpointRun,
    /// The ids of the shared parts of the prompt, in order.
    parts: Vec<u64>,
    at_ms: u64,
}

/// A part of a recorded crash.
#[derive(Clone, Copy, Debug, Default)]
struct Suspect {
    last_crash_ms: u64,
    /// When a request with the part last received an event.
    begun_ms: Option<u64>,
}

/// A change of what is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartChange {
    /// Requests with the part are refused from now on.
    Refused(u64),
    /// The part was proved harmless and is no longer refused.
    Allowed(u64),
}

/// A change that is still to be sent.
#[derive(Clone, Debug)]
struct Pending<T> {
    change: T,
    sends_left: u32,
}

/// Prompt parts that may crash engines, as known to one gateway.
///
/// ```
/// use curranttrestle::coordination::gateway::part_quarantine::{
///     PartChange, PartQuarantine, PartQuarantineOptions,
/// };
/// use curranttrestle::state::{Now, gateway::PromptPart};
/// let parts = [PromptPart { id: 7, tokens: 800 }];
/// let mut quarantine = PartQuarantine::new(PartQuarantineOptions::default());
/// let now = Now::default();
/// for run in 0..3 {
///     quarantine.record_crash(run, &parts, now);
/// }
/// assert!(quarantine.update(now.plus_ms(100)).is_empty());
/// assert_eq!(quarantine.update(now.plus_ms(700)), [PartChange::Refused(7)]);
/// assert!(quarantine.refusal_ms(&parts, now.plus_ms(700)).is_some());
/// quarantine.record_begun(&parts, now.plus_ms(800));
/// assert!(quarantine.refusal_ms(&parts, now.plus_ms(800)).is_none());
/// ```
#[derive(Clone, Debug)]
pub struct PartQuarantine {
    options: PartQuarantineOptions,
    crashes: Vec<Crash>,
    suspects: IndexMap<u64, Suspect>,
    /// Refused parts, each with the time of its last crash.
    refused: IndexMap<u64, u64>,
    pending_crashes: Vec<Pending<Crash>>,
    pending_begun: Vec<Pending<(u64, u64)>>,
    changes: Vec<PartChange>,
    reported_ms: u64,
    report_round: usize,
}

impl PartQuarantine {
    /// Creates a quarantine without evidence.
    #[must_use]
    pub fn new(options: PartQuarantineOptions) -> Self {
        Self {
            options,
            crashes: Vec::new(),
            suspects: IndexMap::new(),
            refused: IndexMap::new(),
            pending_crashes: Vec::new(),
            pending_begun: Vec::new(),
            changes: Vec::new(),
            reported_ms: 0,
            report_round: 0,
        }
    }

    /// Records that the connection to an engine was lost while a request with these shared parts
    /// waited for its first event.
    pub fn record_crash(&mut self, run: EndpointRun, shared_parts: &[PromptPart], now: Now) {
        if shared_parts.is_empty() {
            return;
        }
        let crash = Crash {
            run,
            parts: shared_parts.iter().map(|part| part.id).collect(),
            at_ms: now.steady_ms,
        };
        if self.add_crash(crash.clone()) {
            self.pending_crashes.push(Pending {
                change: crash,
                sends_left: self.options.sends_per_change,
            });
        }
    }

    /// Records that a request with these shared parts received an event.
    pub fn record_begun(&mut self, shared_parts: &[PromptPart], now: Now) {
        for part in shared_parts {
            if self.is_in_doubt(part.id) {
                self.apply_begun(part.id, now.steady_ms);
                self.pending_begun.push(Pending {
                    change: (part.id, now.steady_ms),
                    sends_left: self.options.sends_per_change,
                });
            }
        }
    }

    /// How long requests with these shared parts are still refused; `None` if they are not.
    #[must_use]
    pub fn refusal_ms(&self, shared_parts: &[PromptPart], now: Now) -> Option<u64> {
        if self.refused.is_empty() {
            return None;
        }
        let left_ms = |part: &PromptPart| {
            let last_crash_ms = self.refused.get(&part.id)?;
            let until_ms = last_crash_ms + self.options.refuse_ms;
            until_ms
                .checked_sub(now.steady_ms)
                .filter(|left_ms| *left_ms > 0)
        };
        shared_parts.iter().filter_map(left_ms).max()
    }

    /// Removes expired evidence, decides on the rest and returns the changes since the last call.
    pub fn update(&mut self, now: Now) -> Vec<PartChange> {
        let options = self.options;
        self.refused
            .retain(|_, last_crash_ms| now.since_ms(*last_crash_ms) < 2 * options.refuse_ms);
        self.crashes
            .retain(|crash| now.since_ms(crash.at_ms) < options.crash_retention_ms);
        self.suspects.retain(|_, suspect| {
            let last_ms = suspect.last_crash_ms.max(suspect.begun_ms.unwrap_or(0));
            now.since_ms(last_ms) < options.crash_retention_ms
        });
        while self.refused.len() < options.max_refused
            && let Some((part, last_crash_ms)) = self.most_suspicious_part(now)
        {
            self.refused.insert(part, last_crash_ms);
            self.changes.push(PartChange::Refused(part));
        }
        std::mem::take(&mut self.changes)
    }

    /// The number of refused parts.
    #[must_use]
    pub fn refused_count(&self) -> usize {
        self.refused.len()
    }

    /// The number of parts that requests crashed with and that were not proved harmless since.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        let suspects = self.suspects.keys();
        suspects.filter(|part| self.is_in_doubt(**part)).count()
    }

    /// Returns the report that is due, if any, for all other gateways.
    pub fn next_report(&mut self, now: Now) -> Option<PartReport> {
        let limit = self.options.max_report_entries;
        let age = |at_ms: u64| u32::try_from(now.since_ms(at_ms)).unwrap_or(u32::MAX);
        let mut report = PartReport {
            crashes: take_pending(&mut self.pending_crashes, limit, |crash| PartCrash {
                run: crash.run,
                parts: crash.parts.clone(),
                age_ms: age(crash.at_ms),
            }),
            begun: take_pending(&mut self.pending_begun, limit, |(part, at_ms)| PartAge {
                part: *part,
                age_ms: age(*at_ms),
            }),
            refused: Vec::new(),
        };
        if now.since_ms(self.reported_ms) >= self.options.report_interval_ms {
            self.reported_ms = now.steady_ms;
            let count = self.refused.len().min(limit);
            let refused = self.refused.iter().cycle();
            let refused = refused
                .skip(self.report_round % self.refused.len().max(1))
                .take(count);
            report.refused = refused
                .map(|(part, last_crash_ms)| PartAge {
                    part: *part,
                    age_ms: age(*last_crash_ms),
                })
                .collect();
            self.report_round = self.report_round.wrapping_add(count);
        }
        let is_empty =
            report.crashes.is_empty() && report.begun.is_empty() && report.refused.is_empty();
        (!is_empty).then_some(report)
    }

    /// Applies the report of another gateway.
    pub fn receive(&mut self, report: &PartReport, now: Now) {
        let at_ms = |age_ms: u32| now.steady_ms.saturating_sub(u64::from(age_ms));
        for crash in &report.crashes {
            self.add_crash(Crash {
                run: crash.run,
                parts: crash.parts.clone(),
                at_ms: at_ms(crash.age_ms),
            });
        }
        for begun in &report.begun {
            self.apply_begun(begun.part, at_ms(begun.age_ms));
        }
        for refused in &report.refused {
            let last_crash_ms = at_ms(refused.age_ms);
            let is_stale = self
                .suspects
                .get(&refused.part)
                .is_some_and(|suspect| suspect.begun_ms.is_some_and(|ms| ms >= last_crash_ms));
            if let Some(known_ms) = self.refused.get_mut(&refused.part) {
                *known_ms = (*known_ms).max(last_crash_ms);
            } else if !is_stale && self.refused.len() < self.options.max_refused {
                self.refused.insert(refused.part, last_crash_ms);
                self.changes.push(PartChange::Refused(refused.part));
            }
        }
    }

    /// Adds a crash. Returns false if it is already recorded.
    fn add_crash(&mut self, crash: Crash) -> bool {
        let is_known = |known: &Crash| known.run == crash.run && known.parts == crash.parts;
        if self.crashes.iter().any(is_known) {
            return false;
        }
        for part in &crash.parts {
            let suspect = self.suspects.entry(*part).or_default();
            suspect.last_crash_ms = suspect.last_crash_ms.max(crash.at_ms);
            if let Some(last_crash_ms) = self.refused.get_mut(part) {
                *last_crash_ms = (*last_crash_ms).max(crash.at_ms);
            }
        }
        self.crashes.push(crash);
        if self.crashes.len() > self.options.max_crashes {
            self.crashes.remove(0);
        }
        true
    }

    /// Whether an event of a request with this part would change anything.
    fn is_in_doubt(&self, part: u64) -> bool {
        self.refused.contains_key(&part)
            || self.suspects.get(&part).is_some_and(|suspect| {
                suspect
                    .begun_ms
                    .is_none_or(|begun_ms| begun_ms < suspect.last_crash_ms)
            })
    }

    fn apply_begun(&mut self, part: u64, begun_ms: u64) {
        let suspect = self.suspects.entry(part).or_default();
        suspect.begun_ms = suspect.begun_ms.max(Some(begun_ms));
        if self
            .refused
            .get(&part)
            .is_some_and(|last_crash_ms| begun_ms >= *last_crash_ms)
        {
            self.refused.shift_remove(&part);
            self.changes.push(PartChange::Allowed(part));
        }
    }

    /// The part that most engines crashed with, if the evidence against it is complete, and the
    /// time of its last crash. Of parts with as many crashes the last one in its prompt is the
    /// most specific.
    fn most_suspicious_part(&self, now: Now) -> Option<(u64, u64)> {
        let mut evidence: IndexMap<u64, (usize, IndexMap<EndpointRun, u64>)> = IndexMap::new();
        for crash in &self.crashes {
            if crash
                .parts
                .iter()
                .any(|part| self.refused.contains_key(part))
            {
                continue;
            }
            for (position, part) in crash.parts.iter().enumerate() {
                let begun_ms = self.suspects.get(part).and_then(|suspect| suspect.begun_ms);
                if begun_ms.is_some_and(|begun_ms| begun_ms >= crash.at_ms) {
                    continue;
                }
                let (last_position, runs) = evidence.entry(*part).or_default();
                *last_position = position;
                runs.entry(crash.run).or_insert(crash.at_ms);
            }
        }
        let is_complete = |runs: &IndexMap<EndpointRun, u64>| {
            let mut times: Vec<u64> = runs.values().copied().collect();
            times.sort_unstable();
            times
                .get(self.options.refuse_after_crashes - 1)
                .is_some_and(|at_ms| now.since_ms(*at_ms) >= self.options.settle_ms)
        };
        evidence
            .iter()
            .filter(|(_, (_, runs))| is_complete(runs))
            .max_by_key(|(_, (position, runs))| (runs.len(), *position))
            .map(|(part, (_, runs))| (*part, runs.values().copied().max().unwrap_or_default()))
    }
}

/// Encodes up to `limit` pending changes and removes those that were sent often enough.
fn take_pending<T, E>(
    pending: &mut Vec<Pending<T>>,
    limit: usize,
    encode: impl Fn(&T) -> E,
) -> Vec<E> {
    let mut encoded = Vec::new();
    for entry in pending.iter_mut().take(limit) {
        encoded.push(encode(&entry.change));
        entry.sends_left = entry.sends_left.saturating_sub(1);
    }
    pending.retain(|entry| entry.sends_left > 0);
    encoded
}
