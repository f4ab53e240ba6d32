//! Membership over a faulty network, against a naive version with full knowledge.

mod membership_support;
mod support;

use curranttrestle::protocol::peer::MemberStatus;
use proptest::prelude::*;

use membership_support::Fleet;
use support::runner;

/// How long a fleet may take to know all its members after its start.
const JOIN_LIMIT_MS: u64 = 30_000;
/// How long a router takes at most to start.
const START_LIMIT_MS: u64 = 1_000;
/// How long routers may disagree once the network works again.
const HEAL_LIMIT_MS: u64 = 5_000;
/// The budget of all control traffic of a router.
const CONTROL_BYTES_PER_S: u64 = 8_000;

fn agreed(routers: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(routers, seed);
    let joined_ms = fleet.run_until_agreed(JOIN_LIMIT_MS);
    assert!(
        joined_ms.is_some(),
        "{routers} routers did not find each other"
    );
    fleet
}

#[test]
fn a_dead_router_is_known_by_all_within_seconds() {
    for (routers, limit_ms) in [(6, 8_000), (24, 9_000), (96, 10_000)] {
        check_death(&mut agreed(routers, 1), limit_ms);
    }
}

#[test]
fn probes_cost_little_at_each_size() {
    for routers in [6, 24, 96] {
        check_cost(&mut agreed(routers, 2));
    }
}

#[test]
fn a_router_that_paused_too_briefly_to_be_dead_refutes_in_time() {
    for routers in [6, 24, 96] {
        check_short_pause(&mut agreed(routers, 10));
    }
}

/// The largest fleet, once for all checks because it takes long to run.
#[test]
fn three_hundred_and_fifty_routers_keep_the_same_bounds() {
    let mut fleet = agreed(350, 1);
    check_cost(&mut fleet);
    check_short_pause(&mut fleet);
    check_death(&mut fleet, 12_000);
}

fn check_death(fleet: &mut Fleet, limit_ms: u64) {
    let routers = fleet.nodes.len();
    fleet.run_until(fleet.now_ms + 2_000);
    fleet.kill(routers - 1);
    let known_ms = fleet.run_until_agreed(limit_ms);
    println!("routers={routers} death_known_ms={known_ms:?}");
    assert!(known_ms.is_some(), "{routers} routers");
}

fn check_cost(fleet: &mut Fleet) {
    const SPAN_S: u64 = 20;
    let routers = fleet.nodes.len() as u64;
    let join_bytes = fleet.sent_bytes().iter().sum::<u64>() / routers;
    // The news of the start is still being spread for a while.
    fleet.run_until(fleet.now_ms + 10_000);
    let before = fleet.sent_bytes();
    fleet.run_until(fleet.now_ms + SPAN_S * 1_000);
    let after = fleet.sent_bytes();
    let spans = after.iter().zip(before);
    let per_s: Vec<u64> = spans
        .map(|(after, before)| (after - before) / SPAN_S)
        .collect();
    let most = per_s.iter().max().copied().unwrap();
    let mean = per_s.iter().sum::<u64>() / routers;
    println!(
        "routers={routers} mean_bytes_per_s={mean} most_bytes_per_s={most} \
         join_bytes_per_router={join_bytes}"
    );
    assert!(most < CONTROL_BYTES_PER_S / 4, "{routers} routers: {most}");
}

fn check_short_pause(fleet: &mut Fleet) {
    let routers = fleet.nodes.len();
    fleet.run_until(fleet.now_ms + 10_000);
    fleet.pause(5, fleet.now_ms + 3_000);
    fleet.run_until(fleet.now_ms + 15_000);
    let deaths = fleet.deaths_of(5);
    println!("routers={routers} false_deaths={deaths}");
    assert_eq!(deaths, 0, "{routers} routers");
    assert!(fleet.is_agreed());
}

#[test]
fn a_false_suspicion_is_refuted() {
    for routers in [6, 24] {
        let mut fleet = agreed(routers, 3);
        fleet.run_until(fleet.now_ms + 10_000);
        fleet.tell(2, 5, MemberStatus::Suspect);
        fleet.run_until(fleet.now_ms + 15_000);
        assert_eq!(fleet.deaths_of(5), 0, "{routers} routers");
        for (router, node) in fleet.running().filter(|(router, _)| *router != 5) {
            let status = node.status_of(5);
            assert_eq!(
                status,
                Some(MemberStatus::Alive),
                "{routers} routers, {router}"
            );
        }
    }
}

#[test]
fn those_whom_a_router_that_could_not_send_accuses_refute_in_time() {
    for routers in [6, 24, 96] {
        let mut fleet = agreed(routers, 3);
        fleet.run_until(fleet.now_ms + 10_000);
        for other in 0..routers {
            fleet.network.cuts.insert((2, other));
        }
        fleet.run_until(fleet.now_ms + 4_000);
        fleet.network.heal();
        fleet.run_until(fleet.now_ms + 15_000);
        // Router 2 itself was silent for long enough to be declared dead.
        for router in (0..routers).filter(|router| *router != 2) {
            assert_eq!(fleet.deaths_of(router), 0, "{routers} routers, {router}");
        }
        assert!(fleet.is_agreed(), "{routers} routers");
    }
}

#[test]
fn a_router_declared_dead_by_mistake_comes_back() {
    for routers in [6, 24, 96] {
        let mut fleet = agreed(routers, 4);
        fleet.run_until(fleet.now_ms + 10_000);
        fleet.tell(2, 5, MemberStatus::Dead);
        fleet.run_until(fleet.now_ms + 1_000);
        let back_ms = fleet.run_until_agreed(HEAL_LIMIT_MS);
        println!("routers={routers} back_ms={back_ms:?}");
        assert!(back_ms.is_some(), "{routers} routers");
    }
}

#[test]
fn a_healed_cut_rejoins_within_seconds() {
    for routers in [6, 24, 96] {
        let mut fleet = agreed(routers, 5);
        let (one, other): (Vec<usize>, Vec<usize>) =
            (0..routers).partition(|router| router % 3 == 2);
        fleet.network.part(&one, &other);
        fleet.run_until(fleet.now_ms + 60_000);
        assert!(!fleet.is_agreed(), "the cut was noticed");
        fleet.network.heal();
        let healed_ms = fleet.run_until_agreed(HEAL_LIMIT_MS);
        println!("routers={routers} healed_ms={healed_ms:?}");
        assert!(healed_ms.is_some(), "{routers} routers");
    }
}

#[test]
fn a_one_way_cut_between_two_routers_kills_neither() {
    let mut fleet = agreed(6, 6);
    fleet.network.cuts.insert((1, 4));
    fleet.run_until(fleet.now_ms + 60_000);
    assert_eq!(fleet.deaths_of(1) + fleet.deaths_of(4), 0);
    assert!(fleet.is_agreed());
}

#[test]
fn a_restarted_router_replaces_its_former_run() {
    for routers in [6, 24, 96] {
        let mut fleet = agreed(routers, 7);
        for router in [0, 4, 5] {
            fleet.kill(router);
            fleet.start(router);
        }
        let known_ms = fleet.run_until_agreed(START_LIMIT_MS + HEAL_LIMIT_MS);
        println!("routers={routers} restart_known_ms={known_ms:?}");
        assert!(known_ms.is_some(), "{routers} routers");
    }
}

#[test]
fn a_paused_router_comes_back_and_accuses_nobody() {
    for routers in [6, 24] {
        for seed in 0..8 {
            let mut fleet = agreed(routers, seed);
            fleet.run_until(fleet.now_ms + 5_000 + 97 * seed);
            // Router 4 is suspected when router 3 is paused, and is back when it wakes.
            fleet.pause(4, fleet.now_ms + 2_500);
            fleet.run_until(fleet.now_ms + 2_400);
            fleet.pause(3, fleet.now_ms + 10_000);
            fleet.run_until(fleet.now_ms + 9_999);
            let before: Vec<u32> = (0..routers).map(|router| fleet.deaths_of(router)).collect();
            fleet.run_until(fleet.now_ms + 2_000);
            assert!(
                fleet.run_until_agreed(HEAL_LIMIT_MS).is_some(),
                "{routers} {seed}"
            );
            fleet.run_until(fleet.now_ms + 10_000);
            for router in (0..routers).filter(|router| *router != 3) {
                let deaths = fleet.deaths_of(router);
                assert_eq!(deaths, before[router], "{routers} {seed} router {router}");
            }
        }
    }
}

#[test]
fn a_leaving_router_takes_no_part_and_is_not_declared_dead_while_it_runs() {
    for routers in [6, 24, 96] {
        let mut fleet = agreed(routers, 8);
        fleet.leave(4);
        let known_ms = fleet.run_until_agreed(HEAL_LIMIT_MS);
        println!("routers={routers} leave_known_ms={known_ms:?}");
        assert!(known_ms.is_some(), "{routers} routers");
        fleet.run_until(fleet.now_ms + 60_000);
        assert_eq!(fleet.deaths_of(4), 0, "{routers} routers");
        fleet.kill(4);
        fleet.run_until(fleet.now_ms + 20_000);
        for (router, node) in fleet.running() {
            let status = node.status_of(4);
            assert_eq!(
                status,
                Some(MemberStatus::Dead),
                "{routers} routers, {router}"
            );
        }
    }
}

#[test]
fn a_leaving_seed_is_not_asked_for_all_members_again_and_again() {
    let mut fleet = agreed(96, 9);
    fleet.leave(0);
    fleet.run_until(fleet.now_ms + 10_000);
    let before = fleet.sent_bytes()[0];
    fleet.run_until(fleet.now_ms + 20_000);
    let per_s = (fleet.sent_bytes()[0] - before) / 20;
    println!("leaving_seed_bytes_per_s={per_s}");
    assert!(per_s < CONTROL_BYTES_PER_S / 4, "{per_s} bytes per second");
}

/// One disturbance of the fleet.
#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Start(usize),
    Restart(usize),
    Pause(usize, u64),
    CutOneWay(usize, usize),
    Part(usize),
    Loss(f64),
    Heal,
    Leave(usize),
}

fn fault(routers: usize) -> impl Strategy<Value = (u64, Fault)> {
    let router = 0..routers;
    let fault = prop_oneof![
        router.clone().prop_map(Fault::Kill),
        router.clone().prop_map(Fault::Start),
        router.clone().prop_map(Fault::Restart),
        (router.clone(), 100_u64..12_000).prop_map(|(router, ms)| Fault::Pause(router, ms)),
        (router.clone(), router.clone()).prop_map(|(a, b)| Fault::CutOneWay(a, b)),
        (1..routers).prop_map(Fault::Part),
        (0.0..0.3).prop_map(Fault::Loss),
        Just(Fault::Heal),
        (2..routers).prop_map(Fault::Leave),
    ];
    (0_u64..8_000, fault)
}

fn bring_about(fleet: &mut Fleet, fault: &Fault) {
    match *fault {
        Fault::Kill(router) => fleet.kill(router),
        Fault::Start(router) if fleet.nodes[router].is_some() => {}
        Fault::Start(router) | Fault::Restart(router) => fleet.start(router),
        Fault::Pause(router, pause_ms) => fleet.pause(router, fleet.now_ms + pause_ms),
        Fault::CutOneWay(from, to) => {
            fleet.network.cuts.insert((from, to));
        }
        Fault::Part(split) => {
            let (one, other): (Vec<usize>, Vec<usize>) =
                (0..fleet.nodes.len()).partition(|router| *router < split);
            fleet.network.part(&one, &other);
        }
        Fault::Loss(loss) => fleet.network.loss = loss,
        Fault::Heal => fleet.network.heal(),
        Fault::Leave(router) => fleet.leave(router),
    }
}

/// After any faults all routers see what a naive version with full knowledge sees. A seed
/// runs at the end, as a router that knows nobody needs one.
#[test]
fn all_agree_with_a_naive_version_after_things_calm_down() {
    const ROUTERS: usize = 9;
    const CALM_LIMIT_MS: u64 = 15_000;
    let faults = prop::collection::vec(fault(ROUTERS), 1..16);
    runner(200)
        .run(&(any::<u64>(), faults), |(seed, faults)| {
            let mut fleet = Fleet::new(ROUTERS, seed);
            fleet.run_until(3_000);
            for (wait_ms, fault) in &faults {
                bring_about(&mut fleet, fault);
                fleet.run_until(fleet.now_ms + wait_ms);
            }
            fleet.network.heal();
            fleet.network.paused_until_ms.clear();
            for seed_router in 0..2 {
                if fleet.nodes[seed_router].is_none() {
                    fleet.start(seed_router);
                }
            }
            let calm_ms = fleet.now_ms;
            fleet.run_until(calm_ms + CALM_LIMIT_MS);
            for (router, node) in fleet.running() {
                let naive = node.naive.live(fleet.now_ms);
                prop_assert_eq!(node.live(), naive, "router {}", router);
            }
            fleet.run_until(fleet.now_ms + 10_000);
            prop_assert!(fleet.is_agreed(), "it stays so");
            Ok(())
        })
        .unwrap();
}
