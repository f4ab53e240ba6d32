//! Draining and stopping of endpoints.

#[path = "drain_support/mod.rs"]
mod drain_support;
#[path = "support/mod.rs"]
mod support;

use curranttrestle::coordination::drain::{DesiredState, Drain, DrainEffect};
use curranttrestle::protocol::endpoint::{Order, OrderKind, OrderResponse};
use curranttrestle::protocol::peer::PeerMessage;
use curranttrestle::protocol::platform::Version;
use curranttrestle::state::Now;
use curranttrestle::state::marks::Mark;
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use drain_support::{
    MARK_MS, ROUTERS, RUN, StopRule, endpoint, marks, options, report, run, sheet,
};
use support::{
    START_UNIX_MS, deterministic_runner, member_view, now_at, router_name, router_number,
};

#[test]
fn planned_stop_interrupts_no_requests_when_reports_lag() {
    let mut longest_ms = 0;
    for seed in 0..100 {
        let outcome = run(seed, StopRule::Drain, false);
        assert_eq!(outcome.interrupted, 0, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.arrived_late, 0, "seed {seed}: {outcome:?}");
        let stopped_ms = outcome
            .stopped_ms
            .expect("the stop order should have been sent");
        longest_ms = longest_ms.max(stopped_ms - MARK_MS);
    }
    println!("100 seeds: 0 interrupted, longest time from mark to stop {longest_ms} ms");
}

#[test]
fn planned_stop_interrupts_no_requests_when_reports_always_show_idle() {
    for seed in 0..100 {
        let outcome = run(seed, StopRule::Drain, true);
        assert_eq!(outcome.interrupted, 0, "seed {seed}: {outcome:?}");
        assert!(outcome.stopped_ms.is_some(), "seed {seed}");
    }
}

#[test]
fn stopping_on_the_first_idle_report_interrupts_requests() {
    let runs = (0..100).map(|seed| run(seed, StopRule::FirstIdleReport, false));
    let interrupted: Vec<usize> = runs.map(|outcome| outcome.interrupted).collect();
    let seeds = interrupted
        .iter()
        .filter(|interrupted| **interrupted > 0)
        .count();
    println!(
        "first idle report: {seeds} of 100 seeds interrupted {} requests",
        interrupted.iter().sum::<usize>()
    );
    assert!(seeds > 0);
}

/// A drain that owns the endpoint, long after it received the marks. `marked_run` is the run to
/// stop, or `None` for all runs.
fn owner_of_idle_endpoint(marked_run: Option<u64>) -> (Drain, Now) {
    let mut drain = Drain::new(&router_name(0), options());
    drain.apply_sheet(&sheet(), now_at(0));
    drain.tick(&[endpoint()], &member_view(0, 0..ROUTERS), now_at(0));
    drain.receive_load_report(&endpoint(), &report(RUN, START_UNIX_MS, &[]), now_at(0));
    drain.apply_marks(&marks(marked_run, Mark::Stop), Version(70), now_at(0));
    (drain, now_at(60_000))
}

fn orders(effects: &[DrainEffect]) -> Vec<&Order> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            DrainEffect::Order { order, .. } => Some(order),
            DrainEffect::Notify { .. } | DrainEffect::Leaving { .. } => None,
        })
        .collect()
}

/// Passes idle reports of `run` for ten seconds and counts the stop orders.
fn count_stop_orders(drain: &mut Drain, run: u64, from: Now) -> usize {
    (0..20)
        .map(|number| {
            let now = from.plus_ms(number * 500);
            let effects =
                drain.receive_load_report(&endpoint(), &report(run, now.unix_ms, &[]), now);
            orders(&effects).len()
        })
        .sum()
}

#[test]
fn stop_order_is_retried_while_the_endpoint_reports() {
    let (mut drain, now) = owner_of_idle_endpoint(Some(RUN));
    assert!(count_stop_orders(&mut drain, RUN, now) >= 3);
}

#[test]
fn stop_mark_of_one_run_does_not_affect_a_later_run() {
    let (mut drain, now) = owner_of_idle_endpoint(Some(RUN));
    let response = OrderResponse::OtherIncarnation {
        incarnation: RUN + 1,
    };
    drain.receive_order_response(&endpoint(), Some(&response), now);
    assert!(drain.is_usable(&endpoint()));
    assert_eq!(count_stop_orders(&mut drain, RUN + 1, now), 0);
    // Delayed reports of the earlier run change nothing.
    assert_eq!(count_stop_orders(&mut drain, RUN, now.plus_ms(20_000)), 0);
    assert!(drain.is_usable(&endpoint()));
}

#[test]
fn mark_of_all_runs_also_stops_later_runs() {
    let (mut drain, now) = owner_of_idle_endpoint(None);
    drain.observe_run(&endpoint(), RUN + 1, now);
    assert!(!drain.is_usable(&endpoint()));
    assert!(count_stop_orders(&mut drain, RUN + 1, now) > 0);
}

#[test]
fn orders_are_sent_until_reports_match_the_desired_state() {
    let (mut drain, _) = owner_of_idle_endpoint(Some(RUN - 1));
    let desired = |model: &str, fencing| DesiredState {
        model: Some(model.to_owned()),
        role: None,
        fencing,
    };
    drain.set_desired(&endpoint(), desired("drafts-2", 80));
    drain.set_desired(&endpoint(), desired("drafts-0", 79));
    let first = drain.receive_load_report(
        &endpoint(),
        &report(RUN, START_UNIX_MS + 10, &[]),
        now_at(10),
    );
    let load = OrderKind::Load {
        model: String::from("drafts-2"),
    };
    assert_eq!(
        (&orders(&first)[0].kind, orders(&first)[0].fencing),
        (&load, 80)
    );
    // A report taken before the order does not show its effect; a later one does.
    let old =
        drain.receive_load_report(&endpoint(), &report(RUN, START_UNIX_MS, &[]), now_at(5_000));
    assert!(orders(&old).is_empty());
    let late = drain.receive_load_report(
        &endpoint(),
        &report(RUN, START_UNIX_MS + 20, &[]),
        now_at(5_000),
    );
    assert_eq!(orders(&late).len(), 1);
    let mut matching = report(RUN, START_UNIX_MS + 9_000, &[]);
    matching.model = String::from("drafts-2");
    assert!(orders(&drain.receive_load_report(&endpoint(), &matching, now_at(9_000))).is_empty());
}

/// What one router learns in the comparison with the reference.
#[derive(Clone, Debug)]
enum Fact {
    Run(u64),
    Listed(bool),
    Draining,
}

fn fact() -> impl Strategy<Value = (usize, Fact)> {
    let fact = prop_oneof![
        (1..4_u64).prop_map(Fact::Run),
        any::<bool>().prop_map(Fact::Listed),
        Just(Fact::Draining),
    ];
    (0..ROUTERS, fact)
}

/// Despite message loss, gossip brings all routers to the state of one router that knows all facts.
#[test]
fn gossip_converges_to_the_state_of_a_router_with_all_facts() {
    let facts = prop::collection::vec(fact(), 1..12);
    deterministic_runner(256)
        .run(&(facts, any::<u64>()), |(facts, seed)| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut drains: Vec<Drain> = (0..ROUTERS)
                .map(|router| Drain::new(&router_name(router), options()))
                .collect();
            let mut reference = Drain::new(&router_name(ROUTERS), options());
            let mut now = now_at(0);
            for (router, fact) in facts {
                now = now.plus_ms(10);
                apply_fact(&mut drains[router], &fact, now);
                apply_fact(&mut reference, &fact, now);
                exchange(&mut drains, now, &mut rng, 0.0);
            }
            for _ in 0..30 {
                now = now.plus_ms(1_000);
                exchange(&mut drains, now, &mut rng, 0.3);
            }
            for drain in &drains {
                prop_assert_eq!(
                    drain.is_usable(&endpoint()),
                    reference.is_usable(&endpoint())
                );
            }
            Ok(())
        })
        .unwrap();
}

fn apply_fact(drain: &mut Drain, fact: &Fact, now: Now) {
    match fact {
        Fact::Run(run) => drain.observe_run(&endpoint(), *run, now),
        Fact::Listed(true) => drain.apply_instance_list(&[endpoint()], now),
        Fact::Listed(false) => drain.apply_instance_list(&[], now),
        Fact::Draining => {
            let mut report = report(1, now.unix_ms, &[]);
            report.draining = true;
            drain.receive_load_report(&endpoint(), &report, now)
        }
    };
}

fn exchange(drains: &mut [Drain], now: Now, rng: &mut ChaCha8Rng, loss: f64) {
    for router in 0..ROUTERS {
        for effect in drains[router].tick(&[], &member_view(router, 0..ROUTERS), now) {
            let DrainEffect::Notify { to, message } = effect else {
                continue;
            };
            let receiver = router_number(&to);
            if let PeerMessage::EndpointNotices(notices) = message
                && !rng.random_bool(loss)
            {
                drains[receiver].receive_notices(&router_name(router), &notices, now);
            }
        }
    }
}
