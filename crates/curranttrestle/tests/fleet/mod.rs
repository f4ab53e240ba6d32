//! Simulated fleet: the queues, fair shares, slot owners and slot holders of several
//! routers, connected by a message loop with delays, losses and partitions. An endpoint is
//! simulated as a number of slots with running requests.
#![allow(
    dead_code,
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]

mod arrivals;
mod membership;
mod messages;
mod setup;
mod stats;

use std::collections::{BTreeMap, VecDeque};

use curranttrestle::coordination::cost::{CostEstimator, CostHints, CostOptions};
use curranttrestle::coordination::fair_share::{FairShare, FairShareOptions};
use curranttrestle::coordination::queue::{QueueOptions, Queues, WaitingRequest};
use curranttrestle::coordination::rendezvous;
use curranttrestle::coordination::slots::{
    Assignment, EndpointOwner, OwnedEndpoint, PoolOwners, SlotHolder, SlotLoadReport, SlotOptions,
    SlotOwner,
};
use curranttrestle::protocol::peer::{LeaseId, PeerMessage};
use curranttrestle::state::sheet::{Customer, Endpoint, EndpointKind, KeyDigest, Sheet};
use curranttrestle::state::{
    AccountId, CustomerId, DataCentreId, EndpointId, Incarnation, InstanceId, Member, MemberView,
    Now, PoolId, RequestId,
};
use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

pub use setup::{FleetSetup, Load, POOL, account, customer, data_centre, sheet};

const START_TIME_MS: u64 = 10_000;

/// A request running on an endpoint.
pub struct Running {
    pub assignment: Assignment,
    pub started_ms: u64,
    pub ends_ms: u64,
    pub cost: f64,
    pub hint: f64,
}

pub struct Router {
    pub member: Member,
    pub alive: bool,
    pub slot_owner: SlotOwner,
    pub slot_holder: SlotHolder,
    pub queues: Queues,
    pub fair_share: FairShare,
    pub estimator: CostEstimator,
    pub running: Vec<Running>,
    pub view: MemberView,
    pub owners: IndexMap<PoolId, PoolOwners>,
    rng: ChaCha8Rng,
    backlogged: Vec<AccountId>,
    /// Whether the state has changed since the last control step.
    needs_control_step: bool,
}

/// Measurements of a run, taken from outside the routers.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    pub dispatched: u64,
    /// Number and total bytes of the messages between routers, by kind.
    pub messages: BTreeMap<&'static str, (u64, u64)>,
    /// Bytes sent by each router.
    pub sent_bytes: IndexMap<usize, u64>,
    pub slot_ms: u64,
    /// Slot time left unused while requests were waiting that could have used it.
    pub idle_ms: u64,
    pub longest_idle_ms: u64,
    /// Maximum number of requests running at once in excess of the slots, over all endpoints.
    pub over_admitted: u64,
    pub waits_ms: IndexMap<CustomerId, Vec<u64>>,
}

pub struct Fleet {
    pub setup: FleetSetup,
    pub now_ms: u64,
    pub routers: Vec<Router>,
    pub sheet: Sheet,
    pub served: IndexMap<CustomerId, f64>,
    pub observed: Measurements,
    /// Partitioned data centres: no message enters or leaves them.
    pub partitioned: Vec<usize>,
    pub members_changed: bool,
    in_transit: BTreeMap<(u64, u64), (usize, usize, Incarnation, PeerMessage)>,
    rng: ChaCha8Rng,
    next_id: u64,
    /// Requests still running for routers that have failed.
    pub orphaned: Vec<Running>,
    reports: VecDeque<(u64, IndexMap<EndpointId, u32>)>,
    pub idle_since_ms: IndexMap<EndpointId, u64>,
    measured_since_ms: u64,
    baseline: IndexMap<CustomerId, f64>,
    costs: IndexMap<RequestId, (f64, f64)>,
}

impl Fleet {
    pub fn new(setup: FleetSetup) -> Self {
        let sheet = sheet(&setup);
        let mut fleet = Self {
            now_ms: START_TIME_MS,
            routers: Vec::new(),
            served: IndexMap::new(),
            observed: Measurements::default(),
            partitioned: Vec::new(),
            members_changed: true,
            in_transit: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            next_id: 0,
            orphaned: Vec::new(),
            reports: VecDeque::new(),
            idle_since_ms: IndexMap::new(),
            measured_since_ms: START_TIME_MS,
            baseline: IndexMap::new(),
            costs: IndexMap::new(),
            sheet,
            setup,
        };
        for index in 0..fleet.setup.routers {
            let router = fleet.new_router(index, 1);
            fleet.routers.push(router);
        }
        fleet
    }

    fn new_router(&self, index: usize, incarnation: u64) -> Router {
        let member = Member {
            instance: InstanceId::new(&format!("r{index}")),
            incarnation: Incarnation(incarnation),
            data_centre: data_centre(index % self.setup.data_centres),
            address: "127.0.0.1:1".parse().unwrap(),
        };
        let me = member.instance.clone();
        let options = self.setup.slot_options.clone();
        let mut share = FairShare::new(self.setup.share_options.clone(), member.clone());
        share.apply_sheet(&self.sheet);
        Router {
            alive: true,
            slot_owner: SlotOwner::new(me.clone(), member.incarnation, options.clone()),
            slot_holder: SlotHolder::new(me, options),
            queues: Queues::new(QueueOptions::default()),
            fair_share: share,
            estimator: CostEstimator::new(CostOptions::default()),
            running: Vec::new(),
            view: MemberView {
                local: member.clone(),
                live: Vec::new(),
            },
            owners: IndexMap::new(),
            rng: ChaCha8Rng::seed_from_u64(self.setup.seed * 1_000 + index as u64),
            backlogged: Vec::new(),
            needs_control_step: true,
            member,
        }
    }

    pub fn now(&self) -> Now {
        Now {
            steady_ms: self.now_ms,
            unix_ms: self.now_ms,
        }
    }

    /// Restarts a router, which loses its state.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.routers[index].member.incarnation.0 + 1;
        let restarted = self.new_router(index, incarnation);
        let previous = std::mem::replace(&mut self.routers[index], restarted);
        // Endpoints detect only after some time that the connection is no longer read.
        let last_end_ms = self.now_ms + self.setup.abandoned_run_ms;
        self.orphaned
            .extend(previous.running.into_iter().map(|mut running| {
                running.ends_ms = running.ends_ms.min(last_end_ms);
                running
            }));
        self.members_changed = true;
    }

    pub fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now_ms += 1;
        if std::mem::take(&mut self.members_changed) {
            self.update_views();
        }
        self.deliver();
        self.complete_requests();
        self.generate_arrivals();
        for index in 0..self.routers.len() {
            let is_due = (self.now_ms + index as u64).is_multiple_of(5);
            let router = &mut self.routers[index];
            if router.alive && (std::mem::take(&mut router.needs_control_step) || is_due) {
                self.run_control_step(index);
            }
        }
        self.record_usage();
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        let data_centres = (a % self.setup.data_centres, b % self.setup.data_centres);
        data_centres.0 != data_centres.1
            && (self.partitioned.contains(&data_centres.0)
                || self.partitioned.contains(&data_centres.1))
    }

    fn complete_requests(&mut self) {
        let now = self.now();
        for router in &mut self.routers {
            let mut index = 0;
            while index < router.running.len() {
                let running = &mut router.running[index];
                let account = running.assignment.waiting.account.clone();
                *self.served.entry(account.customer.clone()).or_default() += 1.0;
                let used_ms = now.since_ms(running.started_ms);
                if running.ends_ms > now.steady_ms {
                    if used_ms.is_multiple_of(50) {
                        let units = running.assignment.charge.progress(used_ms as f64);
                        router.fair_share.charge(&account, units, now);
                    }
                    index += 1;
                    continue;
                }
                router.needs_control_step = true;
                let mut ended = router.running.swap_remove(index);
                let difference = ended.assignment.charge.finish(ended.cost);
                router
                    .estimator
                    .record(&account.customer, "draft", hints(ended.hint), ended.cost);
                router.fair_share.charge(&account, difference, now);
                router.slot_holder.release(&ended.assignment.lease.id, now);
            }
        }
    }

    fn run_control_step(&mut self, index: usize) {
        let now = self.now();
        let router = &mut self.routers[index];
        router.update_backlog(now);
        let mut assignments = Vec::new();
        // Assign in rounds: the charges of one round affect the choices of the next.
        loop {
            let round = router
                .slot_holder
                .assign(&mut router.queues, &router.fair_share, now);
            if round.is_empty() {
                break;
            }
            for assignment in &round {
                let waiting = &assignment.waiting;
                router
                    .fair_share
                    .charge(&waiting.account, assignment.charge.charged(), now);
            }
            assignments.extend(round);
        }
        router.update_backlog(now);
        let mut messages = router.slot_holder.take_returns(now);
        messages.extend(router.slot_holder.due_bids(
            &router.queues,
            &router.fair_share,
            &router.owners,
            now,
            &mut router.rng,
        ));
        messages.extend(
            router
                .slot_holder
                .due_renewals(&router.queues, &router.fair_share, now),
        );
        messages.extend(router.slot_owner.decide(&router.fair_share, now));
        messages.extend(router.fair_share.tick(&router.view, now));
        for assignment in assignments {
            self.dispatch(index, assignment);
        }
        self.send(index, messages);
    }

    fn dispatch(&mut self, index: usize, assignment: Assignment) {
        let (cost, hint) = self.costs.swap_remove(&assignment.waiting.request).unwrap();
        let waiting = &assignment.waiting;
        let customer = waiting.account.customer.clone();
        self.observed.dispatched += 1;
        let wait_ms = self.now_ms - waiting.arrived_ms;
        self.observed
            .waits_ms
            .entry(customer)
            .or_default()
            .push(wait_ms);
        let running = Running {
            started_ms: self.now_ms,
            ends_ms: self.now_ms + (cost as u64).max(1),
            cost,
            hint,
            assignment,
        };
        self.routers[index].running.push(running);
    }

    /// Counts used slots from the running requests and updates the measurements.
    fn record_usage(&mut self) {
        let now_ms = self.now_ms;
        self.orphaned.retain(|running| running.ends_ms > now_ms);
        let mut used: IndexMap<EndpointId, u32> = IndexMap::new();
        let running_on_routers = self.routers.iter().flat_map(|router| &router.running);
        for running in running_on_routers.chain(&self.orphaned) {
            *used
                .entry(running.assignment.lease.endpoint.clone())
                .or_default() += 1;
        }
        self.report(&used);
        let slots = u64::from(self.setup.slots) * self.setup.endpoints as u64;
        let busy: u64 = used.values().map(|count| u64::from(*count)).sum();
        let over: u64 = used
            .values()
            .map(|count| u64::from(count.saturating_sub(self.setup.slots)))
            .sum();
        self.observed.over_admitted = self.observed.over_admitted.max(over);
        let waiting: usize = self.routers.iter().map(|router| router.queues.len()).sum();
        let free = slots.saturating_sub(busy).min(waiting as u64);
        self.observed.slot_ms += slots;
        self.observed.idle_ms += free;
        for (endpoint, row) in &self.sheet.endpoints {
            let busy = used.get(endpoint).copied().unwrap_or(0);
            let since_ms = self.idle_since_ms.entry(endpoint.clone()).or_insert(0);
            if busy >= row.slots || row.leaving || waiting == 0 || *since_ms == 0 {
                *since_ms = self.now_ms;
            }
            let idle_ms = self.now_ms - *since_ms;
            self.observed.longest_idle_ms = self.observed.longest_idle_ms.max(idle_ms);
        }
    }

    /// Resets the measurements and the baseline.
    pub fn reset_measurements(&mut self) {
        self.observed = Measurements::default();
        self.idle_since_ms.clear();
        self.measured_since_ms = self.now_ms;
        self.baseline.clone_from(&self.served);
    }
}

impl Router {
    fn update_backlog(&mut self, now: Now) {
        let backlogged: Vec<AccountId> = self.queues.backlogged_accounts().cloned().collect();
        for account in &self.backlogged {
            if !backlogged.contains(account) {
                self.fair_share.set_backlogged(account, false, now);
            }
        }
        for account in &backlogged {
            self.fair_share.set_backlogged(account, true, now);
        }
        self.backlogged = backlogged;
    }
}

fn hints(hint: f64) -> CostHints {
    CostHints {
        prior: 100.0,
        hint: Some(hint),
    }
}
