//! Guards against taking the gateway's own scheduling delay for slow endpoints.

use curranttrestle::coordination::gateway::endpoint_load::{
    EndpointKey, LoadOptions, LoadTracker, SentRequest,
};
use curranttrestle::coordination::gateway::own_delay::OwnDelay;

use super::support::at;

/// Sends 50 requests that the endpoint answers after `service_ms`, at a gateway that notices each
/// of them `turns` times its delay later. Returns the highest slowness in between.
fn slowness(service_ms: u64, delay_ms: u64, turns: u64) -> f64 {
    let key = EndpointKey::of(&"model-1".into());
    let mut load = LoadTracker::new(LoadOptions::default());
    let mut highest = 0.0_f64;
    for attempt in 0..50 {
        let start_ms = attempt * 1_000;
        load.own_delay.expect_probe(start_ms + 1_000_000 - delay_ms);
        load.own_delay.record_probe(at(start_ms));
        let sent = SentRequest {
            prefill_tokens: 1_000,
            memory_tokens: 1_000,
            predicted_ms: 100.0,
        };
        load.record_start(attempt, key, sent, at(start_ms));
        let noticed_ms = start_ms + service_ms + turns * delay_ms;
        highest = highest.max(load.view(key, at(noticed_ms)).slowness);
        load.record_first_event(attempt, at(noticed_ms));
        load.record_end(attempt);
        highest = highest.max(load.view(key, at(noticed_ms)).slowness);
    }
    highest
}

#[test]
fn a_late_gateway_does_not_call_its_engines_slow() {
    for delay_ms in [0, 30, 100, 200] {
        for turns in 0..=3 {
            let slowness = slowness(100, delay_ms, turns);
            assert!(
                slowness <= 1.01,
                "{slowness} at {delay_ms} ms, {turns} turns"
            );
        }
    }
}

#[test]
fn a_slow_engine_is_noticed_by_a_late_gateway() {
    // The engine takes four times as long as predicted, and the gateway is 30 ms late.
    let slowness = slowness(400, 30, 3);
    assert!(slowness > 2.0, "{slowness}");
}

#[test]
fn a_late_gateway_does_not_call_its_engines_fast() {
    let key = EndpointKey::of(&"model-1".into());
    let mut load = LoadTracker::new(LoadOptions::default());
    load.own_delay.expect_probe(1_000_000 - 200);
    load.own_delay.record_probe(at(0));
    let sent = SentRequest {
        prefill_tokens: 1_000,
        memory_tokens: 1_000,
        predicted_ms: 100.0,
    };
    load.record_start(1, key, sent, at(0));
    load.record_first_event(1, at(150));
    assert!(load.view(key, at(150)).slowness >= 1.0);
}

#[test]
fn a_stall_of_the_process_does_not_make_an_engine_slow() {
    let key = EndpointKey::of(&"model-1".into());
    let mut load = LoadTracker::new(LoadOptions::default());
    let sent = SentRequest {
        prefill_tokens: 1_000,
        memory_tokens: 1_000,
        predicted_ms: 100.0,
    };
    load.own_delay.expect_probe(1_000_000 + 50);
    load.record_start(1, key, sent, at(0));
    // The process is frozen from 40 ms to 2,040 ms. The response is read before the probe runs.
    let after = at(2_040);
    assert!(load.view(key, after).slowness <= 1.0);
    load.record_first_event(1, after);
    assert!(load.view(key, after).slowness <= 1.0);
}

#[test]
fn a_timeout_is_extended_only_while_the_gateway_is_late() {
    let mut delay = OwnDelay::default();
    let due_ms = at(500).steady_ms;
    delay.expect_probe(at(490).steady_ms);
    assert!(!delay.is_timeout_certain(due_ms, at(499)));
    // Frozen until 800 ms.
    assert!(!delay.is_timeout_certain(due_ms, at(800)));
    delay.record_probe(at(800));
    delay.expect_probe(at(810).steady_ms);
    assert!(!delay.is_timeout_certain(due_ms, at(805)));
    delay.record_probe(at(810));
    assert!(delay.is_timeout_certain(due_ms, at(811)));
    // Even a gateway that stays late ends the wait.
    delay.expect_probe(at(900).steady_ms);
    assert!(delay.is_timeout_certain(due_ms, at(60_000)));
}
