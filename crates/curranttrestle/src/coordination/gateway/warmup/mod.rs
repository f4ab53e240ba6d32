//! The limit on requests to endpoints that are cold after a start.
//!
//! The sum over all gateways is bounded, including those that are cut off from the others. So the
//! rate is divided without messages: rendezvous hashing over the run of the endpoint and all
//! gateways that were ever known selects a few gateways, and each of them sends at a fixed part of
//! the rate. The parts of three groups of gateways that know nothing of each other are together
//! within the bound.

mod cold_record;
mod eligibility;
mod known_gateways;
mod rate_part;

use std::collections::VecDeque;
use std::net::SocketAddr;

use indexmap::IndexMap;

use super::directory::{Sighting, SightingKind};
use crate::state::{EndpointId, Now};
pub use cold_record::{ColdCause, ColdLimit};
use cold_record::{ColdRecord, ENTRY_LAG_MS, Suspicion};
pub use eligibility::{ENDPOINTS_COLD, prefer_warm};
pub use known_gateways::KnownGateways;
pub use rate_part::RatePart;

/// By how much the requests of a second may exceed the rate of a cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupOptions {
    /// Factor on the rate.
    pub tolerance: f64,
    /// Requests in addition.
    pub burst: f64,
}

/// How long the requests sent to an endpoint are remembered after its removal, in case it returns.
const REMOVED_KEPT_MS: u64 = 10_000;

/// A change that is logged and counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ColdChange {
    /// An endpoint counts as cold.
    Cold {
        /// The endpoint.
        endpoint: EndpointId,
        /// The reason.
        cause: ColdCause,
        /// The time until it counts as warm, unless it is extended.
        left_ms: u64,
        /// Whether this gateway has a part of its rate.
        has_part: bool,
    },
    /// An endpoint no longer counts as cold.
    Warm(EndpointId),
}

/// Whether this gateway may send a request to an endpoint, as far as the endpoint's warm-up goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdStatus {
    /// The endpoint is not cold.
    Warm,
    /// The endpoint is cold, and a request may be sent to it now.
    Permitted,
    /// The endpoint is cold, and none may be sent to it before this time has passed.
    Refused {
        /// Time until this gateway may send a request to it.
        after_ms: u64,
    },
}

/// The endpoints that are cold, and what this gateway may send to them.
///
/// ```
/// use curranttrestle::coordination::gateway::directory::{Sighting, SightingKind, endpoint_run};
/// use curranttrestle::coordination::gateway::warmup::{
///     ColdEndpoints, ColdLimit, ColdStatus, WarmupOptions,
/// };
/// use curranttrestle::state::Now;
/// use curranttrestle::state::gateway::Warmup;
/// let options = WarmupOptions { tolerance: 1.5, burst: 5.0 };
/// let mut cold = ColdEndpoints::new(Some(options));
/// let warmup = Warmup { duration_ms: 3_000, requests_per_s: 11.0 };
/// let limit = ColdLimit::new(warmup, options);
/// let sighting = Sighting {
///     endpoint: "m1".into(),
///     service: "model".to_owned(),
///     run: endpoint_run(&"m1".into(), 5),
///     warmup_left_ms: 0,
///     kind: SightingKind::New,
/// };
/// let now = Now::default();
/// cold.record_sighting(sighting, now);
/// // This gateway does not know its peers yet.
/// assert_eq!(cold.status(&"m1".into(), &limit, now), ColdStatus::Refused { after_ms: 3_000 });
/// assert_eq!(cold.status(&"m1".into(), &limit, now.plus_ms(3_000)), ColdStatus::Warm);
/// ```
#[derive(Clone, Debug)]
pub struct ColdEndpoints {
    options: Option<WarmupOptions>,
    gateways: KnownGateways,
    records: IndexMap<EndpointId, ColdRecord>,
}

impl ColdEndpoints {
    /// Creates a state without endpoints and gateways. Without options, no endpoint is cold.
    #[must_use]
    pub fn new(options: Option<WarmupOptions>) -> Self {
        Self {
            options,
            gateways: KnownGateways::default(),
            records: IndexMap::new(),
        }
    }

    /// The options; `None` if there is no limit.
    #[must_use]
    pub fn options(&self) -> Option<WarmupOptions> {
        self.options
    }

    /// Sets the address under which the other gateways know this one.
    pub fn set_own_address(&mut self, address: SocketAddr, now: Now) {
        if self.options.is_some() && self.gateways.set_own_address(address, now) {
            self.rank_all();
        }
    }

    /// Records that there is another gateway, live or not. It is never forgotten because it is
    /// silent: it may be cut off and still send.
    pub fn record_gateway(&mut self, address: SocketAddr, now: Now) {
        if self.options.is_none() || !self.gateways.learn(address, now) {
            return;
        }
        if self.gateways.drop_oldest() {
            self.rank_all();
            return;
        }
        for record in self.records.values_mut() {
            record.ranked_before += usize::from(self.gateways.is_before_own(address, record.run));
        }
    }

    /// Records how many other gateways are live, which decides from when this gateway knows its
    /// peers.
    pub fn observe_live_peers(&mut self, live: usize, now: Now) {
        self.gateways.observe_live_peers(live, now);
    }

    /// The gateways known to this one, and whether they are complete.
    #[must_use]
    pub fn gateways(&self) -> &KnownGateways {
        &self.gateways
    }

    fn rank_all(&mut self) {
        for record in self.records.values_mut() {
            record.ranked_before = self.gateways.count_before_own(record.run);
        }
    }

    /// Applies what the directory says about an endpoint.
    pub fn record_sighting(&mut self, sighting: Sighting, now: Now) {
        if self.options.is_none() {
            return;
        }
        let Sighting {
            endpoint,
            service,
            run,
            warmup_left_ms,
            kind,
        } = sighting;
        let gateways = &self.gateways;
        let entry = self.records.entry(endpoint);
        let record = entry.or_insert_with(|| ColdRecord {
            service: String::new(),
            run,
            ranked_before: gateways.count_before_own(run),
            new_ms: None,
            entry_until_ms: 0,
            suspicion: None,
            placed_ms: VecDeque::new(),
            sent_ms: VecDeque::new(),
            removed_ms: None,
            cause: ColdCause::Entry,
            was_cold: false,
        });
        record.service = service;
        if record.run != run {
            record.run = run;
            record.ranked_before = gateways.count_before_own(run);
        }
        record.removed_ms = None;
        match kind {
            SightingKind::FirstList | SightingKind::Listed => (),
            SightingKind::New | SightingKind::Restarted => {
                record.new_ms = Some(now.steady_ms);
                record.entry_until_ms = 0;
                record.suspicion = None;
                record.cause = if kind == SightingKind::New {
                    ColdCause::New
                } else {
                    ColdCause::Restarted
                };
            }
            SightingKind::Written => {
                // A restarted endpoint would have written another start time.
                let is_proof =
                    |suspicion: &Suspicion| now.since_ms(suspicion.since_ms) >= ENTRY_LAG_MS;
                if record.suspicion.as_ref().is_some_and(is_proof) {
                    record.suspicion = None;
                }
            }
            SightingKind::Removed => record.removed_ms = Some(now.steady_ms),
        }
        if kind != SightingKind::Removed && warmup_left_ms > 0 {
            // The age of the entry is not known, so nothing is subtracted for it.
            let until_ms = now.steady_ms.saturating_add(warmup_left_ms);
            record.entry_until_ms = record.entry_until_ms.max(until_ms);
        }
    }

    /// Records that an endpoint may have become cold unnoticed, as after an evacuation. It counts
    /// as cold until an entry written later says otherwise, or for the warm-up time after it
    /// answers a request.
    pub fn record_possibly_cold(&mut self, endpoint: &EndpointId, now: Now) {
        self.suspect(endpoint, ColdCause::PossiblyCold, now);
    }

    /// Records that a connection to an endpoint was refused or reset. It may be back under the same
    /// id before its new entry is read.
    pub fn record_connection_lost(&mut self, endpoint: &EndpointId, now: Now) {
        self.suspect(endpoint, ColdCause::ConnectionLost, now);
    }

    fn suspect(&mut self, endpoint: &EndpointId, cause: ColdCause, now: Now) {
        if let Some(record) = self.records.get_mut(endpoint) {
            let is_possibly_cold = record
                .suspicion
                .is_some_and(|suspicion| suspicion.cause == ColdCause::PossiblyCold);
            record.suspicion = Some(Suspicion {
                cause: if is_possibly_cold {
                    ColdCause::PossiblyCold
                } else {
                    cause
                },
                since_ms: now.steady_ms,
                answered_ms: None,
            });
        }
    }

    /// Records that data was received from an endpoint on a connection that was established, or
    /// taken from the pool, at `connected_ms`.
    pub fn record_answer(&mut self, endpoint: &EndpointId, connected_ms: u64, now: Now) {
        if self.options.is_none() {
            return;
        }
        let Some(record) = self.records.get_mut(endpoint) else {
            return;
        };
        let Some(suspicion) = &mut record.suspicion else {
            return;
        };
        if connected_ms > suspicion.since_ms {
            suspicion.answered_ms.get_or_insert(now.steady_ms);
        } else {
            self.record_open_connection(endpoint, connected_ms, now);
        }
    }

    /// Records that a connection to an endpoint that was opened at `opened_ms` is still open. It
    /// would have been lost as well if the endpoint had crashed.
    pub fn record_open_connection(&mut self, endpoint: &EndpointId, opened_ms: u64, now: Now) {
        if let Some(record) = self.records.get_mut(endpoint)
            && let Some(suspicion) = &record.suspicion
            && suspicion.is_unproven_loss(now)
            && opened_ms < suspicion.since_ms
        {
            record.suspicion = None;
        }
    }

    /// The endpoints whose connections were lost, if connections that are still open now would
    /// show that they did not crash.
    #[must_use]
    pub fn lost_endpoints(&self, now: Now) -> Vec<EndpointId> {
        let is_lost = |record: &ColdRecord| {
            let suspicion = record.suspicion.as_ref();
            suspicion.is_some_and(|suspicion| suspicion.is_unproven_loss(now))
        };
        let lost = self.records.iter().filter(|(_, record)| is_lost(record));
        lost.map(|(endpoint, _)| endpoint.clone()).collect()
    }

    /// Whether a request may be placed on an endpoint now.
    #[must_use]
    pub fn status(&self, endpoint: &EndpointId, limit: &ColdLimit, now: Now) -> ColdStatus {
        self.status_with(endpoint, limit, true, now)
    }

    fn status_with(
        &self,
        endpoint: &EndpointId,
        limit: &ColdLimit,
        counts_placed: bool,
        now: Now,
    ) -> ColdStatus {
        let Some(record) = self.records.get(endpoint) else {
            // Its entry has not been applied here yet.
            let after_ms = limit.duration_ms;
            return ColdStatus::Refused { after_ms };
        };
        let left_ms = record.cold_until_ms(limit).saturating_sub(now.steady_ms);
        if left_ms == 0 {
            return ColdStatus::Warm;
        }
        if !self.has_part(record, limit) {
            return ColdStatus::Refused { after_ms: left_ms };
        }
        match record.next_permit_ms(&limit.part, counts_placed, now) {
            0 => ColdStatus::Permitted,
            permit_ms => ColdStatus::Refused {
                after_ms: permit_ms.min(left_ms),
            },
        }
    }

    fn has_part(&self, record: &ColdRecord, limit: &ColdLimit) -> bool {
        self.gateways.is_complete() && record.ranked_before < limit.part.gateways
    }

    /// Records that a request was placed on an endpoint and waits for its connection.
    pub fn record_placed(&mut self, endpoint: &EndpointId, limit: &ColdLimit, now: Now) {
        if let Some(record) = self.records.get_mut(endpoint)
            && record.cold_until_ms(limit) > now.steady_ms
        {
            record.drop_old(limit.part.window_ms, now);
            record.placed_ms.push_back(now.steady_ms);
        }
    }

    /// Takes a permit for a request that is sent now. Returns false if there is none. An endpoint
    /// that is not cold needs none.
    #[must_use]
    pub fn take_permit(&mut self, endpoint: &EndpointId, limit: &ColdLimit, now: Now) -> bool {
        match self.status_with(endpoint, limit, false, now) {
            ColdStatus::Warm => true,
            ColdStatus::Refused { .. } => false,
            ColdStatus::Permitted => {
                if let Some(record) = self.records.get_mut(endpoint) {
                    record.drop_old(limit.part.window_ms, now);
                    record.placed_ms.pop_front();
                    record.sent_ms.push_back(now.steady_ms);
                }
                true
            }
        }
    }

    /// Returns the permit that a request took at `taken_ms`, if any, since it was not sent after all.
    pub fn return_permit(&mut self, endpoint: &EndpointId, taken_ms: u64) {
        if let Some(record) = self.records.get_mut(endpoint)
            && let Some(index) = record
                .sent_ms
                .iter()
                .position(|sent_ms| *sent_ms == taken_ms)
        {
            record.sent_ms.remove(index);
        }
    }

    /// The number of endpoints that counted as cold at the last update.
    #[must_use]
    pub fn count(&self) -> usize {
        let cold = self.records.values().filter(|record| record.was_cold);
        cold.count()
    }

    /// Returns which endpoints became cold or warm since the last call, and forgets removed ones.
    /// `limits` are the limits by service.
    pub fn update(&mut self, limits: &[(String, ColdLimit)], now: Now) -> Vec<ColdChange> {
        self.records.retain(|_, record| {
            record
                .removed_ms
                .is_none_or(|removed_ms| now.since_ms(removed_ms) < REMOVED_KEPT_MS)
        });
        let mut changes = Vec::new();
        let is_complete = self.gateways.is_complete();
        for (endpoint, record) in &mut self.records {
            let mut limits = limits.iter().filter(|_| record.removed_ms.is_none());
            let limit = limits.find(|(service, _)| *service == record.service);
            let limit = limit.map(|(_, limit)| *limit);
            let until_ms = limit.map_or(0, |limit| record.cold_until_ms(&limit));
            let is_cold = until_ms > now.steady_ms;
            if std::mem::replace(&mut record.was_cold, is_cold) == is_cold {
                continue;
            }
            changes.push(match limit.filter(|_| is_cold) {
                Some(limit) => ColdChange::Cold {
                    endpoint: endpoint.clone(),
                    cause: record.current_cause(&limit),
                    left_ms: until_ms.saturating_sub(now.steady_ms),
                    has_part: is_complete && record.ranked_before < limit.part.gateways,
                },
                None => ColdChange::Warm(endpoint.clone()),
            });
        }
        changes
    }
}
