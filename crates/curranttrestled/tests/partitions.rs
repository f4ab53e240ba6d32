//! Each data centre goes on serving what it can when it is cut off.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use curranttrestle_standins::relay::{Direction, RelayFault};
use support::client::{ask, book, call};
use support::fleet::{DATA_CENTRES, Fleet, FleetPlan, Router, key_of, status, wait_for};
use support::load::Load;
use uuid::Uuid;

const CUT: RelayFault = RelayFault::Cut {
    direction: Direction::Both,
};

fn in_centre<'a>(fleet: &'a Fleet, data_centre: &str) -> Vec<&'a Router> {
    fleet
        .routers
        .iter()
        .filter(|router| router.data_centre == data_centre)
        .collect()
}

fn cut_all(fleet: &Fleet, fault: RelayFault) {
    fleet.cut("rennes", "brest", fault);
    fleet.cut("brest", "vannes", fault);
    fleet.cut("rennes", "vannes", fault);
}

fn assert_serves(fleet: &Fleet) {
    let key = key_of("roofer");
    for data_centre in DATA_CENTRES {
        for router in in_centre(fleet, data_centre) {
            let answer = smol::block_on(ask(router.callers(), &key, "draft-report", "a roof"));
            assert!(answer.done, "{}: {answer:?}", router.name);
            let reply = smol::block_on(call(router.callers(), &key, "stock-lookup", &[], "rolls"));
            assert_eq!(reply.outcome, "answered", "{}: {reply:?}", router.name);
        }
    }
}

#[test]
fn cut_off_from_the_platform_bookings_wait_and_the_rest_goes_on() {
    let fleet = Fleet::start_with_sheet("partition_platform", FleetPlan::default());
    for data_centre in DATA_CENTRES {
        fleet.cut_platform(data_centre, CUT);
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
fn cut_off_from_each_other_all_serve_and_bookings_run_once() {
    let fleet = Fleet::start_with_sheet("partition_centres", FleetPlan::default());
    cut_all(&fleet, CUT);
    assert_serves(&fleet);
    let key = key_of("roofer");
    // The store is the judge between data centres that do not see each other.
    for _ in 0..3 {
        let booking = Uuid::now_v7().to_string();
        for data_centre in DATA_CENTRES {
            let router = in_centre(&fleet, data_centre)[0].callers();
            let reply = smol::block_on(book(router, &key, &booking, "camera 7"));
            assert_eq!(reply.outcome, "answered", "{data_centre}: {reply:?}");
        }
        assert_eq!(fleet.runs(&booking), 1);
    }
    cut_all(&fleet, RelayFault::Heal);
    for router in &fleet.routers {
        wait_for(&format!("all members at {}", router.name), || {
            let members = status(router)["members"].as_array().cloned();
            let alive = members.unwrap_or_default();
            let alive = alive.iter().filter(|member| member["status"] == "alive");
            alive.count() == fleet.routers.len() - 1
        });
    }
}

#[test]
fn cut_off_from_both_under_load_nothing_is_lost() {
    let fleet = Fleet::start_with_sheet("partition_both", FleetPlan::default());
    let callers: Vec<_> = fleet.routers.iter().map(Router::callers).collect();
    let load = Load::start(&callers, &key_of("roofer"), 2, 20);
    std::thread::sleep(Duration::from_secs(1));
    fleet.cut_platform("vannes", CUT);
    fleet.cut("vannes", "rennes", CUT);
    fleet.cut_one_way("brest", "vannes", CUT);
    std::thread::sleep(Duration::from_secs(5));
    let during = load.received.answered.load(Ordering::Relaxed);
    std::thread::sleep(Duration::from_secs(2));
    let after = load.received.answered.load(Ordering::Relaxed);
    assert!(after > during, "nothing was answered while cut off");
    fleet.cut("vannes", "rennes", RelayFault::Heal);
    fleet.cut("vannes", "brest", RelayFault::Heal);
    fleet.cut_platform("vannes", RelayFault::Heal);
    std::thread::sleep(Duration::from_secs(3));
    load.stop().assert_all_answered();
}
