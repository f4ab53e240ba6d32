//! Routers' queues, fair shares, slot owners and slot holders, joined by a message loop
//! with delays, losses and cuts. Endpoints are slots that count what runs.
#![allow(
    dead_code,
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]

use std::collections::{BTreeMap, VecDeque};

use curranttrestle::coordination::cost::{CostEstimator, CostHints, CostOptions};
use curranttrestle::coordination::fair_share::{FairShare, FairShareOptions};
use curranttrestle::coordination::queue::{QueueOptions, Queues, Waiting};
use curranttrestle::coordination::rendezvous;
use curranttrestle::coordination::slots::{
    Assignment, EndpointOwner, LoadReport, OwnedEndpoint, PoolOwners, SlotHolder, SlotOptions,
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

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Setup {
    pub seed: u64,
    pub data_centres: usize,
    pub routers: usize,
    pub endpoints: usize,
    pub slots: u32,
    /// Shares of the customers, and the arrivals of each.
    pub customers: Vec<(u32, Load)>,
    /// On how many routers each customer's callers are.
    pub spread: usize,
    pub mean_cost: f64,
    pub straggler_part: f64,
    /// Costs are estimated wrong by up to this factor.
    pub hint_factor: f64,
    pub link_ms: u64,
    pub loss: f64,
    /// How long an engine runs on for a router that is gone.
    pub unnoticed_ms: u64,
    pub report_lag_ms: u64,
    pub slots_options: SlotOptions,
    pub share_options: FairShareOptions,
}

/// How the requests of one customer arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Load {
    /// So many requests wait at each of its routers at all times.
    Backlog(usize),
    /// The mean number of arrivals each second, fleet-wide.
    PerSecond(f64),
    /// One arrival each period.
    EveryMs(u64),
}

impl Default for Setup {
    fn default() -> Self {
        let customers = (0..16)
            .map(|index| match index % 3 {
                0 => (1, Load::PerSecond(5.0)),
                _ => (1 + index % 4, Load::Backlog(4)),
            })
            .collect();
        Self {
            seed: 1,
            data_centres: 1,
            routers: 6,
            endpoints: 12,
            slots: 8,
            customers,
            spread: 2,
            mean_cost: 100.0,
            straggler_part: 0.05,
            hint_factor: 4.0,
            link_ms: 1,
            loss: 0.0,
            unnoticed_ms: 500,
            report_lag_ms: 200,
            slots_options: SlotOptions::default(),
            share_options: FairShareOptions::default(),
        }
    }
}

/// A request that runs on an endpoint.
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
    pub owner: SlotOwner,
    pub holder: SlotHolder,
    pub queues: Queues,
    pub share: FairShare,
    pub estimator: CostEstimator,
    pub running: Vec<Running>,
    pub view: MemberView,
    pub owners: IndexMap<PoolId, PoolOwners>,
    rng: ChaCha8Rng,
    backlogged: Vec<AccountId>,
    /// Something happened since the last control step.
    dirty: bool,
}

/// What was seen from outside.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub dispatched: u64,
    pub messages: BTreeMap<&'static str, (u64, u64)>,
    /// The bytes that each router sent.
    pub sent_bytes: IndexMap<usize, u64>,
    pub slot_ms: u64,
    /// Slot time that was not used while a request waited that could have used it.
    pub idle_ms: u64,
    pub longest_idle_ms: u64,
    pub over_admitted: u64,
    pub waits_ms: IndexMap<CustomerId, Vec<u64>>,
}

pub struct Fleet {
    pub setup: Setup,
    pub now_ms: u64,
    pub routers: Vec<Router>,
    pub sheet: Sheet,
    pub served: IndexMap<CustomerId, f64>,
    pub seen: Seen,
    /// Data centres that no message enters or leaves.
    pub cut: Vec<usize>,
    pub members_changed: bool,
    wire: BTreeMap<(u64, u64), (usize, usize, Incarnation, PeerMessage)>,
    rng: ChaCha8Rng,
    next_id: u64,
    /// Requests of routers that are gone.
    pub lost: Vec<Running>,
    reports: VecDeque<(u64, IndexMap<EndpointId, u32>)>,
    pub idle_since_ms: IndexMap<EndpointId, u64>,
    measured_ms: u64,
    base: IndexMap<CustomerId, f64>,
    costs: IndexMap<RequestId, (f64, f64)>,
}

pub const POOL: &str = "model";
const START_MS: u64 = 10_000;

pub fn customer(index: usize) -> CustomerId {
    CustomerId::new(&format!("c{index}"))
}

pub fn account(index: usize) -> AccountId {
    AccountId {
        pool: PoolId::new(POOL),
        customer: customer(index),
    }
}

pub fn data_centre(index: usize) -> DataCentreId {
    DataCentreId::new(&format!("dc{index}"))
}

pub fn sheet(setup: &Setup) -> Sheet {
    let mut sheet = Sheet {
        number: 1,
        ..Sheet::default()
    };
    for (index, (share, _)) in setup.customers.iter().enumerate() {
        let row = Customer {
            share: *share,
            key_digest: KeyDigest([0; 32]),
            queue_limit: 1_000,
        };
        sheet.customers.insert(customer(index), row);
    }
    for index in 0..setup.endpoints {
        let endpoint = Endpoint {
            pool: PoolId::new(POOL),
            kind: EndpointKind::Model,
            data_centre: data_centre(index % setup.data_centres),
            address: "127.0.0.1:1".parse().unwrap(),
            slots: setup.slots,
            checks_fencing: true,
            leaving: false,
        };
        sheet
            .endpoints
            .insert(EndpointId::new(&format!("e{index}")), endpoint);
    }
    sheet
}

impl Fleet {
    pub fn new(setup: Setup) -> Self {
        let sheet = sheet(&setup);
        let mut fleet = Self {
            now_ms: START_MS,
            routers: Vec::new(),
            served: IndexMap::new(),
            seen: Seen::default(),
            cut: Vec::new(),
            members_changed: true,
            wire: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            next_id: 0,
            lost: Vec::new(),
            reports: VecDeque::new(),
            idle_since_ms: IndexMap::new(),
            measured_ms: START_MS,
            base: IndexMap::new(),
            costs: IndexMap::new(),
            sheet,
            setup,
        };
        for index in 0..fleet.setup.routers {
            let router = fleet.router(index, 1);
            fleet.routers.push(router);
        }
        fleet
    }

    fn router(&self, index: usize, incarnation: u64) -> Router {
        let member = Member {
            instance: InstanceId::new(&format!("r{index}")),
            incarnation: Incarnation(incarnation),
            data_centre: data_centre(index % self.setup.data_centres),
            address: "127.0.0.1:1".parse().unwrap(),
        };
        let me = member.instance.clone();
        let options = self.setup.slots_options.clone();
        let mut share = FairShare::new(self.setup.share_options.clone(), member.clone());
        share.apply_sheet(&self.sheet);
        Router {
            alive: true,
            owner: SlotOwner::new(me.clone(), member.incarnation, options.clone()),
            holder: SlotHolder::new(me, options),
            queues: Queues::new(QueueOptions::default()),
            share,
            estimator: CostEstimator::new(CostOptions::default()),
            running: Vec::new(),
            view: MemberView {
                me: member.clone(),
                live: Vec::new(),
            },
            owners: IndexMap::new(),
            rng: ChaCha8Rng::seed_from_u64(self.setup.seed * 1_000 + index as u64),
            backlogged: Vec::new(),
            dirty: true,
            member,
        }
    }

    pub fn now(&self) -> Now {
        Now {
            steady_ms: self.now_ms,
            unix_ms: self.now_ms,
        }
    }

    /// Ends a router and starts it anew without memory.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.routers[index].member.incarnation.0 + 1;
        let fresh = self.router(index, incarnation);
        let gone = std::mem::replace(&mut self.routers[index], fresh);
        // Engines notice after a while that nobody reads any more.
        let unnoticed_ms = self.now_ms + self.setup.unnoticed_ms;
        self.lost
            .extend(gone.running.into_iter().map(|mut running| {
                running.ends_ms = running.ends_ms.min(unnoticed_ms);
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
            self.announce_members();
        }
        self.deliver();
        self.end_requests();
        self.arrive();
        for index in 0..self.routers.len() {
            let is_due = (self.now_ms + index as u64).is_multiple_of(5);
            let router = &mut self.routers[index];
            if router.alive && (std::mem::take(&mut router.dirty) || is_due) {
                self.control(index);
            }
        }
        self.observe();
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let centres = (a % self.setup.data_centres, b % self.setup.data_centres);
        centres.0 != centres.1 && (self.cut.contains(&centres.0) || self.cut.contains(&centres.1))
    }

    /// Tells each router the members that it can reach, and who owns which endpoint.
    fn announce_members(&mut self) {
        let now = self.now();
        for index in 0..self.routers.len() {
            let live: Vec<Member> = (0..self.routers.len())
                .filter(|other| self.routers[*other].alive && !self.is_cut(index, *other))
                .map(|other| self.routers[other].member.clone())
                .collect();
            for member in &live {
                let known = &self.routers[index].view.live;
                let is_restarted = known.iter().any(|known| {
                    known.instance == member.instance && known.incarnation < member.incarnation
                });
                if is_restarted {
                    let router = &mut self.routers[index];
                    router.owner.holder_restarted(&member.instance, now);
                }
            }
            self.routers[index].view.live.clone_from(&live);
            let mut mine = Vec::new();
            let mut owners = PoolOwners::default();
            let mut by_endpoint = IndexMap::new();
            for (endpoint, row) in &self.sheet.endpoints {
                let home = live.iter().filter(|m| m.data_centre == row.data_centre);
                let Some(owner) = rendezvous::best(endpoint.as_str(), home) else {
                    continue;
                };
                by_endpoint.insert(
                    endpoint.clone(),
                    EndpointOwner {
                        instance: owner.instance.clone(),
                        incarnation: owner.incarnation,
                    },
                );
                let router = &self.routers[index].member;
                let list = if row.data_centre == router.data_centre {
                    &mut owners.local
                } else {
                    &mut owners.remote
                };
                if !list.contains(&owner.instance) {
                    list.push(owner.instance.clone());
                }
                if owner.instance == router.instance {
                    mine.push(OwnedEndpoint {
                        endpoint: endpoint.clone(),
                        pool: row.pool.clone(),
                        slots: row.slots,
                        usable: !row.leaving,
                    });
                }
            }
            let router = &mut self.routers[index];
            router.owners.insert(PoolId::new(POOL), owners);
            router.holder.set_owners(&by_endpoint);
            let messages = router.owner.set_endpoints(&mine, now);
            self.send(index, messages);
        }
    }

    fn send(&mut self, from: usize, messages: Vec<(InstanceId, PeerMessage)>) {
        for (to, message) in messages {
            let to = self
                .routers
                .iter()
                .position(|router| router.member.instance == to)
                .unwrap();
            let mut due_ms = self.now_ms;
            if from != to {
                let kind = kind_of(&message);
                let bytes = postcard::to_stdvec(&message).unwrap().len() as u64;
                let count = self.seen.messages.entry(kind).or_default();
                count.0 += 1;
                count.1 += bytes;
                *self.seen.sent_bytes.entry(from).or_default() += bytes;
                due_ms += self.setup.link_ms;
                if self.is_cut(from, to) || self.rng.random_bool(self.setup.loss) {
                    continue;
                }
            }
            self.next_id += 1;
            let incarnation = self.routers[from].member.incarnation;
            self.wire
                .insert((due_ms, self.next_id), (from, to, incarnation, message));
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.wire.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let (from, to, incarnation, message) = entry.remove();
            if self.routers[to].alive && !self.is_cut(from, to) {
                self.receive(from, to, incarnation, &message);
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, incarnation: Incarnation, message: &PeerMessage) {
        let now = self.now();
        let sender = self.routers[from].member.instance.clone();
        let router = &mut self.routers[to];
        router.dirty = true;
        let answers = match message {
            PeerMessage::Bid(bid) => router.owner.receive_bid(&sender, bid, now),
            PeerMessage::Void(void) => {
                router.holder.receive_void(&sender, void, now);
                Vec::new()
            }
            PeerMessage::Lend(lend) => {
                router.holder.receive_lend(&sender, lend, now);
                Vec::new()
            }
            PeerMessage::Return(returned) => {
                router.owner.receive_return(&sender, returned, now);
                Vec::new()
            }
            PeerMessage::Recall(recall) => {
                router.holder.receive_recall(&sender, recall, now);
                Vec::new()
            }
            PeerMessage::Renewal(renewal) => router.owner.receive_renewal(&sender, renewal, now),
            PeerMessage::Renewed(renewed) => {
                router.holder.receive_renewed(&sender, renewed, now);
                Vec::new()
            }
            PeerMessage::ServiceReport(report) => {
                router
                    .share
                    .receive_report(&sender, incarnation, report, now);
                Vec::new()
            }
            PeerMessage::ServiceTotals(totals) => router.share.receive_totals(&sender, totals, now),
            _ => Vec::new(),
        };
        self.send(to, answers);
    }

    fn end_requests(&mut self) {
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
                        let more = running.assignment.charge.progress(used_ms as f64);
                        router.share.charge(&account, more, now);
                    }
                    index += 1;
                    continue;
                }
                router.dirty = true;
                let mut ended = router.running.swap_remove(index);
                let difference = ended.assignment.charge.finish(ended.cost);
                router
                    .estimator
                    .learn(&account.customer, "draft", hints(ended.hint), ended.cost);
                router.share.charge(&account, difference, now);
                router.holder.release(&ended.assignment.lease.id, now);
            }
        }
    }

    fn arrive(&mut self) {
        for index in 0..self.setup.customers.len() {
            let (_, load) = self.setup.customers[index];
            match load {
                Load::Backlog(depth) => {
                    for place in 0..self.setup.spread {
                        let router = self.router_of(index, place);
                        let waiting = self.routers[router].queues.waiting_of(&account(index));
                        for _ in waiting..depth {
                            self.push(index, router);
                        }
                    }
                }
                Load::EveryMs(period_ms) => {
                    if self.now_ms.is_multiple_of(period_ms) {
                        let router = self.router_of(index, 0);
                        self.push(index, router);
                    }
                }
                Load::PerSecond(rate) => {
                    if self.rng.random_bool((rate / 1_000.0).min(1.0)) {
                        let place = self.rng.random_range(0..self.setup.spread);
                        let router = self.router_of(index, place);
                        self.push(index, router);
                    }
                }
            }
        }
    }

    /// Customers are on few routers each, unevenly.
    pub fn router_of(&self, customer: usize, place: usize) -> usize {
        (customer * 7 + place * (1 + customer % 3)) % self.setup.routers
    }

    fn push(&mut self, customer_index: usize, router: usize) {
        if !self.routers[router].alive {
            return;
        }
        let straggles = self.rng.random_bool(self.setup.straggler_part);
        let factor = if straggles {
            self.rng.random_range(20.0..50.0)
        } else {
            self.rng.random_range(0.2..1.8)
        };
        let cost = (self.setup.mean_cost * factor).max(1.0);
        let wrong = self
            .setup
            .hint_factor
            .powf(self.rng.random_range(-1.0..=1.0));
        self.next_id += 1;
        let request = RequestId(Uuid::from_u128(u128::from(self.next_id)));
        let hint = cost * wrong;
        let account = account(customer_index);
        let estimator = &self.routers[router].estimator;
        let expected_cost = estimator.expected_cost(&account.customer, "draft", hints(hint));
        let waiting = Waiting {
            request,
            account,
            priority: 0,
            expected_cost,
            arrived_ms: self.now_ms,
            deadline_ms: self.now_ms + 120_000,
            avoid: Vec::new(),
            exclusive: false,
        };
        self.costs.insert(request, (cost, hint));
        self.routers[router].queues.push(waiting, 10_000).unwrap();
        self.routers[router].dirty = true;
    }

    fn control(&mut self, index: usize) {
        let now = self.now();
        let router = &mut self.routers[index];
        router.note_backlog(now);
        let mut assignments = Vec::new();
        // Charges of one round count in the next one.
        loop {
            let round = router.holder.assign(&mut router.queues, &router.share, now);
            if round.is_empty() {
                break;
            }
            for assignment in &round {
                let waiting = &assignment.waiting;
                router
                    .share
                    .charge(&waiting.account, assignment.charge.charged(), now);
            }
            assignments.extend(round);
        }
        router.note_backlog(now);
        let mut messages = router.holder.returns(now);
        messages.extend(router.holder.bids(
            &router.queues,
            &router.share,
            &router.owners,
            now,
            &mut router.rng,
        ));
        messages.extend(router.holder.renewals(&router.queues, &router.share, now));
        messages.extend(router.owner.decide(&router.share, now));
        messages.extend(router.share.tick(&router.view, now));
        for assignment in assignments {
            self.dispatch(index, assignment);
        }
        self.send(index, messages);
    }

    fn dispatch(&mut self, index: usize, assignment: Assignment) {
        let (cost, hint) = self.costs.swap_remove(&assignment.waiting.request).unwrap();
        let waiting = &assignment.waiting;
        let customer = waiting.account.customer.clone();
        self.seen.dispatched += 1;
        let wait_ms = self.now_ms - waiting.arrived_ms;
        self.seen
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

    /// Counts used slots from the running requests.
    fn observe(&mut self) {
        let now_ms = self.now_ms;
        self.lost.retain(|running| running.ends_ms > now_ms);
        let mut used: IndexMap<EndpointId, u32> = IndexMap::new();
        let of_routers = self.routers.iter().flat_map(|router| &router.running);
        for running in of_routers.chain(&self.lost) {
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
        self.seen.over_admitted = self.seen.over_admitted.max(over);
        let waiting: usize = self.routers.iter().map(|router| router.queues.len()).sum();
        let free = slots.saturating_sub(busy).min(waiting as u64);
        self.seen.slot_ms += slots;
        self.seen.idle_ms += free;
        for (endpoint, row) in &self.sheet.endpoints {
            let busy = used.get(endpoint).copied().unwrap_or(0);
            let since_ms = self.idle_since_ms.entry(endpoint.clone()).or_insert(0);
            if busy >= row.slots || row.leaving || waiting == 0 || *since_ms == 0 {
                *since_ms = self.now_ms;
            }
            let idle_ms = self.now_ms - *since_ms;
            self.seen.longest_idle_ms = self.seen.longest_idle_ms.max(idle_ms);
        }
    }

    /// Takes load reports, which owners get late.
    fn report(&mut self, used: &IndexMap<EndpointId, u32>) {
        if self.now_ms.is_multiple_of(250) {
            self.reports.push_back((self.now_ms, used.clone()));
        }
        let lag_ms = self.setup.report_lag_ms;
        while let Some((taken_ms, _)) = self.reports.front()
            && taken_ms + lag_ms <= self.now_ms
        {
            let now = self.now();
            let Some((taken_ms, used)) = self.reports.pop_front() else {
                break;
            };
            for endpoint in self.sheet.endpoints.keys() {
                let report = LoadReport {
                    running: used.get(endpoint).copied().unwrap_or(0),
                    digest: 0,
                    taken_ms,
                };
                for router in self.routers.iter_mut().filter(|router| router.alive) {
                    router.owner.observe_report(endpoint, report, None, now);
                }
            }
        }
    }

    /// Begins to measure anew.
    pub fn measure(&mut self) {
        self.seen = Seen::default();
        self.idle_since_ms.clear();
        self.measured_ms = self.now_ms;
        self.base.clone_from(&self.served);
    }

    /// The service per share of the customers that are always backlogged.
    pub fn levels(&self) -> Vec<f64> {
        self.setup
            .customers
            .iter()
            .enumerate()
            .filter(|(_, (_, load))| matches!(load, Load::Backlog(_)))
            .map(|(index, (share, _))| {
                let served = self.served.get(&customer(index)).copied().unwrap_or(0.0);
                let base = self.base.get(&customer(index)).copied().unwrap_or(0.0);
                (served - base) / f64::from(*share)
            })
            .collect()
    }

    /// The gap of service per share.
    pub fn gap(&self) -> f64 {
        let levels = self.levels();
        let most = levels.iter().copied().fold(f64::MIN, f64::max);
        let least = levels.iter().copied().fold(f64::MAX, f64::min);
        most - least
    }

    /// The least over the most service per share.
    pub fn ratio(&self) -> f64 {
        let levels = self.levels();
        let most = levels.iter().copied().fold(f64::MIN, f64::max);
        let least = levels.iter().copied().fold(f64::MAX, f64::min);
        least / most
    }

    /// All leases that holders may use now, by endpoint.
    pub fn valid_leases(&self) -> IndexMap<EndpointId, Vec<LeaseId>> {
        let now = self.now();
        let mut leases: IndexMap<EndpointId, Vec<LeaseId>> = IndexMap::new();
        for router in self.routers.iter().filter(|router| router.alive) {
            for (lease, _) in router.holder.leases() {
                if router.holder.still_valid(&lease.id, now) {
                    leases
                        .entry(lease.endpoint.clone())
                        .or_default()
                        .push(lease.id.clone());
                }
            }
        }
        leases
    }

    /// One line of figures.
    pub fn figures(&self) -> String {
        let seconds = (self.now_ms - self.measured_ms) as f64 / 1_000.0;
        let requests = self.seen.dispatched as f64;
        let routers = self.setup.routers as f64;
        let messages: u64 = self.seen.messages.values().map(|count| count.0).sum();
        let bytes: u64 = self.seen.messages.values().map(|count| count.1).sum();
        let by_kind: Vec<String> = self
            .seen
            .messages
            .iter()
            .map(|(kind, (count, bytes))| {
                let each = *bytes as f64 / *count as f64;
                format!("{kind}={:.2}x{each:.0}B", *count as f64 / requests)
            })
            .collect();
        format!(
            "requests={requests} idle={:.2}% longest_idle={}ms ratio={:.3} gap={:.0} \
             messages/request={:.2} bytes/node/s={:.0} most={:.0} over={} [{}]",
            100.0 * self.seen.idle_ms as f64 / self.seen.slot_ms as f64,
            self.seen.longest_idle_ms,
            self.ratio(),
            self.gap(),
            messages as f64 / requests,
            bytes as f64 / routers / seconds,
            self.seen.sent_bytes.values().copied().max().unwrap_or(0) as f64 / seconds,
            self.seen.over_admitted,
            by_kind.join(" "),
        )
    }
}

impl Router {
    fn note_backlog(&mut self, now: Now) {
        let backlogged: Vec<AccountId> = self.queues.backlogged().cloned().collect();
        for account in &self.backlogged {
            if !backlogged.contains(account) {
                self.share.set_backlogged(account, false, now);
            }
        }
        for account in &backlogged {
            self.share.set_backlogged(account, true, now);
        }
        self.backlogged = backlogged;
    }
}

fn kind_of(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Bid(_) => "bid",
        PeerMessage::Lend(_) => "lend",
        PeerMessage::Return(_) => "return",
        PeerMessage::Recall(_) => "recall",
        PeerMessage::Renewal(_) => "renewal",
        PeerMessage::Renewed(_) => "renewed",
        PeerMessage::ServiceReport(_) => "report",
        PeerMessage::ServiceTotals(_) => "totals",
        _ => "other",
    }
}

fn hints(hint: f64) -> CostHints {
    CostHints {
        prior: 100.0,
        hint: Some(hint),
    }
}
