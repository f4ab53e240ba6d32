//! Simulates peak load on one engine that prefills prompts in order of arrival, and checks how
//! many requests are served on time.

use curranttrestle::coordination::gateway::admission::{
    AdmissionDecision, AdmissionOptions, RefusalReason, admit,
};
use curranttrestle::coordination::gateway::endpoint_load::EndpointLoad;
use curranttrestle::coordination::gateway::placement::{Choice, Room};
use curranttrestle::coordination::gateway::shares::ShareStatus;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::support::entry;

const TARGET_MS: f64 = 500.0;
const TOKENS_PER_MS: f64 = 40.0;

fn choice(wait_ms: f64, prefill_ms: f64) -> Choice {
    Choice {
        entry: entry("model", 0),
        predicted_ms: wait_ms + prefill_ms,
        wait_ms,
        load: EndpointLoad::default(),
        prefill_tokens: 0,
        room: Room::Free,
    }
}

/// Requests served on time, served late and refused.
#[derive(Debug, Default)]
struct Outcome {
    on_time: u32,
    late: u32,
    refused: u32,
}

/// Prompts with 2,890 tokens of their own on average arrive at 1.5 times the engine's prefill
/// rate.
fn simulate(decide: impl Fn(&Choice) -> AdmissionDecision) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut outcome = Outcome::default();
    let mut free_at_ms = 0.0_f64;
    let mut now_ms = 0.0;
    for _ in 0..2_000 {
        now_ms += random.random_range(0.0..2.0) * 2_890.0 / TOKENS_PER_MS / 1.5;
        let prefill_ms = random.random_range(500.0..5_280.0) / TOKENS_PER_MS;
        let wait_ms = (free_at_ms - now_ms).max(0.0);
        match decide(&choice(wait_ms, prefill_ms)) {
            AdmissionDecision::Admit => {
                free_at_ms = now_ms + wait_ms + prefill_ms;
                if wait_ms + prefill_ms <= TARGET_MS {
                    outcome.on_time += 1;
                } else {
                    outcome.late += 1;
                }
            }
            AdmissionDecision::Refuse { .. } => outcome.refused += 1,
        }
    }
    outcome
}

#[test]
fn overload_is_refused_immediately_and_admitted_requests_are_on_time() {
    let options = AdmissionOptions::default();
    let controlled = simulate(|choice| admit(choice, TARGET_MS, ShareStatus::Within, &options));
    let naive = simulate(|_| AdmissionDecision::Admit);
    assert_eq!(controlled.late, 0, "{controlled:?}");
    // The engine's capacity is two thirds of the requests.
    assert!(controlled.on_time > 1_250, "{controlled:?}");
    assert!(naive.on_time < 200, "{naive:?}");
}

#[test]
fn a_refused_request_is_admitted_after_the_retry_after_time() {
    let options = AdmissionOptions::default();
    let decision = admit(
        &choice(900.0, 100.0),
        TARGET_MS,
        ShareStatus::Within,
        &options,
    );
    let AdmissionDecision::Refuse {
        reason,
        retry_after_ms,
    } = decision
    else {
        panic!("not refused: {decision:?}");
    };
    assert_eq!(reason, RefusalReason::Queue);
    let later = choice(900.0 - retry_after_ms, 100.0);
    assert_eq!(
        admit(&later, TARGET_MS, ShareStatus::Within, &options),
        AdmissionDecision::Admit
    );
}

#[test]
fn a_customer_over_its_share_is_refused_earlier_when_an_engine_is_busy() {
    let options = AdmissionOptions::default();
    let busy = choice(150.0, 75.0);
    assert_eq!(
        admit(&busy, TARGET_MS, ShareStatus::Within, &options),
        AdmissionDecision::Admit
    );
    let over_share = ShareStatus::Over {
        ratio: 1.0,
        leads: false,
    };
    let decision = admit(&busy, TARGET_MS, over_share, &options);
    assert!(matches!(
        decision,
        AdmissionDecision::Refuse {
            reason: RefusalReason::OverShare,
            ..
        }
    ));
    // No other request is waiting for an idle engine.
    let idle = choice(0.0, 75.0);
    assert_eq!(
        admit(&idle, TARGET_MS, over_share, &options),
        AdmissionDecision::Admit
    );
}

/// Guards against a flood through nine gateways getting four times as many idle slots as a flood
/// through two gateways. Seen in the first seconds of a generated day of the deployment
/// `armor-pret`, played on the bench of the users' platform:
/// `fleetbench replay armor-pret "mix --seed 838113740313"`.
#[test]
fn a_customer_far_over_its_share_is_refused_at_an_idle_engine() {
    let options = AdmissionOptions::default();
    let idle = choice(0.0, 130.0);
    let decision = |ratio, leads| {
        let share_status = ShareStatus::Over { ratio, leads };
        admit(&idle, TARGET_MS, share_status, &options)
    };
    assert_eq!(decision(1.2, false), AdmissionDecision::Admit);
    assert!(matches!(
        decision(4.0, false),
        AdmissionDecision::Refuse { .. }
    ));
    assert!(matches!(
        decision(1.2, true),
        AdmissionDecision::Refuse { .. }
    ));
}

#[test]
fn an_idle_engine_admits_a_prompt_that_takes_longer_than_the_target() {
    let options = AdmissionOptions::default();
    let huge = choice(0.0, 990.0);
    assert_eq!(
        admit(&huge, TARGET_MS, ShareStatus::Within, &options),
        AdmissionDecision::Admit
    );
}
