//! The load that peers report, with a sum for each endpoint.
//!
//! Placement reads the load of several endpoints for each request, far more often than reports
//! arrive. So the sums are maintained when a report arrives.

use indexmap::IndexMap;

use super::endpoint_load::{EndpointKey, LoadLine, PeerKey};
use crate::state::Now;

/// The load of one endpoint that all peers together report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ReportedSum {
    /// Prompt tokens that wait for prefill.
    pub waiting_tokens: u64,
    /// Sum of the ages of the reports, each times its waiting tokens.
    pub token_age_ms: u128,
    /// Requests without a complete response.
    pub in_flight: u64,
    /// Memory of these requests, in tokens.
    pub memory_tokens: u64,
}

/// The sums of one endpoint over all reports, including expired ones.
#[derive(Clone, Copy, Debug, Default)]
struct EndpointSum {
    waiting_tokens: u64,
    /// Sum of the times of the reports, each times its waiting tokens.
    token_at_ms: u128,
    in_flight: u64,
    memory_tokens: u64,
    /// The last report that has a line for the endpoint, and the index of the line.
    last_line: (u64, usize),
}

impl EndpointSum {
    fn add(&mut self, line: &LoadLine, at_ms: u64) {
        let waiting_tokens = u64::from(line.waiting_tokens);
        self.waiting_tokens += waiting_tokens;
        self.token_at_ms += u128::from(waiting_tokens) * u128::from(at_ms);
        self.in_flight += u64::from(line.in_flight);
        self.memory_tokens += u64::from(line.memory_tokens);
    }

    fn subtract(&mut self, line: &LoadLine, at_ms: u64) {
        let waiting_tokens = u64::from(line.waiting_tokens);
        self.waiting_tokens -= waiting_tokens;
        self.token_at_ms -= u128::from(waiting_tokens) * u128::from(at_ms);
        self.in_flight -= u64::from(line.in_flight);
        self.memory_tokens -= u64::from(line.memory_tokens);
    }
}

#[derive(Clone, Debug, Default)]
struct PeerReport {
    /// Each line with the index of its endpoint's sum.
    lines: Vec<(usize, LoadLine)>,
    at_ms: u64,
}

/// The latest report of each peer.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportedLoad {
    peers: IndexMap<PeerKey, PeerReport>,
    /// Entries keep their index, which the lines refer to.
    sums: IndexMap<EndpointKey, EndpointSum>,
    /// Number of reports so far.
    count: u64,
    oldest_ms: u64,
    newest_ms: u64,
}

/// Maximum number of sums; larger than any fleet. Beyond it, those without reports are removed.
const MAX_SUMS: usize = 16_384;

impl ReportedLoad {
    /// Applies a peer's report, which replaces its previous one, and removes those that are as old
    /// as `max_age_ms`. Of several lines for one endpoint the last one counts.
    pub fn apply(&mut self, peer: PeerKey, lines: &[LoadLine], max_age_ms: u64, now: Now) {
        if now.since_ms(self.oldest_ms) >= max_age_ms {
            self.retain(|_, report| now.since_ms(report.at_ms) < max_age_ms);
        }
        self.count += 1;
        let report = self.peers.entry(peer).or_default();
        let sums = &mut self.sums;
        for (index, line) in report.lines.drain(..) {
            sums[index].subtract(&line, report.at_ms);
        }
        report.at_ms = now.steady_ms;
        for line in lines {
            let entry = sums.entry(line.endpoint);
            let index = entry.index();
            let sum = entry.or_default();
            sum.add(line, report.at_ms);
            let (last_report, position) = sum.last_line;
            if last_report == self.count {
                let earlier = std::mem::replace(&mut report.lines[position].1, *line);
                sum.subtract(&earlier, report.at_ms);
            } else {
                sum.last_line = (self.count, report.lines.len());
                report.lines.push((index, *line));
            }
        }
        if self.sums.len() > MAX_SUMS {
            self.remove_unused_sums();
        }
        self.update_times();
    }

    /// Removes the reports of some peers.
    pub fn remove(&mut self, is_removed: impl Fn(PeerKey) -> bool) {
        self.retain(|peer, _| !is_removed(peer));
        self.update_times();
    }

    /// The lines of a peer's report; `None` if there is none or it is as old as `max_age_ms`.
    pub fn lines(
        &self,
        peer: PeerKey,
        max_age_ms: u64,
        now: Now,
    ) -> Option<impl Iterator<Item = &LoadLine>> {
        let report = self.peers.get(&peer)?;
        let is_current = now.since_ms(report.at_ms) < max_age_ms;
        is_current.then(|| report.lines.iter().map(|(_, line)| line))
    }

    /// The load of an endpoint in the reports that are younger than `max_age_ms`.
    pub fn sum(&self, endpoint: EndpointKey, max_age_ms: u64, now: Now) -> ReportedSum {
        let Some((index, _, sum)) = self.sums.get_full(&endpoint) else {
            return ReportedSum::default();
        };
        if now.since_ms(self.oldest_ms) < max_age_ms && self.newest_ms <= now.steady_ms {
            let all_at_now = u128::from(sum.waiting_tokens) * u128::from(now.steady_ms);
            return ReportedSum {
                waiting_tokens: sum.waiting_tokens,
                token_age_ms: all_at_now - sum.token_at_ms,
                in_flight: sum.in_flight,
                memory_tokens: sum.memory_tokens,
            };
        }
        // Some reports have expired and no other one has arrived since.
        let mut total = ReportedSum::default();
        for report in self.peers.values() {
            let age_ms = now.since_ms(report.at_ms);
            if age_ms >= max_age_ms {
                continue;
            }
            if let Some((_, line)) = report.lines.iter().find(|(sum, _)| *sum == index) {
                let waiting_tokens = u64::from(line.waiting_tokens);
                total.waiting_tokens += waiting_tokens;
                total.token_age_ms += u128::from(waiting_tokens) * u128::from(age_ms);
                total.in_flight += u64::from(line.in_flight);
                total.memory_tokens += u64::from(line.memory_tokens);
            }
        }
        total
    }

    fn retain(&mut self, is_kept: impl Fn(PeerKey, &PeerReport) -> bool) {
        let sums = &mut self.sums;
        self.peers.retain(|peer, report| {
            let is_kept = is_kept(*peer, report);
            if !is_kept {
                for (index, line) in &report.lines {
                    sums[*index].subtract(line, report.at_ms);
                }
            }
            is_kept
        });
    }

    fn remove_unused_sums(&mut self) {
        self.sums.clear();
        for report in self.peers.values_mut() {
            for (index, line) in &mut report.lines {
                let entry = self.sums.entry(line.endpoint);
                *index = entry.index();
                entry.or_default().add(line, report.at_ms);
            }
        }
    }

    fn update_times(&mut self) {
        let times = self.peers.values().map(|report| report.at_ms);
        let oldest_ms = times.clone().min();
        // Without reports nothing expires.
        self.oldest_ms = oldest_ms.unwrap_or(u64::MAX);
        self.newest_ms = times.max().unwrap_or_default();
    }
}
