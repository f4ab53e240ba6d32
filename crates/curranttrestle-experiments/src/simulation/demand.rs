//! Generates the requests of a simulated fleet.

use curranttrestle::coordination::router::NewRequest;
use curranttrestle::state::{Now, RequestId};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use uuid::{Builder, Uuid};

use super::fleet::SimulationPlan;
use super::sheet::{BOOK, DRAFT, customer_name};

/// Number of requests that a backlogged customer keeps waiting at each router it calls.
const BACKLOG: u32 = 6;
/// Interval in milliseconds at which a backlogged customer sends a router another request, if
/// fewer than [`BACKLOG`] are waiting.
const TOP_UP_MS: u64 = 20;
/// Deadline of requests in milliseconds.
const DEADLINE_MS: u64 = 120_000;
/// Demand of the customers without a backlog, as a fraction of the capacity.
const STEADY_LOAD: f64 = 0.7;

/// A generator of requests.
pub struct Demand {
    rng: ChaCha8Rng,
    /// Waiting requests by router and backlogged customer.
    waiting: Vec<Vec<u32>>,
}

/// A request that arrives at a router.
pub struct Arrival {
    /// The index of the router.
    pub node: usize,
    /// The request.
    pub request: NewRequest,
    /// The index of its customer, if that is backlogged.
    pub backlogged: Option<usize>,
}

impl Demand {
    /// Creates a generator that has sent no requests.
    pub fn new(plan: &SimulationPlan, rng: ChaCha8Rng) -> Self {
        Self {
            rng,
            waiting: vec![vec![0; plan.backlogged]; plan.routers],
        }
    }

    /// Draws the requests that arrive within the next `step_ms`.
    pub fn draw(&mut self, plan: &SimulationPlan, step_ms: u64, now: Now) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        let duration_s = crate::statistics::float(step_ms) / 1_000.0;
        let steady_per_s = STEADY_LOAD * plan.slots_per_router() * 1_000.0 / plan.mean_ms();
        for node in 0..plan.routers {
            if plan.customers > plan.backlogged && self.draw_event(steady_per_s * duration_s) {
                let customer = self.rng.random_range(plan.backlogged..plan.customers);
                arrivals.push(self.arrival(node, customer, DRAFT, now));
            }
            if self.draw_event(plan.bookings_per_s * duration_s) {
                let customer = self.rng.random_range(0..plan.customers);
                arrivals.push(self.arrival(node, customer, BOOK, now));
            }
            self.top_up(plan, node, now, &mut arrivals);
        }
        arrivals
    }

    /// Adds a request for each backlogged customer that calls this router and has fewer than
    /// [`BACKLOG`] requests waiting there.
    fn top_up(
        &mut self,
        plan: &SimulationPlan,
        node: usize,
        now: Now,
        arrivals: &mut Vec<Arrival>,
    ) {
        if !now.steady_ms.is_multiple_of(TOP_UP_MS) {
            return;
        }
        for customer in 0..plan.backlogged {
            if !(node + customer).is_multiple_of(plan.backlog_spread) {
                continue;
            }
            if self.waiting[node][customer] < BACKLOG {
                self.waiting[node][customer] += 1;
                let mut arrival = self.arrival(node, customer, DRAFT, now);
                arrival.backlogged = Some(customer);
                arrivals.push(arrival);
            }
        }
    }

    /// Records that a request of a backlogged customer has left the router's queue.
    pub fn left_queue(&mut self, node: usize, customer: usize) {
        let waiting = &mut self.waiting[node][customer];
        *waiting = waiting.saturating_sub(1);
    }

    fn draw_event(&mut self, probability: f64) -> bool {
        self.rng.random::<f64>() < probability
    }

    fn arrival(&mut self, node: usize, customer: usize, operation: &str, now: Now) -> Arrival {
        let key = (operation == BOOK).then(|| self.uuid(now));
        let request = NewRequest {
            request: RequestId(self.uuid(now)),
            customer: customer_name(customer),
            operation: operation.to_owned(),
            key,
            digest: self.rng.random(),
            hint_units: None,
            deadline_ms: now.steady_ms + DEADLINE_MS,
        };
        Arrival {
            node,
            request,
            backlogged: None,
        }
    }

    fn uuid(&mut self, now: Now) -> Uuid {
        Builder::from_unix_timestamp_millis(now.unix_ms, &self.rng.random()).into_uuid()
    }
}
