use std::net::SocketAddr;

use curranttrestle::coordination::gateway::control::{
    Control, ControlOptions, Placement, PlacementRequest,
};
use curranttrestle::coordination::gateway::directory::endpoint_run;
use curranttrestle::coordination::gateway::evacuation::{
    EvacuationChange, EvacuationOptions, EvacuationState, Evacuations, is_reader,
};
use curranttrestle::coordination::gateway::load_relay::{LivePeer, data_centre_key};
use curranttrestle::coordination::gateway::warmup::WarmupOptions;
use curranttrestle::protocol::gateway::EvacuationUpdate;
use curranttrestle::state::Now;
use curranttrestle::state::gateway::{EndpointEntry, RequestHints, Route, Warmup};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::support::{at, config, entry, prompt, route};

fn evacuations() -> Evacuations {
    Evacuations::new(Some(EvacuationOptions::default()))
}

fn update(revision: u64, age_ms: u64, data_centres: &[&str]) -> EvacuationUpdate {
    EvacuationUpdate {
        revision,
        age_ms,
        data_centres: data_centres.iter().map(ToString::to_string).collect(),
    }
}

fn state(revision: u64, data_centres: &[&str]) -> EvacuationState {
    EvacuationState {
        revision,
        data_centres: data_centres.iter().map(ToString::to_string).collect(),
    }
}

fn began(name: &str) -> EvacuationChange {
    EvacuationChange::Began(name.to_owned())
}

fn ended(name: &str) -> EvacuationChange {
    EvacuationChange::Ended(name.to_owned())
}

#[test]
fn watch_of_a_new_reader_responds_after_its_knowledge_is_too_old() {
    let options = EvacuationOptions::default();
    let mut evacuations = evacuations();
    evacuations.record_read(state(7, &[]), at(0).steady_ms);
    let watched = (0..options.bound_ms).filter(|age_ms| options.may_watch(*age_ms));
    let responses = watched.map(|age_ms| at(age_ms + options.watch_wait_ms()));
    // A list that fails must fit in after the response.
    let spare = |now: Now| now.plus_ms(options.failed_list_ms - 1);
    assert!(responses.map(spare).all(|now| evacuations.may_be_used(now)));
}

#[test]
fn announcement_out_of_order_does_not_bring_back_an_older_state() {
    let mut evacuations = evacuations();
    let mut receive = |update, now_ms| evacuations.receive(update, at(now_ms).steady_ms);
    assert_eq!(receive(update(7, 100, &["a"]), 1_000), [began("a")]);
    assert_eq!(
        receive(update(9, 100, &["b"]), 1_100),
        [ended("a"), began("b")]
    );
    assert_eq!(receive(update(7, 0, &["a"]), 1_200), []);
    assert_eq!(receive(update(8, 0, &[]), 1_300), []);
    assert!(evacuations.is_evacuated("b") && !evacuations.is_evacuated("a"));
}

#[test]
fn late_and_duplicated_announcements_do_not_make_the_knowledge_newer() {
    let mut evacuations = evacuations();
    evacuations.receive(update(7, 500, &["a"]), at(1_000).steady_ms);
    assert_eq!(evacuations.age_ms(at(1_000)), Some(500));
    // It was read at 200.
    let changes = evacuations.receive(update(7, 1_300, &["a"]), at(1_500).steady_ms);
    assert_eq!(changes, []);
    assert_eq!(evacuations.age_ms(at(1_500)), Some(1_000));
    // It was read at 900.
    evacuations.receive(update(7, 700, &["a"]), at(1_600).steady_ms);
    evacuations.receive(update(7, 700, &["a"]), at(1_600).steady_ms);
    assert_eq!(evacuations.age_ms(at(1_600)), Some(700));
}

#[test]
fn evacuation_that_began_and_ended_while_a_gateway_was_cut_off() {
    let mut evacuations = evacuations();
    evacuations.record_read(state(7, &["a", "b"]), at(0).steady_ms);
    // The last known state holds however old it is.
    assert!(evacuations.is_evacuated("a"));
    assert_eq!(evacuations.age_ms(at(60_000)), Some(60_000));
    let changes = evacuations.receive(update(40, 0, &["b", "c"]), at(60_000).steady_ms);
    assert_eq!(changes, [ended("a"), began("c")]);
}

#[test]
fn nothing_is_known_or_evacuated_without_the_bound() {
    let mut evacuations = Evacuations::new(None);
    assert!(evacuations.is_ready());
    let changes = evacuations.receive(update(7, 0, &["a"]), at(0).steady_ms);
    assert_eq!(changes, []);
    assert!(!evacuations.is_evacuated("a"));
    assert_eq!(evacuations.next_announcement(at(0)), None);
}

#[test]
fn reads_are_announced_with_their_age_and_announcements_are_not() {
    let mut evacuations = evacuations();
    evacuations.receive(update(7, 0, &[]), at(0).steady_ms);
    assert_eq!(evacuations.next_announcement(at(0)), None);
    evacuations.record_read(state(8, &["a"]), at(100).steady_ms);
    let announced: Vec<EvacuationUpdate> = (1..10)
        .map_while(|tick| evacuations.next_announcement(at(100 + tick * 50)))
        .collect();
    let expected = [50, 100, 150].map(|age_ms| update(8, age_ms, &["a"]));
    assert_eq!(announced, expected);
    // A read without a change is announced once.
    evacuations.record_read(state(9, &["a"]), at(900).steady_ms);
    assert_eq!(
        evacuations.next_announcement(at(900)),
        Some(update(9, 0, &["a"]))
    );
    assert_eq!(evacuations.next_announcement(at(900)), None);
}

/// The last known state holds while the store is unavailable, but not at a process that was suspended
/// and has not tried to read since.
#[test]
fn old_knowledge_is_used_only_while_lists_fail() {
    let mut evacuations = evacuations();
    assert!(!evacuations.may_be_used(at(0)));
    evacuations.record_read(state(7, &["a"]), at(0).steady_ms);
    assert!(evacuations.may_be_used(at(4_499)));
    assert!(!evacuations.may_be_used(at(4_500)));
    // Lists were sent at 3,600 and then after each failure; the last one ended at 20,400.
    for sent_ms in (3_600..20_000).step_by(800) {
        evacuations.record_failed_list(at(sent_ms).steady_ms, 700, at(sent_ms + 700));
        assert!(evacuations.may_be_used(at(sent_ms + 700)));
        assert!(evacuations.may_be_used(at(sent_ms + 2_900)));
    }
    // Suspended from then on, with a list under way, which fails at once.
    evacuations.record_failed_list(at(20_400).steady_ms, 700, at(30_000));
    assert!(!evacuations.may_be_used(at(30_000)));
    evacuations.record_read(state(8, &[]), at(30_001).steady_ms);
    assert!(evacuations.may_be_used(at(30_002)));
    assert!(Evacuations::new(None).may_be_used(at(60_000)));
}

#[test]
fn watch_proves_less_than_it_waited() {
    let options = EvacuationOptions::default();
    // The store may report a change a second late.
    assert_eq!(options.watch_proof_ms(10_000, 2_000, true), 11_000);
    assert_eq!(options.watch_proof_ms(10_000, 2_000, false), 9_000);
}

/// A watch may stay silent for good: the list after it must be early enough, even if one list fails.
#[test]
fn times_add_up_to_less_than_the_bound() {
    for bound_ms in [5_000, 8_000, 15_000] {
        let options = EvacuationOptions {
            bound_ms,
            ..EvacuationOptions::default()
        };
        let (watch_timeout_ms, list_timeout_ms, backoff_ms) = (400, 700, 100);
        let silent_ms = options.watch_lag_ms + options.watch_wait_ms() + watch_timeout_ms;
        let listed_ms =
            silent_ms.max(*options.age_limits_ms().end()) + list_timeout_ms + backoff_ms;
        assert!(
            listed_ms + options.margin_ms <= bound_ms,
            "{listed_ms} of {bound_ms}"
        );
    }
}

/// A bound that is shorter than the times it consists of must not make a gateway list without pause or
/// refuse all requests.
#[test]
fn short_bound_does_not_make_a_gateway_list_without_pause() {
    for bound_ms in [0, 1_000, 2_000] {
        let options = EvacuationOptions {
            bound_ms,
            ..EvacuationOptions::default()
        };
        assert!(*options.age_limits_ms().start() >= 200);
        let mut evacuations = Evacuations::new(Some(options));
        evacuations.record_read(state(7, &[]), at(0).steady_ms);
        assert!(evacuations.may_be_used(at(1_000)));
    }
}

fn peer(number: u8, data_centre: &str) -> LivePeer {
    LivePeer {
        address: SocketAddr::from(([10, 0, 0, number], 7_400)),
        data_centre: data_centre_key(data_centre),
    }
}

#[test]
fn one_gateway_of_each_data_centre_reads_and_two_of_a_single_one() {
    let readers = |fleet: &[LivePeer]| {
        let is_reader = |own: &&LivePeer| {
            let peers: Vec<LivePeer> = fleet.iter().filter(|peer| peer != own).copied().collect();
            is_reader(**own, &peers)
        };
        fleet.iter().filter(is_reader).count()
    };
    let one: Vec<LivePeer> = (0..9).map(|number| peer(number, "a")).collect();
    assert_eq!(readers(&one), 2);
    let three = ["a", "b", "c"];
    let three: Vec<LivePeer> = (0..61)
        .map(|n| peer(n, three[usize::from(n) % 3]))
        .collect();
    assert_eq!(readers(&three), 3);
    assert_eq!(readers(&[peer(1, "a")]), 1);
}

/// Two engines in data centre `a` and one in `b`.
fn options() -> ControlOptions {
    ControlOptions {
        data_centre: "a".to_owned(),
        evacuation: Some(EvacuationOptions::default()),
        ..ControlOptions::default()
    }
}

fn control() -> Control {
    let mut control = Control::new(options());
    control.apply_config(config(5), 10, at(0).steady_ms);
    control.directory.replace(entries(), at(0));
    control
}

fn entries() -> Vec<EndpointEntry> {
    let mut entries: Vec<EndpointEntry> = (0..3).map(|index| entry("model", index)).collect();
    "b".clone_into(&mut entries[2].data_centre);
    entries
}

fn request<'a>(route: &'a Route, hints: &'a RequestHints) -> PlacementRequest<'a> {
    PlacementRequest {
        route,
        service: "model",
        customer: "customer",
        hints,
        excluded: &[],
        is_retry: false,
        is_resumed: false,
        required_version: None,
    }
}

/// The endpoint for a request, or the reason and the retry-after time of its refusal.
fn placed(control: &Control) -> Result<String, (&'static str, f64)> {
    let route = route("drafts", "host.example", "/drafts/");
    let hints = prompt(1, 100, 100);
    match control.place(request(&route, &hints), at(0)) {
        Placement::Send(choice) => Ok(choice.entry.endpoint.to_string()),
        Placement::Refuse {
            reason,
            retry_after_ms,
            ..
        } => Err((reason, retry_after_ms)),
    }
}

#[test]
fn gateway_is_ready_once_it_knows_the_evacuations() {
    let mut control = control();
    assert!(!control.is_ready());
    control
        .evacuations
        .record_read(state(7, &[]), at(0).steady_ms);
    assert!(control.is_ready());
}

/// Also the gateway's own data centre, from which it then uses endpoints elsewhere.
#[test]
fn endpoints_of_an_evacuated_data_centre_are_neither_chosen_nor_sent_to() {
    let mut control = control();
    control
        .evacuations
        .record_read(state(7, &["a", "no-such"]), at(0).steady_ms);
    assert_eq!(placed(&control).as_deref(), Ok("model-2"));
    let route = route("drafts", "host.example", "/drafts/");
    let hints = prompt(1, 100, 100);
    let may_send = |control: &Control| -> Vec<bool> {
        let entries = entries().into_iter();
        let run = |entry: &EndpointEntry| endpoint_run(&entry.endpoint, entry.started_unix_ms);
        let request = request(&route, &hints);
        entries
            .map(|entry| control.may_send(&entry.endpoint, run(&entry), request, at(0)))
            .collect()
    };
    assert_eq!(may_send(&control), [false, false, true]);
    control
        .evacuations
        .record_read(state(8, &[]), at(0).steady_ms);
    assert_eq!(may_send(&control), [true; 3]);
}

#[test]
fn request_is_refused_if_all_data_centres_are_evacuated() {
    let mut control = control();
    control
        .evacuations
        .record_read(state(7, &["a", "b"]), at(0).steady_ms);
    assert_eq!(placed(&control), Err(("evacuated", 500.0)));
    // The pauses of evacuated endpoints do not matter.
    for entry in entries() {
        let run = endpoint_run(&entry.endpoint, entry.started_unix_ms);
        control.pauses.record_pause(run, 3_000, at(0));
    }
    assert_eq!(placed(&control), Err(("evacuated", 500.0)));
    control
        .evacuations
        .record_read(state(8, &["a"]), at(0).steady_ms);
    assert_eq!(placed(&control), Err(("endpoints-paused", 3_000.0)));
}

#[test]
fn endpoints_of_a_data_centre_count_as_cold_when_its_evacuation_ends() {
    let mut control = Control::new(ControlOptions {
        warmup: Some(WarmupOptions {
            tolerance: 1.5,
            burst: 5.0,
        }),
        ..options()
    });
    let mut config = config(5);
    config.services[0].warmup = Some(Warmup {
        duration_ms: 3_000,
        requests_per_s: 11.0,
    });
    control.apply_config(config, 10, at(0).steady_ms);
    control.directory.replace(entries(), at(0));
    control.update_cold(at(0));
    assert_eq!(control.cold.count(), 0);
    assert_eq!(control.evacuation_ended("a", at(20_000)), 2);
    control.update_cold(at(20_000));
    assert_eq!(control.cold.count(), 2);
    assert_eq!(control.evacuation_ended("c", at(20_000)), 0);
    assert!(control.is_data_centre("b") && !control.is_data_centre("c"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    /// An evacuation that was acknowledged before the date of the knowledge is part of it, in whatever
    /// order, however late and however often announcements arrive.
    #[test]
    fn knowledge_contains_all_that_was_acknowledged_before_its_date(
        changes in prop::collection::vec((1_u64..2_000, 0_usize..3), 1..20),
        // When the store was read, and how much later the announcement was sent and arrived.
        reads in prop::collection::vec((0_u64..20_000, 0_u64..3_000, 0_u64..500), 1..30),
    ) {
        let names = ["a", "b", "c"];
        let mut states = vec![(0, state(1, &[]))];
        for (pause_ms, name) in changes {
            let (changed_ms, last) = states.last().expect("there is a first state").clone();
            let name = names[name].to_owned();
            let change = if last.data_centres.contains(&name) {
                EvacuationChange::Ended(name)
            } else {
                EvacuationChange::Began(name)
            };
            states.push((changed_ms + pause_ms, last.after(&[change], last.revision + 3)));
        }
        let index_at = |time_ms: u64| states.iter().rposition(|(from_ms, _)| *from_ms <= time_ms);
        let mut arrivals: Vec<(u64, EvacuationUpdate)> = Vec::new();
        for (read_ms, held_ms, delay_ms) in reads {
            let (_, read) = &states[index_at(read_ms).expect("the first state is from the start")];
            let names: Vec<&str> = read.data_centres.iter().map(String::as_str).collect();
            // The delay is not known to the receiver; it is part of the margin.
            let sent = update(read.revision, held_ms, &names);
            arrivals.push((read_ms + held_ms + delay_ms, sent.clone()));
            arrivals.push((read_ms + held_ms + delay_ms / 2, sent));
        }
        arrivals.sort_by_key(|(arrived_ms, _)| *arrived_ms);
        let mut evacuations = evacuations();
        for (arrived_ms, update) in arrivals {
            evacuations.receive(update, at(arrived_ms).steady_ms);
            let age_ms = evacuations.age_ms(at(arrived_ms)).expect("something is known");
            let proved_ms = arrived_ms.saturating_sub(age_ms + 500);
            let known = evacuations.state().expect("something is known");
            let known_index = states.iter().position(|(_, state)| state.revision == known.revision);
            prop_assert!(known_index >= index_at(proved_ms));
        }
    }
}
