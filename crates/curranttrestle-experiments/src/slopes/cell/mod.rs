//! One size of fleet, run in stepped time.

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

/// One step: also the time that a message takes.
const STEP_MS: u64 = 2;
/// The interval between two ticks of a router.
const TICK_INTERVAL_MS: u64 = 20;
/// Time of a store call.
const STORE_MS: u64 = 4;
/// How long a watch waits for news.
const WATCH_MS: u64 = 10_000;
/// The interval between two reports of an attempt's cost.
const PROGRESS_MS: u64 = 200;
/// Seeds that each router knows.
const SEEDS: usize = 3;
/// The present time when a cell begins.
const BEGIN: Now = Now {
    steady_ms: 10_000,
    unix_ms: 1_800_000_000_000,
};

/// The size and the load of a cell.
#[derive(Clone, Debug, PartialEq)]
pub struct CellPlan {
    /// Routers.
    pub routers: usize,
    /// Data centres.
    pub data_centres: usize,
    /// Model engines.
    pub endpoints: usize,
    /// Slots of each.
    pub slots: u32,
    /// Customers.
    pub customers: usize,
    /// How many of them are backlogged once the load begins.
    pub backlogged: usize,
    /// A backlogged customer calls one router in this many.
    pub backlog_spread: usize,
    /// Tokens of a request, in the mean.
    pub mean_tokens: f64,
    /// Time of a token.
    pub token_ms: f64,
    /// Bookings a second at each router.
    pub bookings_per_s: f64,
}

impl CellPlan {
    /// Time of a request in the mean.
    pub fn mean_ms(&self) -> f64 {
        self.mean_tokens * self.token_ms
    }

    /// Slots for each router.
    pub fn slots_per_router(&self) -> f64 {
        let slots = self.endpoints as u64 * u64::from(self.slots);
        crate::statistics::float(slots) / crate::statistics::float(self.routers as u64)
    }
}

/// Something that happens to a router later.
struct Later {
    node: usize,
    input: Input,
}

/// A watch that waits for news.
struct Watching {
    node: usize,
    call: CallId,
    request: StoreCall,
    until_ms: u64,
}

/// An attempt that runs.
struct Running {
    endpoint: EndpointId,
    tokens: f64,
    begun_ms: u64,
    end_ms: u64,
}

/// A cell that runs.
pub struct Cell {
    plan: CellPlan,
    /// The routers.
    pub nodes: Vec<Node>,
    by_address: IndexMap<SocketAddr, usize>,
    now: Now,
    store: Store,
    watching: Vec<Watching>,
    store_calls: IndexMap<u64, u64>,
    loaded: bool,
    demand: Demand,
    rng: ChaCha8Rng,
    later: IndexMap<u64, Vec<Later>>,
    due: BinaryHeap<Reverse<u64>>,
    running: IndexMap<String, Running>,
    endpoints: Endpoints,
    backlogged: IndexMap<RequestId, usize>,
}

impl Cell {
    /// A cell whose routers know nothing yet.
    pub fn new(plan: &CellPlan, seed: u64) -> Self {
        Self::with_reports(plan, seed, LoadReports::default(), 0)
    }

    /// A cell with a way to treat load reports, which show the state of some time ago.
    pub fn with_reports(plan: &CellPlan, seed: u64, mode: LoadReports, lag_ms: u64) -> Self {
        let mut settings = Settings::default();
        settings.policy.load_reports = mode;
        let members: Vec<Member> = (0..plan.routers).map(|index| member(plan, index)).collect();
        let seeds: Vec<SocketAddr> = members
            .iter()
            .take(SEEDS)
            .map(|seed| seed.address)
            .collect();
        let mut by_address = IndexMap::new();
        let mut nodes = Vec::new();
        for (index, member) in members.into_iter().enumerate() {
            by_address.insert(member.address, index);
            let mut options = router_options::from_settings(&settings);
            options.seeds.clone_from(&seeds);
            let router = Router::new(member.clone(), options, BEGIN);
            let rng = ChaCha8Rng::seed_from_u64(seed + index as u64);
            nodes.push(Node::new(member, router, rng));
        }
        Self {
            plan: plan.clone(),
            nodes,
            by_address,
            now: BEGIN,
            store: Store::with(SheetObject::NAME, object_text(plan, 1)),
            watching: Vec::new(),
            store_calls: IndexMap::new(),
            loaded: false,
            demand: Demand::new(plan, ChaCha8Rng::seed_from_u64(seed ^ 1)),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 2),
            later: IndexMap::new(),
            due: BinaryHeap::new(),
            running: IndexMap::new(),
            endpoints: Endpoints::with_lag(lag_ms),
            backlogged: IndexMap::new(),
        }
    }

    /// Begins the load.
    pub fn begin_load(&mut self) {
        self.loaded = true;
    }

    /// Ends a router at once. What it had begun goes on at the endpoints.
    pub fn lose_router(&mut self, node: usize) {
        self.nodes[node].alive = false;
    }

    /// The slots of each model engine and the attempts that run on it.
    pub fn model_endpoints(&self) -> impl Iterator<Item = (u64, u64)> {
        let slots = u64::from(self.plan.slots);
        (0..self.plan.endpoints).map(move |index| {
            let running = self.endpoints.running(&endpoint_name(index));
            (slots, running.len() as u64)
        })
    }

    /// The present time.
    pub fn now(&self) -> Now {
        self.now
    }

    /// Goes on for a time.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now.steady_ms + duration_ms;
        while self.now.steady_ms < end_ms {
            self.step();
        }
    }

    /// Clears the counts of all routers.
    pub fn clear_counts(&mut self) {
        for node in &mut self.nodes {
            node.counts = Counts::default();
        }
    }

    fn step(&mut self) {
        self.now = self.now.plus_ms(STEP_MS);
        self.expire_watches();
        self.run_due();
        for node in 0..self.nodes.len() {
            // Routers do not tick at the same moment.
            let phase = node as u64 * STEP_MS;
            if (self.now.steady_ms + phase).is_multiple_of(TICK_INTERVAL_MS) {
                self.handle(node, Input::Tick);
            }
        }
        if self.loaded {
            for arrival in self.demand.draw(&self.plan, STEP_MS, self.now) {
                if let Some(customer) = arrival.backlogged {
                    self.backlogged.insert(arrival.request.request, customer);
                }
                self.handle(arrival.node, Input::Request(arrival.request));
            }
        }
        self.deliver();
    }

    fn run_due(&mut self) {
        while let Some(Reverse(at_ms)) = self.due.peek().copied() {
            if at_ms > self.now.steady_ms {
                return;
            }
            self.due.pop();
            for later in self.later.swap_remove(&at_ms).unwrap_or_default() {
                self.run_later(later);
            }
        }
    }

    fn run_later(&mut self, later: Later) {
        if let Input::AttemptEnded { attempt, .. } = &later.input {
            let attempt = attempt.to_string();
            if let Some(ended) = self.running.swap_remove(&attempt) {
                self.endpoints.end(&ended.endpoint, &attempt, self.now);
            }
        }
        if let Input::AttemptProgress { attempt, .. } = &later.input {
            self.plan_progress(later.node, attempt);
        }
        self.handle(later.node, later.input);
    }

    fn plan(&mut self, after_ms: u64, node: usize, input: Input) {
        let at_ms = self.now.steady_ms + after_ms.max(STEP_MS);
        let list = self.later.entry(at_ms).or_default();
        if list.is_empty() {
            self.due.push(Reverse(at_ms));
        }
        list.push(Later { node, input });
    }

    fn deliver(&mut self) {
        for node in 0..self.nodes.len() {
            for (address, envelope) in self.nodes[node].take_envelopes() {
                if let Some(receiver) = self.by_address.get(&address) {
                    self.plan(STEP_MS, *receiver, Input::Envelope(envelope));
                }
            }
        }
    }

    fn handle(&mut self, node: usize, input: Input) {
        for effect in self.nodes[node].handle(input, self.now) {
            self.carry_out(node, effect);
        }
    }

    fn carry_out(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Decide { request, decision } => {
                if let Some(customer) = self.backlogged.swap_remove(&request) {
                    self.demand.left_queue(node, customer);
                }
                match decision {
                    Decision::Dispatch(dispatch) => self.begin_attempt(node, &dispatch),
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
                self.plan(STEP_MS, node, input);
            }
            Effect::Send { .. }
            | Effect::SendOrder { .. }
            | Effect::SheetInForce(_)
            | Effect::Emit(_) => {}
        }
    }
}

fn member(plan: &CellPlan, index: usize) -> Member {
    let [.., high, low] = u32::try_from(index).unwrap_or_default().to_be_bytes();
    Member {
        instance: InstanceId::new(&format!("router-{index:03}")),
        incarnation: Incarnation(BEGIN.unix_ms + index as u64),
        data_centre: data_centre_name(index % plan.data_centres),
        address: ([10, 1, high, low], 7_000).into(),
    }
}
