//! Measurements that several experiments share.

use crate::load::{Class, Observations, Sample, Workload};
use crate::statistics::{float, mean, percentile};

/// Work counts as waiting if at least this many outstanding requests run on no engine. Fewer may be
/// in transit between callers, routers and engines.
const WAITING_MARGIN: u64 = 8;

/// The times until the responses to one class of requests began. A request without a response
/// counts as waiting until the end of the load, a refused one for its full deadline.
pub fn waits_ms(
    observations: &Observations,
    workload: &Workload,
    class: Class,
    duration_ms: u64,
) -> Vec<f64> {
    samples_of_class(observations, class)
        .map(|sample| sample.wait_ms(incomplete_ms(sample, workload, duration_ms)))
        .collect()
}

/// The times until the responses to all requests were complete. Requests without a complete
/// response count as in [`waits_ms`].
pub fn latencies_ms(
    observations: &Observations,
    workload: &Workload,
    duration_ms: u64,
) -> Vec<f64> {
    observations
        .samples
        .iter()
        .map(|sample| sample.latency_ms(incomplete_ms(sample, workload, duration_ms)))
        .collect()
}

fn incomplete_ms(sample: &Sample, workload: &Workload, duration_ms: u64) -> f64 {
    match sample.status {
        0 | 200 => float(duration_ms) - sample.sent_ms,
        _ => float(workload.deadline_ms),
    }
}

/// The samples of one class.
pub fn samples_of_class(
    observations: &Observations,
    class: Class,
) -> impl Iterator<Item = &Sample> {
    observations
        .samples
        .iter()
        .filter(move |sample| sample.class == class)
}

/// Tokens that callers received for one class of requests. An incomplete response counts one token
/// per chunk.
pub fn received_tokens(observations: &Observations, class: Class) -> f64 {
    let tokens = samples_of_class(observations, class).map(|sample| match sample.done_ms {
        Some(_) => u64::from(sample.tokens),
        None => sample.chunks,
    });
    float(tokens.sum())
}

/// The number of refused requests.
pub fn refused_count(observations: &Observations) -> usize {
    let is_refused = |sample: &&Sample| sample.status != 200 && sample.status != 0;
    observations.samples.iter().filter(is_refused).count()
}

/// The mean fraction of busy slots over the samples in which work waits, and the fraction of
/// samples in which it does.
pub fn busy_fraction(observations: &Observations, slots: u64) -> (f64, f64) {
    let has_waiting_work = |outstanding: u64, running: u64| outstanding >= running + WAITING_MARGIN;
    let fractions: Vec<f64> = observations
        .truth
        .iter()
        .filter(|sample| has_waiting_work(sample.outstanding, sample.running))
        .map(|sample| float(sample.busy_slots) / float(slots))
        .collect();
    let waiting_fraction =
        float(fractions.len() as u64) / float(observations.truth.len().max(1) as u64);
    (mean(&fractions), waiting_fraction)
}

/// Table cells with the median, the 95th and the 99th percentile.
pub fn percentile_cells(values: &[f64]) -> [String; 3] {
    [50.0, 95.0, 99.0].map(|percent| format!("{:.0}", percentile(values, percent)))
}
