//! An accepted sheet is in force everywhere within seconds and never reverts.

mod support;

use std::time::{Duration, Instant};

use curranttrestle_standins::relay::{Direction, RelayFault};
use support::client::{Reply, post};
use support::fleet::{Fleet, FleetPlan, Router, TOKEN, fault, status, wait_for};

/// An accepted sheet is in force at all reachable routers within this time.
const IN_FORCE_BOUND: Duration = Duration::from_secs(5);
const CUT: RelayFault = RelayFault::Cut {
    direction: Direction::Both,
};

fn number(router: &Router) -> u64 {
    status(router)["sheet_number"].as_u64().unwrap_or_default()
}

/// A sheet that differs from all others by the name of an operation.
fn variant(fleet: &Fleet, name: &str) -> String {
    format!("{}operation,{name},model,yes,3,40\n", fleet.sheet())
}

fn submit_at(router: &Router, sheet: &str) -> Reply {
    smol::block_on(post(router.operators(), "/v1/sheets", TOKEN, sheet))
}

fn accepted_number(reply: &Reply) -> Option<u64> {
    let body: serde_json::Value = serde_json::from_str(&reply.body).unwrap_or_default();
    body["number"].as_u64().filter(|_| reply.status == 200)
}

/// Waits until `number` is in force at `routers`, and asserts that no router goes back.
fn assert_in_force(routers: &[&Router], expected: u64) {
    let started = Instant::now();
    let mut seen = vec![0; routers.len()];
    while seen.iter().any(|seen| *seen < expected) {
        assert!(
            started.elapsed() < IN_FORCE_BOUND,
            "sheet {expected} is not in force everywhere: {seen:?}"
        );
        for (seen, router) in seen.iter_mut().zip(routers) {
            let now = number(router);
            assert!(
                now >= *seen,
                "{} went back from {seen} to {now}",
                router.name
            );
            *seen = now;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn one_of_two_racing_operators_wins_and_both_are_told() {
    let fleet = Fleet::start_with_sheet("sheet_race", FleetPlan::default());
    for round in 0..5 {
        let before = number(&fleet.routers[0]);
        let racing: Vec<Reply> = std::thread::scope(|scope| {
            let threads: Vec<_> = [0, 3]
                .into_iter()
                .map(|index| {
                    let router = &fleet.routers[index];
                    let sheet = variant(&fleet, &format!("race-{round}-{index}"));
                    scope.spawn(move || submit_at(router, &sheet))
                })
                .collect();
            threads
                .into_iter()
                .map(|thread| thread.join().unwrap())
                .collect()
        });
        let numbers: Vec<u64> = racing.iter().filter_map(accepted_number).collect();
        let lost = racing.iter().filter(|reply| reply.status == 409).count();
        assert_eq!(numbers.len() + lost, 2, "{racing:?}");
        assert!(!numbers.is_empty(), "nobody won: {racing:?}");
        // When both are accepted they have different numbers, the later above the earlier.
        let newest = numbers.iter().max().copied().unwrap();
        assert_eq!(newest, before + numbers.len() as u64);
        let all: Vec<&Router> = fleet.routers.iter().collect();
        assert_in_force(&all, newest);
        let digests: Vec<String> = all
            .iter()
            .map(|router| status(router)["sheet_digest"].to_string())
            .collect();
        assert!(
            digests.iter().all(|digest| *digest == digests[0]),
            "{digests:?}"
        );
    }
}

#[test]
fn a_lost_answer_of_the_store_is_resolved() {
    let fleet = Fleet::start_with_sheet("sheet_lost_answer", FleetPlan::default());
    for round in 0..3 {
        let before = number(&fleet.routers[0]);
        fault(
            &fleet.platform,
            &serde_json::json!({ "fault": "lose-answers", "count": 1 }),
        );
        let sheet = variant(&fleet, &format!("lost-{round}"));
        let reply = submit_at(&fleet.routers[1], &sheet);
        assert_eq!(accepted_number(&reply), Some(before + 1), "{reply:?}");
        let all: Vec<&Router> = fleet.routers.iter().collect();
        assert_in_force(&all, before + 1);
    }
}

#[test]
fn an_outage_right_after_acceptance_does_not_stop_it() {
    let mut fleet = Fleet::start_with_sheet("sheet_outage", FleetPlan::default());
    let reply = submit_at(&fleet.routers[0], &variant(&fleet, "outage"));
    assert_eq!(accepted_number(&reply), Some(2), "{reply:?}");
    // At least one watcher has it; the others must get it from their peers.
    wait_for("the sheet at any router", || {
        fleet.routers.iter().any(|router| number(router) == 2)
    });
    let outage = serde_json::json!({ "fault": "outage", "outage": "unavailable" });
    fault(&fleet.platform, &outage);
    assert_in_force(&fleet.routers.iter().collect::<Vec<_>>(), 2);

    // A router that restarts without memory gets it back from its peers.
    for index in [0, 3, 5] {
        fleet.restart_router(index);
        assert_in_force(&[&fleet.routers[index]], 2);
    }
    fault(&fleet.platform, &serde_json::json!({ "fault": "heal" }));
    let reply = submit_at(&fleet.routers[0], &variant(&fleet, "after"));
    assert_eq!(accepted_number(&reply), Some(3), "{reply:?}");
    assert_in_force(&fleet.routers.iter().collect::<Vec<_>>(), 3);
}

#[test]
fn a_data_centre_that_was_cut_off_catches_up_and_never_goes_back() {
    let fleet = Fleet::start_with_sheet("sheet_cut", FleetPlan::default());
    fleet.cut_platform("vannes", CUT);
    fleet.cut("vannes", "rennes", CUT);
    fleet.cut("vannes", "brest", CUT);
    let (cut_off, reachable): (Vec<&Router>, Vec<&Router>) = fleet
        .routers
        .iter()
        .partition(|router| router.data_centre == "vannes");
    for expected in 2..5 {
        let sheet = variant(&fleet, &format!("cut-{expected}"));
        let reply = submit_at(&fleet.routers[0], &sheet);
        assert_eq!(accepted_number(&reply), Some(expected), "{reply:?}");
        assert_in_force(&reachable, expected);
    }
    assert!(cut_off.iter().all(|router| number(router) == 1));
    fleet.cut("vannes", "rennes", RelayFault::Heal);
    assert_in_force(&cut_off, 4);
    fleet.cut("vannes", "brest", RelayFault::Heal);
    fleet.cut_platform("vannes", RelayFault::Heal);
    assert_in_force(&fleet.routers.iter().collect::<Vec<_>>(), 4);
}

#[test]
fn a_bad_sheet_changes_nothing_and_names_each_place() {
    let fleet = Fleet::start_with_sheet("sheet_bad", FleetPlan::default());
    let bad = "customer,roofer,0,zz,\nnonsense\nendpoint,e,p,model,rennes,nowhere,x,yes,no\n";
    let reply = fleet.submit(bad);
    assert_eq!(reply.status, 422, "{reply:?}");
    let findings: serde_json::Value = serde_json::from_str(&reply.body).unwrap();
    let lines: Vec<u64> = findings
        .as_array()
        .unwrap()
        .iter()
        .filter_map(|finding| finding["place"]["line"].as_u64())
        .collect();
    for line in 1..=3 {
        assert!(
            lines.contains(&line),
            "line {line} has no finding: {findings}"
        );
    }
    assert!(fleet.routers.iter().all(|router| number(router) == 1));
}
