//! Endpoints and slots: which this router owns, which it holds, and what runs in them.

use std::fmt::Display;
use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use rand_chacha::ChaCha8Rng;

use crate::coordination::call_ids::{CallIds, CallOwner};
use crate::coordination::drain::DrainEffect;
use crate::coordination::rendezvous;
use crate::coordination::slots::{
    EndpointOwner, LoadReport as SlotReport, OwnedEndpoint, PoolOwners,
};
use crate::coordination::store_gate::CallPriority;
use crate::protocol::endpoint::{LoadReport, Order, OrderAnswer};
use crate::protocol::peer::Lend;
use crate::protocol::platform::{StoreAnswer, StoreCall, Version};
use crate::state::event::EventKind;
use crate::state::{AccountId, EndpointId, InstanceId, Now, PoolId};

use super::{Effect, Policy, PollPurpose, Router};

/// How long an endpoint that refused a connection gets no work from this router.
const UNREACHABLE_PAUSE_MS: u64 = 1_000;
/// Load reports that an endpoint may miss before its owner lends no slots of it.
const MISSED_REPORTS: u32 = 2;

/// What a router knows of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointState {
    /// Load reports missed in a row.
    missed_reports: u32,
    /// Until when it gets no work from this router, in steady time.
    avoid_until_ms: u64,
    /// When its load was last asked for, in steady time.
    polled_ms: Option<u64>,
    /// Its run, by its last load report.
    incarnation: Option<u64>,
}

/// What a router knows of all endpoints, and which it owns.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    states: IndexMap<EndpointId, EndpointState>,
    owned: Vec<EndpointId>,
    owners_by_pool: IndexMap<PoolId, PoolOwners>,
    /// Who owns the slots of each endpoint.
    pub owners: IndexMap<EndpointId, EndpointOwner>,
    backlogged: IndexSet<AccountId>,
    assigned: bool,
}

impl EndpointTable {
    /// Makes the router look again at which endpoints it owns.
    pub fn assign_again(&mut self) {
        self.assigned = false;
    }

    fn state(&mut self, endpoint: &EndpointId) -> &mut EndpointState {
        self.states.entry(endpoint.clone()).or_default()
    }

    /// The run of an endpoint, by its last load report.
    pub fn incarnation(&self, endpoint: &EndpointId) -> Option<u64> {
        self.states.get(endpoint)?.incarnation
    }

    fn is_down(&self, endpoint: &EndpointId) -> bool {
        self.states
            .get(endpoint)
            .is_some_and(|state| state.missed_reports >= MISSED_REPORTS)
    }

    fn is_avoided(&self, endpoint: &EndpointId, now: Now) -> bool {
        self.states
            .get(endpoint)
            .is_some_and(|state| now.steady_ms < state.avoid_until_ms)
    }
}

/// When the platform's list of instances is read.
#[derive(Clone, Debug)]
pub struct InstancePoll {
    calls: CallIds,
    last_ms: Option<u64>,
}

impl Default for InstancePoll {
    fn default() -> Self {
        Self {
            calls: CallIds::new(CallOwner::Instances),
            last_ms: None,
        }
    }
}

impl Router {
    /// Puts a sheet in force.
    pub(super) fn sheet_in_force(&mut self, number: u64, now: Now) {
        let Some(sheet) = self.config.sheet().cloned() else {
            return;
        };
        self.invariants.check(
            sheet.number == number && number > self.sheet.number,
            "sheet-never-reverts",
            number,
        );
        self.sheet = sheet.clone();
        self.fair.apply_sheet(&sheet);
        let effects = self.drain.apply_sheet(&sheet, now);
        self.run_drain_effects(effects, now);
        self.endpoints.assign_again();
        self.effects.push(Effect::SheetInForce(sheet));
        let digest = format!("{:016x}", self.sheet.digest());
        self.emit(
            now,
            EventKind::SheetInForce,
            None,
            &[("number", &number), ("digest", &digest)],
        );
    }

    /// Puts marks in force.
    pub(super) fn marks_in_force(&mut self, version: Version, now: Now) {
        let effects = self.drain.apply_marks(self.config.marks(), version, now);
        self.run_drain_effects(effects, now);
        self.endpoints.assign_again();
        self.emit(
            now,
            EventKind::MarksInForce,
            None,
            &[("version", &version.0)],
        );
    }

    /// Finds out which endpoints this router owns and who owns the others.
    fn assign_owners(&mut self, now: Now) {
        if self.endpoints.assigned {
            return;
        }
        self.endpoints.assigned = true;
        let view = self.membership.view();
        let mut owned = Vec::new();
        let mut by_pool: IndexMap<PoolId, PoolOwners> = IndexMap::new();
        let mut by_endpoint: IndexMap<EndpointId, EndpointOwner> = IndexMap::new();
        for (id, row) in &self.sheet.endpoints {
            let members = view.in_data_centre(&row.data_centre);
            let Some(best) = rendezvous::best(id.as_str(), members) else {
                continue;
            };
            let slot_owner = EndpointOwner {
                instance: best.instance.clone(),
                incarnation: best.incarnation,
            };
            by_endpoint.insert(id.clone(), slot_owner);
            let lists = by_pool.entry(row.pool.clone()).or_default();
            let list = if row.data_centre == self.me.data_centre {
                &mut lists.local
            } else {
                &mut lists.remote
            };
            if !list.contains(&best.instance) {
                list.push(best.instance.clone());
            }
            if best.instance == self.me.instance {
                owned.push(id.clone());
            }
        }
        self.endpoints.owned = owned;
        self.endpoints.owners_by_pool = by_pool;
        self.holder.set_owners(&by_endpoint);
        self.endpoints.owners = by_endpoint;
        self.update_owned(now);
    }

    /// Tells the slot owner which endpoints it has and which of them may get work.
    fn update_owned(&mut self, now: Now) {
        let owned: Vec<OwnedEndpoint> = self
            .endpoints
            .owned
            .iter()
            .filter_map(|id| {
                let row = self.sheet.endpoints.get(id)?;
                Some(OwnedEndpoint {
                    endpoint: id.clone(),
                    pool: row.pool.clone(),
                    slots: row.slots,
                    usable: self.drain.is_usable(id) && !self.endpoints.is_down(id),
                })
            })
            .collect();
        let messages = self.owner.set_endpoints(&owned, now);
        self.send_all(messages, now);
    }

    /// Lends, assigns, bids and returns, as far as anything waits.
    pub(super) fn match_work(&mut self, now: Now, rng: &mut ChaCha8Rng) {
        self.assign_owners(now);
        self.update_backlog(now);
        if self.options.policy == Policy::Naive {
            self.match_naively(now);
            return;
        }
        self.release_held(now);
        let messages = self.owner.decide(&self.fair, now);
        self.send_all(messages, now);
        let assignments = self.holder.assign(&mut self.queues, &self.fair, now);
        for assignment in assignments {
            let request = assignment.waiting.request;
            let lease = &assignment.lease;
            let usable = self.drain.is_usable(&lease.endpoint)
                && !self.endpoints.is_avoided(&lease.endpoint, now);
            if usable && !self.screen(request, lease, now) {
                self.holder.release(&lease.id, now);
                continue;
            }
            let dispatched = usable
                && self.dispatch(
                    request,
                    &lease.endpoint,
                    Some(lease),
                    assignment.charge,
                    now,
                );
            if !dispatched {
                self.holder.release(&lease.id, now);
                if !usable {
                    self.holder.drop_endpoint(&lease.endpoint);
                }
                if self.active.requests.contains_key(&request) {
                    self.enqueue(request, now);
                }
            }
        }
        let owners = &self.endpoints.owners_by_pool;
        let messages = self.holder.bids(&self.queues, &self.fair, owners, now, rng);
        self.send_all(messages, now);
        let messages = self.holder.returns(now);
        self.send_all(messages, now);
    }

    fn match_naively(&mut self, now: Now) {
        let routers = self.membership.view().live.len();
        for pool in self.queues.pools() {
            while let Some(oldest) = self.queues.oldest(&pool) {
                let request = oldest.request;
                let endpoints = &self.endpoints;
                let drain = &self.drain;
                let usable =
                    |id: &EndpointId| drain.is_usable(id) && !endpoints.is_avoided(id, now);
                let Some(endpoint) = self.naive.choose(&self.sheet, &pool, routers, usable) else {
                    break;
                };
                let charge = self.queues.charge(oldest);
                self.queues.remove(&request);
                if !self.dispatch(request, &endpoint, None, charge, now) {
                    self.naive.release(&endpoint);
                }
            }
        }
    }

    /// Tells the fair share which accounts have waiting requests.
    fn update_backlog(&mut self, now: Now) {
        let waiting: IndexSet<AccountId> = self.queues.backlogged().cloned().collect();
        for account in self.endpoints.backlogged.difference(&waiting) {
            self.fair.set_backlogged(account, false, now);
        }
        for account in waiting.difference(&self.endpoints.backlogged) {
            self.fair.set_backlogged(account, true, now);
        }
        self.endpoints.backlogged = waiting;
    }

    /// Takes a slot that an owner lends.
    pub(super) fn slot_lent(&mut self, from: &InstanceId, lend: &Lend, now: Now) {
        let endpoint = &lend.lease.endpoint;
        self.emit(
            now,
            EventKind::SlotLent,
            None,
            &[("endpoint", endpoint), ("owner", from)],
        );
        self.holder.receive_lend(from, lend, now);
    }

    /// Spreads the service given.
    pub(super) fn tick_fair_share(&mut self, now: Now) {
        let messages = self.fair.tick(self.membership.view(), now);
        self.send_all(messages, now);
    }

    /// Renews leases, asks owned endpoints for their load, and reads the instance list.
    pub(super) fn tick_capacity(&mut self, now: Now) {
        let messages = self.holder.renewals(&self.queues, &self.fair, now);
        self.send_all(messages, now);
        self.poll_loads(now);
        self.poll_instances(now);
        self.repeat_slowness(now);
        let members = self.membership.view();
        let effects = self.drain.tick(&self.endpoints.owned, members, now);
        self.run_drain_effects(effects, now);
        self.update_owned(now);
        let messages = self.quarantine.tick(self.membership.view(), now);
        self.send_all(messages, now);
    }

    fn poll_loads(&mut self, now: Now) {
        for id in self.endpoints.owned.clone() {
            let Some(address) = self.endpoint_address(&id) else {
                continue;
            };
            let interval_ms = self.options.load_report_interval_ms;
            let state = self.endpoints.state(&id);
            let due = state
                .polled_ms
                .is_none_or(|polled_ms| now.since_ms(polled_ms) >= interval_ms);
            if due {
                state.polled_ms = Some(now.steady_ms);
                self.effects.push(Effect::PollLoad {
                    endpoint: id,
                    purpose: PollPurpose::Load,
                    address,
                });
            }
        }
    }

    fn poll_instances(&mut self, now: Now) {
        let interval_ms = self.options.instances_interval_ms;
        let due = self
            .instances
            .last_ms
            .is_none_or(|last_ms| now.since_ms(last_ms) >= interval_ms);
        if !due || !self.config.is_watcher(self.membership.view()) {
            return;
        }
        self.instances.last_ms = Some(now.steady_ms);
        let call = self.instances.calls.next_id();
        self.submit_call(call, StoreCall::Instances, CallPriority::Background, now);
    }

    /// Takes the platform's list of instances.
    pub(super) fn instances_listed(&mut self, answer: StoreAnswer, now: Now) {
        let StoreAnswer::Instances(instances) = answer else {
            return;
        };
        let leaving: Vec<EndpointId> = instances
            .iter()
            .filter(|instance| instance.leaving)
            .map(|instance| EndpointId::new(&instance.name))
            .filter(|endpoint| self.sheet.endpoints.contains_key(endpoint))
            .collect();
        let effects = self.drain.platform_says_leaving(&leaving, now);
        self.run_drain_effects(effects, now);
    }

    /// Takes an endpoint's load report.
    pub(super) fn load_reported(
        &mut self,
        endpoint: &EndpointId,
        report: Option<&LoadReport>,
        now: Now,
    ) {
        let was_down = self.endpoints.is_down(endpoint);
        let state = self.endpoints.state(endpoint);
        match report {
            Some(report) => {
                state.missed_reports = 0;
                state.incarnation = Some(report.incarnation);
            }
            None => state.missed_reports = state.missed_reports.saturating_add(1),
        }
        let is_down = self.endpoints.is_down(endpoint);
        if was_down != is_down {
            self.emit(
                now,
                EventKind::EndpointDown,
                None,
                &[("endpoint", endpoint), ("down", &is_down)],
            );
            self.update_owned(now);
        }
        let Some(report) = report else {
            return;
        };
        let slot_report = SlotReport {
            running: u32::try_from(report.running.len()).unwrap_or(u32::MAX),
            digest: report.running_digest,
            taken_ms: steady_of_unix(report.taken_unix_ms, now),
        };
        self.owner.observe_report(endpoint, slot_report, None, now);
        let effects = self.drain.load_reported(endpoint, report, now);
        self.run_drain_effects(effects, now);
    }

    /// Takes an endpoint's answer to an order.
    pub(super) fn order_answered(
        &mut self,
        endpoint: &EndpointId,
        answer: Option<&OrderAnswer>,
        now: Now,
    ) {
        let effects = self.drain.order_answered(endpoint, answer, now);
        self.run_drain_effects(effects, now);
    }

    /// Carries out what the draining of endpoints asks for.
    pub(super) fn run_drain_effects(&mut self, effects: Vec<DrainEffect>, now: Now) {
        for effect in effects {
            match effect {
                DrainEffect::Order {
                    endpoint,
                    order,
                    valid_until_ms,
                } => self.send_order(endpoint, order, valid_until_ms, now),
                DrainEffect::Notify { to, message } => self.send(&to, message, now),
                DrainEffect::Leaving { endpoint, source } => {
                    self.holder.drop_endpoint(&endpoint);
                    self.endpoints.assign_again();
                    let source = source.as_str();
                    let details: [(&str, &dyn Display); 2] =
                        [("endpoint", &endpoint), ("source", &source)];
                    self.emit(now, EventKind::EndpointLeaving, None, &details);
                }
            }
        }
    }

    fn send_order(&mut self, endpoint: EndpointId, order: Order, valid_until_ms: u64, now: Now) {
        let Some(address) = self.endpoint_address(&endpoint) else {
            return;
        };
        self.emit(
            now,
            EventKind::EndpointStopped,
            None,
            &[("endpoint", &endpoint), ("fencing", &order.fencing)],
        );
        self.effects.push(Effect::SendOrder {
            endpoint,
            address,
            order,
            valid_until_ms,
        });
    }

    /// Gives an endpoint that refused a connection no work for a while.
    pub(super) fn endpoint_unreachable(&mut self, endpoint: &EndpointId, now: Now) {
        let state = self.endpoints.state(endpoint);
        state.avoid_until_ms = now.steady_ms + UNREACHABLE_PAUSE_MS;
        self.holder.drop_endpoint(endpoint);
    }

    pub(super) fn endpoint_address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        self.sheet.endpoints.get(endpoint).map(|row| row.address)
    }
}

/// A wall clock time of another machine on the own steady clock, never in the future.
fn steady_of_unix(unix_ms: u64, now: Now) -> u64 {
    let age_ms = now.unix_ms.saturating_sub(unix_ms);
    now.steady_ms.saturating_sub(age_ms)
}
