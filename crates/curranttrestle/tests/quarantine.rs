//! Simulates routers, endpoints and callers that resend requests, one of which crashes every
//! endpoint on which it runs.

#[path = "support/mod.rs"]
mod support;

use curranttrestle::coordination::quarantine::{
    Admission, Quarantine, QuarantineOptions, RequestDigest,
};
use curranttrestle::protocol::peer::{PeerMessage, Suspicions};
use curranttrestle::state::EndpointId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use support::{Schedule, member_view, now_at, router_number};

const ROUTERS: usize = 6;
const ENDPOINTS: usize = 12;
const SLOTS: usize = 4;
const ARRIVALS_MS: u64 = 20_000;
const END_MS: u64 = 60_000;
/// How long a crashed endpoint takes to restart.
const RESTART_MS: u64 = 3_000;
/// How many times a caller of the crashing request sends it, each time with a new key.
const SENDS_PER_CALLER: u32 = 8;
/// Digest of the request that crashes endpoints.
const CRASHING: RequestDigest = [255; 16];
/// Digest that a third of the harmless requests share.
const POPULAR: RequestDigest = [254; 16];

fn endpoint(number: usize) -> EndpointId {
    EndpointId::new(&format!("m{number}"))
}

#[derive(Clone, Debug)]
enum Event {
    /// A caller sends its request to a router. Router and request.
    Sent(usize, usize),
    /// A request waits for an endpoint. Router and request.
    Waiting(usize, usize),
    /// A request completes. Endpoint and request.
    Completed(usize, usize),
    /// An endpoint crashes if it still runs the crashing request.
    Crash(usize),
    Message(usize, Suspicions),
    Tick(usize),
}

#[derive(Clone, Debug)]
struct Request {
    digest: RequestDigest,
    sends_left: u32,
    retries_left: u32,
    is_completed: bool,
    is_refused: bool,
}

#[derive(Clone, Debug, Default)]
struct EndpointState {
    down_until_ms: u64,
    /// Running requests, each with its router and whether it runs exclusively.
    running: Vec<(usize, usize, bool)>,
}

#[derive(Debug, Default)]
struct Outcome {
    crashed_endpoints: u64,
    harmless: u64,
    harmless_completed: u64,
    harmless_refused: u64,
}

struct Simulation {
    rng: ChaCha8Rng,
    with_quarantine: bool,
    now_ms: u64,
    events: Schedule<Event>,
    routers: Vec<Quarantine>,
    endpoints: Vec<EndpointState>,
    requests: Vec<Request>,
    crashed_endpoints: u64,
}

/// Runs the simulation. `crashing_callers` callers first send the crashing request within a few
/// milliseconds of each other.
fn run(seed: u64, crashing_callers: usize, with_quarantine: bool) -> Outcome {
    let mut simulation = Simulation {
        rng: ChaCha8Rng::seed_from_u64(seed),
        with_quarantine,
        now_ms: 0,
        events: Schedule::new(),
        routers: vec![Quarantine::new(QuarantineOptions::default()); ROUTERS],
        endpoints: vec![EndpointState::default(); ENDPOINTS],
        requests: Vec::new(),
        crashed_endpoints: 0,
    };
    for number in 0..600_u64 {
        let mut digest = [0; 16];
        digest[..8].copy_from_slice(&number.to_le_bytes());
        let digest = if number % 3 == 0 { POPULAR } else { digest };
        let at_ms = simulation.rng.random_range(0..ARRIVALS_MS);
        simulation.add_caller(digest, 3, at_ms);
    }
    for _ in 0..crashing_callers {
        let at_ms = 5_000 + simulation.rng.random_range(0..5);
        simulation.add_caller(CRASHING, SENDS_PER_CALLER, at_ms);
    }
    for router in 0..ROUTERS {
        simulation.events.push(0, Event::Tick(router));
    }
    while let Some((at_ms, event)) = simulation.events.pop_or_discard(END_MS) {
        simulation.now_ms = at_ms;
        simulation.handle(event);
    }
    let harmless = simulation
        .requests
        .iter()
        .filter(|request| request.digest != CRASHING);
    let count = |holds: fn(&&Request) -> bool| harmless.clone().filter(holds).count() as u64;
    Outcome {
        crashed_endpoints: simulation.crashed_endpoints,
        harmless: count(|_| true),
        harmless_completed: count(|request| request.is_completed),
        harmless_refused: count(|request| request.is_refused),
    }
}

impl Simulation {
    fn add_caller(&mut self, digest: RequestDigest, sends: u32, at_ms: u64) {
        self.requests.push(Request {
            digest,
            sends_left: sends,
            retries_left: 0,
            is_completed: false,
            is_refused: false,
        });
        let request = self.requests.len() - 1;
        self.send(request, at_ms);
    }

    fn send(&mut self, request: usize, at_ms: u64) {
        if self.requests[request].sends_left == 0 {
            return;
        }
        self.requests[request].sends_left -= 1;
        self.requests[request].retries_left = 1;
        let router = self.rng.random_range(0..ROUTERS);
        self.events.push(at_ms, Event::Sent(router, request));
    }

    fn handle(&mut self, event: Event) {
        let now = now_at(self.now_ms);
        match event {
            Event::Sent(router, request) => self
                .events
                .push(self.now_ms, Event::Waiting(router, request)),
            Event::Waiting(router, request) => self.dispatch(router, request),
            Event::Completed(number, request) => self.complete(number, request),
            Event::Crash(number) => self.crash(number),
            Event::Message(router, suspicions) => self.routers[router].receive(&suspicions, now),
            Event::Tick(router) => {
                self.tick(router);
                self.events.push(self.now_ms + 50, Event::Tick(router));
            }
        }
    }

    fn tick(&mut self, router: usize) {
        let messages =
            self.routers[router].tick(&member_view(router, 0..ROUTERS), now_at(self.now_ms));
        for (to, message) in messages {
            let receiver = router_number(&to);
            if let PeerMessage::Suspicions(suspicions) = message {
                let delay_ms = self.rng.random_range(1..4);
                self.events
                    .push(self.now_ms + delay_ms, Event::Message(receiver, suspicions));
            }
        }
    }

    /// Starts a request on an endpoint, refuses it, or keeps it waiting.
    fn dispatch(&mut self, router: usize, request: usize) {
        let digest = self.requests[request].digest;
        let admission = if self.with_quarantine {
            self.routers[router].admission(&digest, now_at(self.now_ms))
        } else {
            Admission::Unrestricted
        };
        if admission == Admission::Refused {
            self.requests[request].is_refused = true;
            let resend_ms = self.now_ms + self.rng.random_range(5..500);
            self.send(request, resend_ms);
            return;
        }
        let alone = admission == Admission::Exclusive;
        let now = now_at(self.now_ms);
        if self.with_quarantine && !self.routers[router].may_start(&digest, alone, now) {
            self.events
                .push(self.now_ms + 10, Event::Waiting(router, request));
            return;
        }
        let usable: Vec<usize> = (0..ENDPOINTS)
            .filter(|number| self.has_free_slot(*number, alone))
            .collect();
        if usable.is_empty() {
            self.events
                .push(self.now_ms + 10, Event::Waiting(router, request));
            return;
        }
        let number = usable[self.rng.random_range(0..usable.len())];
        self.endpoints[number]
            .running
            .push((request, router, alone));
        let run_ms = self.rng.random_range(10..400);
        if digest == CRASHING {
            self.events.push(self.now_ms + 20, Event::Crash(number));
        } else {
            self.events
                .push(self.now_ms + run_ms, Event::Completed(number, request));
        }
    }

    fn has_free_slot(&self, number: usize, alone: bool) -> bool {
        let state = &self.endpoints[number];
        let is_exclusive = state.running.iter().any(|(_, _, alone)| *alone);
        let slots = if alone { 1 } else { SLOTS };
        self.now_ms >= state.down_until_ms && !is_exclusive && state.running.len() < slots
    }

    fn complete(&mut self, number: usize, request: usize) {
        let running = &mut self.endpoints[number].running;
        let Some(index) = running.iter().position(|(other, _, _)| *other == request) else {
            return;
        };
        let (_, router, alone) = running.remove(index);
        self.requests[request].is_completed = true;
        let digest = self.requests[request].digest;
        self.routers[router].record_finished(&digest, alone, now_at(self.now_ms));
    }

    fn crash(&mut self, number: usize) {
        let running = std::mem::take(&mut self.endpoints[number].running);
        if !running
            .iter()
            .any(|(request, _, _)| self.requests[*request].digest == CRASHING)
        {
            self.endpoints[number].running = running;
            return;
        }
        self.crashed_endpoints += 1;
        self.endpoints[number].down_until_ms = self.now_ms + RESTART_MS;
        for router in 0..ROUTERS {
            let own = running.iter().filter(|(_, other, _)| *other == router);
            let alone = own.clone().any(|(_, _, alone)| *alone);
            let digests: Vec<RequestDigest> = own
                .map(|(request, _, _)| self.requests[*request].digest)
                .collect();
            if digests.is_empty() {
                continue;
            }
            let now = now_at(self.now_ms);
            self.routers[router].endpoint_crashed(&endpoint(number), &digests, alone, now);
            self.tick(router);
        }
        for (request, router, _) in running {
            self.attempt_lost(router, request);
        }
    }

    /// Retries a lost request at its router while a retry is left. Then the caller resends it.
    fn attempt_lost(&mut self, router: usize, request: usize) {
        if self.requests[request].retries_left > 0 {
            self.requests[request].retries_left -= 1;
            self.events
                .push(self.now_ms + 1, Event::Waiting(router, request));
        } else {
            let resend_ms = self.now_ms + self.rng.random_range(5..500);
            self.send(request, resend_ms);
        }
    }
}

#[test]
fn one_caller_resending_a_crashing_request_crashes_at_most_two_endpoints() {
    let mut max_crashed = 0;
    for seed in 0..100 {
        let outcome = run(seed, 1, true);
        max_crashed = max_crashed.max(outcome.crashed_endpoints);
        assert!(outcome.crashed_endpoints <= 2, "seed {seed}: {outcome:?}");
        assert_eq!(
            outcome.harmless_completed, outcome.harmless,
            "seed {seed}: {outcome:?}"
        );
        assert_eq!(outcome.harmless_refused, 0, "seed {seed}: {outcome:?}");
    }
    println!("one caller: at most {max_crashed} endpoints crashed");
}

#[test]
fn concurrent_callers_crash_at_most_one_endpoint_more_than_their_number() {
    for callers in [2, 4] {
        let mut max_crashed = 0;
        for seed in 0..100 {
            let outcome = run(seed, callers, true);
            max_crashed = max_crashed.max(outcome.crashed_endpoints);
            assert!(
                outcome.crashed_endpoints <= callers as u64 + 1,
                "seed {seed}: {outcome:?}"
            );
            assert_eq!(
                outcome.harmless_completed, outcome.harmless,
                "seed {seed}: {outcome:?}"
            );
        }
        println!("{callers} concurrent callers: at most {max_crashed} endpoints crashed");
    }
}

#[test]
fn without_quarantine_every_attempt_crashes_an_endpoint() {
    let outcome = run(0, 1, false);
    println!("without quarantine: {outcome:?}");
    // The router retries each send once.
    assert_eq!(outcome.crashed_endpoints, 2 * u64::from(SENDS_PER_CALLER));
}
