//! The state of a gateway and its decisions on each request.

use indexmap::IndexMap;

use super::admission::{
    AdmissionDecision, AdmissionOptions, RefusalReason, admit, endpoint_target_ms, usable_fraction,
};
use super::directory::{Directory, DirectoryChange, DirectoryOptions};
use super::endpoint_load::{EndpointKey, EndpointLoad, LoadOptions, LoadTracker, SentRequest};
use super::endpoint_pauses::EndpointPauses;
use super::evacuation::{EvacuationOptions, Evacuations};
use super::freshness::{Freshness, FreshnessOptions};
use super::outlier_detection::{FailureKind, OutlierDetector, OutlierOptions};
use super::part_quarantine::{PartQuarantine, PartQuarantineOptions};
use super::placement::{Choice, PlacementContext, PlacementOptions, choose_engine, choose_plain};
use super::prompt_cache::{PromptCache, PromptCacheOptions};
use super::request_quarantine::RequestQuarantine;
use super::route_table::RouteTable;
use super::shares::{ShareOptions, ShareStatus, ShareTracker};
use super::software_version::VersionKey;
use super::stated_runs::StatedRuns;
use super::stream_versions::{StreamVersionOptions, StreamVersions};
use super::warmup::{ColdEndpoints, ENDPOINTS_COLD, WarmupOptions, prefer_warm};
use crate::coordination::quarantine::QuarantineOptions;
use crate::coordination::retry_budget::{RetryBudget, RetryBudgetOptions};
use crate::state::gateway::{ClientLimits, EndpointEntry, RequestHints, Route, ServiceConfig};
use crate::state::{EndpointId, Now};

/// Options of all decisions of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlOptions {
    /// The data centre of this gateway.
    pub data_centre: String,
    /// The region of each data centre; empty if regions do not matter.
    pub regions: IndexMap<String, String>,
    /// The limit on requests to cold endpoints; `None` if there is none.
    pub warmup: Option<WarmupOptions>,
    /// The bound on evacuations of data centres; `None` if they are not read.
    pub evacuation: Option<EvacuationOptions>,
    /// The bound on key revocation.
    pub freshness: FreshnessOptions,
    /// Handling of lapsed directory entries.
    pub directory: DirectoryOptions,
    /// Load estimation.
    pub load: LoadOptions,
    /// Prefix cache estimation.
    pub cache: PromptCacheOptions,
    /// Endpoint selection.
    pub placement: PlacementOptions,
    /// Admission control.
    pub admission: AdmissionOptions,
    /// Fair shares of customers.
    pub shares: ShareOptions,
    /// Outlier detection.
    pub outliers: OutlierOptions,
    /// Quarantine of requests that crash endpoints.
    pub quarantine: QuarantineOptions,
    /// Quarantine of prompt parts that crash engines.
    pub prompt_parts: PartQuarantineOptions,
    /// Memory of the software versions of streams.
    pub streams: StreamVersionOptions,
    /// The retry budget of the whole fleet. Each gateway uses its fraction of it.
    pub retries: FleetRetryOptions,
    /// Retry-after time of a request that is refused because no endpoint is known.
    pub no_endpoint_retry_ms: f64,
}

/// The retry budget of the whole fleet for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetRetryOptions {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Retries that the whole fleet may send in a window without requests.
    pub min_retries: f64,
    /// Length of the window.
    pub window_ms: u64,
    /// Fraction of the budget that is used. The rest is reserved because requests arrive unevenly
    /// over time.
    pub used_fraction: f64,
}

impl Default for FleetRetryOptions {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            min_retries: 10.0,
            window_ms: 10_000,
            used_fraction: 0.6,
        }
    }
}

impl Default for ControlOptions {
    fn default() -> Self {
        Self {
            data_centre: String::new(),
            regions: IndexMap::new(),
            warmup: None,
            evacuation: None,
            freshness: FreshnessOptions::default(),
            directory: DirectoryOptions::default(),
            load: LoadOptions::default(),
            cache: PromptCacheOptions::default(),
            placement: PlacementOptions::default(),
            admission: AdmissionOptions::default(),
            shares: ShareOptions::default(),
            outliers: OutlierOptions::default(),
            quarantine: QuarantineOptions {
                refuse_after_crashes: 3,
                isolates_suspects: false,
                ..QuarantineOptions::default()
            },
            prompt_parts: PartQuarantineOptions::default(),
            streams: StreamVersionOptions::default(),
            retries: FleetRetryOptions::default(),
            no_endpoint_retry_ms: 500.0,
        }
    }
}

/// A request that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The route of the request.
    pub route: &'a Route,
    /// The service that handles the request.
    pub service: &'a str,
    /// The customer; empty for none.
    pub customer: &'a str,
    /// What the client declared about the request.
    pub hints: &'a RequestHints,
    /// Endpoints that already failed this request.
    pub excluded: &'a [EndpointId],
    /// Whether this is a retry.
    pub is_retry: bool,
    /// Whether this resumes a stream whose response to the client has already begun.
    pub is_resumed: bool,
    /// The software version that sent the first event of the stream; `None` before that.
    pub required_version: Option<VersionKey>,
}

/// The placement decision for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// Send the request to an endpoint.
    Send(Choice),
    /// Refuse the request. It was not sent to an endpoint this time.
    Refuse {
        /// The reason, as written to logs and metrics.
        reason: &'static str,
        /// The retry-after time for the client.
        retry_after_ms: f64,
        /// The estimates that led to the refusal.
        inputs: RefusalInputs,
    },
}

/// The estimates that led to a refusal, for the log. All are zero if no endpoint is known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RefusalInputs {
    /// Predicted time to the first event.
    pub predicted_ms: f64,
    /// The part of it that is spent waiting for other requests.
    pub wait_ms: f64,
    /// The scheduling delay of this gateway.
    pub own_delay_ms: f64,
    /// The load of the endpoint.
    pub load: EndpointLoad,
    /// Admitted tokens of the customer over its fair share; zero if it is within its share.
    pub share_ratio: f64,
}

/// The state of a gateway.
#[derive(Clone, Debug)]
pub struct Control {
    pub(super) options: ControlOptions,
    /// The configuration in force; `None` before the first one.
    pub(super) routes: Option<RouteTable>,
    /// Proofs that the configuration in force is the newest one.
    pub config_freshness: Freshness,
    /// The endpoints in the directory.
    pub directory: Directory,
    /// The load of the endpoints.
    pub load: LoadTracker,
    /// The prompt prefixes that endpoints probably have cached.
    pub cache: PromptCache,
    /// The fair shares of customers.
    pub shares: ShareTracker,
    /// Endpoints that are avoided because of failures.
    pub outliers: OutlierDetector,
    /// Endpoints that asked this gateway to send nothing for a time.
    pub pauses: EndpointPauses,
    /// Data centres that must get no requests.
    pub evacuations: Evacuations,
    /// Endpoints that are cold after a start.
    pub cold: ColdEndpoints,
    /// Requests that crash endpoints.
    pub quarantine: RequestQuarantine,
    /// Prompt parts that crash engines.
    pub prompt_parts: PartQuarantine,
    /// The software version at which each stream began.
    pub streams: StreamVersions,
    /// The runs that endpoints stated themselves.
    pub stated_runs: StatedRuns,
    budgets: IndexMap<String, RetryBudget>,
    fleet_size: usize,
    last_attempt: u64,
}

impl Control {
    /// Creates a gateway without a configuration or endpoints.
    #[must_use]
    pub fn new(options: ControlOptions) -> Self {
        Self {
            routes: None,
            config_freshness: Freshness::new(options.freshness),
            directory: Directory::new(options.directory),
            load: LoadTracker::new(options.load),
            cache: PromptCache::new(options.cache),
            shares: ShareTracker::new(options.shares),
            outliers: OutlierDetector::new(options.outliers),
            pauses: EndpointPauses::default(),
            evacuations: Evacuations::new(options.evacuation),
            cold: ColdEndpoints::new(options.warmup),
            quarantine: RequestQuarantine::new(options.quarantine),
            prompt_parts: PartQuarantine::new(options.prompt_parts),
            streams: StreamVersions::new(options.streams),
            stated_runs: StatedRuns::default(),
            budgets: IndexMap::new(),
            fleet_size: 1,
            last_attempt: 0,
            options,
        }
    }

    /// Changes the bounds that the platform sets.
    pub fn set_bounds(&mut self, freshness: FreshnessOptions, retries: FleetRetryOptions) {
        self.options.freshness = freshness;
        self.options.retries = retries;
        self.config_freshness.set_options(freshness);
        self.update_budgets();
    }

    /// The configuration in force.
    #[must_use]
    pub fn routes(&self) -> Option<&RouteTable> {
        self.routes.as_ref()
    }

    /// Limits on what clients may send; the defaults before the first configuration.
    #[must_use]
    pub fn client_limits(&self) -> ClientLimits {
        let table = self.routes.as_ref();
        table.map_or_else(ClientLimits::default, |table| table.config().limits)
    }

    /// Whether requests can be served: a configuration, the directory and the evacuations are loaded.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.routes.is_some() && self.directory.is_loaded() && self.evacuations.is_ready()
    }

    /// Applies a configuration that was read at `revision` of the store; the read was sent at
    /// `sent_ms`. Returns whether the version changed. A version older than the one in force is
    /// ignored.
    pub fn apply_config(&mut self, config: ServiceConfig, revision: u64, sent_ms: u64) -> bool {
        let current = self.routes.as_ref().map(|table| table.config().version);
        if current.is_some_and(|version| config.version < version) {
            return false;
        }
        let is_new = current != Some(config.version);
        if is_new || revision > self.config_freshness.revision() {
            self.routes = Some(RouteTable::new(config));
        }
        self.config_freshness.record_proof(revision, sent_ms);
        is_new
    }

    /// Discards cached state of endpoints that restarted or were removed.
    pub fn apply_directory_changes(&mut self, changes: &[DirectoryChange]) {
        for change in changes {
            if let DirectoryChange::Restarted(endpoint) | DirectoryChange::Removed(endpoint) =
                change
            {
                let key = EndpointKey::of(endpoint);
                self.cache.remove_endpoint(key);
                self.outliers.remove_endpoint(key);
            }
        }
    }

    /// The service among the targets of a route that has endpoints of a software version.
    #[must_use]
    pub fn service_of_version(&self, route: &Route, version: VersionKey) -> Option<&str> {
        let version = self.listed_version(version);
        let mut entries = self.directory.all_entries();
        let entry = entries.find(|entry| {
            self.stated_runs.version(entry) == version
                && route
                    .targets
                    .iter()
                    .any(|target| target.service == entry.service)
        });
        entry.map(|entry| entry.service.as_str())
    }

    /// Records the number of gateways, this one included, that share the retry budgets. A smaller
    /// number is ignored: gateways that are no longer reachable may be partitioned and still
    /// retry.
    pub fn observe_fleet_size(&mut self, size: usize) {
        if size > self.fleet_size {
            self.fleet_size = size;
            self.update_budgets();
        }
    }

    /// The number of gateways that share the retry budgets.
    #[must_use]
    pub fn fleet_size(&self) -> usize {
        self.fleet_size
    }

    /// Maximum number of idle connections that this gateway keeps to an endpoint of `service`:
    /// its fraction of half of the endpoint's connection limit. The other half is reserved for
    /// requests. `usize::MAX` if there is no limit or the service is unknown.
    #[must_use]
    pub fn max_idle_connections(&self, service: &str) -> usize {
        let service = self
            .routes
            .as_ref()
            .and_then(|table| table.service(service));
        let limit = service.map_or(0, |service| service.max_connections);
        if limit == 0 {
            return usize::MAX;
        }
        (usize::try_from(limit).unwrap_or(usize::MAX) / 2 / self.fleet_size).max(1)
    }

    /// Records the arrival of a request for `service`.
    pub fn record_arrival(
        &mut self,
        service: &str,
        customer: &str,
        hints: &RequestHints,
        now: Now,
    ) {
        self.budget(service).record_first(now);
        if !hints.prompt_parts.is_empty() {
            self.shares
                .record_requested(customer, cost_tokens(hints), now);
        }
    }

    /// Takes one retry for `service` from the budget. Returns false when the budget is exhausted.
    pub fn try_retry(&mut self, service: &str, now: Now) -> bool {
        self.budget(service).try_withdraw(now)
    }

    /// Chooses an endpoint for a request, or refuses it.
    #[must_use]
    pub fn place(&self, request: PlacementRequest<'_>, now: Now) -> Placement {
        // The response to the client has already begun, so it can no longer be refused.
        let share_status = if request.is_resumed {
            ShareStatus::Within
        } else {
            self.share_status(request, now)
        };
        let Some(choice) = self.choose(request, share_status, now) else {
            let pause_ms = self.service_pause_ms(request, now);
            #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
            let (reason, retry_after_ms) = match (pause_ms, self.cold_wait_ms(request, now)) {
                (Some(pause_ms), _) => ("endpoints-paused", pause_ms as f64),
                (None, Some(wait_ms)) => (ENDPOINTS_COLD, wait_ms as f64),
                (None, None) => (
                    self.reason_without_endpoint(request, now),
                    self.options.no_endpoint_retry_ms,
                ),
            };
            return Placement::Refuse {
                reason,
                retry_after_ms,
                inputs: RefusalInputs::default(),
            };
        };
        if request.is_resumed {
            return Placement::Send(choice);
        }
        #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
        let (target_ms, own_delay_ms) = (
            request.route.target_latency_ms as f64,
            self.load.own_delay.delay_ms(now) as f64,
        );
        // The response waits for its turn here, however fast the endpoint is.
        let endpoint_target_ms = endpoint_target_ms(target_ms, own_delay_ms);
        let options = &self.options.admission;
        let decision = endpoint_target_ms.map_or(
            AdmissionDecision::Refuse {
                reason: RefusalReason::OwnDelay,
                retry_after_ms: options.min_retry_after_ms,
            },
            |target_ms| admit(&choice, target_ms, share_status, options),
        );
        match decision {
            AdmissionDecision::Admit => Placement::Send(choice),
            AdmissionDecision::Refuse {
                reason,
                retry_after_ms,
            } => Placement::Refuse {
                reason: RefusalReason::as_str(reason),
                // Sooner, the client would find the same delay.
                retry_after_ms: retry_after_ms.max(own_delay_ms.min(options.max_retry_after_ms)),
                inputs: RefusalInputs {
                    predicted_ms: choice.predicted_ms,
                    wait_ms: choice.wait_ms,
                    own_delay_ms,
                    load: choice.load,
                    share_ratio: match share_status {
                        ShareStatus::Within => 0.0,
                        ShareStatus::Over { ratio, .. } => ratio,
                    },
                },
            },
        }
    }

    /// Records that a request is sent to the chosen endpoint. Returns the attempt number.
    pub fn record_start(
        &mut self,
        choice: &Choice,
        request: PlacementRequest<'_>,
        now: Now,
    ) -> u64 {
        self.last_attempt += 1;
        let key = EndpointKey::of(&choice.entry.endpoint);
        let sent = SentRequest {
            prefill_tokens: choice.prefill_tokens,
            memory_tokens: request.hints.unshared_tokens() + request.hints.expected_output_tokens(),
            predicted_ms: choice.predicted_ms,
        };
        self.load.record_start(self.last_attempt, key, sent, now);
        self.outliers.record_attempt(key, now);
        self.record_cold_placement(request.service, &choice.entry.endpoint, now);
        if !request.hints.prompt_parts.is_empty() {
            let added_tokens = choice.prefill_tokens + request.hints.expected_output_tokens();
            let shared = request.hints.shared_parts();
            self.cache.record_use(key, shared, added_tokens, now);
            if !request.is_retry {
                self.shares
                    .record_admitted(request.customer, cost_tokens(request.hints), now);
            }
        }
        self.last_attempt
    }

    /// Records a failed attempt. Returns whether its endpoint is avoided from now on.
    pub fn record_failure(&mut self, endpoint: &EndpointId, kind: FailureKind, now: Now) -> bool {
        self.outliers
            .record_failure(EndpointKey::of(endpoint), kind, now)
    }

    /// Records a successful attempt. Returns whether its endpoint is no longer avoided.
    pub fn record_success(&mut self, endpoint: &EndpointId, now: Now) -> bool {
        self.outliers.record_success(EndpointKey::of(endpoint), now)
    }

    fn share_status(&self, request: PlacementRequest<'_>, now: Now) -> ShareStatus {
        let limits = self.routes.as_ref().map(|table| table.config().limits);
        let tokens_per_s = limits.map_or(0, |limits| limits.tokens_per_s);
        if request.customer.is_empty() || request.hints.prompt_parts.is_empty() {
            return ShareStatus::Within;
        }
        self.shares.status(request.customer, tokens_per_s, now)
    }

    fn choose(
        &self,
        request: PlacementRequest<'_>,
        share_status: ShareStatus,
        now: Now,
    ) -> Option<Choice> {
        let candidates: Vec<&EndpointEntry> = self
            .eligible(request, now)
            .filter(|entry| !request.excluded.contains(&entry.endpoint))
            .collect();
        let is_healthy = |entry: &EndpointEntry| {
            self.outliers.is_empty()
                || !self
                    .outliers
                    .is_avoided(EndpointKey::of(&entry.endpoint), now)
        };
        let (warm, cold) = self.split_cold(request.service, candidates, now);
        // If all endpoints are avoided, use any of them rather than none.
        let uses_avoided = !warm.iter().chain(&cold).any(|entry| is_healthy(entry));
        let is_used = |entry: &&EndpointEntry| uses_avoided || is_healthy(entry);
        let context = PlacementContext {
            load: &self.load,
            cache: &self.cache,
            data_centre: &self.options.data_centre,
            usable_fraction: usable_fraction(share_status, &self.options.admission),
        };
        let warm = self.choose_among(warm.into_iter().filter(is_used), request, context, now);
        let cold = self.choose_among(cold.into_iter().filter(is_used), request, context, now);
        prefer_warm(warm, cold)
    }

    fn choose_among<'a>(
        &self,
        entries: impl Iterator<Item = &'a EndpointEntry>,
        request: PlacementRequest<'_>,
        context: PlacementContext<'_>,
        now: Now,
    ) -> Option<Choice> {
        let service = self.routes.as_ref()?.service(request.service);
        let placement = &self.options.placement;
        match service.and_then(|service| service.engine) {
            Some(engine) => choose_engine(entries, engine, request.hints, context, placement, now),
            None => choose_plain(entries, context, placement, now),
        }
    }

    fn budget(&mut self, service: &str) -> &mut RetryBudget {
        if !self.budgets.contains_key(service) {
            let budget = RetryBudget::new(self.budget_options());
            self.budgets.insert(service.to_owned(), budget);
        }
        &mut self.budgets[service]
    }

    fn update_budgets(&mut self) {
        let options = self.budget_options();
        for budget in self.budgets.values_mut() {
            budget.set_options(options.clone());
        }
    }

    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "at most a few hundred gateways and retries"
    )]
    fn budget_options(&self) -> RetryBudgetOptions {
        let retries = &self.options.retries;
        let min_extra_attempts =
            retries.min_retries * retries.used_fraction / self.fleet_size as f64;
        RetryBudgetOptions {
            ratio: retries.ratio * retries.used_fraction,
            min_extra_attempts: min_extra_attempts as u64,
            window_ms: retries.window_ms,
        }
    }
}

/// The cost of a request for its customer's share: one per unshared prompt token, two per expected
/// response token.
fn cost_tokens(hints: &RequestHints) -> u64 {
    hints.unshared_tokens() + 2 * hints.expected_output_tokens()
}
