//! A randomised fault test. It injects kills, pauses, partitions, outages, lost responses, silent
//! connections, crashes and concurrent sheet submissions under load, and checks the reported
//! outcomes against what the stand-ins recorded.
//!
//! To start a longer run:
//!
//! ```sh
//! CURRANTTRESTLE_RANDOM_SEED=7 CURRANTTRESTLE_RANDOM_SECONDS=600 \
//!     cargo test --locked -p curranttrestled --test random -- --nocapture
//! ```
//!
//! The seed determines the random numbers. The choice of faults also depends on timing, and the
//! interleaving of processes is not deterministic.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use indexmap::IndexMap;
use support::chaos::ChaosRun;
use support::client::{Reply, ask, get_json};
use support::fleet::{Fleet, FleetPlan, TOKEN, key_of, status, truth, wait_for};
use support::mixed_load::{Addresses, MixedLoad, Outcomes};

/// Seed of the run in CI.
const CI_SEED: u64 = 20_261_204;
/// Length of the run in CI, in seconds.
const CI_SECONDS: u64 = 12;
/// Interval between two polls of the routers.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Number of callers that make bookings.
const BOOKING_CALLERS: usize = 6;
/// Number of callers that send prompts.
const ASKING_CALLERS: usize = 6;

fn from_environment(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| {
        value
            .parse()
            .expect("the environment variable holds a whole number")
    })
}

fn plan() -> FleetPlan {
    FleetPlan {
        engines: 2,
        slots: 4,
        service_arguments: vec!["--work-ms", "60"],
        ..FleetPlan::default()
    }
}

/// Polls all routers until stopped and asserts that none reverts to an older sheet.
fn watch_sheets(addresses: &Addresses, stop: &AtomicBool) {
    let mut seen: IndexMap<(String, u64), u64> = IndexMap::new();
    while !stop.load(Ordering::Relaxed) {
        for operators in addresses.operators() {
            let Some((run, number)) = poll_sheet(operators) else {
                continue;
            };
            let before = seen.entry(run.clone()).or_default();
            assert!(
                number >= *before,
                "{run:?} reverted from sheet {before} to {number}"
            );
            *before = number;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns a router's name and incarnation and its sheet number; `None` if it does not respond.
fn poll_sheet(operators: SocketAddr) -> Option<((String, u64), u64)> {
    // A paused router accepts connections and never responds.
    const POLL_TIMEOUT: Duration = Duration::from_secs(1);
    let status = smol::block_on(futures_lite::future::or(
        get_json(operators, "/v1/status", TOKEN),
        async {
            smol::Timer::after(POLL_TIMEOUT).await;
            serde_json::Value::Null
        },
    ));
    let name = status["instance"].as_str()?.to_owned();
    let number = status["sheet_number"].as_u64()?;
    Some(((name, status["incarnation"].as_u64()?), number))
}

/// Returns the number of runs of each idempotency key over all services.
fn runs_by_key(fleet: &Fleet) -> IndexMap<String, u64> {
    let mut runs = IndexMap::new();
    for service in &fleet.services {
        let truth = truth(&service.process);
        for (key, count) in truth["runs_by_key"].as_object().unwrap() {
            *runs.entry(key.clone()).or_default() += count.as_u64().unwrap();
        }
    }
    runs
}

/// Returns the number of admissions of each request over all engines.
fn runs_by_request(fleet: &Fleet) -> IndexMap<String, u64> {
    let mut runs = IndexMap::new();
    for engine in &fleet.engines {
        let truth = truth(&engine.process);
        for (request, count) in truth["runs_by_request"].as_object().unwrap() {
            *runs.entry(request.clone()).or_default() += count.as_u64().unwrap();
        }
    }
    runs
}

fn has_outcome(replies: &[Reply], outcome: &str) -> bool {
    replies.iter().any(|reply| reply.outcome == outcome)
}

fn assert_bookings(fleet: &Fleet, outcomes: &Outcomes) {
    let runs = runs_by_key(fleet);
    let bookings = outcomes.bookings.lock().unwrap();
    let mut counts = [0; 4];
    for (booking, replies) in bookings.iter() {
        let ran = runs.get(booking).copied().unwrap_or_default();
        assert!(ran <= 1, "{booking} ran {ran} times: {replies:?}");
        let answered: Vec<&Reply> = replies
            .iter()
            .filter(|reply| reply.outcome == "answered")
            .collect();
        if let Some(first) = answered.first() {
            assert_eq!(
                ran, 1,
                "{booking} was answered but did not run: {replies:?}"
            );
            let same = answered.iter().all(|reply| reply.body == first.body);
            assert!(
                same,
                "{booking} received two different responses: {replies:?}"
            );
            counts[0] += 1;
        } else if has_outcome(replies, "unknown") {
            counts[1] += 1;
        } else if replies.iter().all(|reply| reply.outcome == "not-run") {
            assert_eq!(ran, 0, "{booking} was refused but ran: {replies:?}");
            counts[2] += 1;
        } else {
            counts[3] += 1;
        }
    }
    let [answered, unknown, not_run, broken] = counts;
    println!(
        "bookings {} answered {answered} unknown {unknown} not-run {not_run} broken {broken}",
        bookings.len()
    );
    assert!(answered > 0, "no booking was answered");
}

/// Asserts that no engine admitted a request that a router reported as not run.
fn assert_refused_did_not_run(fleet: &Fleet) {
    let runs = runs_by_request(fleet);
    let mut refused = 0;
    let mut matched = 0;
    for router in &fleet.routers {
        let events = smol::block_on(get_json(router.operators(), "/v1/events", TOKEN));
        for event in events.as_array().unwrap() {
            let Some(request) = event["request"].as_str() else {
                continue;
            };
            let ran = runs.get(request).copied().unwrap_or_default();
            matched += u64::from(ran > 0);
            if event["kind"] == "refused" {
                refused += 1;
                assert_eq!(
                    ran, 0,
                    "{} reported {request} as refused, but it ran",
                    router.name
                );
            }
        }
    }
    println!("requests reported as refused {refused}");
    assert!(matched > 0, "no event matches a request that ran");
}

fn assert_consistent(fleet: &Fleet, accepted_number: u64) {
    for router in &fleet.routers {
        wait_for(
            &format!("{} to use sheet {accepted_number}", router.name),
            || status(router)["sheet_number"].as_u64() >= Some(accepted_number),
        );
        let status = status(router);
        assert_eq!(status["invariant_violations"], 0, "{status}");
    }
    let digests: Vec<String> = fleet
        .routers
        .iter()
        .map(|router| status(router)["sheet_digest"].to_string())
        .collect();
    assert!(
        digests.iter().all(|digest| *digest == digests[0]),
        "the routers use different sheets: {digests:?}"
    );
    for router in &fleet.routers {
        let key = key_of("auditor");
        let request = ask(router.callers(), &key, "draft-report", "at the end");
        let response = smol::block_on(request);
        assert!(response.done, "{}: {response:?}", router.name);
    }
}

#[test]
fn guarantees_hold_under_random_faults() {
    let seed = from_environment("CURRANTTRESTLE_RANDOM_SEED", CI_SEED);
    let seconds = from_environment("CURRANTTRESTLE_RANDOM_SECONDS", CI_SECONDS);
    println!("seed {seed} seconds {seconds}");
    let mut fleet = Fleet::start_with_sheet(&format!("random_{seed}"), plan());
    let addresses = Addresses::of(&fleet);
    let stop_watching = Arc::new(AtomicBool::new(false));
    let watching = {
        let (addresses, stop) = (addresses.clone(), stop_watching.clone());
        std::thread::spawn(move || watch_sheets(&addresses, &stop))
    };
    let load = MixedLoad::start(
        &addresses,
        &key_of("roofer"),
        BOOKING_CALLERS,
        ASKING_CALLERS,
        seed,
    );
    let mut chaos = ChaosRun::new(&mut fleet, addresses, seed);
    chaos.run(Duration::from_secs(seconds));
    let accepted_number = chaos.accepted_number;
    let outcomes = load.stop();
    assert_consistent(&fleet, accepted_number);
    stop_watching.store(true, Ordering::Relaxed);
    watching
        .join()
        .expect("no router reverts to an older sheet");
    println!(
        "prompts answered {} failed {}",
        outcomes.answered.load(Ordering::Relaxed),
        outcomes.failed.load(Ordering::Relaxed)
    );
    assert!(
        outcomes.answered.load(Ordering::Relaxed) > 0,
        "no prompt was answered"
    );
    assert_bookings(&fleet, &outcomes);
    assert_refused_did_not_run(&fleet);
}
