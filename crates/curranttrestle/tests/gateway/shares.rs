use curranttrestle::coordination::gateway::shares::{
    ShareOptions, ShareStatus, ShareTracker, fair_level,
};
use indexmap::IndexMap;
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::support::at;

/// The load of a day on which one customer sends many times its usual: without the rule the
/// engines serve in proportion to what is asked.
#[test]
fn a_flood_is_held_to_its_fair_share_and_nobody_else_is_touched() {
    let tokens_per_s = 360_000;
    let mut tracker = ShareTracker::new(ShareOptions::default());
    let mut served = [0_u64; 4];
    // Three customers ask for 60,000 tokens a second each, the flood for 600,000. What they
    // get is counted over two windows, once a whole window was seen.
    for step in 0..1_200_u64 {
        let now = at(step * 10);
        for (customer, tokens) in [("a", 600), ("b", 600), ("c", 600), ("flood", 6_000)] {
            tracker.record_requested(customer, tokens, now);
            if tracker.status(customer, tokens_per_s, now) == ShareStatus::Within {
                tracker.record_admitted(customer, tokens, now);
                let index = ["a", "b", "c", "flood"]
                    .iter()
                    .position(|name| *name == customer);
                served[index.unwrap()] += if step >= 400 { tokens } else { 0 };
            }
        }
    }
    assert_eq!(&served[..3], [480_000, 480_000, 480_000]);
    // The rest of 360,000 tokens a second over the eight seconds.
    let rest = 360_000 * 8 - 3 * 480_000;
    assert!(
        served[3] <= rest + 6_000,
        "the flood got {} of {rest}",
        served[3]
    );
    assert!(
        served[3] * 10 >= rest * 9,
        "capacity was left idle: {}",
        served[3]
    );
}

/// The first seconds of `mix --seed 366864702838` on the second site: the engines serve less
/// than their nominal rate, so the sum of what is asked never passes the nominal one.
#[test]
fn a_flood_is_held_back_also_where_engines_serve_less_than_their_nominal_rate() {
    let nominal_per_s = 540_000;
    let served_per_ms = 300.0;
    let mut tracker = ShareTracker::new(ShareOptions::default());
    let (mut queued, mut served) = (0.0_f64, [0.0_f64; 2]);
    for step in 0..6_000_u64 {
        let now = at(step);
        queued = (queued - served_per_ms).max(0.0);
        for (index, (customer, tokens, gap)) in [("small", 3_000, 27), ("flood", 3_000, 8)]
            .into_iter()
            .enumerate()
        {
            if step % gap != 0 {
                continue;
            }
            tracker.record_requested(customer, tokens, now);
            // The queue that each is allowed, in milliseconds of work.
            let allowed_ms = match tracker.status(customer, nominal_per_s, now) {
                ShareStatus::Within => 300.0,
                ShareStatus::Over { .. } => 50.0,
            };
            if queued / served_per_ms <= allowed_ms {
                tracker.record_admitted(customer, tokens, now);
                #[expect(clippy::cast_precision_loss)]
                let tokens = tokens as f64;
                queued += tokens;
                served[index] += tokens;
            }
        }
    }
    let asked = 6_000.0 / 27.0 * 3_000.0;
    assert!(served[0] > asked * 0.9, "got {} of {asked}", served[0]);
    assert!(
        served[0] + served[1] > served_per_ms * 6_000.0 * 0.95,
        "{served:?}"
    );
}

#[test]
fn reports_of_peers_count_until_they_are_old() {
    let mut local = ShareTracker::new(ShareOptions::default());
    let mut remote = ShareTracker::new(ShareOptions::default());
    remote.record_requested("flood", 1_000_000, at(0));
    remote.record_admitted("flood", 100_000, at(0));
    local.record_requested("flood", 1_000, at(0));
    assert_eq!(local.status("flood", 10_000, at(0)), ShareStatus::Within);
    local.report_received(1, remote.report(at(0)), at(100));
    assert!(is_over_share(&local, "flood", at(100)));
    assert_eq!(
        local.status("flood", 10_000, at(2_100)),
        ShareStatus::Within
    );
}

/// The sum of the reports is kept, not made anew; it must be what the reports say, whatever
/// the order in which they come, are replaced and grow old.
#[test]
fn the_sum_of_the_reports_is_that_of_those_in_force() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut tracker = ShareTracker::new(ShareOptions::default());
    let customers = ["a", "b", "c", "d"];
    let mut latest: IndexMap<u64, (u64, [u64; 4])> = IndexMap::new();
    let mut now_ms = 0;
    for _ in 0..2_000 {
        now_ms += random.random_range(0..400);
        let peer = random.random_range(0..9);
        let mut remote = ShareTracker::new(ShareOptions::default());
        let asked = std::array::from_fn(|_| random.random_range(0..3) * 100);
        for (customer, tokens) in customers.iter().zip(asked) {
            remote.record_requested(customer, tokens, at(now_ms));
        }
        tracker.report_received(peer, remote.report(at(now_ms)), at(now_ms));
        latest.insert(peer, (now_ms, asked));
        now_ms += random.random_range(0..1_000);
        for (index, customer) in customers.into_iter().enumerate() {
            let in_force = latest.values().filter(|(at_ms, _)| now_ms - at_ms < 2_000);
            let sum: u64 = in_force.map(|(_, asked)| asked[index]).sum();
            #[expect(clippy::cast_precision_loss)]
            let sum = sum as f64;
            let (asked, admitted) = tracker.window(customer, at(now_ms));
            assert!((asked - sum).abs() < 0.5, "{customer}: {asked} of {sum}");
            assert!(admitted.abs() < 0.5);
        }
    }
}

#[test]
fn what_was_asked_before_the_window_is_forgotten() {
    let mut tracker = ShareTracker::new(ShareOptions::default());
    tracker.record_requested("a", 1_000_000, at(0));
    tracker.record_admitted("a", 1_000_000, at(0));
    assert!(is_over_share(&tracker, "a", at(3_000)));
    assert_eq!(tracker.status("a", 10_000, at(4_100)), ShareStatus::Within);
    assert!(tracker.report(at(4_100)).is_empty());
}

fn is_over_share(tracker: &ShareTracker, customer: &str, now: curranttrestle::state::Now) -> bool {
    matches!(
        tracker.status(customer, 10_000, now),
        ShareStatus::Over { .. }
    )
}

/// Seconds 13 to 19 of `mix --seed 35672245681` on the first site: two floods, both beyond
/// their share. One comes through one gateway and finds its few engines busy, the other
/// through nine and finds idle moments, here as a chance of one in three each millisecond.
#[test]
fn two_floods_that_are_both_beyond_their_share_get_about_the_same() {
    let served_per_ms = 300.0;
    let mut tracker = ShareTracker::new(ShareOptions::default());
    let (mut queued, mut served) = (0.0_f64, [0.0_f64; 2]);
    for step in 0..12_000_u64 {
        let now = at(step);
        queued = (queued - served_per_ms).max(0.0);
        for (index, customer) in ["one", "nine", "small"].into_iter().enumerate() {
            let is_due = if customer == "small" {
                step % 15 == 0
            } else {
                step % 9 == index as u64
            };
            if !is_due {
                continue;
            }
            tracker.record_requested(customer, 3_000, now);
            let allowed_ms = match tracker.status(customer, 540_000, now) {
                ShareStatus::Within => 400.0,
                ShareStatus::Over { ratio } => 150.0 / ratio,
            };
            // The gateways of the second flood see a shorter queue.
            let seen = if customer == "nine" {
                queued / 3.0
            } else {
                queued
            };
            if seen / served_per_ms + 10.0 <= allowed_ms {
                tracker.record_admitted(customer, 3_000, now);
                queued += 3_000.0;
                if index < 2 && step >= 6_000 {
                    served[index] += 3_000.0;
                }
            }
        }
    }
    assert!(served[0] * 2.0 > served[1], "{served:?}");
}

proptest! {
    /// Nobody gets more than it asks, all of the capacity is used where it is wanted, and
    /// who gets less than it asks gets as much as anybody.
    #[test]
    fn the_level_is_max_min_fair(
        asked in prop::collection::vec(0.0_f64..1_000.0, 1..20),
        capacity in 1.0_f64..5_000.0,
    ) {
        let level = fair_level(asked.iter().copied(), capacity);
        let total: f64 = asked.iter().sum();
        let given: f64 = asked.iter().map(|amount| amount.min(level)).sum();
        prop_assert!((given - total.min(capacity)).abs() < 1e-6);
    }
}
