//! A fleet simulated in stepped time.

mod attempts;
mod store_calls;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use curranttrestle::coordination::router::{Decision, Effect, Input, Router};
use curranttrestle::protocol::platform::{CallId, StoreCall};
use curranttrestle::state::settings::{LoadReports, Settings};
use curranttrestle::state::sheet::SheetObject;
use curranttrestle::state::{EndpointId, Incarnation, InstanceId, Member, Now, RequestId};
use curranttrestled::router_options;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::counts::Counts;
use super::demand::Demand;
use super::endpoints::Endpoints;
use super::node::Node;
use super::sheet::{data_centre_name, endpoint_name, object_text};
use super::store::Store;

/// Length of a step in milliseconds, which is also the delay of a message.
const STEP_MS: u64 = 2;
/// Interval between two ticks of a router in milliseconds.
const TICK_INTERVAL_MS: u64 = 20;
/// Duration of a store call in milliseconds.
const STORE_MS: u64 = 4;
/// Timeout of a watch in milliseconds.
const WATCH_MS: u64 = 10_000;
/// Interval between two progress reports of an attempt in milliseconds.
const PROGRESS_MS: u64 = 200;
/// Number of seed peers that each router is given.
const SEED_PEERS: usize = 3;
/// Time at the start of a simulation.
const START: Now = Now {
    steady_ms: 10_000,
    unix_ms: 1_800_000_000_000,
};

/// The size and load of a simulated fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulationPlan {
    /// The number of routers.
    pub routers: usize,
    /// The number of data centres.
    pub data_centres: usize,
    /// The number of model engines.
    pub endpoints: usize,
    /// The number of slots of each model engine.
    pub slots: u32,
    /// The number of customers.
    pub customers: usize,
    /// The number of customers that are backlogged under load.
    pub backlogged: usize,
    /// Each backlogged customer calls one in this many routers.
    pub backlog_spread: usize,
    /// The mean number of tokens of a request.
    pub mean_tokens: f64,
    /// The time per token in milliseconds.
    pub token_ms: f64,
    /// Bookings per second at each router.
    pub bookings_per_s: f64,
}

impl SimulationPlan {
    /// The mean duration of a model request in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.mean_tokens * self.token_ms
    }

    /// The mean number of model slots per router.
    pub fn slots_per_router(&self) -> f64 {
        let slots = self.endpoints as u64 * u64::from(self.slots);
        crate::statistics::float(slots) / crate::statistics::float(self.routers as u64)
    }
}

/// An input that a router receives at a later time.
struct ScheduledInput {
    node: usize,
    input: Input,
}

/// A watch that waits for a change of its object.
struct PendingWatch {
    node: usize,
    call: CallId,
    request: StoreCall,
    until_ms: u64,
}

/// A running attempt.
struct RunningAttempt {
    endpoint: EndpointId,
    units: f64,
    started_ms: u64,
    end_ms: u64,
}

/// A simulated fleet.
pub struct SimulatedFleet {
    plan: SimulationPlan,
    /// The routers.
    pub nodes: Vec<Node>,
    by_address: IndexMap<SocketAddr, usize>,
    now: Now,
    store: Store,
    pending_watches: Vec<PendingWatch>,
    /// The store calls of all routers by second of simulated time.
    store_calls: IndexMap<u64, u64>,
    under_load: bool,
    demand: Demand,
    rng: ChaCha8Rng,
    /// Later inputs by their time in milliseconds; `due_times` holds the same times.
    scheduled: IndexMap<u64, Vec<ScheduledInput>>,
    due_times: BinaryHeap<Reverse<u64>>,
    running: IndexMap<String, RunningAttempt>,
    endpoints: Endpoints,
    /// The waiting requests of backlogged customers, with the index of the customer.
    backlog_requests: IndexMap<RequestId, usize>,
}

impl SimulatedFleet {
    /// Creates a fleet whose routers know only their seed peers.
    pub fn new(plan: &SimulationPlan, seed: u64) -> Self {
        Self::with_reports(plan, seed, LoadReports::default(), 0)
    }

    /// Creates a fleet that uses load reports as `mode` says. Reports show the state `lag_ms` ago.
    pub fn with_reports(plan: &SimulationPlan, seed: u64, mode: LoadReports, lag_ms: u64) -> Self {
        let mut settings = Settings::default();
        settings.policy.load_reports = mode;
        let members: Vec<Member> = (0..plan.routers).map(|index| member(plan, index)).collect();
        let seeds: Vec<SocketAddr> = members
            .iter()
            .take(SEED_PEERS)
            .map(|seed| seed.address)
            .collect();
        let mut by_address = IndexMap::new();
        let mut nodes = Vec::new();
        for (index, member) in members.into_iter().enumerate() {
            by_address.insert(member.address, index);
            let mut options = router_options::from_settings(&settings);
            options.seeds.clone_from(&seeds);
            let router = Router::new(member.clone(), options, START);
            let rng = ChaCha8Rng::seed_from_u64(seed + index as u64);
            nodes.push(Node::new(member, router, rng));
        }
        Self {
            plan: plan.clone(),
            nodes,
            by_address,
            now: START,
            store: Store::with_object(SheetObject::NAME, object_text(plan, 1)),
            pending_watches: Vec::new(),
            store_calls: IndexMap::new(),
            under_load: false,
            demand: Demand::new(plan, ChaCha8Rng::seed_from_u64(seed ^ 1)),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 2),
            scheduled: IndexMap::new(),
            due_times: BinaryHeap::new(),
            running: IndexMap::new(),
            endpoints: Endpoints::with_lag(lag_ms),
            backlog_requests: IndexMap::new(),
        }
    }

    /// Starts the load.
    pub fn start_load(&mut self) {
        self.under_load = true;
    }

    /// Stops a router at once. Attempts that it has started continue at the endpoints.
    pub fn stop_router(&mut self, node: usize) {
        self.nodes[node].alive = false;
    }

    /// The number of slots and of running attempts of each model engine.
    pub fn model_endpoints(&self) -> impl Iterator<Item = (u64, u64)> {
        let slots = u64::from(self.plan.slots);
        (0..self.plan.endpoints).map(move |index| {
            let running = self.endpoints.running(&endpoint_name(index));
            (slots, running.len() as u64)
        })
    }

    /// The current simulated time.
    pub fn now(&self) -> Now {
        self.now
    }

    /// Runs the simulation for `duration_ms`.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now.steady_ms + duration_ms;
        while self.now.steady_ms < end_ms {
            self.step();
        }
    }

    /// Resets the counters of all routers.
    pub fn reset_counts(&mut self) {
        for node in &mut self.nodes {
            node.counts = Counts::default();
        }
    }

    fn step(&mut self) {
        self.now = self.now.plus_ms(STEP_MS);
        self.expire_watches();
        self.run_due_inputs();
        for node in 0..self.nodes.len() {
            // Staggers the ticks of the routers.
            let phase = node as u64 * STEP_MS;
            if (self.now.steady_ms + phase).is_multiple_of(TICK_INTERVAL_MS) {
                self.handle(node, Input::Tick);
            }
        }
        if self.under_load {
            for arrival in self.demand.draw(&self.plan, STEP_MS, self.now) {
                if let Some(customer) = arrival.backlogged {
                    self.backlog_requests
                        .insert(arrival.request.request, customer);
                }
                self.handle(arrival.node, Input::Request(arrival.request));
            }
        }
        self.deliver();
    }

    fn run_due_inputs(&mut self) {
        while let Some(Reverse(at_ms)) = self.due_times.peek().copied() {
            if at_ms > self.now.steady_ms {
                return;
            }
            self.due_times.pop();
            for scheduled in self.scheduled.swap_remove(&at_ms).unwrap_or_default() {
                self.run_scheduled(scheduled);
            }
        }
    }

    fn run_scheduled(&mut self, scheduled: ScheduledInput) {
        if let Input::AttemptEnded { attempt, .. } = &scheduled.input {
            let attempt = attempt.to_string();
            if let Some(ended) = self.running.swap_remove(&attempt) {
                self.endpoints
                    .end_attempt(&ended.endpoint, &attempt, self.now);
            }
        }
        if let Input::AttemptProgress { attempt, .. } = &scheduled.input {
            self.schedule_progress(scheduled.node, attempt);
        }
        self.handle(scheduled.node, scheduled.input);
    }

    fn schedule(&mut self, after_ms: u64, node: usize, input: Input) {
        let at_ms = self.now.steady_ms + after_ms.max(STEP_MS);
        let inputs = self.scheduled.entry(at_ms).or_default();
        if inputs.is_empty() {
            self.due_times.push(Reverse(at_ms));
        }
        inputs.push(ScheduledInput { node, input });
    }

    fn deliver(&mut self) {
        for node in 0..self.nodes.len() {
            for (address, envelope) in self.nodes[node].take_envelopes() {
                if let Some(receiver) = self.by_address.get(&address) {
                    self.schedule(STEP_MS, *receiver, Input::Envelope(envelope));
                }
            }
        }
    }

    fn handle(&mut self, node: usize, input: Input) {
        for effect in self.nodes[node].handle(input, self.now) {
            self.apply_effect(node, effect);
        }
    }

    fn apply_effect(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Decide { request, decision } => {
                if let Some(customer) = self.backlog_requests.swap_remove(&request) {
                    self.demand.left_queue(node, customer);
                }
                match decision {
                    Decision::Dispatch(dispatch) => self.start_attempt(node, &dispatch),
                    Decision::Refuse(_) => self.nodes[node].counts.refused += 1,
                    Decision::Replay(_) => {}
                }
            }
            Effect::Store { call, request } => {
                let second = self.now.steady_ms / 1_000;
                *self.store_calls.entry(second).or_default() += 1;
                self.call_store(node, call, request);
            }
            Effect::PollLoad {
                endpoint, purpose, ..
            } => {
                let report = Some(self.endpoints.report(&endpoint, self.plan.slots, self.now));
                let input = Input::LoadReport {
                    endpoint,
                    purpose,
                    report,
                };
                self.schedule(STEP_MS, node, input);
            }
            Effect::Send { .. }
            | Effect::SendOrder { .. }
            | Effect::SheetInForce(_)
            | Effect::Emit(_) => {}
        }
    }
}

fn member(plan: &SimulationPlan, index: usize) -> Member {
    let [.., high, low] = u32::try_from(index).unwrap_or_default().to_be_bytes();
    Member {
        instance: InstanceId::new(&format!("router-{index:03}")),
        incarnation: Incarnation(START.unix_ms + index as u64),
        data_centre: data_centre_name(index % plan.data_centres),
        address: ([10, 1, high, low], 7_000).into(),
    }
}
