//! Tests of cost estimation, charging, slow-endpoint detection and hedging.
#![allow(clippy::cast_precision_loss)]

use curranttrestle::coordination::cost::{Charge, CostEstimator, CostHints, CostOptions};
use curranttrestle::coordination::slow_endpoints::{
    HedgeBudget, HedgeCandidate, HedgeOptions, HedgePolicy, SlowEndpointDetector,
    SlowEndpointOptions,
};
use curranttrestle::state::{CustomerId, EndpointId, Now, PoolId};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn runner() -> TestRunner {
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
}

fn hints(hint: f64) -> CostHints {
    CostHints {
        prior: 100.0,
        hint: Some(hint),
    }
}

/// Returns the mean absolute log error of three estimates of the cost: the estimator's, the
/// hint alone, and the plain mean of all earlier costs.
fn mean_log_errors(max_hint_error_factor: f64, bias: f64, seed: u64) -> [f64; 3] {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut estimator = CostEstimator::new(CostOptions::default());
    let customer = CustomerId::new("c0");
    let mut errors = [0.0; 3];
    let (mut sum, mut count) = (0.0, 0.0);
    for round in 0..3_000 {
        let is_straggler = rng.random_bool(0.05);
        let factor = if is_straggler {
            rng.random_range(20.0..50.0)
        } else {
            rng.random_range(0.2..1.8)
        };
        let cost: f64 = 100.0 * factor;
        let hint = cost * bias * max_hint_error_factor.powf(rng.random_range(-1.0..=1.0));
        if round >= 500 {
            let learned = estimator.expected_cost(&customer, "draft", hints(hint));
            let mean = sum / count;
            for (error, estimate) in errors.iter_mut().zip([learned, hint, mean]) {
                *error += (estimate / cost).ln().abs() / 2_500.0;
            }
        }
        estimator.record(&customer, "draft", hints(hint), cost);
        sum += cost;
        count += 1.0;
    }
    errors
}

#[test]
fn estimates_beat_the_plain_mean_and_biased_hints() {
    for seed in 1..=3 {
        let unbiased = mean_log_errors(4.0, 1.0, seed);
        let biased = mean_log_errors(2.0, 6.0, seed);
        println!("seed={seed} unbiased [learned, hint, mean]={unbiased:.2?} biased={biased:.2?}");
        assert!(unbiased[0] < unbiased[1] && unbiased[0] < unbiased[2]);
        assert!(biased[0] < 0.5 * biased[1] && biased[0] < biased[2]);
    }
}

#[test]
fn charges_end_at_the_cost_and_stay_within_the_lookahead() {
    let increments = prop::collection::vec(0.0..500.0_f64, 0..20);
    runner()
        .run(
            &(1.0..5_000.0_f64, 1.0..500.0_f64, increments),
            |(expected, lookahead, increments)| {
                let mut charge = Charge::new(expected, lookahead);
                let mut charged = charge.charged();
                let mut used = 0.0;
                for increment in increments {
                    used += increment;
                    charged += charge.progress(used);
                    prop_assert!(charged >= used - 1e-6);
                    prop_assert!(charged <= used + lookahead + 1e-6);
                }
                charged += charge.finish(used);
                prop_assert!((charged - used).abs() < 1e-6);
                Ok(())
            },
        )
        .unwrap();
}

fn pool() -> PoolId {
    PoolId::new("model")
}

fn endpoint(index: usize) -> EndpointId {
    EndpointId::new(&format!("e{index}"))
}

/// Reference implementation of the detection on a plain list of times per token.
fn reference_slow(times: &[f64], was_slow: &[bool], options: &SlowEndpointOptions) -> Vec<bool> {
    let mut sorted = times.to_vec();
    sorted.sort_by(f64::total_cmp);
    let median = sorted[(sorted.len() - 1) / 2];
    times
        .iter()
        .zip(was_slow)
        .map(|(time, slow)| {
            let factor = if *slow {
                options.recovered_factor
            } else {
                options.slow_factor
            };
            *time > median * factor
        })
        .collect()
}

#[test]
fn slow_endpoints_are_detected_and_recover() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut detector = SlowEndpointDetector::new(SlowEndpointOptions::default());
    let mut now = Now::default();
    let slowed = [3, 7];
    let (mut detected_ms, mut recovered_ms, mut false_positives) = (None, None, 0);
    for round in 0..600_u64 {
        now = now.plus_ms(20);
        let is_slowed = (100..400).contains(&round);
        for index in 0..12 {
            let factor = if is_slowed && slowed.contains(&index) {
                5.0
            } else {
                1.0
            };
            let elapsed_ms = 20.0 * factor * rng.random_range(0.7..1.3);
            detector.observe(&pool(), &endpoint(index), 1.0, elapsed_ms, now);
        }
        let slow = |index: &usize| detector.is_slow(&pool(), &endpoint(*index));
        let all_detected = slowed.iter().all(slow);
        if is_slowed && all_detected && detected_ms.is_none() {
            detected_ms = Some((round - 100) * 20);
        }
        if round >= 400 && !slowed.iter().any(slow) && recovered_ms.is_none() {
            recovered_ms = Some((round - 400) * 20);
        }
        false_positives += (0..12)
            .filter(|index| !slowed.contains(index))
            .filter(slow)
            .count();
    }
    println!("seed=1 detected after {detected_ms:?} ms, recovered after {recovered_ms:?} ms");
    assert!(detected_ms.is_some_and(|after_ms| after_ms <= 500));
    assert!(recovered_ms.is_some_and(|after_ms| after_ms <= 1_500));
    assert_eq!(false_positives, 0);
}

#[test]
fn slow_detection_matches_a_reference_implementation() {
    // Each sample lasts at least 1 s and `smoothing_ms` is 1, so the smoothed value equals the
    // latest sample.
    let rounds = prop::collection::vec(prop::collection::vec(1.0..9.0_f64, 5), 1..20);
    runner()
        .run(&rounds, |rounds| {
            let options = SlowEndpointOptions {
                smoothing_ms: 1,
                ..SlowEndpointOptions::default()
            };
            let mut detector = SlowEndpointDetector::new(options.clone());
            let mut times = Vec::new();
            let mut slow = [false; 5];
            for (round, samples) in rounds.iter().enumerate() {
                let now = Now::default().plus_ms(round as u64);
                for (index, sample) in samples.iter().enumerate() {
                    detector.observe(&pool(), &endpoint(index), 1_000.0, sample * 1_000.0, now);
                    if round == 0 {
                        times.push(*sample);
                    } else {
                        times[index] = *sample;
                    }
                    if times.len() >= options.min_peers {
                        let expected = reference_slow(&times, &slow[..times.len()], &options);
                        slow[index] = expected[index];
                    }
                    let is_slow = detector.is_slow(&pool(), &endpoint(index));
                    prop_assert_eq!(is_slow, slow[index]);
                }
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn only_short_idempotent_requests_are_hedged_within_the_budget() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut hedging = HedgePolicy::new(HedgeOptions::default());
    let mut budget = HedgeBudget::default();
    let (mut first_attempts, mut hedges) = (0, 0);
    for _ in 0..10_000 {
        first_attempts += 1;
        budget.deposit();
        let elapsed_ms = rng.random_range(10..1_000);
        let candidate = HedgeCandidate {
            idempotent: rng.random_bool(0.8),
            short: rng.random_bool(0.8),
            elapsed_ms,
            attempts: 1,
        };
        if hedging.try_hedge(&pool(), candidate, &mut budget) {
            hedges += 1;
            assert!(candidate.idempotent && candidate.short);
            assert!(hedging.delay_ms(&pool()).unwrap() < elapsed_ms);
        }
        hedging.observe(&pool(), elapsed_ms);
    }
    println!("seed=1 first_attempts={first_attempts} hedges={hedges}");
    assert!(hedges > 0);
    assert!(hedges * 100 <= first_attempts * 3);
}
