//! An accepted sheet comes into force on all routers within seconds, and no router reverts to an
//! older one.

mod support;

use std::time::{Duration, Instant};

use curranttrestle_standins::relay::{Direction, RelayFault};
use support::client::{Reply, post};
use support::fleet::{Fleet, FleetPlan, Router, TOKEN, inject_fault, status, wait_for};

/// Time within which an accepted sheet comes into force on all reachable routers.
const PROPAGATION_BOUND: Duration = Duration::from_secs(5);
const PARTITION: RelayFault = RelayFault::Cut {
    direction: Direction::Both,
};

fn number(router: &Router) -> u64 {
    status(router)["sheet_number"].as_u64().unwrap_or_default()
}

/// Returns the fleet's sheet with one further operation, which makes it differ from all others.
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

/// Waits until sheet `expected` is in force on `routers` and asserts that none of them reverts.
fn assert_sheet_in_force(routers: &[&Router], expected: u64) {
    let started = Instant::now();
    let mut seen = vec![0; routers.len()];
    while seen.iter().any(|seen| *seen < expected) {
        assert!(
            started.elapsed() < PROPAGATION_BOUND,
            "sheet {expected} is not in force on all routers: {seen:?}"
        );
        for (seen, router) in seen.iter_mut().zip(routers) {
            let now = number(router);
            assert!(
                now >= *seen,
                "{} reverted from sheet {seen} to {now}",
                router.name
            );
            *seen = now;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn concurrent_submissions_are_ordered_and_both_operators_get_a_result() {
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
        assert!(
            !numbers.is_empty(),
            "no submission was accepted: {racing:?}"
        );
        // If both are accepted, their numbers are consecutive.
        let newest = numbers.iter().max().copied().unwrap();
        assert_eq!(newest, before + numbers.len() as u64);
        let all: Vec<&Router> = fleet.routers.iter().collect();
        assert_sheet_in_force(&all, newest);
        let digests: Vec<String> = all
            .iter()
            .map(|router| status(router)["sheet_digest"].to_string())
            .collect();
        assert!(
            digests.iter().all(|digest| *digest == digests[0]),
            "the routers use different sheets: {digests:?}"
        );
    }
}

#[test]
fn a_submission_succeeds_when_the_store_response_is_lost() {
    let fleet = Fleet::start_with_sheet("sheet_lost_answer", FleetPlan::default());
    for round in 0..3 {
        let before = number(&fleet.routers[0]);
        inject_fault(
            &fleet.platform,
            &serde_json::json!({ "fault": "lose-answers", "count": 1 }),
        );
        let sheet = variant(&fleet, &format!("lost-{round}"));
        let reply = submit_at(&fleet.routers[1], &sheet);
        assert_eq!(accepted_number(&reply), Some(before + 1), "{reply:?}");
        let all: Vec<&Router> = fleet.routers.iter().collect();
        assert_sheet_in_force(&all, before + 1);
    }
}

#[test]
fn an_accepted_sheet_propagates_during_a_store_outage() {
    let mut fleet = Fleet::start_with_sheet("sheet_outage", FleetPlan::default());
    let reply = submit_at(&fleet.routers[0], &variant(&fleet, "outage"));
    assert_eq!(accepted_number(&reply), Some(2), "{reply:?}");
    // At least one router has read it from the store; the others must receive it from peers.
    wait_for("the sheet to reach a router", || {
        fleet.routers.iter().any(|router| number(router) == 2)
    });
    let outage = serde_json::json!({ "fault": "outage", "outage": "unavailable" });
    inject_fault(&fleet.platform, &outage);
    assert_sheet_in_force(&fleet.routers.iter().collect::<Vec<_>>(), 2);

    // A restarted router has no stored state and receives the sheet from its peers.
    for index in [0, 3, 5] {
        fleet.restart_router(index);
        assert_sheet_in_force(&[&fleet.routers[index]], 2);
    }
    inject_fault(&fleet.platform, &serde_json::json!({ "fault": "heal" }));
    let reply = submit_at(&fleet.routers[0], &variant(&fleet, "after"));
    assert_eq!(accepted_number(&reply), Some(3), "{reply:?}");
    assert_sheet_in_force(&fleet.routers.iter().collect::<Vec<_>>(), 3);
}

#[test]
fn a_partitioned_data_centre_catches_up_and_never_reverts() {
    let fleet = Fleet::start_with_sheet("sheet_cut", FleetPlan::default());
    fleet.inject_platform("vannes", PARTITION);
    fleet.inject_between("vannes", "rennes", PARTITION);
    fleet.inject_between("vannes", "brest", PARTITION);
    let (partitioned, reachable): (Vec<&Router>, Vec<&Router>) = fleet
        .routers
        .iter()
        .partition(|router| router.data_centre == "vannes");
    for expected in 2..5 {
        let sheet = variant(&fleet, &format!("cut-{expected}"));
        let reply = submit_at(&fleet.routers[0], &sheet);
        assert_eq!(accepted_number(&reply), Some(expected), "{reply:?}");
        assert_sheet_in_force(&reachable, expected);
    }
    assert!(partitioned.iter().all(|router| number(router) == 1));
    fleet.inject_between("vannes", "rennes", RelayFault::Heal);
    assert_sheet_in_force(&partitioned, 4);
    fleet.inject_between("vannes", "brest", RelayFault::Heal);
    fleet.inject_platform("vannes", RelayFault::Heal);
    assert_sheet_in_force(&fleet.routers.iter().collect::<Vec<_>>(), 4);
}

#[test]
fn an_invalid_sheet_is_rejected_with_a_finding_for_each_line() {
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
