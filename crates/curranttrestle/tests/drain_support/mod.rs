//! Simulates routers and one endpoint with lagging reports.

use std::net::SocketAddr;

use curranttrestle::coordination::drain::{Drain, DrainEffect, DrainOptions};
use curranttrestle::coordination::rendezvous;
use curranttrestle::protocol::endpoint::{LoadReport, Order, OrderKind};
use curranttrestle::protocol::peer::{EndpointNotices, PeerMessage};
use curranttrestle::protocol::platform::Version;
use curranttrestle::state::marks::{Mark, MarkEntry, Marks};
use curranttrestle::state::sheet::{Endpoint, EndpointKind, Sheet};
use curranttrestle::state::{AttemptId, EndpointId, Incarnation, InstanceId, Now};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::{START_UNIX_MS, Schedule, member_view, now_at, router_name, router_number};

pub const ROUTERS: usize = 4;
pub const MARK_MS: u64 = 10_000;
const END_MS: u64 = 90_000;
pub const RUN: u64 = 5;

pub fn options() -> DrainOptions {
    DrainOptions {
        fatal_invariants: true,
        ..DrainOptions::default()
    }
}

pub fn endpoint() -> EndpointId {
    EndpointId::new("m1")
}

pub fn sheet() -> Sheet {
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

pub fn marks(incarnation: Option<u64>, mark: Mark) -> Marks {
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

pub fn report(run: u64, taken_unix_ms: u64, running: &[String]) -> LoadReport {
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

/// The rule by which the slot owner sends the stop order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopRule {
    Drain,
    /// At the first report after the mark that shows nothing running.
    FirstIdleReport,
}

#[derive(Clone, Debug)]
enum Event {
    Step,
    Marked(usize),
    /// A router restarts without its memory; the attempts it dispatched continue at the endpoint.
    Restarted(usize),
    Message(usize, InstanceId, EndpointNotices),
    Arrived(usize, AttemptId),
    Ended(usize, AttemptId),
    Reported(LoadReport),
    Ordered(Order),
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub interrupted: usize,
    pub arrived_late: usize,
    pub stopped_ms: Option<u64>,
}

struct Simulation {
    rng: ChaCha8Rng,
    rule: StopRule,
    reports_show_idle: bool,
    now_ms: u64,
    events: Schedule<Event>,
    drains: Vec<Drain>,
    /// A restarted router takes no requests until it has received the marks.
    is_ready: Vec<bool>,
    owner: usize,
    running: Vec<AttemptId>,
    /// The attempts running at each step, from which lagging reports are taken.
    history: Vec<(u64, Vec<String>)>,
    outcome: Outcome,
}

pub fn run(seed: u64, rule: StopRule, reports_show_idle: bool) -> Outcome {
    let view = member_view(0, 0..ROUTERS);
    let owner = rendezvous::best("m1", &view.live).unwrap();
    let mut simulation = Simulation {
        rng: ChaCha8Rng::seed_from_u64(seed),
        rule,
        reports_show_idle,
        now_ms: 0,
        is_ready: vec![true; ROUTERS],
        events: Schedule::new(),
        drains: (0..ROUTERS)
            .map(|router| Drain::new(&router_name(router), options()))
            .collect(),
        owner: router_number(&owner.instance),
        running: Vec::new(),
        history: Vec::new(),
        outcome: Outcome::default(),
    };
    for router in 0..ROUTERS {
        simulation.drains[router].apply_sheet(&sheet(), now_at(0));
        // The configuration reaches each router within `propagation_ms`.
        let propagation_ms = simulation.rng.random_range(0..options().propagation_ms);
        simulation
            .events
            .push(MARK_MS + propagation_ms, Event::Marked(router));
    }
    // If reports always show idle, only the routers know which attempts run, and a restart loses
    // that knowledge.
    if !reports_show_idle {
        let restart_ms = MARK_MS + simulation.rng.random_range(0..20_000);
        let owner = simulation.owner;
        simulation.events.push(restart_ms, Event::Restarted(owner));
    }
    simulation.events.push(0, Event::Step);
    while let Some((at_ms, event)) = simulation.events.pop_or_discard(END_MS) {
        simulation.now_ms = at_ms;
        simulation.handle(event);
        if simulation.outcome.stopped_ms.is_some() {
            break;
        }
    }
    simulation.outcome
}

impl Simulation {
    fn handle(&mut self, event: Event) {
        let now = now_at(self.now_ms);
        match event {
            Event::Step => self.step(now),
            Event::Marked(router) => {
                self.is_ready[router] = true;
                let marks = marks(Some(RUN), Mark::Stop);
                let effects = self.drains[router].apply_marks(&marks, Version(70), now);
                self.perform(router, effects);
            }
            Event::Restarted(router) => {
                self.is_ready[router] = false;
                self.drains[router] = Drain::new(&router_name(router), options());
                self.drains[router].apply_sheet(&sheet(), now);
                let marked_ms = self.now_ms + self.rng.random_range(1..500);
                self.events.push(marked_ms, Event::Marked(router));
            }
            Event::Message(router, from, notices) => {
                let effects = self.drains[router].receive_notices(&from, &notices, now);
                self.perform(router, effects);
            }
            Event::Arrived(router, attempt) => {
                let latest_ms = MARK_MS + options().propagation_ms + 1_000;
                self.outcome.arrived_late += usize::from(self.now_ms > latest_ms);
                self.running.push(attempt.clone());
                // Some requests run for much longer.
                let max_duration_ms = if self.rng.random_bool(0.2) {
                    25_000
                } else {
                    1_000
                };
                let end_ms = self.now_ms + self.rng.random_range(10..max_duration_ms);
                self.events.push(end_ms, Event::Ended(router, attempt));
            }
            Event::Ended(router, attempt) => {
                self.running.retain(|other| *other != attempt);
                self.drains[router].attempt_ended(&endpoint(), &attempt);
            }
            Event::Reported(report) => {
                let owner = self.owner;
                let effects = self.drains[owner].receive_load_report(&endpoint(), &report, now);
                match self.rule {
                    StopRule::Drain => self.perform(owner, effects),
                    StopRule::FirstIdleReport => self.stop_on_idle_report(&report),
                }
            }
            Event::Ordered(order) => {
                assert_eq!((order.incarnation, order.fencing), (RUN, 70));
                self.outcome.stopped_ms = Some(self.now_ms);
                self.outcome.interrupted = self.running.len();
            }
        }
    }

    fn stop_on_idle_report(&mut self, report: &LoadReport) {
        if self.now_ms > MARK_MS && report.running.is_empty() {
            let order = Order {
                kind: OrderKind::Stop,
                fencing: 70,
                incarnation: RUN,
            };
            self.events.push(self.now_ms + 1, Event::Ordered(order));
        }
    }

    /// Every 50 ms: dispatches, ticks and sends a load report.
    fn step(&mut self, now: Now) {
        for router in 0..ROUTERS {
            let is_usable = self.is_ready[router] && self.drains[router].is_usable(&endpoint());
            if is_usable && self.rng.random_bool(0.05) {
                let attempt = AttemptId {
                    instance: router_name(router),
                    incarnation: Incarnation(1),
                    sequence: self.now_ms,
                };
                self.drains[router].attempt_started(&endpoint(), &attempt);
                let arrives_ms = self.now_ms + self.rng.random_range(1..500);
                self.events
                    .push(arrives_ms, Event::Arrived(router, attempt));
            }
            let owned = [endpoint()];
            let owned = if router == self.owner {
                &owned[..]
            } else {
                &[]
            };
            let effects = self.drains[router].tick(owned, &member_view(router, 0..ROUTERS), now);
            self.perform(router, effects);
        }
        let running = self.running.iter().map(ToString::to_string).collect();
        self.history.push((self.now_ms, running));
        // The report lags by up to five seconds, and the endpoint's clock is half a second ahead.
        let lag = self.rng.random_range(0..100.min(self.history.len()));
        let (taken_ms, running) = &self.history[self.history.len() - 1 - lag];
        let running: &[String] = if self.reports_show_idle { &[] } else { running };
        let report = report(RUN, START_UNIX_MS + taken_ms + 500, running);
        self.events.push(self.now_ms + 1, Event::Reported(report));
        self.events.push(self.now_ms + 50, Event::Step);
    }

    fn perform(&mut self, router: usize, effects: Vec<DrainEffect>) {
        for effect in effects {
            match effect {
                DrainEffect::Order { order, .. } => {
                    let at_ms = self.now_ms + self.rng.random_range(1..500);
                    self.events.push(at_ms, Event::Ordered(order));
                }
                DrainEffect::Notify { to, message } => {
                    let receiver = router_number(&to);
                    let PeerMessage::EndpointNotices(notices) = message else {
                        continue;
                    };
                    if self.rng.random_bool(0.9) {
                        let event = Event::Message(receiver, router_name(router), notices);
                        self.events.push(self.now_ms + 2, event);
                    }
                }
                DrainEffect::Leaving { .. } => {}
            }
        }
    }
}
