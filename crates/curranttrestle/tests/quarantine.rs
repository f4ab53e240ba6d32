//! Requests that crash endpoints: routers, endpoints and callers that send them again.

#[path = "support/mod.rs"]
mod support;

use curranttrestle::coordination::quarantine::{
    Admission, Quarantine, QuarantineOptions, RequestDigest,
};
use curranttrestle::protocol::peer::{PeerMessage, Suspicions};
use curranttrestle::state::EndpointId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use support::{Schedule, at, members, router_number};

const ROUTERS: usize = 6;
const ENDPOINTS: usize = 12;
const SLOTS: usize = 4;
const ARRIVALS_MS: u64 = 20_000;
const END_MS: u64 = 60_000;
/// How long a dead endpoint takes to restart.
const RESTART_MS: u64 = 3_000;
/// How often a caller sends its request again, each time with another key.
const SENDS: u32 = 8;
const KILLER: RequestDigest = [255; 16];
/// The digest that a third of the innocent requests share.
const POPULAR: RequestDigest = [254; 16];

fn endpoint(number: usize) -> EndpointId {
    EndpointId::new(&format!("m{number}"))
}

#[derive(Clone, Debug)]
enum Event {
    /// A caller sends its request to a router.
    Sent(usize, usize),
    /// A request looks for an endpoint.
    Waiting(usize, usize),
    Ended(usize, usize),
    Died(usize),
    Message(usize, Suspicions),
    Tick(usize),
}

#[derive(Clone, Debug)]
struct Request {
    digest: RequestDigest,
    sends_left: u32,
    retries_left: u32,
    is_answered: bool,
    is_refused: bool,
}

#[derive(Clone, Debug, Default)]
struct EndpointState {
    down_until_ms: u64,
    /// Each running request, its router and whether it asked to be alone.
    running: Vec<(usize, usize, bool)>,
}

#[derive(Debug, Default)]
struct Outcome {
    lost_endpoints: u64,
    innocents: u64,
    innocents_answered: u64,
    innocents_refused: u64,
}

struct World {
    rng: ChaCha8Rng,
    with_quarantine: bool,
    now_ms: u64,
    events: Schedule<Event>,
    routers: Vec<Quarantine>,
    endpoints: Vec<EndpointState>,
    requests: Vec<Request>,
    lost_endpoints: u64,
}

/// `killers` callers send the request that crashes endpoints at about the same time.
fn run(seed: u64, killers: usize, with_quarantine: bool) -> Outcome {
    let mut world = World {
        rng: ChaCha8Rng::seed_from_u64(seed),
        with_quarantine,
        now_ms: 0,
        events: Schedule::new(),
        routers: vec![Quarantine::new(QuarantineOptions::default()); ROUTERS],
        endpoints: vec![EndpointState::default(); ENDPOINTS],
        requests: Vec::new(),
        lost_endpoints: 0,
    };
    for number in 0..600_u64 {
        let mut digest = [0; 16];
        digest[..8].copy_from_slice(&number.to_le_bytes());
        let digest = if number % 3 == 0 { POPULAR } else { digest };
        let at_ms = world.rng.random_range(0..ARRIVALS_MS);
        world.caller(digest, 3, at_ms);
    }
    for _ in 0..killers {
        let at_ms = 5_000 + world.rng.random_range(0..5);
        world.caller(KILLER, SENDS, at_ms);
    }
    for router in 0..ROUTERS {
        world.events.push(0, Event::Tick(router));
    }
    while let Some((at_ms, event)) = world.events.pop(END_MS) {
        world.now_ms = at_ms;
        world.handle(event);
    }
    let innocents = world
        .requests
        .iter()
        .filter(|request| request.digest != KILLER);
    let count = |holds: fn(&&Request) -> bool| innocents.clone().filter(holds).count() as u64;
    Outcome {
        lost_endpoints: world.lost_endpoints,
        innocents: count(|_| true),
        innocents_answered: count(|request| request.is_answered),
        innocents_refused: count(|request| request.is_refused),
    }
}

impl World {
    fn caller(&mut self, digest: RequestDigest, sends: u32, at_ms: u64) {
        self.requests.push(Request {
            digest,
            sends_left: sends,
            retries_left: 0,
            is_answered: false,
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
        let now = at(self.now_ms);
        match event {
            Event::Sent(router, request) => self
                .events
                .push(self.now_ms, Event::Waiting(router, request)),
            Event::Waiting(router, request) => self.place(router, request),
            Event::Ended(number, request) => self.ended(number, request),
            Event::Died(number) => self.died(number),
            Event::Message(router, suspicions) => self.routers[router].receive(&suspicions, now),
            Event::Tick(router) => {
                self.tick(router);
                self.events.push(self.now_ms + 50, Event::Tick(router));
            }
        }
    }

    fn tick(&mut self, router: usize) {
        let messages = self.routers[router].tick(&members(router, 0..ROUTERS), at(self.now_ms));
        for (to, message) in messages {
            let receiver = router_number(&to);
            if let PeerMessage::Suspicions(suspicions) = message {
                let delay_ms = self.rng.random_range(1..4);
                self.events
                    .push(self.now_ms + delay_ms, Event::Message(receiver, suspicions));
            }
        }
    }

    /// Starts a request on an endpoint, refuses it or lets it wait.
    fn place(&mut self, router: usize, request: usize) {
        let digest = self.requests[request].digest;
        let admission = if self.with_quarantine {
            self.routers[router].admission(&digest, at(self.now_ms))
        } else {
            Admission::Free
        };
        if admission == Admission::Refused {
            self.requests[request].is_refused = true;
            let again_ms = self.now_ms + self.rng.random_range(5..500);
            self.send(request, again_ms);
            return;
        }
        let alone = admission == Admission::Alone;
        let now = at(self.now_ms);
        if self.with_quarantine && !self.routers[router].may_start(&digest, alone, now) {
            self.events
                .push(self.now_ms + 10, Event::Waiting(router, request));
            return;
        }
        let usable: Vec<usize> = (0..ENDPOINTS)
            .filter(|number| self.has_room(*number, alone))
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
        if digest == KILLER {
            self.events.push(self.now_ms + 20, Event::Died(number));
        } else {
            self.events
                .push(self.now_ms + run_ms, Event::Ended(number, request));
        }
    }

    fn has_room(&self, number: usize, alone: bool) -> bool {
        let state = &self.endpoints[number];
        let is_exclusive = state.running.iter().any(|(_, _, alone)| *alone);
        let slots = if alone { 1 } else { SLOTS };
        self.now_ms >= state.down_until_ms && !is_exclusive && state.running.len() < slots
    }

    fn ended(&mut self, number: usize, request: usize) {
        let running = &mut self.endpoints[number].running;
        let Some(place) = running.iter().position(|(other, _, _)| *other == request) else {
            return;
        };
        let (_, router, alone) = running.remove(place);
        self.requests[request].is_answered = true;
        let digest = self.requests[request].digest;
        self.routers[router].finished(&digest, alone, at(self.now_ms));
    }

    fn died(&mut self, number: usize) {
        let running = std::mem::take(&mut self.endpoints[number].running);
        if !running
            .iter()
            .any(|(request, _, _)| self.requests[*request].digest == KILLER)
        {
            self.endpoints[number].running = running;
            return;
        }
        self.lost_endpoints += 1;
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
            let now = at(self.now_ms);
            self.routers[router].endpoint_died(&endpoint(number), &digests, alone, now);
            self.tick(router);
        }
        for (request, router, _) in running {
            self.lost(router, request);
        }
    }

    /// The router tries once more; then the caller does, a few milliseconds later.
    fn lost(&mut self, router: usize, request: usize) {
        if self.requests[request].retries_left > 0 {
            self.requests[request].retries_left -= 1;
            self.events
                .push(self.now_ms + 1, Event::Waiting(router, request));
        } else {
            let again_ms = self.now_ms + self.rng.random_range(5..500);
            self.send(request, again_ms);
        }
    }
}

#[test]
fn one_caller_that_repeats_its_request_loses_two_endpoints_at_most() {
    let mut most = 0;
    for seed in 0..100 {
        let outcome = run(seed, 1, true);
        most = most.max(outcome.lost_endpoints);
        assert!(outcome.lost_endpoints <= 2, "seed {seed}: {outcome:?}");
        assert_eq!(
            outcome.innocents_answered, outcome.innocents,
            "seed {seed}: {outcome:?}"
        );
        assert_eq!(outcome.innocents_refused, 0, "seed {seed}: {outcome:?}");
    }
    println!("one caller: at most {most} endpoints lost");
}

#[test]
fn callers_at_the_same_time_lose_one_endpoint_more_than_they_are() {
    for callers in [2, 4] {
        let mut most = 0;
        for seed in 0..100 {
            let outcome = run(seed, callers, true);
            most = most.max(outcome.lost_endpoints);
            assert!(
                outcome.lost_endpoints <= callers as u64 + 1,
                "seed {seed}: {outcome:?}"
            );
            assert_eq!(
                outcome.innocents_answered, outcome.innocents,
                "seed {seed}: {outcome:?}"
            );
        }
        println!("{callers} callers at once: at most {most} endpoints lost");
    }
}

#[test]
fn without_the_quarantine_each_try_loses_an_endpoint() {
    let outcome = run(0, 1, false);
    println!("without the quarantine: {outcome:?}");
    assert_eq!(outcome.lost_endpoints, 2 * u64::from(SENDS));
}
