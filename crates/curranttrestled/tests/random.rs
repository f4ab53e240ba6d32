//! A randomised run: kills, pauses, cuts, outages, lost answers, silent connections, crashes
//! and racing operators under load, with every promise checked against what the stand-ins
//! really did.
//!
//! A long run by command:
//!
//! ```sh
//! CURRANTTRESTLE_RANDOM_SEED=7 CURRANTTRESTLE_RANDOM_SECONDS=600 \
//!     cargo test --locked -p curranttrestled --test random -- --nocapture
//! ```
//!
//! The seed fixes the faults and their order; the interleaving of processes differs each time.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use indexmap::IndexMap;
use support::chaos::ChaosRun;
use support::client::{Reply, ask, get_json};
use support::fleet::{Fleet, FleetPlan, TOKEN, key_of, status, truth, wait_for};
use support::mix::{Addresses, Mix, Told};

/// The seed of the run in CI.
const CI_SEED: u64 = 20_261_204;
/// The length of the run in CI.
const CI_SECONDS: u64 = 12;
/// The time between two looks at the routers.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// Callers that book, and callers that ask models.
const BOOKING_CALLERS: usize = 6;
const ASKING_CALLERS: usize = 6;

fn from_environment(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| value.parse().expect("a number is wanted"))
}

fn plan() -> FleetPlan {
    FleetPlan {
        engines: 2,
        slots: 4,
        service_arguments: vec!["--work-ms", "60"],
        ..FleetPlan::default()
    }
}

/// Looks at all routers until told to stop: none goes back to an older sheet.
fn watch_sheets(addresses: &Addresses, stop: &AtomicBool) {
    let mut seen: IndexMap<(String, u64), u64> = IndexMap::new();
    while !stop.load(Ordering::Relaxed) {
        for operators in addresses.operators() {
            let Some((run, number)) = look(operators) else {
                continue;
            };
            let before = seen.entry(run.clone()).or_default();
            assert!(
                number >= *before,
                "{run:?} went from sheet {before} to {number}"
            );
            *before = number;
        }
        std::thread::sleep(LOOK_INTERVAL);
    }
}

/// The run of a router and its sheet; none while it does not answer.
fn look(operators: SocketAddr) -> Option<((String, u64), u64)> {
    // A paused router accepts connections and says nothing.
    const LOOK_TIMEOUT: Duration = Duration::from_secs(1);
    let status = smol::block_on(futures_lite::future::or(
        get_json(operators, "/v1/status", TOKEN),
        async {
            smol::Timer::after(LOOK_TIMEOUT).await;
            serde_json::Value::Null
        },
    ));
    let name = status["instance"].as_str()?.to_owned();
    let number = status["sheet_number"].as_u64()?;
    Some(((name, status["incarnation"].as_u64()?), number))
}

/// How often each key ran, over all services.
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

/// How often each request was admitted, over all engines.
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

fn is_told(replies: &[Reply], outcome: &str) -> bool {
    replies.iter().any(|reply| reply.outcome == outcome)
}

fn assert_bookings(fleet: &Fleet, told: &Told) {
    let runs = runs_by_key(fleet);
    let bookings = told.bookings.lock().unwrap();
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
                "{booking} was answered and did not run: {replies:?}"
            );
            let same = answered.iter().all(|reply| reply.body == first.body);
            assert!(same, "{booking} has two answers: {replies:?}");
            counts[0] += 1;
        } else if is_told(replies, "unknown") {
            counts[1] += 1;
        } else if replies.iter().all(|reply| reply.outcome == "not-run") {
            assert_eq!(ran, 0, "{booking} was refused and ran: {replies:?}");
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

/// No request that a router says it refused without a run was admitted by an engine.
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
                assert_eq!(ran, 0, "{} refused and ran {request}", router.name);
            }
        }
    }
    println!("refused requests in the events of routers {refused}");
    assert!(matched > 0, "no event names a request that ran");
}

fn assert_sound(fleet: &Fleet, accepted_number: u64) {
    for router in &fleet.routers {
        wait_for(
            &format!("sheet {accepted_number} at {}", router.name),
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
        "{digests:?}"
    );
    for router in &fleet.routers {
        let key = key_of("auditor");
        let asking = ask(router.callers(), &key, "draft-report", "at the end");
        let answer = smol::block_on(asking);
        assert!(answer.done, "{}: {answer:?}", router.name);
    }
}

#[test]
fn promises_hold_under_random_faults() {
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
    let mix = Mix::start(
        &addresses,
        &key_of("roofer"),
        BOOKING_CALLERS,
        ASKING_CALLERS,
        seed,
    );
    let mut chaos = ChaosRun::new(&mut fleet, addresses, seed);
    chaos.run(Duration::from_secs(seconds));
    let accepted_number = chaos.accepted_number;
    let told = mix.stop();
    assert_sound(&fleet, accepted_number);
    stop_watching.store(true, Ordering::Relaxed);
    watching
        .join()
        .expect("a router went back to an older sheet");
    println!(
        "prompts answered {} failed {}",
        told.answered.load(Ordering::Relaxed),
        told.failed.load(Ordering::Relaxed)
    );
    assert!(
        told.answered.load(Ordering::Relaxed) > 0,
        "no prompt was answered"
    );
    assert_bookings(&fleet, &told);
    assert_refused_did_not_run(&fleet);
}
