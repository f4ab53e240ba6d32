//! Simulates routers, a faulty store and callers that retry their requests.

mod effects;
mod plan;
mod report;
mod store;

use std::ops::Range;

use curranttrestle::coordination::claims::{ClaimEffect, ClaimManager, ClaimOptions};
use curranttrestle::protocol::peer::{ClaimResult, PeerMessage, StoredBody, StoredResponse};
use curranttrestle::protocol::platform::{CallId, StoreCall, StoreResponse};
use curranttrestle::state::{
    AttemptId, CustomerId, Incarnation, InstanceId, MemberView, Now, RequestId,
};
use indexmap::IndexMap;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use crate::support::{START_UNIX_MS, Schedule, member_view, router_name};
use store::FakeStore;

pub use report::{Fault, Report};

const ROUTERS: usize = 3;
const KEYS: usize = 12;
const REQUESTS_PER_KEY: usize = 5;
/// The interval between the later requests, each with its own key and without retries.
const LATE_ARRIVAL_INTERVAL_MS: usize = 1_000;
/// The simulated time during which retried requests arrive, and routers freeze and restart.
const ARRIVALS_MS: u64 = 30_000;
/// The simulated time at which a run ends.
const END_MS: u64 = 90_000;
const TICK_MS: u64 = 20;
const RETENTION_MS: u64 = 10_000;
/// How long after a freeze a router still uses the wall-clock time that it read before the freeze
/// ([`Fault::StaleClock`]).
const STALE_MS: u64 = 500;

/// An input of a router.
#[derive(Clone, Debug)]
enum Input {
    Tick,
    Begin(usize),
    Store(CallId, StoreResponse),
    Peer(InstanceId, PeerMessage),
    SlotReady(usize),
    RunEnded(AttemptId, ClaimResult),
}

#[derive(Clone, Debug)]
enum Event {
    /// An input for one run of a router; dropped after a restart.
    Router(usize, u64, Input),
    /// A request that arrives at a router; it belongs to the router's run at that time.
    Arrival(usize, usize),
    Store(usize, u64, CallId, StoreCall),
    Restart(usize),
}

/// A request of a caller.
#[derive(Clone, Debug)]
struct Request {
    key: usize,
    router: usize,
    run: u64,
    attempt: Option<AttemptId>,
    dispatched: bool,
    verdicts: u32,
    ended: bool,
}

struct Router {
    claims: ClaimManager,
    run: u64,
    frozen_until_ms: u64,
    stale_until_ms: u64,
    stale_unix_ms: u64,
    clock_offset_ms: u64,
    next_attempt: u64,
}

struct Simulation {
    rng: ChaCha8Rng,
    fault: Fault,
    now_ms: u64,
    events: Schedule<Event>,
    routers: Vec<Router>,
    store: FakeStore,
    requests: Vec<Request>,
    keys: Vec<Uuid>,
    /// When each router is partitioned from the others, but not from the store, in milliseconds of
    /// simulated time.
    partitions: Vec<Range<u64>>,
    dispatches: IndexMap<usize, u64>,
    report: Report,
}

/// Runs one simulation.
pub fn run(seed: u64, fault: Fault) -> Report {
    let mut simulation = Simulation::new(seed, fault);
    simulation.schedule_events();
    while let Some((at_ms, event)) = simulation.events.pop_or_discard(END_MS) {
        simulation.now_ms = at_ms;
        simulation.handle(event);
    }
    simulation.finish()
}

fn options() -> ClaimOptions {
    ClaimOptions {
        bucket_ms: 1_000,
        shards: 2,
        retention_ms: RETENTION_MS,
        max_future_ms: 1_000,
        deletion_margin_ms: 2_000,
        writer_timeout_ms: 40,
        call_timeout_ms: 300,
        sweep_interval_ms: 500,
        fatal_invariants: false,
        ..ClaimOptions::default()
    }
}

fn response_for(key: usize, attempt: &AttemptId) -> StoredResponse {
    StoredResponse {
        status: 201,
        content_type: String::from("text/plain"),
        body: StoredBody::Whole(format!("{key} by {attempt}").into_bytes()),
    }
}

impl Simulation {
    fn handle(&mut self, event: Event) {
        match event {
            Event::Store(router, run, call, request) => {
                self.handle_store_call(router, run, call, &request);
            }
            Event::Restart(router) => self.restart(router),
            Event::Arrival(router, request) => {
                let run = self.routers[router].run;
                self.requests[request].run = run;
                self.deliver(router, run, Input::Begin(request));
            }
            Event::Router(router, run, input) => self.deliver(router, run, input),
        }
    }

    fn deliver(&mut self, router: usize, run: u64, input: Input) {
        if self.routers[router].run != run {
            return;
        }
        let frozen_until_ms = self.routers[router].frozen_until_ms;
        if self.now_ms < frozen_until_ms {
            self.events
                .push(frozen_until_ms, Event::Router(router, run, input));
            return;
        }
        let now = self.clock(router);
        let members = self.members(router);
        let effects = match input {
            Input::Tick => self.tick(router, run, now, &members),
            Input::Begin(request) => self.begin(request, now, &members),
            Input::Store(call, response) => {
                let claims = &mut self.routers[router].claims;
                claims.receive_store_response(call, response, now, &members)
            }
            Input::Peer(from, PeerMessage::ClaimRequest(request)) => {
                let claims = &mut self.routers[router].claims;
                claims.receive_request(&from, request, now)
            }
            Input::Peer(from, PeerMessage::ClaimAnswer(response)) => {
                let claims = &mut self.routers[router].claims;
                claims.receive_response(&from, &response, now)
            }
            Input::Peer(..) => Vec::new(),
            Input::SlotReady(request) => self.slot_ready(router, request, now),
            Input::RunEnded(attempt, result) => {
                self.routers[router].claims.finish(&attempt, result, now)
            }
        };
        self.perform(router, effects);
    }

    fn is_partitioned(&self, router: usize) -> bool {
        self.partitions[router].contains(&self.now_ms)
    }

    /// The members that a router sees: itself and, unless it is partitioned, the others that are
    /// not partitioned.
    fn members(&self, me: usize) -> MemberView {
        let is_seen = |other: &usize| {
            *other == me || (!self.is_partitioned(me) && !self.is_partitioned(*other))
        };
        member_view(me, (0..ROUTERS).filter(is_seen))
    }

    fn clock(&self, router: usize) -> Now {
        let router = &self.routers[router];
        let true_unix_ms = START_UNIX_MS + self.now_ms + router.clock_offset_ms;
        let is_stale = self.fault == Fault::StaleClock && self.now_ms < router.stale_until_ms;
        Now {
            steady_ms: self.now_ms,
            unix_ms: if is_stale {
                router.stale_unix_ms
            } else {
                true_unix_ms
            },
        }
    }

    fn tick(
        &mut self,
        router: usize,
        run: u64,
        now: Now,
        members: &MemberView,
    ) -> Vec<ClaimEffect> {
        self.events.push(
            self.now_ms + TICK_MS,
            Event::Router(router, run, Input::Tick),
        );
        if self.now_ms < ARRIVALS_MS && self.rng.random_bool(0.01) {
            let max_duration_ms = if self.rng.random_bool(0.3) {
                25_000
            } else {
                500
            };
            let duration_ms = self.rng.random_range(0..max_duration_ms);
            let frozen = &mut self.routers[router];
            frozen.frozen_until_ms = self.now_ms + duration_ms;
            frozen.stale_until_ms = frozen.frozen_until_ms + STALE_MS;
            frozen.stale_unix_ms = now.unix_ms;
        }
        self.routers[router].claims.tick(now, members)
    }

    fn begin(&mut self, request: usize, now: Now, members: &MemberView) -> Vec<ClaimEffect> {
        let (key, router) = (self.requests[request].key, self.requests[request].router);
        let attempt = AttemptId {
            instance: router_name(router),
            incarnation: Incarnation(self.routers[router].run),
            sequence: self.routers[router].next_attempt,
        };
        self.routers[router].next_attempt += 1;
        self.requests[request].attempt = Some(attempt.clone());
        let deadline_ms = now.steady_ms + self.rng.random_range(200..3_000);
        self.routers[router].claims.begin(
            request_id(request),
            &CustomerId::new("armor"),
            self.keys[key],
            [u8::try_from(key).unwrap(); 16],
            attempt,
            deadline_ms,
            now,
            members,
        )
    }

    /// Dispatches a request that holds its claim and got a slot, unless its caller gives up or the
    /// claim no longer permits it.
    fn slot_ready(&mut self, router: usize, request: usize, now: Now) -> Vec<ClaimEffect> {
        let attempt = self.requests[request].attempt.clone().unwrap();
        let caller_gives_up = self.rng.random_bool(0.1);
        if caller_gives_up || !self.routers[router].claims.may_dispatch(&attempt, now) {
            self.end_not_run(request);
            let claims = &mut self.routers[router].claims;
            return claims.finish(&attempt, ClaimResult::NotRun, now);
        }
        let key = self.requests[request].key;
        self.requests[request].dispatched = true;
        self.requests[request].ended = true;
        *self.dispatches.entry(key).or_default() += 1;
        self.report.dispatches += 1;
        let result = if self.rng.random_bool(0.8) {
            ClaimResult::Answered(response_for(key, &attempt))
        } else {
            ClaimResult::Unknown
        };
        let end_ms = self.now_ms + self.rng.random_range(1..400);
        let run = self.routers[router].run;
        let input = Input::RunEnded(attempt, result);
        self.events.push(end_ms, Event::Router(router, run, input));
        Vec::new()
    }

    fn end_not_run(&mut self, request: usize) {
        self.report.not_run += 1;
        self.requests[request].ended = true;
        self.report.false_not_run += u64::from(self.requests[request].dispatched);
    }

    /// Restarts a router without its memory; its callers lose their connections.
    fn restart(&mut self, router: usize) {
        let ended = &mut self.routers[router];
        self.report.violations += ended.claims.invariants().total();
        ended.run += 1;
        ended.frozen_until_ms = 0;
        ended.claims = ClaimManager::new(&router_name(router), Incarnation(ended.run), options());
        let run = ended.run;
        for request in &mut self.requests {
            if request.router == router && request.run > 0 && !request.ended {
                request.ended = true;
                request.verdicts = 1;
                self.report.lost_to_restarts += 1;
            }
        }
        self.events
            .push(self.now_ms, Event::Router(router, run, Input::Tick));
    }

    fn finish(mut self) -> Report {
        for router in &self.routers {
            self.report.violations += router.claims.invariants().total();
        }
        for request in &self.requests {
            self.report.requests += 1;
            self.report.without_verdict += u64::from(!request.ended);
            self.report.duplicate_verdicts += u64::from(request.verdicts > 1);
        }
        let is_too_large = self.store.largest_bytes() > options().max_object_bytes;
        self.report.violations += u64::from(is_too_large);
        let max_dispatches = self.dispatches.values().copied().max();
        self.report.max_dispatches = max_dispatches.unwrap_or_default();
        self.report.deleted_objects = self.store.deleted;
        self.report
    }
}

fn request_id(request: usize) -> RequestId {
    RequestId(Uuid::from_u128(request as u128))
}
