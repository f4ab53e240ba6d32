//! Draining: taking endpoints out of service and stopping them.
//!
//! Leaving applies to one run of an endpoint, that is, one process incarnation, and is never
//! withdrawn. A router learns of it from the operators' marks, the sheet, the platform's list, the
//! endpoint's own load report or another router, and applies it at once. The endpoint's slot owner
//! sends the stop order once nothing can run on the endpoint any more.
//!
//! A stop order names the run and carries the version of the marks as its fencing number. Since the
//! stop of a run is never withdrawn, an old order does no harm on an endpoint that ignores the
//! number.

mod desired;
mod effect;
mod endpoint;
mod gossip;
mod options;
mod stop;

use indexmap::{IndexMap, IndexSet};

use crate::coordination::invariant::Invariants;
use crate::protocol::endpoint::{LoadReport, Order, OrderKind, OrderResponse};
use crate::protocol::platform::Version;
use crate::state::marks::Marks;
use crate::state::sheet::Sheet;
use crate::state::{AttemptId, DataCentreId, EndpointId, InstanceId, MemberView, Now};

use desired::Desired;
use endpoint::{EndpointMarks, EndpointState};
use gossip::Gossip;
use stop::StopProgress;

pub use desired::DesiredState;
pub use effect::{DrainEffect, LeavingSource};
pub use options::DrainOptions;

/// Tracks which endpoints are leaving, as known to one router, and stops them.
#[derive(Clone, Debug)]
pub struct Drain {
    me: InstanceId,
    options: DrainOptions,
    invariants: Invariants,
    /// The greatest version of the marks seen.
    marks_version: Version,
    endpoints: IndexMap<EndpointId, EndpointState>,
    /// The data centre of each endpoint in the sheet.
    data_centres: IndexMap<EndpointId, DataCentreId>,
    /// The endpoints whose slots this router owns. It also sends their orders.
    owned: IndexSet<EndpointId>,
    desired: IndexMap<EndpointId, Desired>,
    gossip: Gossip,
}

impl Drain {
    /// Creates the state of the router `me`, in which no endpoint is leaving.
    ///
    /// ```
    /// use curranttrestle::coordination::drain::{Drain, DrainOptions};
    /// use curranttrestle::state::Now;
    /// let mut drain = Drain::new(&"r1".into(), DrainOptions::default());
    /// assert!(drain.is_usable(&"m1".into()));
    /// drain.apply_instance_list(&["m1".into()], Now::default());
    /// assert!(!drain.is_usable(&"m1".into()));
    /// ```
    #[must_use]
    pub fn new(me: &InstanceId, options: DrainOptions) -> Self {
        Self {
            me: me.clone(),
            options,
            invariants: Invariants::new(options.fatal_invariants),
            marks_version: Version::default(),
            endpoints: IndexMap::new(),
            data_centres: IndexMap::new(),
            owned: IndexSet::new(),
            desired: IndexMap::new(),
            gossip: Gossip::default(),
        }
    }

    /// Whether new work may be sent to `endpoint`, as far as this router knows.
    #[must_use]
    pub fn is_usable(&self, endpoint: &EndpointId) -> bool {
        self.endpoints
            .get(endpoint)
            .is_none_or(EndpointState::is_usable)
    }

    /// Applies a sheet that came into force.
    pub fn apply_sheet(&mut self, sheet: &Sheet, now: Now) -> Vec<DrainEffect> {
        self.data_centres = sheet
            .endpoints
            .iter()
            .map(|(endpoint, row)| (endpoint.clone(), row.data_centre.clone()))
            .collect();
        let mut effects = Vec::new();
        for (endpoint, row) in &sheet.endpoints {
            let update = |state: &mut EndpointState| state.is_leaving_in_sheet = row.leaving;
            effects.extend(self.update_endpoint(endpoint, LeavingSource::Sheet, now, update));
        }
        effects
    }

    /// Applies the operators' marks, as stored by the platform at `version`.
    pub fn apply_marks(&mut self, marks: &Marks, version: Version, now: Now) -> Vec<DrainEffect> {
        self.marks_version = self.marks_version.max(version);
        let mut by_endpoint: IndexMap<&EndpointId, EndpointMarks> = IndexMap::new();
        for entry in &marks.entries {
            by_endpoint.entry(&entry.endpoint).or_default().add(entry);
        }
        let mut effects = Vec::new();
        for (endpoint, marks) in by_endpoint {
            let update = |state: &mut EndpointState| state.marks = marks;
            effects.extend(self.update_endpoint(endpoint, LeavingSource::Marks, now, update));
        }
        effects
    }

    /// Applies the platform's list: exactly the endpoints in `leaving` are leaving.
    pub fn apply_instance_list(&mut self, leaving: &[EndpointId], now: Now) -> Vec<DrainEffect> {
        let known: Vec<EndpointId> = self.endpoints.keys().cloned().collect();
        let all: IndexSet<&EndpointId> = known.iter().chain(leaving).collect();
        let mut effects = Vec::new();
        for endpoint in all {
            let is_leaving = leaving.contains(endpoint);
            let update = |state: &mut EndpointState| state.apply_listing(is_leaving, now);
            effects.extend(self.update_endpoint(endpoint, LeavingSource::Platform, now, update));
        }
        effects
    }

    /// Records that an attempt of this router was dispatched to `endpoint`.
    pub fn attempt_started(&mut self, endpoint: &EndpointId, attempt: &AttemptId) {
        let state = self.endpoints.entry(endpoint.clone()).or_default();
        state.running.insert(attempt.clone());
        let is_usable = state.is_usable();
        self.invariants
            .check(is_usable, "no-dispatch-to-a-leaving-endpoint", endpoint);
    }

    /// Records that an attempt of this router on `endpoint` ended.
    pub fn attempt_ended(&mut self, endpoint: &EndpointId, attempt: &AttemptId) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.running.swap_remove(attempt);
        }
    }

    /// Records a run of `endpoint` that was seen in a response.
    pub fn observe_run(&mut self, endpoint: &EndpointId, run: u64, now: Now) -> Vec<DrainEffect> {
        self.update_endpoint(endpoint, LeavingSource::Endpoint, now, |state| {
            state.observe_run(run);
        })
        .into_iter()
        .collect()
    }

    /// Handles a load report that was just received, and sends the order that it permits.
    pub fn receive_load_report(
        &mut self,
        endpoint: &EndpointId,
        report: &LoadReport,
        now: Now,
    ) -> Vec<DrainEffect> {
        let leaving = self.update_endpoint(endpoint, LeavingSource::Endpoint, now, |state| {
            state.observe_run(report.incarnation);
            if report.draining {
                state.set_leaving_run(report.incarnation);
            }
        });
        let mut effects: Vec<DrainEffect> = leaving.into_iter().collect();
        if self.owned.contains(endpoint) {
            let order = match self.stop_order(endpoint, report, now) {
                Some(order) => Some(order),
                None => self.desired_order(endpoint, report, now),
            };
            effects.extend(order.map(|order| self.send_order(endpoint, order, now)));
        }
        effects
    }

    /// Handles the response to an order; `None` if there was no response.
    ///
    /// An order is retried until the endpoint's reports show that it took effect, so a response
    /// only matters if it reveals a later run or a greater fencing number.
    pub fn receive_order_response(
        &mut self,
        endpoint: &EndpointId,
        response: Option<&OrderResponse>,
        now: Now,
    ) -> Vec<DrainEffect> {
        match response {
            Some(OrderResponse::OtherIncarnation { incarnation }) => {
                self.observe_run(endpoint, *incarnation, now)
            }
            // A stop order stays valid under any later version of the marks.
            Some(OrderResponse::Stale { greatest }) => {
                self.marks_version.0 = self.marks_version.0.max(*greatest);
                Vec::new()
            }
            Some(OrderResponse::Applied) | None => Vec::new(),
        }
    }

    /// Sets the desired state of `endpoint`, unless the known one has a greater fencing number.
    pub fn set_desired(&mut self, endpoint: &EndpointId, desired: DesiredState) {
        let is_old = self
            .desired
            .get(endpoint)
            .is_some_and(|old| old.state.fencing > desired.fencing || old.state == desired);
        if !is_old {
            self.desired.insert(endpoint.clone(), Desired::new(desired));
        }
    }

    /// Gossips updates, runs anti-entropy and reports the endpoints on which attempts still run.
    /// `owned` are the endpoints whose slots this router owns.
    ///
    /// Call it several times a second.
    pub fn tick(
        &mut self,
        owned: &[EndpointId],
        members: &MemberView,
        now: Now,
    ) -> Vec<DrainEffect> {
        self.owned = owned.iter().cloned().collect();
        self.tick_gossip(members, now)
    }

    /// The invariants checked by this module.
    #[must_use]
    pub fn invariants(&self) -> &Invariants {
        &self.invariants
    }

    /// Updates the state of an endpoint and applies the immediate consequences.
    fn update_endpoint(
        &mut self,
        endpoint: &EndpointId,
        source: LeavingSource,
        now: Now,
        update: impl FnOnce(&mut EndpointState),
    ) -> Option<DrainEffect> {
        let state = self.endpoints.entry(endpoint.clone()).or_default();
        let was_usable = state.is_usable();
        update(state);
        // The wait for the last lease starts when this router learns that the run is to be stopped.
        let run = state.run_to_stop();
        if state.progress.as_ref().map(|progress| progress.run) != run {
            state.progress = run.map(|run| StopProgress::new(run, now, &self.options));
        }
        (was_usable && !state.is_usable()).then(|| DrainEffect::Leaving {
            endpoint: endpoint.clone(),
            source,
        })
    }

    /// The stop order, once nothing can run on the endpoint any more.
    fn stop_order(
        &mut self,
        endpoint: &EndpointId,
        report: &LoadReport,
        now: Now,
    ) -> Option<Order> {
        let state = self.endpoints.get_mut(endpoint)?;
        let run = state.run_to_stop()?;
        let progress = state.progress.as_mut()?;
        // A report of another run proves nothing about this one.
        if report.incarnation != run {
            return None;
        }
        if !state.running.is_empty() {
            progress.mark_busy(now);
        }
        progress.observe_report(report, now, &self.options);
        if !progress.is_confirmed_idle(now, &self.options)
            || !progress.is_order_due(now, &self.options)
        {
            return None;
        }
        progress.record_order(now);
        let is_idle = state.running.is_empty() && report.running.is_empty();
        self.invariants
            .check(is_idle, "no-stop-while-work-runs", endpoint);
        Some(Order {
            kind: OrderKind::Stop,
            fencing: self.marks_version.0,
            incarnation: run,
        })
    }

    /// The next order for the desired state, unless the endpoint is leaving.
    fn desired_order(
        &mut self,
        endpoint: &EndpointId,
        report: &LoadReport,
        now: Now,
    ) -> Option<Order> {
        let run = self.endpoints.get(endpoint)?.run;
        if run != Some(report.incarnation) || !self.is_usable(endpoint) {
            return None;
        }
        let desired = self.desired.get_mut(endpoint)?;
        desired.order(report, now, &self.options)
    }

    fn send_order(&self, endpoint: &EndpointId, order: Order, now: Now) -> DrainEffect {
        DrainEffect::Order {
            endpoint: endpoint.clone(),
            order,
            valid_until_ms: now.steady_ms + self.options.order_valid_ms,
        }
    }
}
