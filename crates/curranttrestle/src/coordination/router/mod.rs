//! The router state machine: combines all coordination modules behind [`Router::handle`],
//! which takes an [`Input`] and returns a list of [`Effect`]s.
//!
//! A single control thread owns the [`Router`]. It passes in each input with the current time
//! and executes the returned effects.

mod active;
mod avoidance;
mod capacity;
mod claims;
mod crash_check;
mod hedges;
mod input;
mod naive;
mod options;
mod outcomes;
mod peers;
mod pre_dispatch;
mod requests;
mod slowness;
mod status;

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use rand_chacha::ChaCha8Rng;

use crate::coordination::call_ids::{CallIds, CallOwner};
use crate::coordination::claims::ClaimManager;
use crate::coordination::config::{ConfigCallKey, ConfigManager};
use crate::coordination::cost::CostEstimator;
use crate::coordination::drain::Drain;
use crate::coordination::fair_share::FairShare;
use crate::coordination::invariant::Invariants;
use crate::coordination::membership::Membership;
use crate::coordination::quarantine::Quarantine;
use crate::coordination::queue::Queues;
use crate::coordination::retry_budget::RetryBudget;
use crate::coordination::slots::{SlotHolder, SlotOwner};
use crate::coordination::slow_endpoints::{HedgeBudget, HedgePolicy, SlowEndpointDetector};
use crate::coordination::store_call_limiter::StoreCallLimiter;
use crate::protocol::peer::PeerMessage;
use crate::protocol::platform::CallId;
use crate::state::event::{EventKind, HybridClock};
use crate::state::sheet::Sheet;
use crate::state::{AttemptId, Event, Incarnation, InstanceId, Member, Now, RequestId};

use active::ActiveRequests;
use naive::NaiveDispatcher;

pub use input::{
    AttemptResult, Decision, Dispatch, Effect, Input, NewRequest, PollPurpose, RequestDigest,
};
pub use options::{Policy, RouterOptions};
pub use status::{EndpointStatus, MemberSummary, QueueStatus, RouterStatus};

/// Request counts since the router started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that received a complete response, including replayed ones.
    pub answered: u64,
    /// Requests refused without having run.
    pub refused: u64,
    /// Requests with an unknown outcome.
    pub unknown: u64,
    /// Retries after a failed attempt.
    pub retried: u64,
    /// Hedges: second attempts concurrent with a slow first one.
    pub hedged: u64,
}

/// State machine of one router. Performs no I/O.
#[derive(Debug)]
pub struct Router {
    options: RouterOptions,
    me: Member,
    clock: HybridClock,
    sheet: Arc<Sheet>,
    membership: Membership,
    /// Last known incarnation of each member.
    incarnations: IndexMap<InstanceId, Incarnation>,
    config: ConfigManager,
    config_calls: IndexMap<CallId, ConfigCallKey>,
    config_call_ids: CallIds,
    claims: ClaimManager,
    store_call_limiter: StoreCallLimiter,
    fair_share: FairShare,
    queues: Queues,
    slot_owner: SlotOwner,
    slot_holder: SlotHolder,
    naive: NaiveDispatcher,
    costs: CostEstimator,
    slow_endpoints: SlowEndpointDetector,
    /// Time of the last periodic report of slow endpoints to the owners of their slots, on the
    /// steady clock.
    slowness_sent_ms: u64,
    hedging: HedgePolicy,
    hedge_budget: HedgeBudget,
    drain: Drain,
    quarantine: Quarantine,
    retry_budget: RetryBudget,
    active: ActiveRequests,
    endpoints: capacity::EndpointTable,
    crash_checks: Vec<crash_check::CrashCheck>,
    /// Requests held back by [`Self::check_before_dispatch`] until an identical request starts
    /// to respond or ends, or until a crash has been reported to all routers.
    held_requests: Vec<RequestId>,
    instance_poll: capacity::InstancePoll,
    invariants: Invariants,
    reported_violations: u64,
    counters: Counters,
    stopping: bool,
    /// Since when a stopping router has had no active requests, on the steady clock.
    idle_since_ms: Option<u64>,
    next_attempt_sequence: u64,
    effects: Vec<Effect>,
    loopback: VecDeque<PeerMessage>,
}

impl Router {
    /// Creates a router without configuration, peers or requests.
    #[must_use]
    pub fn new(me: Member, options: RouterOptions, now: Now) -> Self {
        let instance = &me.instance;
        let incarnation = me.incarnation;
        let mut router = Self {
            membership: Membership::new(me.clone(), options.seeds.clone(), options.membership)
                .with_address_overrides(options.address_overrides.clone()),
            incarnations: IndexMap::new(),
            config: ConfigManager::new(instance.clone(), options.config.clone(), now),
            claims: ClaimManager::new(instance, incarnation, options.claims.clone()),
            store_call_limiter: StoreCallLimiter::new(options.store_call_limiter.clone()),
            fair_share: FairShare::new(options.fair_share.clone(), me.clone()),
            queues: Queues::new(options.queue.clone()),
            slot_owner: SlotOwner::new(instance.clone(), incarnation, options.slots.clone()),
            slot_holder: SlotHolder::new(instance.clone(), options.slots.clone()),
            naive: NaiveDispatcher::default(),
            costs: CostEstimator::new(options.cost.clone()),
            slowness_sent_ms: 0,
            slow_endpoints: SlowEndpointDetector::new(options.slow_endpoints.clone()),
            hedging: HedgePolicy::new(options.hedges.clone()),
            hedge_budget: options.hedge_budget.clone(),
            drain: Drain::new(instance, options.drain),
            quarantine: Quarantine::new(options.quarantine),
            retry_budget: RetryBudget::new(options.retries.clone()),
            active: ActiveRequests::default(),
            endpoints: capacity::EndpointTable::default(),
            crash_checks: Vec::new(),
            held_requests: Vec::new(),
            instance_poll: capacity::InstancePoll::default(),
            invariants: Invariants::new(options.fatal_invariants),
            reported_violations: 0,
            counters: Counters::default(),
            stopping: false,
            idle_since_ms: None,
            next_attempt_sequence: 1,
            effects: Vec::new(),
            loopback: VecDeque::new(),
            config_calls: IndexMap::new(),
            config_call_ids: CallIds::new(CallOwner::Sheet),
            clock: HybridClock::default(),
            sheet: Arc::new(Sheet::default()),
            me,
            options,
        };
        let data_centre = router.me.data_centre.clone();
        router.emit(
            now,
            EventKind::Started,
            None,
            &[("data_centre", &data_centre)],
        );
        router
    }

    /// Processes an input and returns the effects to execute.
    pub fn handle(&mut self, input: Input, now: Now, rng: &mut ChaCha8Rng) -> Vec<Effect> {
        // A progress report frees no slot and adds no work, so scheduling can wait for the next
        // tick.
        let is_progress = matches!(input, Input::AttemptProgress { .. });
        match input {
            Input::Tick => self.tick(now, rng),
            Input::Envelope(envelope) => self.receive(envelope, now),
            Input::Request(new) => self.request_arrived(new, now),
            Input::CallerGone(request) => self.caller_gone(request, now),
            Input::AttemptProgress { attempt, units } => {
                self.attempt_progressed(&attempt, units, now);
            }
            Input::AttemptEnded { attempt, result } => self.attempt_ended(&attempt, result, now),
            Input::StoreResponse { call, response } => {
                self.store_responded(call, response, now, rng);
            }
            Input::LoadReport {
                endpoint,
                purpose: PollPurpose::Load,
                report,
            } => self.receive_load_report(&endpoint, report.as_ref(), now),
            Input::LoadReport {
                endpoint,
                purpose: PollPurpose::CrashCheck,
                report,
            } => self.crash_checked(&endpoint, report.as_ref(), now),
            Input::OrderResponse { endpoint, response } => {
                self.order_responded(&endpoint, response.as_ref(), now);
            }
            Input::Stop => self.begin_stop(now),
        }
        if !is_progress {
            self.process_pending(now, rng);
        }
        std::mem::take(&mut self.effects)
    }

    /// Whether a stopping router has no active requests and has recorded the results of all
    /// idempotency key claims in the store. Results that the store does not accept are abandoned
    /// after [`RouterOptions::result_flush_timeout_ms`].
    #[must_use]
    pub fn is_finished(&self, now: Now) -> bool {
        let Some(idle_since_ms) = self.idle_since_ms else {
            return false;
        };
        let timed_out = now.since_ms(idle_since_ms) >= self.options.result_flush_timeout_ms;
        self.claims.is_settled() || timed_out
    }

    /// Whether this router accepts requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stopping && self.config.is_ready()
    }

    /// Returns the request counts since the router started.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the violated invariants by name, with the number of violations.
    pub fn invariant_violations(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.invariants
            .violations()
            .chain(self.claims.invariants().violations())
            .chain(self.drain.invariants().violations())
    }

    fn tick(&mut self, now: Now, rng: &mut ChaCha8Rng) {
        self.tick_membership(now, rng);
        self.tick_config(now);
        self.tick_claims(now);
        self.expire_waiting(now);
        self.tick_avoidance(now);
        self.tick_fair_share(now);
        self.tick_capacity(now);
        self.tick_hedges(now);
        self.report_violations(now);
        if self.stopping && self.active.requests.is_empty() {
            self.idle_since_ms.get_or_insert(now.steady_ms);
        }
        self.store_call_limiter
            .set_rate_per_s(self.store_rate_per_s());
    }

    /// Returns this router's share of the fleet's limit on store calls, capped by its own limit.
    fn store_rate_per_s(&self) -> u64 {
        let routers = self.membership.view().live.len().max(1) as u64;
        let share = self.options.fleet_store_calls_per_s / routers;
        share.clamp(1, self.options.store_call_limiter.rate_per_s)
    }

    /// Schedules queued requests and delivers the messages that this router sent to itself, in at
    /// most `MAX_ROUNDS` rounds. Then releases store calls that are due.
    fn process_pending(&mut self, now: Now, rng: &mut ChaCha8Rng) {
        const MAX_ROUNDS: usize = 64;
        for _ in 0..MAX_ROUNDS {
            self.schedule(now, rng);
            let Some(message) = self.loopback.pop_front() else {
                break;
            };
            let me = self.me.instance.clone();
            self.receive_message(&me, self.me.incarnation, message, now);
            while let Some(message) = self.loopback.pop_front() {
                self.receive_message(&me, self.me.incarnation, message, now);
            }
        }
        let ready = self.store_call_limiter.poll(now, rng);
        let calls = ready
            .into_iter()
            .map(|(call, request)| Effect::Store { call, request });
        self.effects.extend(calls);
    }

    fn begin_stop(&mut self, now: Now) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.membership.leave();
        self.emit(now, EventKind::Stopping, None, &[]);
    }

    fn next_attempt_id(&mut self) -> AttemptId {
        let sequence = self.next_attempt_sequence;
        self.next_attempt_sequence += 1;
        AttemptId {
            instance: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            sequence,
        }
    }

    fn decide(&mut self, request: RequestId, decision: Decision) {
        self.effects.push(Effect::Decide { request, decision });
    }

    /// Sends a message to a router. A message to this router is queued for local delivery.
    fn send(&mut self, to: &InstanceId, message: PeerMessage, now: Now) {
        if *to == self.me.instance {
            self.loopback.push_back(message);
            return;
        }
        let Some(address) = self.membership.address(to) else {
            return;
        };
        let time = self.clock.tick(now);
        self.effects.push(Effect::Send {
            address,
            time,
            message,
        });
    }

    fn send_all(&mut self, messages: Vec<(InstanceId, PeerMessage)>, now: Now) {
        for (to, message) in messages {
            self.send(&to, message, now);
        }
    }

    fn emit(
        &mut self,
        now: Now,
        kind: EventKind,
        request: Option<RequestId>,
        details: &[(&str, &dyn std::fmt::Display)],
    ) {
        let details: IndexMap<String, String> = details
            .iter()
            .map(|(key, value)| ((*key).to_owned(), value.to_string()))
            .collect();
        let event = Event {
            time: self.clock.tick(now),
            instance: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            data_centre: self.me.data_centre.clone(),
            request,
            kind,
            details,
        };
        self.effects.push(Effect::Emit(event));
    }

    /// Emits an event if invariants were violated since the last call.
    fn report_violations(&mut self, now: Now) {
        let total: u64 = self.invariant_violations().map(|(_, count)| count).sum();
        if total == self.reported_violations {
            return;
        }
        self.reported_violations = total;
        let names: Vec<&str> = self.invariant_violations().map(|(name, _)| name).collect();
        let names = names.join(",");
        self.emit(
            now,
            EventKind::Invariant,
            None,
            &[("names", &names), ("total", &total)],
        );
    }
}
