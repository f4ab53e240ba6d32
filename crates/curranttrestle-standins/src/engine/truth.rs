//! Ground truth of the engine stand-in.

use std::time::Duration;

use curranttrestle::state::CustomerId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::batch::Step;
use crate::endpoint::{LeavingTruth, OrderTruth};

/// Minimum time between two samples of the running streams.
const SAMPLE_INTERVAL_MS: u64 = 100;

/// Maximum number of samples; later ones are not recorded.
const MAX_SAMPLES: usize = 36_000;

/// The number of running streams at one point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BusySample {
    /// Time of the sample.
    pub unix_ms: u64,
    /// Number of running streams.
    pub running: u64,
}

/// Ground truth of an engine stand-in, over all incarnations.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineTruth {
    /// The current incarnation.
    pub incarnation: u64,
    /// Number of streams running now.
    pub running: u64,
    /// Requests admitted.
    pub admitted: u64,
    /// Requests refused before they started.
    pub refused: u64,
    /// Streams that were completed.
    pub completed: u64,
    /// Streams that were cancelled by the client.
    pub cancelled: u64,
    /// Streams that were abandoned because they had no reader.
    pub abandoned: u64,
    /// Streams that were resumed.
    pub resumed: u64,
    /// Requests admitted while all slots were busy.
    pub over_admitted: u64,
    /// The largest number of concurrent streams.
    pub greatest_batch: u64,
    /// Crashes.
    pub crashes: u64,
    /// Streams that were running when the engine crashed.
    pub lost_in_crashes: u64,
    /// Generated tokens.
    pub tokens: u64,
    /// Generated tokens by customer.
    pub tokens_by_customer: IndexMap<CustomerId, u64>,
    /// Number of admissions by request.
    pub runs_by_request: IndexMap<String, u64>,
    /// Number of admissions by attempt.
    pub runs_by_attempt: IndexMap<String, u64>,
    /// Busy time summed over all slots.
    pub busy_slot_ms: f64,
    /// Samples of the number of running streams.
    pub busy_samples: Vec<BusySample>,
    /// Ground truth about orders.
    pub orders: OrderTruth,
    /// Requests admitted after the engine was marked as leaving.
    pub leaving: LeavingTruth,
}

impl EngineTruth {
    pub(super) fn record_admission(&mut self, request: &str, attempt: &str) {
        self.admitted += 1;
        *self.runs_by_request.entry(request.to_owned()).or_default() += 1;
        *self.runs_by_attempt.entry(attempt.to_owned()).or_default() += 1;
    }

    pub(super) fn record_batch(&mut self, running: u64, slots: u32) {
        self.over_admitted += u64::from(running > u64::from(slots));
        self.greatest_batch = self.greatest_batch.max(running);
    }

    pub(super) fn record_step(&mut self, step: &Step) {
        self.completed += step.completed;
        self.abandoned += step.abandoned;
        for customer in &step.token_customers {
            self.tokens += 1;
            match self.tokens_by_customer.get_mut(customer) {
                Some(tokens) => *tokens += 1,
                None => {
                    self.tokens_by_customer.insert(customer.clone(), 1);
                }
            }
        }
    }

    pub(super) fn record_busy(
        &mut self,
        unix_ms: u64,
        running: usize,
        slots: u32,
        interval: Duration,
    ) {
        let busy = u32::try_from(running).unwrap_or(u32::MAX).min(slots);
        self.busy_slot_ms += interval.as_secs_f64() * 1_000.0 * f64::from(busy);
        let last = self.busy_samples.last();
        let due = last.is_none_or(|last| last.unix_ms + SAMPLE_INTERVAL_MS <= unix_ms);
        if due && self.busy_samples.len() < MAX_SAMPLES {
            self.busy_samples.push(BusySample {
                unix_ms,
                running: running as u64,
            });
        }
    }
}
