//! Membership over a faulty network, compared with a naive version that sends heartbeats between
//! all routers.

mod membership_support;
mod support;

use curranttrestle::protocol::peer::MemberStatus;
use proptest::prelude::*;

use membership_support::Fleet;
use support::deterministic_runner;

/// Time within which all routers of a new fleet must know each other.
const JOIN_LIMIT_MS: u64 = 30_000;
/// Longest time until a started router's first tick.
const START_LIMIT_MS: u64 = 1_000;
/// Time within which the routers' views must converge once the cause of a difference has ended.
const CONVERGENCE_LIMIT_MS: u64 = 5_000;
/// Budget for all control traffic that a router sends.
const CONTROL_BYTES_PER_S: u64 = 8_000;

/// Starts a fleet and runs it until all routers know each other.
fn converged_fleet(routers: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(routers, seed);
    let joined_ms = fleet.run_until_converged(JOIN_LIMIT_MS);
    assert!(
        joined_ms.is_some(),
        "{routers} routers did not all join within {JOIN_LIMIT_MS} ms"
    );
    fleet
}

#[test]
fn all_routers_detect_a_dead_router_within_seconds() {
    for (routers, limit_ms) in [(6, 8_000), (24, 9_000), (96, 10_000)] {
        check_death_detection(&mut converged_fleet(routers, 1), limit_ms);
    }
}

#[test]
fn control_traffic_stays_low_at_each_fleet_size() {
    for routers in [6, 24, 96] {
        check_control_traffic(&mut converged_fleet(routers, 2));
    }
}

#[test]
fn a_briefly_paused_router_refutes_before_it_is_declared_dead() {
    for routers in [6, 24, 96] {
        check_short_pause(&mut converged_fleet(routers, 10));
    }
}

/// All checks share one run of the largest fleet, because it takes long to run.
#[test]
fn a_fleet_of_350_routers_meets_the_same_limits() {
    let mut fleet = converged_fleet(350, 1);
    check_control_traffic(&mut fleet);
    check_short_pause(&mut fleet);
    check_death_detection(&mut fleet, 12_000);
}

fn check_death_detection(fleet: &mut Fleet, limit_ms: u64) {
    let routers = fleet.nodes.len();
    fleet.run_until(fleet.now_ms + 2_000);
    fleet.kill(routers - 1);
    let known_ms = fleet.run_until_converged(limit_ms);
    println!("routers={routers} death_known_ms={known_ms:?}");
    assert!(known_ms.is_some(), "{routers} routers");
}

fn check_control_traffic(fleet: &mut Fleet) {
    const SPAN_S: u64 = 20;
    let routers = fleet.nodes.len() as u64;
    let join_bytes = fleet.sent_bytes().iter().sum::<u64>() / routers;
    // Excludes the updates of the start, which are still being disseminated.
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
    assert!(
        most < CONTROL_BYTES_PER_S / 4,
        "{routers} routers: {most} bytes per second"
    );
}

fn check_short_pause(fleet: &mut Fleet) {
    let routers = fleet.nodes.len();
    fleet.run_until(fleet.now_ms + 10_000);
    fleet.pause(5, fleet.now_ms + 3_000);
    fleet.run_until(fleet.now_ms + 15_000);
    let deaths = fleet.deaths_of(5);
    println!("routers={routers} false_deaths={deaths}");
    assert_eq!(deaths, 0, "{routers} routers");
    assert!(fleet.has_converged());
}

#[test]
fn a_false_suspicion_is_refuted() {
    for routers in [6, 24] {
        let mut fleet = converged_fleet(routers, 3);
        fleet.run_until(fleet.now_ms + 10_000);
        fleet.send_status(2, 5, MemberStatus::Suspect);
        fleet.run_until(fleet.now_ms + 15_000);
        assert_eq!(fleet.deaths_of(5), 0, "{routers} routers");
        for (router, node) in fleet.running().filter(|(router, _)| *router != 5) {
            let status = node.status_of(5);
            assert_eq!(
                status,
                Some(MemberStatus::Alive),
                "{routers} routers, status at router {router}"
            );
        }
    }
}

#[test]
fn routers_suspected_by_one_that_could_not_send_refute_in_time() {
    for routers in [6, 24, 96] {
        let mut fleet = converged_fleet(routers, 3);
        fleet.run_until(fleet.now_ms + 10_000);
        for other in 0..routers {
            fleet.network.blocked_links.insert((2, other));
        }
        fleet.run_until(fleet.now_ms + 4_000);
        fleet.network.heal();
        fleet.run_until(fleet.now_ms + 15_000);
        // Router 2 itself may be declared dead: it sent nothing for long enough.
        for router in (0..routers).filter(|router| *router != 2) {
            assert_eq!(
                fleet.deaths_of(router),
                0,
                "{routers} routers, deaths of router {router}"
            );
        }
        assert!(fleet.has_converged(), "{routers} routers");
    }
}

#[test]
fn a_router_falsely_declared_dead_rejoins() {
    for routers in [6, 24, 96] {
        let mut fleet = converged_fleet(routers, 4);
        fleet.run_until(fleet.now_ms + 10_000);
        fleet.send_status(2, 5, MemberStatus::Dead);
        fleet.run_until(fleet.now_ms + 1_000);
        let back_ms = fleet.run_until_converged(CONVERGENCE_LIMIT_MS);
        println!("routers={routers} back_ms={back_ms:?}");
        assert!(back_ms.is_some(), "{routers} routers");
    }
}

#[test]
fn a_healed_partition_converges_within_seconds() {
    for routers in [6, 24, 96] {
        let mut fleet = converged_fleet(routers, 5);
        let (one, other): (Vec<usize>, Vec<usize>) =
            (0..routers).partition(|router| router % 3 == 2);
        fleet.network.partition(&one, &other);
        fleet.run_until(fleet.now_ms + 60_000);
        assert!(!fleet.has_converged(), "the partition was not detected");
        fleet.network.heal();
        let healed_ms = fleet.run_until_converged(CONVERGENCE_LIMIT_MS);
        println!("routers={routers} healed_ms={healed_ms:?}");
        assert!(healed_ms.is_some(), "{routers} routers");
    }
}

#[test]
fn neither_router_of_a_link_blocked_one_way_is_declared_dead() {
    let mut fleet = converged_fleet(6, 6);
    fleet.network.blocked_links.insert((1, 4));
    fleet.run_until(fleet.now_ms + 60_000);
    assert_eq!(fleet.deaths_of(1) + fleet.deaths_of(4), 0);
    assert!(fleet.has_converged());
}

#[test]
fn a_restarted_router_replaces_its_previous_incarnation() {
    for routers in [6, 24, 96] {
        let mut fleet = converged_fleet(routers, 7);
        for router in [0, 4, 5] {
            fleet.kill(router);
            fleet.start(router);
        }
        let known_ms = fleet.run_until_converged(START_LIMIT_MS + CONVERGENCE_LIMIT_MS);
        println!("routers={routers} restart_known_ms={known_ms:?}");
        assert!(known_ms.is_some(), "{routers} routers");
    }
}

#[test]
fn a_paused_router_rejoins_and_causes_no_false_deaths() {
    for routers in [6, 24] {
        for seed in 0..8 {
            let mut fleet = converged_fleet(routers, seed);
            fleet.run_until(fleet.now_ms + 5_000 + 97 * seed);
            // Router 4 is suspect when router 3 is paused, and runs again when router 3 resumes.
            fleet.pause(4, fleet.now_ms + 2_500);
            fleet.run_until(fleet.now_ms + 2_400);
            fleet.pause(3, fleet.now_ms + 10_000);
            fleet.run_until(fleet.now_ms + 9_999);
            let before: Vec<u32> = (0..routers).map(|router| fleet.deaths_of(router)).collect();
            fleet.run_until(fleet.now_ms + 2_000);
            assert!(
                fleet.run_until_converged(CONVERGENCE_LIMIT_MS).is_some(),
                "{routers} routers, seed {seed}: not converged"
            );
            fleet.run_until(fleet.now_ms + 10_000);
            for router in (0..routers).filter(|router| *router != 3) {
                let deaths = fleet.deaths_of(router);
                assert_eq!(
                    deaths, before[router],
                    "{routers} routers, seed {seed}, deaths of router {router}"
                );
            }
        }
    }
}

#[test]
fn a_leaving_router_is_not_live_and_not_declared_dead_while_it_runs() {
    for routers in [6, 24, 96] {
        let mut fleet = converged_fleet(routers, 8);
        fleet.leave(4);
        let known_ms = fleet.run_until_converged(CONVERGENCE_LIMIT_MS);
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
                "{routers} routers, status at router {router}"
            );
        }
    }
}

#[test]
fn a_leaving_seed_is_not_asked_for_all_members_repeatedly() {
    let mut fleet = converged_fleet(96, 9);
    fleet.leave(0);
    fleet.run_until(fleet.now_ms + 10_000);
    let before = fleet.sent_bytes()[0];
    fleet.run_until(fleet.now_ms + 20_000);
    let per_s = (fleet.sent_bytes()[0] - before) / 20;
    println!("leaving_seed_bytes_per_s={per_s}");
    assert!(per_s < CONTROL_BYTES_PER_S / 4, "{per_s} bytes per second");
}

/// A fault to inject into the fleet, or the end of one.
#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Start(usize),
    Restart(usize),
    Pause(usize, u64),
    BlockOneWay(usize, usize),
    Partition(usize),
    Loss(f64),
    Heal,
    Leave(usize),
}

/// Generates a fault and the time in milliseconds until the next one.
fn fault_strategy(routers: usize) -> impl Strategy<Value = (u64, Fault)> {
    let router = 0..routers;
    let fault = prop_oneof![
        router.clone().prop_map(Fault::Kill),
        router.clone().prop_map(Fault::Start),
        router.clone().prop_map(Fault::Restart),
        (router.clone(), 100_u64..12_000).prop_map(|(router, ms)| Fault::Pause(router, ms)),
        (router.clone(), router.clone()).prop_map(|(a, b)| Fault::BlockOneWay(a, b)),
        (1..routers).prop_map(Fault::Partition),
        (0.0..0.3).prop_map(Fault::Loss),
        Just(Fault::Heal),
        (2..routers).prop_map(Fault::Leave),
    ];
    (0_u64..8_000, fault)
}

fn apply_fault(fleet: &mut Fleet, fault: &Fault) {
    match *fault {
        Fault::Kill(router) => fleet.kill(router),
        Fault::Start(router) if fleet.nodes[router].is_some() => {}
        Fault::Start(router) | Fault::Restart(router) => fleet.start(router),
        Fault::Pause(router, pause_ms) => fleet.pause(router, fleet.now_ms + pause_ms),
        Fault::BlockOneWay(from, to) => {
            fleet.network.blocked_links.insert((from, to));
        }
        Fault::Partition(split) => {
            let (one, other): (Vec<usize>, Vec<usize>) =
                (0..fleet.nodes.len()).partition(|router| *router < split);
            fleet.network.partition(&one, &other);
        }
        Fault::Loss(loss) => fleet.network.loss = loss,
        Fault::Heal => fleet.network.heal(),
        Fault::Leave(router) => fleet.leave(router),
    }
}

/// Once arbitrary faults have ended, each router's live set equals that of the naive version. The
/// two seeds run at the end, because a router that knows no other needs one to join.
#[test]
fn all_routers_agree_with_the_naive_version_after_faults_end() {
    const ROUTERS: usize = 9;
    const SETTLE_LIMIT_MS: u64 = 15_000;
    let faults = prop::collection::vec(fault_strategy(ROUTERS), 1..16);
    deterministic_runner(200)
        .run(&(any::<u64>(), faults), |(seed, faults)| {
            let mut fleet = Fleet::new(ROUTERS, seed);
            fleet.run_until(3_000);
            for (wait_ms, fault) in &faults {
                apply_fault(&mut fleet, fault);
                fleet.run_until(fleet.now_ms + wait_ms);
            }
            fleet.network.heal();
            fleet.network.paused_until_ms.clear();
            for seed_router in 0..2 {
                if fleet.nodes[seed_router].is_none() {
                    fleet.start(seed_router);
                }
            }
            let faults_ended_ms = fleet.now_ms;
            fleet.run_until(faults_ended_ms + SETTLE_LIMIT_MS);
            for (router, node) in fleet.running() {
                let naive = node.naive.live(fleet.now_ms);
                prop_assert_eq!(node.live(), naive, "router {}", router);
            }
            fleet.run_until(fleet.now_ms + 10_000);
            prop_assert!(fleet.has_converged(), "the routers no longer agree");
            Ok(())
        })
        .unwrap();
}
