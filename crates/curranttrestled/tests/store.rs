//! Routers stay within their rate limits at the platform's store, also when an outage ends.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use support::client::call;
use support::fleet::{Fleet, FleetPlan, inject_fault, key_of, truth};
use uuid::Uuid;

/// Duration of the store outage.
const OUTAGE: Duration = Duration::from_secs(10);
/// Seconds after the outage that are checked.
const SECONDS_AFTER: u64 = 6;
/// Store calls that one router may make per second; the default of its settings.
const CALLS_PER_SECOND: u64 = 20;
/// Callers at each router that make bookings, which need the store.
const CALLERS: usize = 8;

/// Makes bookings until stopped. Returns the number of answered bookings.
fn book_until_stopped(router: std::net::SocketAddr, stop: &AtomicBool) -> u64 {
    let key = key_of("roofer");
    let mut answered = 0;
    while !stop.load(Ordering::Relaxed) {
        let headers = [
            ("Idempotency-Key", Uuid::now_v7().to_string()),
            ("Deadline-Ms", "20000".to_owned()),
        ];
        let booking = call(router, &key, "book-camera", &headers, "camera 7");
        let reply = smol::block_on(booking);
        assert_ne!(reply.outcome, "", "{reply:?}");
        answered += u64::from(reply.outcome == "answered");
    }
    answered
}

/// Returns the platform's counts for each second around the end of the outage: offset from the end
/// in seconds, calls, and calls over the rate limit.
fn series(fleet: &Fleet) -> Vec<(i64, u64, u64)> {
    let truth = truth(&fleet.platform);
    let outage = &truth["outages"][0];
    let ended_s = outage["ended_ms"].as_u64().unwrap() / 1_000;
    let seconds = truth["by_second"].as_array().unwrap();
    let around = (ended_s - 3)..=(ended_s + SECONDS_AFTER);
    seconds
        .iter()
        .filter(|second| around.contains(&second["second"].as_u64().unwrap()))
        .map(|second| {
            let counts = &second["counts"];
            let calls = ["reads", "watches", "writes"]
                .map(|kind| counts[kind].as_u64().unwrap())
                .iter()
                .sum();
            let offset = second["second"].as_i64().unwrap() - i64::try_from(ended_s).unwrap();
            (offset, calls, counts["over_rate"].as_u64().unwrap())
        })
        .collect()
}

#[test]
fn the_end_of_an_outage_causes_no_thundering_herd() {
    let fleet = Fleet::start_with_sheet("store_outage", FleetPlan::default());
    let stop = AtomicBool::new(false);
    let answered: u64 = std::thread::scope(|scope| {
        let routers = fleet.routers.iter();
        let callers: Vec<_> = routers
            .flat_map(|router| std::iter::repeat_n(router.callers(), CALLERS))
            .map(|router| {
                let stop = &stop;
                scope.spawn(move || book_until_stopped(router, stop))
            })
            .collect();
        std::thread::sleep(Duration::from_secs(3));
        let outage = serde_json::json!({ "fault": "outage", "outage": "unavailable" });
        inject_fault(&fleet.platform, &outage);
        std::thread::sleep(OUTAGE);
        inject_fault(&fleet.platform, &serde_json::json!({ "fault": "heal" }));
        std::thread::sleep(Duration::from_secs(SECONDS_AFTER));
        stop.store(true, Ordering::Relaxed);
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .sum()
    });
    let series = series(&fleet);
    println!("seconds since the end of the outage, calls, calls over the rate limit: {series:?}");
    println!("bookings answered {answered}");
    // Each router may have one call in flight when the platform starts to count a new second.
    let routers = fleet.routers.len() as u64;
    let bound = (CALLS_PER_SECOND + 1) * routers;
    for (offset, calls, over_rate) in &series {
        assert!(
            *calls <= bound,
            "{calls} calls in second {offset}: {series:?}"
        );
        assert_eq!(*over_rate, 0, "second {offset}: {series:?}");
    }
    assert!(
        series
            .iter()
            .any(|(offset, calls, _)| *offset > 0 && *calls > 0),
        "no store call was made after the outage: {series:?}"
    );
    assert!(answered > 0, "no booking was answered");
}
