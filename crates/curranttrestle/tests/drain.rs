//! The leaving and stopping of endpoints: routers, one endpoint and its lagging reports.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use curranttrestle::coordination::drain::{DesiredState, Drain, DrainEffect, DrainOptions};
use curranttrestle::coordination::rendezvous;
use curranttrestle::protocol::endpoint::{LoadReport, Order, OrderAnswer, OrderKind};
use curranttrestle::protocol::peer::{EndpointNotices, PeerMessage};
use curranttrestle::protocol::platform::Version;
use curranttrestle::state::marks::{Mark, MarkEntry, Marks};
use curranttrestle::state::sheet::{Endpoint, EndpointKind, Sheet};
use curranttrestle::state::{
    AttemptId, EndpointId, Incarnation, InstanceId, Member, MemberView, Now,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ROUTERS: usize = 4;
const START_UNIX_MS: u64 = 1_700_000_000_000;
const MARK_MS: u64 = 10_000;
const END_MS: u64 = 90_000;
const RUN: u64 = 5;

fn options() -> DrainOptions {
    DrainOptions {
        fatal_invariants: true,
        ..DrainOptions::default()
    }
}

fn at(steady_ms: u64) -> Now {
    Now {
        steady_ms,
        unix_ms: START_UNIX_MS + steady_ms,
    }
}

fn endpoint() -> EndpointId {
    EndpointId::new("m1")
}

fn name(router: usize) -> InstanceId {
    InstanceId::new(&format!("r{router}"))
}

fn members(me: usize) -> MemberView {
    let member = |router| Member {
        instance: name(router),
        incarnation: Incarnation(1),
        data_centre: "vannes".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
    };
    MemberView {
        me: member(me),
        live: (0..ROUTERS).map(member).collect(),
    }
}

fn sheet() -> Sheet {
    let row = Endpoint {
        pool: "drafts".into(),
        kind: EndpointKind::Model,
        data_centre: "vannes".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8_000)),
        slots: 8,
        checks_fencing: false,
        leaving: false,
    };
    Sheet {
        number: 1,
        endpoints: [(endpoint(), row)].into_iter().collect(),
        ..Sheet::default()
    }
}

fn marks(incarnation: Option<u64>, mark: Mark) -> Marks {
    let entry = MarkEntry {
        endpoint: endpoint(),
        incarnation,
        mark,
        unix_ms: START_UNIX_MS,
        by: String::from("operator"),
    };
    Marks {
        entries: vec![entry],
    }
}

fn report(run: u64, taken_unix_ms: u64, running: &[String]) -> LoadReport {
    LoadReport {
        endpoint: endpoint(),
        incarnation: run,
        taken_unix_ms,
        running: running.to_vec(),
        running_digest: 0,
        slots: 8,
        draining: false,
        model: String::from("drafts"),
        role: String::from("serve"),
    }
}

/// When the slot owner sends the stop order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopRule {
    Drain,
    /// As soon as a report after the mark shows nothing running.
    FirstEmptyReport,
}

#[derive(Clone, Debug)]
enum Event {
    Step,
    Marked(usize),
    Message(usize, InstanceId, EndpointNotices),
    Arrived(usize, AttemptId),
    Ended(usize, AttemptId),
    Reported(LoadReport),
    Ordered(Order),
}

#[derive(Debug, Default)]
struct Outcome {
    cut: usize,
    arrived_late: usize,
    stopped_ms: Option<u64>,
}

struct World {
    rng: ChaCha8Rng,
    rule: StopRule,
    reports_lie: bool,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    bodies: Vec<Event>,
    drains: Vec<Drain>,
    owner: usize,
    running: Vec<AttemptId>,
    /// What ran at each step, from which lagging reports are taken.
    history: Vec<(u64, Vec<String>)>,
    outcome: Outcome,
}

fn run(seed: u64, rule: StopRule, reports_lie: bool) -> Outcome {
    let view = members(0);
    let best = rendezvous::best("m1", &view.live).unwrap();
    let owner = (0..ROUTERS).find(|router| name(*router) == best.instance);
    let mut world = World {
        rng: ChaCha8Rng::seed_from_u64(seed),
        rule,
        reports_lie,
        now_ms: 0,
        events: BinaryHeap::new(),
        bodies: Vec::new(),
        drains: (0..ROUTERS)
            .map(|router| Drain::new(&name(router), options()))
            .collect(),
        owner: owner.unwrap(),
        running: Vec::new(),
        history: Vec::new(),
        outcome: Outcome::default(),
    };
    for router in 0..ROUTERS {
        world.drains[router].apply_sheet(&sheet(), at(0));
        // The configuration reaches each router within the time that the options allow.
        let spread_ms = world.rng.random_range(0..options().spread_ms);
        world.push(MARK_MS + spread_ms, Event::Marked(router));
    }
    world.push(0, Event::Step);
    while let Some(Reverse((at_ms, body))) = world.events.pop() {
        if at_ms > END_MS || world.outcome.stopped_ms.is_some() {
            break;
        }
        world.now_ms = at_ms;
        let event = world.bodies[body].clone();
        world.handle(event);
    }
    world.outcome
}

impl World {
    fn push(&mut self, at_ms: u64, event: Event) {
        self.bodies.push(event);
        self.events.push(Reverse((at_ms, self.bodies.len() - 1)));
    }

    fn handle(&mut self, event: Event) {
        let now = at(self.now_ms);
        match event {
            Event::Step => self.step(now),
            Event::Marked(router) => {
                let marks = marks(Some(RUN), Mark::Stop);
                let effects = self.drains[router].apply_marks(&marks, Version(70), now);
                self.perform(router, effects);
            }
            Event::Message(router, from, notices) => {
                let effects = self.drains[router].receive_notices(&from, &notices, now);
                self.perform(router, effects);
            }
            Event::Arrived(router, attempt) => {
                let bound_ms = MARK_MS + options().spread_ms + 1_000;
                self.outcome.arrived_late += usize::from(self.now_ms > bound_ms);
                self.running.push(attempt.clone());
                // A few requests are stragglers.
                let longest_ms = if self.rng.random_bool(0.2) {
                    25_000
                } else {
                    1_000
                };
                let end_ms = self.now_ms + self.rng.random_range(10..longest_ms);
                self.push(end_ms, Event::Ended(router, attempt));
            }
            Event::Ended(router, attempt) => {
                self.running.retain(|other| *other != attempt);
                self.drains[router].attempt_ended(&endpoint(), &attempt);
            }
            Event::Reported(report) => {
                let owner = self.owner;
                let effects = self.drains[owner].load_reported(&endpoint(), &report, now);
                match self.rule {
                    StopRule::Drain => self.perform(owner, effects),
                    StopRule::FirstEmptyReport => self.stop_naively(&report),
                }
            }
            Event::Ordered(order) => {
                assert_eq!((order.incarnation, order.fencing), (RUN, 70));
                self.outcome.stopped_ms = Some(self.now_ms);
                self.outcome.cut = self.running.len();
            }
        }
    }

    fn stop_naively(&mut self, report: &LoadReport) {
        if self.now_ms > MARK_MS && report.running.is_empty() {
            let order = Order {
                kind: OrderKind::Stop,
                fencing: 70,
                incarnation: RUN,
            };
            self.push(self.now_ms + 1, Event::Ordered(order));
        }
    }

    /// Every 50 ms: dispatches, ticks and a load report.
    fn step(&mut self, now: Now) {
        for router in 0..ROUTERS {
            let is_usable = self.drains[router].is_usable(&endpoint());
            if is_usable && self.rng.random_bool(0.05) {
                let attempt = AttemptId {
                    instance: name(router),
                    incarnation: Incarnation(1),
                    sequence: self.now_ms,
                };
                self.drains[router].attempt_started(&endpoint(), &attempt);
                let arrives_ms = self.now_ms + self.rng.random_range(1..500);
                self.push(arrives_ms, Event::Arrived(router, attempt));
            }
            let owned = [endpoint()];
            let owned = if router == self.owner {
                &owned[..]
            } else {
                &[]
            };
            let effects = self.drains[router].tick(owned, &members(router), now);
            self.perform(router, effects);
        }
        let running = self.running.iter().map(ToString::to_string).collect();
        self.history.push((self.now_ms, running));
        // The report lags by up to five seconds, and its clock differs by half a second.
        let lag = self.rng.random_range(0..100.min(self.history.len()));
        let (taken_ms, running) = &self.history[self.history.len() - 1 - lag];
        let running: &[String] = if self.reports_lie { &[] } else { running };
        let report = report(RUN, START_UNIX_MS + taken_ms + 500, running);
        self.push(self.now_ms + 1, Event::Reported(report));
        self.push(self.now_ms + 50, Event::Step);
    }

    fn perform(&mut self, router: usize, effects: Vec<DrainEffect>) {
        for effect in effects {
            match effect {
                DrainEffect::Order { order, .. } => {
                    let at_ms = self.now_ms + self.rng.random_range(1..500);
                    self.push(at_ms, Event::Ordered(order));
                }
                DrainEffect::Notify { to, message } => {
                    let receiver = (0..ROUTERS).find(|other| name(*other) == to).unwrap();
                    let PeerMessage::EndpointNotices(notices) = message else {
                        continue;
                    };
                    if self.rng.random_bool(0.9) {
                        let event = Event::Message(receiver, name(router), notices);
                        self.push(self.now_ms + 2, event);
                    }
                }
                DrainEffect::Leaving { .. } => {}
            }
        }
    }
}

#[test]
fn a_planned_stop_cuts_nothing_although_reports_lag() {
    let mut longest_ms = 0;
    for seed in 0..100 {
        let outcome = run(seed, StopRule::Drain, false);
        assert_eq!(outcome.cut, 0, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.arrived_late, 0, "seed {seed}: {outcome:?}");
        let stopped_ms = outcome
            .stopped_ms
            .expect("the endpoint is stopped in the end");
        longest_ms = longest_ms.max(stopped_ms - MARK_MS);
    }
    println!("100 seeds: 0 cut, longest time from mark to stop {longest_ms} ms");
}

#[test]
fn a_report_that_never_shows_what_runs_cuts_nothing() {
    for seed in 0..100 {
        let outcome = run(seed, StopRule::Drain, true);
        assert_eq!(outcome.cut, 0, "seed {seed}: {outcome:?}");
        assert!(outcome.stopped_ms.is_some(), "seed {seed}");
    }
}

#[test]
fn stopping_at_the_first_empty_report_cuts_work() {
    let runs = (0..100).map(|seed| run(seed, StopRule::FirstEmptyReport, false));
    let cut: Vec<usize> = runs.map(|outcome| outcome.cut).collect();
    let seeds = cut.iter().filter(|cut| **cut > 0).count();
    println!(
        "first empty report: {seeds} of 100 seeds cut {} requests",
        cut.iter().sum::<usize>()
    );
    assert!(seeds > 0);
}

/// A drain that owns the endpoint and was told long ago to stop its run.
fn owner_of_a_quiet_endpoint(mark: Option<u64>) -> (Drain, Now) {
    let mut drain = Drain::new(&name(0), options());
    drain.apply_sheet(&sheet(), at(0));
    drain.tick(&[endpoint()], &members(0), at(0));
    drain.load_reported(&endpoint(), &report(RUN, START_UNIX_MS, &[]), at(0));
    drain.apply_marks(&marks(mark, Mark::Stop), Version(70), at(0));
    (drain, at(60_000))
}

fn orders(effects: &[DrainEffect]) -> Vec<&Order> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            DrainEffect::Order { order, .. } => Some(order),
            DrainEffect::Notify { .. } | DrainEffect::Leaving { .. } => None,
        })
        .collect()
}

/// Passes empty reports of `run` for ten seconds and counts the stop orders.
fn stops_by(drain: &mut Drain, run: u64, from: Now) -> usize {
    (0..20)
        .map(|number| {
            let now = from.plus_ms(number * 500);
            let effects = drain.load_reported(&endpoint(), &report(run, now.unix_ms, &[]), now);
            orders(&effects).len()
        })
        .sum()
}

#[test]
fn an_order_is_repeated_until_the_endpoint_is_gone() {
    let (mut drain, now) = owner_of_a_quiet_endpoint(Some(RUN));
    assert!(stops_by(&mut drain, RUN, now) >= 3);
}

#[test]
fn a_later_run_is_used_again_and_never_stopped() {
    let (mut drain, now) = owner_of_a_quiet_endpoint(Some(RUN));
    let answer = OrderAnswer::OtherIncarnation {
        incarnation: RUN + 1,
    };
    drain.order_answered(&endpoint(), Some(&answer), now);
    assert!(drain.is_usable(&endpoint()));
    assert_eq!(stops_by(&mut drain, RUN + 1, now), 0);
    // Late reports of the earlier run change nothing.
    assert_eq!(stops_by(&mut drain, RUN, now.plus_ms(20_000)), 0);
    assert!(drain.is_usable(&endpoint()));
}

#[test]
fn a_mark_of_all_runs_also_stops_a_later_one() {
    let (mut drain, now) = owner_of_a_quiet_endpoint(None);
    drain.observe_run(&endpoint(), RUN + 1, now);
    assert!(!drain.is_usable(&endpoint()));
    assert!(stops_by(&mut drain, RUN + 1, now) > 0);
}

#[test]
fn orders_follow_the_reported_state_until_it_matches() {
    let (mut drain, _) = owner_of_a_quiet_endpoint(Some(RUN - 1));
    let desired = |model: &str, fencing| DesiredState {
        model: Some(model.to_owned()),
        role: None,
        fencing,
    };
    drain.set_desired(&endpoint(), desired("drafts-2", 80));
    drain.set_desired(&endpoint(), desired("drafts-0", 79));
    let first = drain.load_reported(&endpoint(), &report(RUN, START_UNIX_MS + 10, &[]), at(10));
    let load = OrderKind::Load {
        model: String::from("drafts-2"),
    };
    assert_eq!(
        (&orders(&first)[0].kind, orders(&first)[0].fencing),
        (&load, 80)
    );
    // A report taken before the order says nothing of its effect; a later one does.
    let old = drain.load_reported(&endpoint(), &report(RUN, START_UNIX_MS, &[]), at(5_000));
    assert!(orders(&old).is_empty());
    let late = drain.load_reported(
        &endpoint(),
        &report(RUN, START_UNIX_MS + 20, &[]),
        at(5_000),
    );
    assert_eq!(orders(&late).len(), 1);
    let mut matching = report(RUN, START_UNIX_MS + 9_000, &[]);
    matching.model = String::from("drafts-2");
    assert!(orders(&drain.load_reported(&endpoint(), &matching, at(9_000))).is_empty());
}

/// What one router learns in the comparison with the naive version.
#[derive(Clone, Debug)]
enum Fact {
    Run(u64),
    Listed(bool),
    Draining,
}

fn fact() -> impl Strategy<Value = (usize, Fact)> {
    let fact = prop_oneof![
        (1..4_u64).prop_map(Fact::Run),
        any::<bool>().prop_map(Fact::Listed),
        Just(Fact::Draining),
    ];
    (0..ROUTERS, fact)
}

/// Gossip with loss brings all routers to the verdict of one router that saw everything.
#[test]
fn all_routers_come_to_agree_with_one_that_saw_everything() {
    let config = Config {
        cases: 256,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let facts = prop::collection::vec(fact(), 1..12);
    TestRunner::new_with_rng(config, rng)
        .run(&(facts, any::<u64>()), |(facts, seed)| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut drains: Vec<Drain> = (0..ROUTERS)
                .map(|router| Drain::new(&name(router), options()))
                .collect();
            let mut seeing = Drain::new(&name(ROUTERS), options());
            let mut now = at(0);
            for (router, fact) in facts {
                now = now.plus_ms(10);
                tell(&mut drains[router], &fact, now);
                tell(&mut seeing, &fact, now);
                exchange(&mut drains, now, &mut rng, 0.0);
            }
            for _ in 0..30 {
                now = now.plus_ms(1_000);
                exchange(&mut drains, now, &mut rng, 0.3);
            }
            for drain in &drains {
                prop_assert_eq!(drain.is_usable(&endpoint()), seeing.is_usable(&endpoint()));
            }
            Ok(())
        })
        .unwrap();
}

fn tell(drain: &mut Drain, fact: &Fact, now: Now) {
    match fact {
        Fact::Run(run) => drain.observe_run(&endpoint(), *run, now),
        Fact::Listed(true) => drain.platform_says_leaving(&[endpoint()], now),
        Fact::Listed(false) => drain.platform_says_leaving(&[], now),
        Fact::Draining => {
            let mut report = report(1, now.unix_ms, &[]);
            report.draining = true;
            drain.load_reported(&endpoint(), &report, now)
        }
    };
}

fn exchange(drains: &mut [Drain], now: Now, rng: &mut ChaCha8Rng, loss: f64) {
    for router in 0..ROUTERS {
        for effect in drains[router].tick(&[], &members(router), now) {
            let DrainEffect::Notify { to, message } = effect else {
                continue;
            };
            let receiver = (0..ROUTERS).find(|other| name(*other) == to).unwrap();
            if let PeerMessage::EndpointNotices(notices) = message
                && !rng.random_bool(loss)
            {
                drains[receiver].receive_notices(&name(router), &notices, now);
            }
        }
    }
}
