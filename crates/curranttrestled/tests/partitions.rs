//! A partitioned data centre keeps serving all requests that it can serve safely.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use curranttrestle_standins::relay::{Direction, RelayFault};
use support::client::{ask, book, call};
use support::fleet::{DATA_CENTRES, Fleet, FleetPlan, Router, key_of, status, wait_for};
use support::load::Load;
use uuid::Uuid;

const PARTITION: RelayFault = RelayFault::Cut {
    direction: Direction::Both,
};

fn in_centre<'a>(fleet: &'a Fleet, data_centre: &str) -> Vec<&'a Router> {
    fleet
        .routers
        .iter()
        .filter(|router| router.data_centre == data_centre)
        .collect()
}

fn inject_between_all(fleet: &Fleet, fault: RelayFault) {
    fleet.inject_between("rennes", "brest", fault);
    fleet.inject_between("brest", "vannes", fault);
    fleet.inject_between("rennes", "vannes", fault);
}

fn assert_serves(fleet: &Fleet) {
    let key = key_of("roofer");
    for data_centre in DATA_CENTRES {
        for router in in_centre(fleet, data_centre) {
            let response = smol::block_on(ask(router.callers(), &key, "draft-report", "a roof"));
            assert!(response.done, "{}: {response:?}", router.name);
            let reply = smol::block_on(call(router.callers(), &key, "stock-lookup", &[], "rolls"));
            assert_eq!(reply.outcome, "answered", "{}: {reply:?}", router.name);
        }
    }
}

#[test]
fn without_the_platform_bookings_do_not_run_and_other_requests_are_served() {
    let fleet = Fleet::start_with_sheet("partition_platform", FleetPlan::default());
    for data_centre in DATA_CENTRES {
        fleet.inject_platform(data_centre, PARTITION);
    }
    assert_serves(&fleet);
    let headers = [
        ("Idempotency-Key", Uuid::now_v7().to_string()),
        ("Deadline-Ms", "2500".to_owned()),
    ];
    let key = key_of("roofer");
    let router = fleet.routers[0].callers();
    let reply = smol::block_on(call(router, &key, "book-camera", &headers, "camera 7"));
    assert_eq!(reply.outcome, "not-run", "{reply:?}");
    assert_eq!(fleet.runs(&headers[0].1), 0);
}

#[test]
fn partitioned_data_centres_serve_and_bookings_run_once() {
    let fleet = Fleet::start_with_sheet("partition_centres", FleetPlan::default());
    inject_between_all(&fleet, PARTITION);
    assert_serves(&fleet);
    let key = key_of("roofer");
    // Only the store can prevent a second run, because the data centres cannot reach each other.
    for _ in 0..3 {
        let booking = Uuid::now_v7().to_string();
        for data_centre in DATA_CENTRES {
            let router = in_centre(&fleet, data_centre)[0].callers();
            let reply = smol::block_on(book(router, &key, &booking, "camera 7"));
            assert_eq!(reply.outcome, "answered", "{data_centre}: {reply:?}");
        }
        assert_eq!(fleet.runs(&booking), 1);
    }
    inject_between_all(&fleet, RelayFault::Heal);
    for router in &fleet.routers {
        wait_for(
            &format!("{} to see all members as alive", router.name),
            || {
                let members = status(router)["members"].as_array().cloned();
                let alive = members.unwrap_or_default();
                let alive = alive.iter().filter(|member| member["status"] == "alive");
                alive.count() == fleet.routers.len() - 1
            },
        );
    }
}

#[test]
fn a_partition_from_platform_and_peers_under_load_loses_no_request() {
    let fleet = Fleet::start_with_sheet("partition_both", FleetPlan::default());
    let callers: Vec<_> = fleet.routers.iter().map(Router::callers).collect();
    let load = Load::start(&callers, &key_of("roofer"), 2, 20);
    std::thread::sleep(Duration::from_secs(1));
    fleet.inject_platform("vannes", PARTITION);
    fleet.inject_between("vannes", "rennes", PARTITION);
    fleet.inject_one_way("brest", "vannes", PARTITION);
    std::thread::sleep(Duration::from_secs(5));
    let during = load.received.answered.load(Ordering::Relaxed);
    std::thread::sleep(Duration::from_secs(2));
    let after = load.received.answered.load(Ordering::Relaxed);
    assert!(
        after > during,
        "no request was answered during the partition"
    );
    fleet.inject_between("vannes", "rennes", RelayFault::Heal);
    fleet.inject_between("vannes", "brest", RelayFault::Heal);
    fleet.inject_platform("vannes", RelayFault::Heal);
    std::thread::sleep(Duration::from_secs(3));
    load.stop().assert_all_answered();
}
