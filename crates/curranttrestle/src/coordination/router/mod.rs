//! The router: all deciding modules put together behind one input and a list of effects.
//!
//! One control thread owns a [`Router`]. It passes in what happened, with the time, and
//! carries out the effects.

mod active;
mod avoidance;
mod capacity;
mod claims;
mod deaths;
mod hedges;
mod input;
mod naive;
mod options;
mod outcomes;
mod peers;
mod requests;
mod screening;
mod slowness;
mod status;

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use rand_chacha::ChaCha8Rng;

use crate::coordination::call_ids::{CallIds, CallOwner};
use crate::coordination::claims::ClaimBook;
use crate::coordination::config::{ConfigKeeper, ConfigPurpose};
use crate::coordination::cost::CostEstimator;
use crate::coordination::drain::Drain;
use crate::coordination::fair_share::FairShare;
use crate::coordination::invariant::Invariants;
use crate::coordination::membership::Membership;
use crate::coordination::quarantine::Quarantine;
use crate::coordination::queue::Queues;
use crate::coordination::retry_budget::RetryBudget;
use crate::coordination::slots::{SlotHolder, SlotOwner};
use crate::coordination::speed::{HedgeBudget, Hedging, SpeedJudge};
use crate::coordination::store_gate::StoreGate;
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
pub use status::{EndpointStatus, MemberLine, QueueStatus, RouterStatus};

/// What happened to requests since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests answered.
    pub answered: u64,
    /// Requests refused that did not run.
    pub refused: u64,
    /// Requests whose outcome is not known.
    pub unknown: u64,
    /// Attempts after a first one that failed.
    pub retried: u64,
    /// Attempts beside a slow first one.
    pub hedged: u64,
}

/// One router's decisions.
#[derive(Debug)]
pub struct Router {
    options: RouterOptions,
    me: Member,
    clock: HybridClock,
    sheet: Arc<Sheet>,
    membership: Membership,
    /// The last known run of each member.
    runs: IndexMap<InstanceId, Incarnation>,
    config: ConfigKeeper,
    config_calls: IndexMap<CallId, ConfigPurpose>,
    config_call_ids: CallIds,
    claims: ClaimBook,
    store: StoreGate,
    fair: FairShare,
    queues: Queues,
    owner: SlotOwner,
    holder: SlotHolder,
    naive: NaiveDispatcher,
    costs: CostEstimator,
    speed: SpeedJudge,
    /// When the owners were last told which endpoints are slow, in steady time.
    slowness_told_ms: u64,
    hedging: Hedging,
    hedge_budget: HedgeBudget,
    drain: Drain,
    quarantine: Quarantine,
    retries: RetryBudget,
    active: ActiveRequests,
    endpoints: capacity::EndpointTable,
    death_checks: Vec<deaths::DeathCheck>,
    /// Requests that wait until a copy of them has begun to answer.
    held: Vec<RequestId>,
    instances: capacity::InstancePoll,
    invariants: Invariants,
    reported_violations: u64,
    counters: Counters,
    stopping: bool,
    /// Since when a stopping router has had no request, in steady time.
    idle_since_ms: Option<u64>,
    next_attempt: u64,
    effects: Vec<Effect>,
    to_self: VecDeque<PeerMessage>,
}

impl Router {
    /// A router that knows nothing but its options.
    #[must_use]
    pub fn new(me: Member, options: RouterOptions, now: Now) -> Self {
        let instance = &me.instance;
        let incarnation = me.incarnation;
        let mut router = Self {
            membership: Membership::new(me.clone(), options.seeds.clone(), options.membership)
                .with_via(options.via.clone()),
            runs: IndexMap::new(),
            config: ConfigKeeper::new(instance.clone(), options.config.clone(), now),
            claims: ClaimBook::new(instance, incarnation, options.claims.clone()),
            store: StoreGate::new(options.store_gate.clone()),
            fair: FairShare::new(options.fair_share.clone(), me.clone()),
            queues: Queues::new(options.queue.clone()),
            owner: SlotOwner::new(instance.clone(), incarnation, options.slots.clone()),
            holder: SlotHolder::new(instance.clone(), options.slots.clone()),
            naive: NaiveDispatcher::default(),
            costs: CostEstimator::new(options.cost.clone()),
            slowness_told_ms: 0,
            speed: SpeedJudge::new(options.speed.clone()),
            hedging: Hedging::new(options.hedges.clone()),
            hedge_budget: options.hedge_budget.clone(),
            drain: Drain::new(instance, options.drain),
            quarantine: Quarantine::new(options.quarantine),
            retries: RetryBudget::new(options.retries.clone()),
            active: ActiveRequests::default(),
            endpoints: capacity::EndpointTable::default(),
            death_checks: Vec::new(),
            held: Vec::new(),
            instances: capacity::InstancePoll::default(),
            invariants: Invariants::new(options.fatal_invariants),
            reported_violations: 0,
            counters: Counters::default(),
            stopping: false,
            idle_since_ms: None,
            next_attempt: 1,
            effects: Vec::new(),
            to_self: VecDeque::new(),
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

    /// Takes note of what happened and returns what is to be done.
    pub fn handle(&mut self, input: Input, now: Now, rng: &mut ChaCha8Rng) -> Vec<Effect> {
        // A report of the cost so far frees no slot and adds no work; the next tick takes what
        // little it changes into account.
        let is_progress = matches!(input, Input::Progress { .. });
        match input {
            Input::Tick => self.tick(now, rng),
            Input::Envelope(envelope) => self.receive(envelope, now),
            Input::Request(new) => self.request_arrived(new, now),
            Input::CallerGone(request) => self.caller_gone(request, now),
            Input::Progress { attempt, units } => self.attempt_progressed(&attempt, units, now),
            Input::Ended { attempt, result } => self.attempt_ended(&attempt, result, now),
            Input::StoreAnswered { call, answer } => self.store_answered(call, answer, now, rng),
            Input::LoadReport {
                endpoint,
                purpose: PollPurpose::Load,
                report,
            } => self.load_reported(&endpoint, report.as_ref(), now),
            Input::LoadReport {
                endpoint,
                purpose: PollPurpose::DeathCheck,
                report,
            } => self.death_checked(&endpoint, report.as_ref(), now),
            Input::OrderAnswered { endpoint, answer } => {
                self.order_answered(&endpoint, answer.as_ref(), now);
            }
            Input::Stop => self.begin_stop(now),
        }
        if !is_progress {
            self.settle(now, rng);
        }
        std::mem::take(&mut self.effects)
    }

    /// Whether a stopping router has finished everything that it had. Results of bookings
    /// that the store does not take are given up after a while.
    #[must_use]
    pub fn is_finished(&self, now: Now) -> bool {
        let Some(idle_since_ms) = self.idle_since_ms else {
            return false;
        };
        let given_up = now.since_ms(idle_since_ms) >= self.options.settle_timeout_ms;
        self.claims.is_settled() || given_up
    }

    /// Whether this router takes requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stopping && self.config.is_ready()
    }

    /// What happened to requests since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The violated invariants by name.
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
        self.store.set_rate_per_s(self.store_rate_per_s());
    }

    /// This router's part of the calls that the fleet may make, within its own limit.
    fn store_rate_per_s(&self) -> u64 {
        let routers = self.membership.view().live.len().max(1) as u64;
        let part = self.options.fleet_store_calls_per_s / routers;
        part.clamp(1, self.options.store_gate.rate_per_s)
    }

    /// Matches waiting work with slots, and delivers messages to itself, until nothing moves.
    fn settle(&mut self, now: Now, rng: &mut ChaCha8Rng) {
        const MAX_ROUNDS: usize = 64;
        for _ in 0..MAX_ROUNDS {
            self.match_work(now, rng);
            let Some(message) = self.to_self.pop_front() else {
                break;
            };
            let me = self.me.instance.clone();
            self.receive_message(&me, self.me.incarnation, message, now);
            while let Some(message) = self.to_self.pop_front() {
                self.receive_message(&me, self.me.incarnation, message, now);
            }
        }
        let ready = self.store.poll(now, rng);
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
        let sequence = self.next_attempt;
        self.next_attempt += 1;
        AttemptId {
            instance: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            sequence,
        }
    }

    fn decide(&mut self, request: RequestId, decision: Decision) {
        self.effects.push(Effect::Decide { request, decision });
    }

    /// Sends a message to another router, or delivers it to this one.
    fn send(&mut self, to: &InstanceId, message: PeerMessage, now: Now) {
        if *to == self.me.instance {
            self.to_self.push_back(message);
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

    /// Emits an event for invariants that were violated since the last look.
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
