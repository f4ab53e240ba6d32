//! Measures that several experiments share.

use crate::load::{Class, Observations, Sample, Workload};
use crate::statistics::{float, mean, percentile};

/// Requests that wait count as waiting work from this number on: fewer may be on their way
/// between callers, routers and engines.
const WAITING_MARGIN: u64 = 8;

/// The times until the answers to one class of requests began. A request without an answer
/// counts as waiting until the end of the load, a refused one until its deadline.
pub fn waits_ms(
    seen: &Observations,
    workload: &Workload,
    class: Class,
    duration_ms: u64,
) -> Vec<f64> {
    of_class(seen, class)
        .map(|sample| sample.wait_ms(unanswered_ms(sample, workload, duration_ms)))
        .collect()
}

/// The times until the answers to all requests were whole; as with [`waits_ms`].
pub fn latencies_ms(seen: &Observations, workload: &Workload, duration_ms: u64) -> Vec<f64> {
    seen.samples
        .iter()
        .map(|sample| sample.latency_ms(unanswered_ms(sample, workload, duration_ms)))
        .collect()
}

fn unanswered_ms(sample: &Sample, workload: &Workload, duration_ms: u64) -> f64 {
    match sample.status {
        0 | 200 => float(duration_ms) - sample.sent_ms,
        _ => float(workload.deadline_ms),
    }
}

/// The samples of one class.
pub fn of_class(seen: &Observations, class: Class) -> impl Iterator<Item = &Sample> {
    seen.samples
        .iter()
        .filter(move |sample| sample.class == class)
}

/// Tokens that callers of one class received.
pub fn received_tokens(seen: &Observations, class: Class) -> f64 {
    let received = of_class(seen, class).map(|sample| match sample.done_ms {
        Some(_) => u64::from(sample.tokens),
        None => sample.parts,
    });
    float(received.sum())
}

/// How many requests were refused.
pub fn refused(seen: &Observations) -> usize {
    let refused = |sample: &&Sample| sample.status != 200 && sample.status != 0;
    seen.samples.iter().filter(refused).count()
}

/// The mean fraction of busy slots over the moments when work waits, and how many of the
/// moments those are.
pub fn busy_fraction(seen: &Observations, slots: u64) -> (f64, f64) {
    let waiting = |outstanding: u64, running: u64| outstanding >= running + WAITING_MARGIN;
    let fractions: Vec<f64> = seen
        .truth
        .iter()
        .filter(|sample| waiting(sample.outstanding, sample.running))
        .map(|sample| float(sample.busy_slots) / float(slots))
        .collect();
    let moments = float(fractions.len() as u64) / float(seen.truth.len().max(1) as u64);
    (mean(&fractions), moments)
}

/// Cells with the median, the 95th and the 99th percentile.
pub fn percentile_cells(values: &[f64]) -> [String; 3] {
    [50.0, 95.0, 99.0].map(|percent| format!("{:.0}", percentile(values, percent)))
}
