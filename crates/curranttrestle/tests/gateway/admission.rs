//! Plays the load of the heaviest days against one engine that reads prompts in the order of
//! their arrival, and checks what callers get.

use curranttrestle::coordination::gateway::admission::{
    AdmissionDecision, AdmissionOptions, RefusalReason, admit,
};
use curranttrestle::coordination::gateway::placement::Choice;
use curranttrestle::coordination::gateway::shares::ShareStatus;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::support::entry;

const TARGET_MS: f64 = 500.0;
const TOKENS_PER_MS: f64 = 40.0;

fn choice(wait_ms: f64, own_ms: f64) -> Choice {
    Choice {
        entry: entry("model", 0),
        predicted_ms: wait_ms + own_ms,
        wait_ms,
        prefill_tokens: 0,
        is_full: false,
    }
}

/// What callers got: on time, late, refused.
#[derive(Debug, Default)]
struct Outcome {
    on_time: u32,
    late: u32,
    refused: u32,
}

/// Drafts with 2,890 tokens of their own come at half as much again as an engine reads.
fn simulate(decide: impl Fn(&Choice) -> AdmissionDecision) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut outcome = Outcome::default();
    let mut free_at_ms = 0.0_f64;
    let mut now_ms = 0.0;
    for _ in 0..2_000 {
        now_ms += random.random_range(0.0..2.0) * 2_890.0 / TOKENS_PER_MS / 1.5;
        let own_ms = random.random_range(500.0..5_280.0) / TOKENS_PER_MS;
        let wait_ms = (free_at_ms - now_ms).max(0.0);
        match decide(&choice(wait_ms, own_ms)) {
            AdmissionDecision::Admit => {
                free_at_ms = now_ms + wait_ms + own_ms;
                if wait_ms + own_ms <= TARGET_MS {
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
fn on_a_day_with_half_as_much_again_most_callers_are_served_on_time_or_told_at_once() {
    let options = AdmissionOptions::default();
    let controlled = simulate(|choice| admit(choice, TARGET_MS, ShareStatus::Within, &options));
    let naive = simulate(|_| AdmissionDecision::Admit);
    assert_eq!(controlled.late, 0, "{controlled:?}");
    // Two thirds is what the engine can do.
    assert!(controlled.on_time > 1_250, "{controlled:?}");
    assert!(naive.on_time < 200, "{naive:?}");
}

#[test]
fn a_refusal_says_when_the_wait_is_short_enough() {
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
        panic!("{decision:?}");
    };
    assert_eq!(reason, RefusalReason::Queue);
    let later = choice(900.0 - retry_after_ms, 100.0);
    assert_eq!(
        admit(&later, TARGET_MS, ShareStatus::Within, &options),
        AdmissionDecision::Admit
    );
}

#[test]
fn a_customer_beyond_its_share_leaves_the_queue_to_the_others() {
    let options = AdmissionOptions::default();
    let busy = choice(150.0, 75.0);
    assert_eq!(
        admit(&busy, TARGET_MS, ShareStatus::Within, &options),
        AdmissionDecision::Admit
    );
    let over_share = ShareStatus::Over { ratio: 1.0 };
    let decision = admit(&busy, TARGET_MS, over_share, &options);
    assert!(matches!(
        decision,
        AdmissionDecision::Refuse {
            reason: RefusalReason::OverShare,
            ..
        }
    ));
    // Nobody else wants an idle engine.
    let idle = choice(0.0, 75.0);
    assert_eq!(
        admit(&idle, TARGET_MS, over_share, &options),
        AdmissionDecision::Admit
    );
}

/// The first seconds of `mix --seed 838113740313` on the first site: a flood through nine
/// gateways found four times as many idle moments as one through two.
#[test]
fn a_customer_far_beyond_its_share_leaves_idle_moments_to_the_others() {
    let options = AdmissionOptions::default();
    let idle = choice(0.0, 75.0);
    let decision = |ratio| admit(&idle, TARGET_MS, ShareStatus::Over { ratio }, &options);
    assert_eq!(decision(1.2), AdmissionDecision::Admit);
    assert!(matches!(decision(4.0), AdmissionDecision::Refuse { .. }));
}

#[test]
fn an_idle_engine_takes_a_prompt_that_takes_longer_than_the_target() {
    let options = AdmissionOptions::default();
    let huge = choice(0.0, 990.0);
    assert_eq!(
        admit(&huge, TARGET_MS, ShareStatus::Within, &options),
        AdmissionDecision::Admit
    );
}
