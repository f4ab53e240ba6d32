//! The limiter of store calls and the retry budget, against naive versions.

#[path = "support/mod.rs"]
mod support;

use std::collections::VecDeque;

use curranttrestle::coordination::retry_budget::{RetryBudget, RetryBudgetOptions};
use curranttrestle::coordination::store_call_limiter::{
    CallPriority, StoreCallLimiter, StoreCallLimiterOptions,
};
use curranttrestle::protocol::platform::{CallId, StoreCall, StoreResponse, Version};
use curranttrestle::state::Now;
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use support::{deterministic_runner, now_at};

const ROUTERS: usize = 9;
const OUTAGE_MS: std::ops::Range<u64> = 5_000..15_000;
const END_MS: u64 = 30_000;
const STEP_MS: u64 = 5;

fn read(number: u64) -> StoreCall {
    StoreCall::Read {
        name: number.to_string(),
    }
}

/// Sends every call at once and retries failed calls after a fixed delay.
#[derive(Default)]
struct NaiveSender {
    retries: VecDeque<(u64, CallId, StoreCall)>,
}

impl NaiveSender {
    const RETRY_MS: u64 = 100;

    fn poll(&mut self, now: Now) -> Vec<(CallId, StoreCall)> {
        let due = self.retries.iter().filter(|call| call.0 <= now.steady_ms);
        let count = due.count();
        let calls = self.retries.drain(..count);
        calls.map(|(_, call, request)| (call, request)).collect()
    }
}

/// The number of calls that reach the store in each second, and of successful calls overall.
struct Counts {
    arrived: Vec<u64>,
    successful: u64,
}

/// Nine routers make 20 calls per second each, with a ten-second outage. Failed calls are
/// retried until they succeed.
fn outage(seed: u64, with_limiter: bool) -> Counts {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut limiters = vec![StoreCallLimiter::new(StoreCallLimiterOptions::default()); ROUTERS];
    let mut naive: Vec<NaiveSender> = (0..ROUTERS).map(|_| NaiveSender::default()).collect();
    let mut counts = Counts {
        arrived: vec![0; usize::try_from(END_MS / 1_000).unwrap()],
        successful: 0,
    };
    let mut next = 0;
    for now_ms in (0..END_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
        let now = now_at(now_ms);
        for router in 0..ROUTERS {
            if rng.random_bool(0.1) {
                next += 1;
                // If the queue is full, the caller gets an error at once.
                let _ =
                    limiters[router].submit(CallId(next), read(next), CallPriority::Claims, now);
                let call = (now_ms, CallId(next), read(next));
                naive[router].retries.push_back(call);
            }
            let calls = if with_limiter {
                limiters[router].poll(now, &mut rng)
            } else {
                naive[router].poll(now)
            };
            for (call, request) in calls {
                counts.arrived[usize::try_from(now_ms / 1_000).unwrap()] += 1;
                let is_down = OUTAGE_MS.contains(&now_ms);
                let response = if is_down {
                    StoreResponse::Unavailable
                } else {
                    StoreResponse::Absent
                };
                counts.successful += u64::from(!is_down);
                limiters[router].record_response(call, &response, now, &mut rng);
                if is_down {
                    let _ =
                        limiters[router].submit(call, request.clone(), CallPriority::Claims, now);
                    let retry_ms = now_ms + NaiveSender::RETRY_MS;
                    naive[router].retries.push_back((retry_ms, call, request));
                }
            }
        }
    }
    counts
}

#[test]
fn end_of_an_outage_causes_no_burst_of_calls() {
    let options = StoreCallLimiterOptions::default();
    let limit = (options.rate_per_s + options.burst) * ROUTERS as u64;
    for seed in 0..20 {
        let counts = outage(seed, true);
        let most = counts.arrived.iter().max().unwrap();
        assert!(*most <= limit, "seed {seed}: {most} calls in a second");
        // During the outage each router sends only occasional probes.
        let during_outage: u64 = counts.arrived[8..15].iter().sum();
        assert!(
            during_outage <= 7 * ROUTERS as u64,
            "seed {seed}: {during_outage} calls during the outage"
        );
        // The queued calls are sent within a few seconds.
        let after_outage: u64 = counts.arrived[15..24].iter().sum();
        assert!(
            after_outage > 9 * 180,
            "seed {seed}: {after_outage} calls after the outage"
        );
    }
    println!("with the limiter: {:?}", outage(0, true).arrived);
}

#[test]
fn without_the_limiter_retries_multiply_during_an_outage() {
    let counts = outage(0, false);
    println!("without the limiter: {:?}", counts.arrived);
    let options = StoreCallLimiterOptions::default();
    let limit = (options.rate_per_s + options.burst) * ROUTERS as u64;
    assert!(*counts.arrived.iter().max().unwrap() > 10 * limit);
}

#[test]
fn each_call_is_sent_once_in_priority_order_and_within_the_rate() {
    let call = (0..3_u8, any::<bool>(), 0..40_u64, 0..4_u8);
    let calls = prop::collection::vec(call, 1..200);
    deterministic_runner(128)
        .run(&calls, |calls| {
            let mut rng = ChaCha8Rng::seed_from_u64(7);
            let options = StoreCallLimiterOptions {
                rate_per_s: 100,
                burst: 5,
                ..StoreCallLimiterOptions::default()
            };
            let mut limiter = StoreCallLimiter::new(options.clone());
            let mut queued: [VecDeque<CallId>; 3] = Default::default();
            let mut sent = Vec::new();
            let mut now_ms = 0;
            for (number, (priority, is_watch, step_ms, failure)) in calls.iter().enumerate() {
                now_ms += step_ms;
                let id = CallId(number as u64);
                let request = if *is_watch {
                    let name = id.0.to_string();
                    let after = Version(0);
                    StoreCall::Watch { name, after }
                } else {
                    read(id.0)
                };
                let call_priority = [
                    CallPriority::Claims,
                    CallPriority::Config,
                    CallPriority::Background,
                ][usize::from(*priority)];
                limiter
                    .submit(id, request, call_priority, now_at(now_ms))
                    .unwrap();
                queued[usize::from(*priority)].push_back(id);
                let was_up = limiter.is_up();
                for (id, _) in limiter.poll(now_at(now_ms), &mut rng) {
                    // No call of a higher priority is queued, and calls of the same priority
                    // stay in order.
                    let queue = queued.iter_mut().find(|queue| !queue.is_empty()).unwrap();
                    if was_up {
                        prop_assert_eq!(queue.pop_front(), Some(id));
                    } else {
                        let queue = queued.iter_mut().find(|queue| queue.contains(&id));
                        queue.unwrap().retain(|other| *other != id);
                    }
                    prop_assert!(!sent.iter().any(|(_, other)| *other == id));
                    sent.push((now_ms, id));
                    let response = match failure {
                        0 => StoreResponse::Unavailable,
                        1 => StoreResponse::Lost,
                        _ => StoreResponse::Absent,
                    };
                    limiter.record_response(id, &response, now_at(now_ms), &mut rng);
                }
            }
            // No time span contains more calls than the rate and burst allow.
            for (first, (from_ms, _)) in sent.iter().enumerate() {
                for (last, (to_ms, _)) in sent.iter().enumerate().skip(first) {
                    let allowed =
                        options.burst + (to_ms - from_ms) * options.rate_per_s / 1_000 + 1;
                    prop_assert!((last - first + 1) as u64 <= allowed);
                }
            }
            // All remaining calls are sent eventually.
            for _ in 0..10_000 {
                now_ms += 10;
                for (id, _) in limiter.poll(now_at(now_ms), &mut rng) {
                    for queue in &mut queued {
                        queue.retain(|other| *other != id);
                    }
                    limiter.record_response(id, &StoreResponse::Absent, now_at(now_ms), &mut rng);
                }
            }
            prop_assert!(queued.iter().all(VecDeque::is_empty));
            prop_assert_eq!(limiter.next_poll_ms(now_at(now_ms)), None);
            Ok(())
        })
        .unwrap();
}

#[test]
fn call_without_a_response_does_not_block_the_others() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut limiter = StoreCallLimiter::new(StoreCallLimiterOptions::default());
    let mut submit = |limiter: &mut StoreCallLimiter, number, now_ms| {
        let call = CallId(number);
        limiter
            .submit(call, read(number), CallPriority::Claims, now_at(now_ms))
            .unwrap();
        limiter.poll(now_at(now_ms), &mut rng).len()
    };
    assert_eq!(submit(&mut limiter, 1, 0), 1);
    limiter.record_response(
        CallId(1),
        &StoreResponse::Unavailable,
        now_at(1),
        &mut ChaCha8Rng::seed_from_u64(7),
    );
    // The second call is the probe and gets no response.
    assert_eq!(submit(&mut limiter, 2, 1_000), 1);
    assert_eq!(submit(&mut limiter, 3, 1_100), 0);
    let poll_ms = limiter.next_poll_ms(now_at(1_100)).unwrap();
    assert_eq!(poll_ms, 11_000);
    assert_eq!(submit(&mut limiter, 4, poll_ms), 0);
    assert_eq!(submit(&mut limiter, 5, poll_ms + 500), 1);
}

#[test]
fn extra_attempts_stay_below_the_ratio_in_each_window() {
    let steps = prop::collection::vec((any::<bool>(), 0..300_u64), 1..400);
    deterministic_runner(128)
        .run(&steps, |steps| {
            let options = RetryBudgetOptions::default();
            let mut budget = RetryBudget::new(options.clone());
            // The naive version records the time of every attempt.
            let mut firsts: Vec<u64> = Vec::new();
            let mut extras: Vec<u64> = Vec::new();
            let mut now_ms = 0;
            for (is_first, step_ms) in steps {
                now_ms += step_ms;
                if is_first {
                    budget.record_first(now_at(now_ms));
                    firsts.push(now_ms);
                    continue;
                }
                if !budget.try_withdraw(now_at(now_ms)) {
                    continue;
                }
                extras.push(now_ms);
                let within = |times: &[u64], span_ms: u64| {
                    let recent = times.iter().filter(|time| *time + span_ms > now_ms);
                    u32::try_from(recent.count()).unwrap()
                };
                // The budget counts in slices of a tenth of the window.
                let slice_ms = options.window_ms / 10;
                let firsts_at_most = f64::from(within(&firsts, options.window_ms));
                let extras_at_least = f64::from(within(&extras, options.window_ms - slice_ms));
                let floor = f64::from(u32::try_from(options.min_extra_attempts).unwrap());
                prop_assert!(extras_at_least <= floor.max(options.ratio * firsts_at_most));
            }
            prop_assert_eq!(budget.granted(), extras.len() as u64);
            Ok(())
        })
        .unwrap();
}
