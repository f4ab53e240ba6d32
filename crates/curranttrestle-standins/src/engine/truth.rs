//! What really happened at an engine stand-in.

use std::time::Duration;

use curranttrestle::state::CustomerId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::batch::Step;
use crate::endpoint::{LeavingTruth, OrderTruth};

/// The shortest time between two samples of the busy slots.
const SAMPLE_INTERVAL_MS: u64 = 100;

/// How many samples are kept.
const KEPT_SAMPLES: usize = 36_000;

/// How many streams ran at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BusySample {
    /// The moment.
    pub unix_ms: u64,
    /// The streams.
    pub running: u64,
}

/// What really happened at an engine stand-in, over all its runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineTruth {
    /// The present run.
    pub incarnation: u64,
    /// How many streams run now.
    pub running: u64,
    /// Requests admitted.
    pub admitted: u64,
    /// Requests refused before they began.
    pub refused: u64,
    /// Streams that were made whole.
    pub completed: u64,
    /// Streams that were cancelled by order.
    pub cancelled: u64,
    /// Streams that were given up since nobody read them.
    pub abandoned: u64,
    /// Streams that were resumed.
    pub resumed: u64,
    /// Requests admitted while all slots were busy.
    pub over_admitted: u64,
    /// The most streams that ran at once.
    pub greatest_batch: u64,
    /// Crashes.
    pub crashes: u64,
    /// Streams that ran when the engine crashed.
    pub lost_in_crashes: u64,
    /// Tokens made.
    pub tokens: u64,
    /// Tokens made for each customer.
    pub tokens_by_customer: IndexMap<CustomerId, u64>,
    /// How often each request was admitted.
    pub runs_by_request: IndexMap<String, u64>,
    /// How often each attempt was admitted.
    pub runs_by_attempt: IndexMap<String, u64>,
    /// How long slots were busy, summed over the slots.
    pub busy_slot_ms: f64,
    /// How many streams ran over time.
    pub busy_samples: Vec<BusySample>,
    /// What became of the orders.
    pub orders: OrderTruth,
    /// What arrived after the leaving mark.
    pub leaving: LeavingTruth,
}

impl EngineTruth {
    pub(super) fn note_admission(&mut self, request: &str, attempt: &str) {
        self.admitted += 1;
        *self.runs_by_request.entry(request.to_owned()).or_default() += 1;
        *self.runs_by_attempt.entry(attempt.to_owned()).or_default() += 1;
    }

    pub(super) fn note_batch(&mut self, running: u64, slots: u32) {
        self.over_admitted += u64::from(running > u64::from(slots));
        self.greatest_batch = self.greatest_batch.max(running);
    }

    pub(super) fn note_step(&mut self, step: &Step) {
        self.completed += step.completed;
        self.abandoned += step.abandoned;
        for customer in &step.served {
            self.tokens += 1;
            match self.tokens_by_customer.get_mut(customer) {
                Some(tokens) => *tokens += 1,
                None => {
                    self.tokens_by_customer.insert(customer.clone(), 1);
                }
            }
        }
    }

    pub(super) fn note_busy(
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
        if due && self.busy_samples.len() < KEPT_SAMPLES {
            self.busy_samples.push(BusySample {
                unix_ms,
                running: running as u64,
            });
        }
    }
}
