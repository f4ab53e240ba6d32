//! Guards against a gateway that serves nobody in time because it serves everybody, with a small
//! model of one gateway: a queue in which each served or refused request takes processor time.

use std::collections::VecDeque;

use curranttrestle::coordination::gateway::load_shedding::{
    LoadShedder, SheddingChange, SheddingOptions,
};
use curranttrestle::coordination::gateway::own_delay::OwnDelay;

use super::support::at;

/// Smallest target latency of the model's routes; the bound is a sixteenth of it.
const TARGET_MS: u64 = 480;
const BOUND_MS: u64 = 30;

/// Milliseconds of the queue for one served request: 1.5 ms of processor time at an eighth of a
/// core.
const SERVICE_MS: f64 = 12.0;
/// The same for a refusal.
const REFUSAL_MS: f64 = 0.4;
/// Requests per second that the gateway can serve without refusals.
const CAPACITY_PER_S: f64 = 1_000.0 / SERVICE_MS;

#[derive(Clone, Copy, Debug)]
struct Customer {
    /// Mean requests per second.
    per_s: f64,
    is_over_share: bool,
}

/// What one customer got.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    asked: u32,
    /// Served after a queue delay of at most an eighth of the target.
    in_time: u32,
    late: u32,
    refused: u32,
}

impl Outcome {
    fn in_time_fraction(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

/// A gateway with a queue of requests, in steps of one millisecond.
struct Model {
    shedder: LoadShedder,
    is_shedding: bool,
    queue: VecDeque<(usize, u64)>,
    /// Work left of the request in front.
    work_ms: f64,
    now_ms: u64,
    own_delay: OwnDelay,
    probe_due_ms: u64,
    changes: Vec<(u64, SheddingChange)>,
    arrivals: Vec<f64>,
    outcomes: Vec<Outcome>,
}

impl Model {
    fn new(is_shedding: bool) -> Self {
        Self {
            shedder: LoadShedder::new(SheddingOptions::default()),
            is_shedding,
            queue: VecDeque::new(),
            work_ms: 0.0,
            now_ms: 0,
            own_delay: OwnDelay::default(),
            probe_due_ms: 50,
            changes: Vec::new(),
            arrivals: Vec::new(),
            outcomes: Vec::new(),
        }
    }

    /// The delay of a request that arrives now.
    fn delay_ms(&self) -> u64 {
        self.queue
            .front()
            .map_or(0, |(_, arrived_ms)| self.now_ms - arrived_ms)
    }

    /// Runs for a time and returns what each customer got meanwhile, with the longest delay.
    fn run(&mut self, customers: &[Customer], duration_ms: u64) -> (Vec<Outcome>, u64) {
        self.arrivals.resize(customers.len(), 0.0);
        self.outcomes = vec![Outcome::default(); customers.len()];
        let mut longest_ms = 0;
        for _ in 0..duration_ms {
            self.now_ms += 1;
            for (index, customer) in customers.iter().enumerate() {
                self.arrivals[index] += customer.per_s / 1_000.0;
                while self.arrivals[index] >= 1.0 {
                    self.arrivals[index] -= 1.0;
                    self.outcomes[index].asked += 1;
                    self.queue.push_back((index, self.now_ms));
                }
            }
            self.work(customers);
            longest_ms = longest_ms.max(self.delay_ms());
            self.measure();
        }
        (self.outcomes.clone(), longest_ms)
    }

    /// One millisecond of processor time.
    fn work(&mut self, customers: &[Customer]) {
        let mut left_ms = 1.0;
        while left_ms > 0.0 {
            let done_ms = self.work_ms.min(left_ms);
            self.work_ms -= done_ms;
            left_ms -= done_ms;
            if left_ms <= 0.0 {
                return;
            }
            let Some((index, arrived_ms)) = self.queue.pop_front() else {
                return;
            };
            let outcome = &mut self.outcomes[index];
            let is_over_share = customers[index].is_over_share;
            if self.is_shedding && self.shedder.refuses(is_over_share) {
                outcome.refused += 1;
                self.work_ms = REFUSAL_MS;
            } else {
                self.work_ms = SERVICE_MS;
                if self.now_ms - arrived_ms <= TARGET_MS / 8 {
                    outcome.in_time += 1;
                } else {
                    outcome.late += 1;
                }
            }
        }
    }

    /// Measures the delay as the gateway does: a probe waits for its turn in the queue, and every
    /// 50 ms the delay that is known by then counts.
    fn measure(&mut self) {
        let now = at(self.now_ms);
        let due_ms = self.probe_due_ms;
        if self.now_ms >= due_ms + self.delay_ms() {
            self.own_delay.record_probe(now);
            let interval_ms = if self.now_ms - due_ms < 10 { 50 } else { 10 };
            self.probe_due_ms = self.now_ms + interval_ms;
            let due_ms = now.plus_ms(interval_ms).steady_ms;
            self.own_delay.expect_probe(due_ms);
        }
        if !self.now_ms.is_multiple_of(50) {
            return;
        }
        let delay_ms = self.own_delay.delay_ms(now);
        let change = self.shedder.record_delay(delay_ms, Some(TARGET_MS), now);
        if let Some(change) = change {
            self.changes.push((self.now_ms, change));
        }
    }
}

fn customer(load: f64) -> Customer {
    Customer {
        per_s: CAPACITY_PER_S * load,
        is_over_share: false,
    }
}

#[test]
fn nothing_is_refused_below_the_bound() {
    let mut model = Model::new(true);
    let customers = [customer(0.5), customer(0.4)];
    let (outcomes, _) = model.run(&customers, 60_000);
    assert!(outcomes.iter().all(|outcome| outcome.refused == 0));
    assert!(model.changes.is_empty());
}

#[test]
fn a_short_burst_is_not_refused() {
    let mut model = Model::new(true);
    model.run(&[customer(0.5)], 5_000);
    model.run(&[customer(2.0)], 100);
    model.run(&[customer(0.5)], 5_000);
    assert!(model.changes.is_empty());
}

#[test]
fn pauses_of_a_process_out_of_its_quota_are_no_reason_to_refuse() {
    // The process runs for 12 of 100 ms and handles everything in that time.
    let mut shedder = LoadShedder::new(SheddingOptions::default());
    for period in 0..600 {
        for (offset_ms, delay_ms) in [(0, 88), (2, 0), (12, 0)] {
            let now = at(period * 100 + offset_ms);
            assert_eq!(shedder.record_delay(delay_ms, Some(TARGET_MS), now), None);
        }
    }
}

#[test]
fn without_shedding_a_flood_makes_every_request_late() {
    let flood = [customer(0.5), customer(6.0)];
    let mut model = Model::new(false);
    model.run(&flood, 5_000);
    let (outcomes, _) = model.run(&flood, 30_000);
    assert!(outcomes.iter().all(|outcome| outcome.in_time == 0));
}

#[test]
fn a_flood_is_refused_as_needed_and_the_rest_is_served_in_time() {
    for load in [1.0, 2.0, 6.0, 11.0] {
        let flood = [customer(0.5), customer(load)];
        let mut model = Model::new(true);
        model.run(&[customer(0.5), customer(0.0)], 5_000);
        model.run(&flood, 5_000);
        let (outcomes, longest_ms) = model.run(&flood, 30_000);
        // Three quarters of the target are too late even if nothing else takes time.
        assert!(longest_ms < TARGET_MS / 2, "{longest_ms} ms at {load}");
        let served: u32 = outcomes.iter().map(|outcome| outcome.in_time).sum();
        // The processor time that refusals leave serves requests.
        let arrivals_per_s = (0.5 + load) * CAPACITY_PER_S;
        let possible_per_s = (1_000.0 - arrivals_per_s * REFUSAL_MS) / (SERVICE_MS - REFUSAL_MS);
        let served_part = f64::from(served) / (possible_per_s * 30.0);
        assert!(served_part > 0.8, "{served_part} at {load}");
        // No customer is singled out.
        let ratio = outcomes[0].in_time_fraction() / outcomes[1].in_time_fraction();
        assert!((0.8..1.25).contains(&ratio), "{ratio} at {load}");
    }
}

#[test]
fn customers_within_their_share_are_served_before_one_that_is_over_it() {
    let flood = [
        customer(0.3),
        customer(0.3),
        Customer {
            is_over_share: true,
            ..customer(6.0)
        },
    ];
    let mut model = Model::new(true);
    model.run(&[customer(0.3), customer(0.3), customer(0.0)], 5_000);
    model.run(&flood, 5_000);
    let (outcomes, _) = model.run(&flood, 30_000);
    for outcome in &outcomes[..2] {
        assert!(outcome.in_time_fraction() > 0.8, "{outcomes:?}");
    }
    assert!(outcomes[2].in_time > 0, "{outcomes:?}");
}

#[test]
fn shedding_ends_by_itself() {
    let mut model = Model::new(true);
    model.run(&[customer(6.0)], 10_000);
    let ended_ms = model.now_ms;
    model.run(&[customer(0.6)], 10_000);
    let [
        (started_ms, SheddingChange::Started { .. }),
        (last_ms, SheddingChange::Ended { refused, .. }),
    ] = model.changes[..]
    else {
        panic!("{:?}", model.changes);
    };
    assert!(started_ms < 1_000, "{started_ms}");
    assert!(refused > 0);
    assert!(last_ms < ended_ms + 3_000, "{last_ms}");
    let (outcomes, longest_ms) = model.run(&[customer(0.6)], 10_000);
    assert_eq!(outcomes[0].refused, 0);
    assert!(longest_ms < BOUND_MS, "{longest_ms}");
}

#[test]
fn the_share_status_of_a_customer_is_determined_rarely() {
    let mut shedder = LoadShedder::new(SheddingOptions::default());
    assert!(shedder.is_over_share("a", at(0), || true));
    assert!(shedder.is_over_share("a", at(49), || unreachable!()));
    assert!(!shedder.is_over_share("b", at(49), || false));
    assert!(!shedder.is_over_share("a", at(50), || false));
}
