//! Endpoint ownership, slot leases, and scheduling of queued requests onto them.

use std::fmt::Display;
use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use rand_chacha::ChaCha8Rng;

use crate::coordination::call_ids::{CallIds, CallOwner};
use crate::coordination::drain::DrainEffect;
use crate::coordination::rendezvous;
use crate::coordination::slots::{EndpointOwner, OwnedEndpoint, PoolOwners, SlotLoadReport};
use crate::coordination::store_call_limiter::CallPriority;
use crate::protocol::endpoint::{LoadReport, Order, OrderResponse};
use crate::protocol::peer::Lend;
use crate::protocol::platform::{StoreCall, StoreResponse, Version};
use crate::state::event::EventKind;
use crate::state::{AccountId, EndpointId, InstanceId, Now, PoolId};

use super::{Effect, Policy, PollPurpose, Router};

/// How long this router sends no work to an unreachable endpoint.
const UNREACHABLE_AVOID_MS: u64 = 1_000;
/// Number of consecutive missed load reports after which an endpoint counts as down. Its owner
/// then leases none of its slots.
const MISSED_REPORTS_UNTIL_DOWN: u32 = 2;

/// State of one endpoint as seen by this router.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointState {
    /// Consecutive missed load reports.
    missed_reports: u32,
    /// Time until which this router sends it no work, on the steady clock.
    avoid_until_ms: u64,
    /// Time of its last load poll, on the steady clock.
    polled_ms: Option<u64>,
    /// Its incarnation according to its last load report.
    incarnation: Option<u64>,
}

/// State and ownership of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    states: IndexMap<EndpointId, EndpointState>,
    owned: Vec<EndpointId>,
    owners_by_pool: IndexMap<PoolId, PoolOwners>,
    /// Owner of each endpoint's slots.
    pub owners: IndexMap<EndpointId, EndpointOwner>,
    backlogged: IndexSet<AccountId>,
    owners_assigned: bool,
}

impl EndpointTable {
    /// Forces the owners to be recomputed the next time requests are scheduled.
    pub fn invalidate_owners(&mut self) {
        self.owners_assigned = false;
    }

    fn state(&mut self, endpoint: &EndpointId) -> &mut EndpointState {
        self.states.entry(endpoint.clone()).or_default()
    }

    /// Returns the incarnation of an endpoint according to its last load report.
    pub fn incarnation(&self, endpoint: &EndpointId) -> Option<u64> {
        self.states.get(endpoint)?.incarnation
    }

    fn is_down(&self, endpoint: &EndpointId) -> bool {
        self.states
            .get(endpoint)
            .is_some_and(|state| state.missed_reports >= MISSED_REPORTS_UNTIL_DOWN)
    }

    fn is_avoided(&self, endpoint: &EndpointId, now: Now) -> bool {
        self.states
            .get(endpoint)
            .is_some_and(|state| now.steady_ms < state.avoid_until_ms)
    }
}

/// Schedule and call IDs for reading the platform's list of instances.
#[derive(Clone, Debug)]
pub struct InstancePoll {
    calls: CallIds,
    last_read_ms: Option<u64>,
}

impl Default for InstancePoll {
    fn default() -> Self {
        Self {
            calls: CallIds::new(CallOwner::Instances),
            last_read_ms: None,
        }
    }
}

impl Router {
    /// Applies the sheet that came into force.
    pub(super) fn apply_sheet(&mut self, number: u64, now: Now) {
        let Some(sheet) = self.config.sheet().cloned() else {
            return;
        };
        self.invariants.check(
            sheet.number == number && number > self.sheet.number,
            "sheet-never-reverts",
            number,
        );
        self.sheet = sheet.clone();
        self.fair_share.apply_sheet(&sheet);
        let effects = self.drain.apply_sheet(&sheet, now);
        self.run_drain_effects(effects, now);
        self.endpoints.invalidate_owners();
        self.effects.push(Effect::SheetInForce(sheet));
        let digest = format!("{:016x}", self.sheet.digest());
        self.emit(
            now,
            EventKind::SheetInForce,
            None,
            &[("number", &number), ("digest", &digest)],
        );
    }

    /// Applies the marks that came into force.
    pub(super) fn apply_marks(&mut self, version: Version, now: Now) {
        let effects = self.drain.apply_marks(self.config.marks(), version, now);
        self.run_drain_effects(effects, now);
        self.endpoints.invalidate_owners();
        self.emit(
            now,
            EventKind::MarksInForce,
            None,
            &[("version", &version.0)],
        );
    }

    /// Recomputes the owner of every endpoint by rendezvous hashing, if invalidated.
    fn assign_owners(&mut self, now: Now) {
        if self.endpoints.owners_assigned {
            return;
        }
        self.endpoints.owners_assigned = true;
        let view = self.membership.view();
        let mut owned = Vec::new();
        let mut by_pool: IndexMap<PoolId, PoolOwners> = IndexMap::new();
        let mut by_endpoint: IndexMap<EndpointId, EndpointOwner> = IndexMap::new();
        for (id, row) in &self.sheet.endpoints {
            let members = view.in_data_centre(&row.data_centre);
            let Some(member) = rendezvous::best(id.as_str(), members) else {
                continue;
            };
            let endpoint_owner = EndpointOwner {
                instance: member.instance.clone(),
                incarnation: member.incarnation,
            };
            by_endpoint.insert(id.clone(), endpoint_owner);
            let pool_owners = by_pool.entry(row.pool.clone()).or_default();
            let instances = if row.data_centre == self.me.data_centre {
                &mut pool_owners.local
            } else {
                &mut pool_owners.remote
            };
            if !instances.contains(&member.instance) {
                instances.push(member.instance.clone());
            }
            if member.instance == self.me.instance {
                owned.push(id.clone());
            }
        }
        self.endpoints.owned = owned;
        self.endpoints.owners_by_pool = by_pool;
        self.slot_holder.set_owners(&by_endpoint);
        self.endpoints.owners = by_endpoint;
        self.update_owned_endpoints(now);
    }

    /// Passes the owned endpoints, and whether each may receive work, to
    /// [`SlotOwner`](crate::coordination::slots::SlotOwner).
    fn update_owned_endpoints(&mut self, now: Now) {
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
        let messages = self.slot_owner.set_endpoints(&owned, now);
        self.send_all(messages, now);
    }

    /// Leases owned slots to bidders, dispatches queued requests into held slots, bids for more
    /// slots and returns the slots that are not needed.
    pub(super) fn schedule(&mut self, now: Now, rng: &mut ChaCha8Rng) {
        self.assign_owners(now);
        self.update_backlog(now);
        if self.options.policy == Policy::Naive {
            self.schedule_naive(now);
            return;
        }
        self.release_held(now);
        let messages = self.slot_owner.decide(&self.fair_share, now);
        self.send_all(messages, now);
        let assignments = self
            .slot_holder
            .assign(&mut self.queues, &self.fair_share, now);
        for assignment in assignments {
            let request = assignment.waiting.request;
            let lease = &assignment.lease;
            let usable = self.drain.is_usable(&lease.endpoint)
                && !self.endpoints.is_avoided(&lease.endpoint, now);
            if usable && !self.check_before_dispatch(request, lease, now) {
                self.slot_holder.release(&lease.id, now);
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
                self.slot_holder.release(&lease.id, now);
                if !usable {
                    self.slot_holder.forget_endpoint(&lease.endpoint);
                }
                if self.active.requests.contains_key(&request) {
                    self.enqueue(request, now);
                }
            }
        }
        let owners = &self.endpoints.owners_by_pool;
        let messages = self
            .slot_holder
            .due_bids(&self.queues, &self.fair_share, owners, now, rng);
        self.send_all(messages, now);
        let messages = self.slot_holder.take_returns(now);
        self.send_all(messages, now);
    }

    fn schedule_naive(&mut self, now: Now) {
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

    /// Informs the fair-share accounting which accounts have queued requests.
    fn update_backlog(&mut self, now: Now) {
        let waiting: IndexSet<AccountId> = self.queues.backlogged_accounts().cloned().collect();
        for account in self.endpoints.backlogged.difference(&waiting) {
            self.fair_share.set_backlogged(account, false, now);
        }
        for account in waiting.difference(&self.endpoints.backlogged) {
            self.fair_share.set_backlogged(account, true, now);
        }
        self.endpoints.backlogged = waiting;
    }

    /// Accepts a slot leased by its owner.
    pub(super) fn receive_lent_slot(&mut self, from: &InstanceId, lend: &Lend, now: Now) {
        let endpoint = &lend.lease.endpoint;
        self.emit(
            now,
            EventKind::SlotLent,
            None,
            &[("endpoint", endpoint), ("owner", from)],
        );
        self.slot_holder.receive_lend(from, lend, now);
    }

    /// Exchanges service totals with other routers.
    pub(super) fn tick_fair_share(&mut self, now: Now) {
        let messages = self.fair_share.tick(self.membership.view(), now);
        self.send_all(messages, now);
    }

    /// Renews leases, polls owned endpoints, reads the instance list, and advances draining and
    /// quarantine.
    pub(super) fn tick_capacity(&mut self, now: Now) {
        let messages = self
            .slot_holder
            .due_renewals(&self.queues, &self.fair_share, now);
        self.send_all(messages, now);
        self.poll_loads(now);
        self.poll_instances(now);
        self.resend_slowness(now);
        let members = self.membership.view();
        let effects = self.drain.tick(&self.endpoints.owned, members, now);
        self.run_drain_effects(effects, now);
        self.update_owned_endpoints(now);
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
        let interval_ms = self.options.instance_poll_interval_ms;
        let due = self
            .instance_poll
            .last_read_ms
            .is_none_or(|last_read_ms| now.since_ms(last_read_ms) >= interval_ms);
        if !due || !self.config.is_watcher(self.membership.view()) {
            return;
        }
        self.instance_poll.last_read_ms = Some(now.steady_ms);
        let call = self.instance_poll.calls.next_id();
        self.submit_call(call, StoreCall::Instances, CallPriority::Background, now);
    }

    /// Processes the platform's list of instances.
    pub(super) fn receive_instance_list(&mut self, response: StoreResponse, now: Now) {
        let StoreResponse::Instances(instances) = response else {
            return;
        };
        let leaving: Vec<EndpointId> = instances
            .iter()
            .filter(|instance| instance.leaving)
            .map(|instance| EndpointId::new(&instance.name))
            .filter(|endpoint| self.sheet.endpoints.contains_key(endpoint))
            .collect();
        let effects = self.drain.apply_instance_list(&leaving, now);
        self.run_drain_effects(effects, now);
    }

    /// Processes an endpoint's load report, or its absence.
    pub(super) fn receive_load_report(
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
            self.update_owned_endpoints(now);
        }
        let Some(report) = report else {
            return;
        };
        let slot_report = SlotLoadReport {
            running: u32::try_from(report.running.len()).unwrap_or(u32::MAX),
            digest: report.running_digest,
            taken_ms: steady_ms_from_unix(report.taken_unix_ms, now),
        };
        self.slot_owner
            .receive_load_report(endpoint, slot_report, None, now);
        let effects = self.drain.receive_load_report(endpoint, report, now);
        self.run_drain_effects(effects, now);
    }

    /// Processes an endpoint's response to an order.
    pub(super) fn order_responded(
        &mut self,
        endpoint: &EndpointId,
        response: Option<&OrderResponse>,
        now: Now,
    ) {
        let effects = self.drain.receive_order_response(endpoint, response, now);
        self.run_drain_effects(effects, now);
    }

    /// Executes the effects of endpoint draining.
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
                    self.slot_holder.forget_endpoint(&endpoint);
                    self.endpoints.invalidate_owners();
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

    /// Stops sending work to an unreachable endpoint for [`UNREACHABLE_AVOID_MS`] and drops its leases.
    pub(super) fn mark_unreachable(&mut self, endpoint: &EndpointId, now: Now) {
        let state = self.endpoints.state(endpoint);
        state.avoid_until_ms = now.steady_ms + UNREACHABLE_AVOID_MS;
        self.slot_holder.forget_endpoint(endpoint);
    }

    pub(super) fn endpoint_address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        self.sheet.endpoints.get(endpoint).map(|row| row.address)
    }
}

/// Converts another machine's wall-clock time to the local steady clock, capped at the present.
fn steady_ms_from_unix(unix_ms: u64, now: Now) -> u64 {
    let age_ms = now.unix_ms.saturating_sub(unix_ms);
    now.steady_ms.saturating_sub(age_ms)
}
