//! Compares the decisions with plain versions that walk and sort everything. Guards against sums and
//! shortcuts that change a decision.

use std::cmp::Reverse;

use curranttrestle::coordination::gateway::control::{
    Control, ControlOptions, Placement, PlacementRequest,
};
use curranttrestle::coordination::gateway::directory::endpoint_run;
use curranttrestle::coordination::gateway::endpoint_load::{
    EndpointKey, EndpointLoad, LoadLine, LoadOptions, LoadTracker,
};
use curranttrestle::coordination::gateway::outlier_detection::FailureKind;
use curranttrestle::coordination::gateway::placement::PlacementOptions;
use curranttrestle::coordination::gateway::shares::{
    CustomerKey, ShareLine, ShareOptions, ShareStatus, ShareTracker, fair_level,
};
use curranttrestle::state::Now;
use curranttrestle::state::gateway::{EndpointEntry, RequestHints};
use indexmap::IndexMap;
use proptest::collection::vec;
use proptest::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::support::{ENGINE, at, config, entry, prompt};

const ENDPOINTS: u16 = 6;
const CUSTOMERS: [&str; 5] = ["a", "b", "c", "d", "e"];
const REPORT_MAX_AGE_MS: u64 = 2_000;

fn key(index: u16) -> EndpointKey {
    EndpointKey::of(&entry("model", index).endpoint)
}

#[derive(Clone, Debug)]
enum LoadStep {
    Report(u64, Vec<(u16, u32, u16, u32)>),
    Remove(u64),
    Wait(u64),
}

fn load_step() -> impl Strategy<Value = LoadStep> {
    let line = (0..ENDPOINTS, 0..50_000_u32, 0..30_u16, 0..200_000_u32);
    prop_oneof![
        6 => (0..8_u64, vec(line, 0..8)).prop_map(|(peer, lines)| LoadStep::Report(peer, lines)),
        1 => (0..8_u64).prop_map(LoadStep::Remove),
        3 => (0..900_u64).prop_map(LoadStep::Wait),
    ]
}

/// The load of an endpoint, from all reports.
#[expect(clippy::cast_precision_loss)]
fn naive_view(
    reports: &IndexMap<u64, (Vec<LoadLine>, u64)>,
    endpoint: EndpointKey,
    now_ms: u64,
) -> EndpointLoad {
    let mut view = EndpointLoad {
        slowness: 1.0,
        ..EndpointLoad::default()
    };
    let mut token_ages = 0.0;
    for (lines, at_ms) in reports.values() {
        let age_ms = now_ms - at_ms;
        let line = lines.iter().rfind(|line| line.endpoint == endpoint);
        let Some(line) = line.filter(|_| age_ms < REPORT_MAX_AGE_MS) else {
            continue;
        };
        view.in_flight += u64::from(line.in_flight);
        view.memory_tokens += u64::from(line.memory_tokens);
        view.reported_tokens += f64::from(line.waiting_tokens);
        token_ages += f64::from(line.waiting_tokens) * age_ms as f64;
    }
    if view.reported_tokens > 0.0 {
        view.report_age_ms = token_ages / view.reported_tokens;
        let rate = LoadOptions::default().prefill_tokens_per_ms;
        let processed_tokens = view.report_age_ms * rate / view.slowness;
        view.waiting_tokens = (view.reported_tokens - processed_tokens).max(0.0);
    }
    view
}

#[derive(Clone, Debug)]
enum ShareStep {
    Request(usize, u64, bool),
    Report(u64, Vec<(usize, u32, u32)>),
    Remove(u64),
    Wait(u64),
}

fn share_step() -> impl Strategy<Value = ShareStep> {
    let line = (0..CUSTOMERS.len(), 0..9_000_u32, 0..9_000_u32);
    prop_oneof![
        6 => (0..CUSTOMERS.len(), 1..5_000_u64, any::<bool>())
            .prop_map(|(customer, tokens, admitted)| ShareStep::Request(customer, tokens, admitted)),
        4 => (0..5_u64, vec(line, 0..6)).prop_map(|(peer, lines)| ShareStep::Report(peer, lines)),
        1 => (0..5_u64).prop_map(ShareStep::Remove),
        3 => (0..900_u64).prop_map(ShareStep::Wait),
    ]
}

/// Tokens requested and admitted by customer, and the requests of this gateway with their times.
#[derive(Default)]
struct NaiveShares {
    reports: IndexMap<u64, (Vec<ShareLine>, u64)>,
    own: Vec<(usize, u64, bool, u64)>,
}

impl NaiveShares {
    #[expect(clippy::cast_precision_loss)]
    fn status(&self, customer: &str, tokens_per_s: u64, now_ms: u64) -> ShareStatus {
        let options = ShareOptions::default();
        let slice_ms = options.window_ms / 8;
        let recent = |at_ms: u64| at_ms / slice_ms + 8 > now_ms / slice_ms;
        let own: Vec<_> = self.own.iter().filter(|own| recent(own.3)).collect();
        let mut totals: IndexMap<CustomerKey, (f64, f64)> = IndexMap::new();
        for (lines, at_ms) in self.reports.values() {
            if now_ms - at_ms < options.report_max_age_ms {
                for line in lines {
                    let total = totals.entry(line.customer).or_default();
                    total.0 += f64::from(line.asked_tokens);
                    total.1 += f64::from(line.admitted_tokens);
                }
            }
        }
        for (index, tokens, is_admitted, _) in &own {
            let total = totals
                .entry(CustomerKey::of(CUSTOMERS[*index]))
                .or_default();
            total.0 += *tokens as f64;
            total.1 += if *is_admitted { *tokens as f64 } else { 0.0 };
        }
        let Some((requested, admitted)) = totals.get(&CustomerKey::of(customer)) else {
            return ShareStatus::Within;
        };
        let covered_ms = slice_ms * 7 + now_ms % slice_ms;
        let capacity = tokens_per_s as f64 * covered_ms as f64 / 1_000.0;
        let level_of = |capacity| fair_level(totals.values().map(|total| total.0), capacity);
        let nominal_level = level_of(capacity);
        let level = level_of(totals.values().map(|total| total.1).sum());
        let is_over = *admitted >= nominal_level && *requested > nominal_level
            || *admitted > level * options.overshoot_factor;
        if !is_over {
            return ShareStatus::Within;
        }
        let largest = own.iter().map(|own| own.1).max().unwrap_or_default();
        let leads = totals.values().any(|(other_requested, other_admitted)| {
            other_admitted < other_requested
                && (other_admitted + (3 * largest) as f64) * options.lead_factor
                    < other_requested.min(*admitted)
        });
        let ratio = (admitted / level.min(nominal_level).max(1.0)).max(1.0);
        ShareStatus::Over { ratio, leads }
    }
}

/// The endpoint chosen among all entries, by sorting them and with copies of the cost formula.
#[expect(clippy::cast_precision_loss)]
fn naive_choice(
    entries: &[&EndpointEntry],
    control: &Control,
    hints: &RequestHints,
    now: Now,
) -> Option<(EndpointEntry, f64)> {
    let shared = hints.shared_parts().last().unwrap();
    let mut ranked = entries.to_vec();
    ranked.sort_by_key(|entry| {
        Reverse(xxh3_64_with_seed(
            entry.endpoint.as_str().as_bytes(),
            shared.id,
        ))
    });
    let options = PlacementOptions::default();
    let load_options = LoadOptions::default();
    let costs = ranked
        .into_iter()
        .take(options.max_candidates)
        .enumerate()
        .map(|(rank, entry)| {
            let view = control.load.view(EndpointKey::of(&entry.endpoint), now);
            // Nothing is cached.
            let prefill_ms =
                |tokens: u64| tokens as f64 * view.slowness / load_options.prefill_tokens_per_ms;
            let wait_ms = view.waiting_tokens * view.slowness / load_options.prefill_tokens_per_ms;
            let all_tokens = hints.unshared_tokens() + shared.tokens;
            let predicted_ms = wait_ms + load_options.engine_base_ms + prefill_ms(all_tokens);
            let needed_tokens = hints.unshared_tokens() + hints.expected_output_tokens();
            let used_tokens = (view.memory_tokens + needed_tokens) as f64;
            let limit_tokens = ENGINE.memory_tokens as f64 * options.memory_fraction;
            let is_full = view.in_flight >= u64::from(ENGINE.slots)
                || view.in_flight > 0 && used_tokens > limit_tokens;
            let cost_ms = predicted_ms
                + prefill_ms(shared.tokens) * (options.recompute_weight - 1.0)
                + options.remote_penalty_ms
                + rank as f64 * options.rank_penalty_ms
                + if is_full { 1_000_000.0 } else { 0.0 };
            (cost_ms, entry, predicted_ms)
        });
    let best = costs.min_by(|one, other| one.0.total_cmp(&other.0));
    best.map(|(_, entry, predicted_ms)| (entry.clone(), predicted_ms))
}

proptest! {
    #[test]
    fn the_load_of_endpoints_equals_the_sum_of_all_reports(steps in vec(load_step(), 1..60)) {
        let mut tracker = LoadTracker::new(LoadOptions::default());
        let mut reports: IndexMap<u64, (Vec<LoadLine>, u64)> = IndexMap::new();
        let mut elapsed_ms = 0;
        for step in steps {
            match step {
                LoadStep::Report(peer, lines) => {
                    let lines: Vec<LoadLine> = lines
                        .into_iter()
                        .map(|(index, waiting_tokens, in_flight, memory_tokens)| LoadLine {
                            endpoint: key(index),
                            waiting_tokens,
                            in_flight,
                            memory_tokens,
                        })
                        .collect();
                    tracker.apply_report(peer, &lines, at(elapsed_ms));
                    reports.insert(peer, (lines, at(elapsed_ms).steady_ms));
                }
                LoadStep::Remove(peer) => {
                    tracker.remove_reports(|other| other == peer);
                    reports.swap_remove(&peer);
                }
                LoadStep::Wait(duration_ms) => elapsed_ms += duration_ms,
            }
            let now = at(elapsed_ms);
            for index in 0..ENDPOINTS {
                let expected = naive_view(&reports, key(index), now.steady_ms);
                prop_assert_eq!(tracker.view(key(index), now), expected);
            }
        }
    }

    #[test]
    fn the_share_status_equals_that_of_all_reports(
        steps in vec(share_step(), 1..60),
        tokens_per_s in 1..6_000_u64,
    ) {
        let mut tracker = ShareTracker::new(ShareOptions::default());
        let mut naive = NaiveShares::default();
        let mut elapsed_ms = 0;
        for step in steps {
            let now = at(elapsed_ms);
            match step {
                ShareStep::Request(customer, tokens, is_admitted) => {
                    tracker.record_requested(CUSTOMERS[customer], tokens, now);
                    if is_admitted {
                        tracker.record_admitted(CUSTOMERS[customer], tokens, now);
                    }
                    naive.own.push((customer, tokens, is_admitted, now.steady_ms));
                }
                ShareStep::Report(peer, lines) => {
                    let lines: Vec<ShareLine> = lines
                        .into_iter()
                        .map(|(customer, asked_tokens, admitted_tokens)| ShareLine {
                            customer: CustomerKey::of(CUSTOMERS[customer]),
                            asked_tokens,
                            admitted_tokens,
                        })
                        .collect();
                    tracker.apply_report(peer, lines.clone(), now);
                    naive.reports.insert(peer, (lines, now.steady_ms));
                }
                ShareStep::Remove(peer) => {
                    tracker.remove_reports(|other| other == peer);
                    naive.reports.swap_remove(&peer);
                }
                ShareStep::Wait(duration_ms) => elapsed_ms += duration_ms,
            }
            let now = at(elapsed_ms);
            for customer in CUSTOMERS {
                let expected = naive.status(customer, tokens_per_s, now.steady_ms);
                prop_assert_eq!(tracker.status(customer, tokens_per_s, now), expected);
            }
        }
    }

    #[test]
    fn the_choice_equals_that_among_all_sorted_endpoints(
        count in 0..30_u16,
        failed in vec(0..30_u16, 0..6),
        paused in vec(0..30_u16, 0..6),
        excluded in vec(0..30_u16, 0..3),
        lines in vec((0..30_u16, 0..50_000_u32, 0..70_u16), 0..20),
        part in any::<u64>(),
    ) {
        let now = at(0);
        let mut control = Control::new(ControlOptions::default());
        control.apply_config(config(1), 1, now.steady_ms);
        let entries: Vec<EndpointEntry> = (0..count).map(|index| entry("model", index)).collect();
        control.directory.replace(entries.clone(), now);
        for index in failed {
            let endpoint = entry("model", index).endpoint;
            control.record_failure(&endpoint, FailureKind::Unreachable, now);
        }
        for index in paused {
            let paused = entry("model", index);
            let run = endpoint_run(&paused.endpoint, paused.started_unix_ms);
            control.pauses.record_pause(run, 1_000, now);
        }
        let lines: Vec<LoadLine> = lines
            .into_iter()
            .map(|(index, waiting_tokens, in_flight)| LoadLine {
                endpoint: key(index),
                waiting_tokens,
                in_flight,
                memory_tokens: 1_000,
            })
            .collect();
        control.load.apply_report(1, &lines, now);
        let excluded: Vec<_> = excluded
            .into_iter()
            .map(|index| entry("model", index).endpoint)
            .collect();
        let hints = prompt(part, 3_780, 2_890);
        let config = config(1);
        let request = PlacementRequest {
            route: &config.routes[0],
            service: "model",
            customer: "",
            hints: &hints,
            excluded: &excluded,
            is_retry: false,
            // A resumed stream is never refused, so the choice is seen.
            is_resumed: true,
            required_version: None,
        };
        let usable: Vec<&EndpointEntry> = entries
            .iter()
            .filter(|entry| !excluded.contains(&entry.endpoint))
            .filter(|entry| {
                let run = endpoint_run(&entry.endpoint, entry.started_unix_ms);
                control.pauses.left_ms(run, now).is_none()
            })
            .collect();
        let healthy: Vec<&EndpointEntry> = usable
            .iter()
            .copied()
            .filter(|entry| !control.outliers.is_avoided(EndpointKey::of(&entry.endpoint), now))
            .collect();
        let entries = if healthy.is_empty() { usable } else { healthy };
        let expected = naive_choice(&entries, &control, &hints, now);
        let choice = match control.place(request, now) {
            Placement::Send(choice) => Some((choice.entry, choice.predicted_ms)),
            Placement::Refuse { .. } => None,
        };
        prop_assert_eq!(choice, expected);
    }
}
