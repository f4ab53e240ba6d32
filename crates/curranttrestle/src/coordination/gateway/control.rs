//! All that a gateway knows, and what it does with a request.

use indexmap::IndexMap;

use super::admission::{AdmissionOptions, RefusalReason, Verdict, admit};
use super::directory::{Directory, DirectoryChange, DirectoryOptions};
use super::endpoint_load::{EndpointKey, LoadBook, LoadOptions, Sent};
use super::freshness::{Freshness, FreshnessOptions};
use super::placement::{Choice, PlacementOptions, Surroundings, choose_engine, choose_plain};
use super::prompt_cache::{PromptCache, PromptCacheOptions};
use super::route_table::RouteTable;
use super::shares::{ShareBook, ShareOptions, Standing};
use super::trust::{FailureKind, Trust, TrustOptions};
use crate::coordination::quarantine::{Admission, Quarantine, QuarantineOptions, RequestDigest};
use crate::coordination::retry_budget::{RetryBudget, RetryBudgetOptions};
use crate::state::gateway::{ClientLimits, EndpointEntry, RequestHints, Route, ServiceConfig};
use crate::state::{EndpointId, Now};

/// The options of all decisions of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlOptions {
    /// The data centre of this gateway.
    pub data_centre: String,
    /// The bound on revocation.
    pub freshness: FreshnessOptions,
    /// Lapsed entries.
    pub directory: DirectoryOptions,
    /// Judging load.
    pub load: LoadOptions,
    /// Parts of prompts.
    pub cache: PromptCacheOptions,
    /// Comparing endpoints.
    pub placement: PlacementOptions,
    /// Taking and refusing.
    pub admission: AdmissionOptions,
    /// Fair shares.
    pub shares: ShareOptions,
    /// Avoiding endpoints.
    pub trust: TrustOptions,
    /// Requests that crash endpoints.
    pub quarantine: QuarantineOptions,
    /// The fleet's budget of repeats, of which this gateway takes its part.
    pub repeats: RepeatOptions,
    /// When a refused request may come back if no endpoint is known.
    pub no_endpoint_retry_ms: f64,
}

/// The fleet's budget of repeats for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatOptions {
    /// Repeats for each request in the window.
    pub ratio: f64,
    /// Repeats of the whole fleet in a window without requests.
    pub slack: f64,
    /// The window.
    pub window_ms: u64,
    /// The part of the budget that is used, as requests spread unevenly in time.
    pub used_part: f64,
}

impl Default for RepeatOptions {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 10.0,
            window_ms: 10_000,
            used_part: 0.6,
        }
    }
}

impl Default for ControlOptions {
    fn default() -> Self {
        Self {
            data_centre: String::new(),
            freshness: FreshnessOptions::default(),
            directory: DirectoryOptions::default(),
            load: LoadOptions::default(),
            cache: PromptCacheOptions::default(),
            placement: PlacementOptions::default(),
            admission: AdmissionOptions::default(),
            shares: ShareOptions::default(),
            trust: TrustOptions::default(),
            quarantine: QuarantineOptions {
                refused_deaths: 3,
                ..QuarantineOptions::default()
            },
            repeats: RepeatOptions::default(),
            no_endpoint_retry_ms: 500.0,
        }
    }
}

/// A request that looks for an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Its route.
    pub route: &'a Route,
    /// The service that takes it.
    pub service: &'a str,
    /// Its customer; empty for none.
    pub customer: &'a str,
    /// What its client said of it.
    pub hints: &'a RequestHints,
    /// Endpoints that failed it.
    pub excluded: &'a [EndpointId],
    /// Whether it was sent before.
    pub is_repeat: bool,
    /// Whether it goes on with a stream that the client partly has.
    pub is_resumed: bool,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// It is sent to an endpoint.
    Send(Choice),
    /// It is refused, and was not handed to an endpoint now.
    Refuse {
        /// Why, as it stands in logs and metrics.
        reason: &'static str,
        /// When it may come back.
        retry_after_ms: f64,
        /// The prediction that it was refused for.
        predicted_ms: f64,
    },
}

/// The state of a gateway.
#[derive(Clone, Debug)]
pub struct Control {
    options: ControlOptions,
    /// The configuration in force; none before the first.
    routes: Option<RouteTable>,
    /// Proofs that it is the newest one.
    pub freshness: Freshness,
    /// The endpoints.
    pub directory: Directory,
    /// Their load.
    pub load: LoadBook,
    /// The parts of prompts that they keep.
    pub cache: PromptCache,
    /// Fair shares of the customers.
    pub shares: ShareBook,
    /// Endpoints that are avoided.
    pub trust: Trust,
    /// Requests that crash endpoints.
    pub quarantine: Quarantine,
    budgets: IndexMap<String, RetryBudget>,
    fleet_size: usize,
    attempts: u64,
}

impl Control {
    /// A gateway that knows nothing yet.
    #[must_use]
    pub fn new(options: ControlOptions) -> Self {
        Self {
            routes: None,
            freshness: Freshness::new(options.freshness),
            directory: Directory::new(options.directory),
            load: LoadBook::new(options.load),
            cache: PromptCache::new(options.cache),
            shares: ShareBook::new(options.shares),
            trust: Trust::new(options.trust),
            quarantine: Quarantine::new(options.quarantine),
            budgets: IndexMap::new(),
            fleet_size: 1,
            attempts: 0,
            options,
        }
    }

    /// Changes the bounds that the platform sets.
    pub fn set_bounds(&mut self, freshness: FreshnessOptions, repeats: RepeatOptions) {
        self.options.freshness = freshness;
        self.options.repeats = repeats;
        self.freshness.set_options(freshness);
        self.share_budgets();
    }

    /// The configuration in force.
    #[must_use]
    pub fn routes(&self) -> Option<&RouteTable> {
        self.routes.as_ref()
    }

    /// What clients may send; the usual limits before the first configuration.
    #[must_use]
    pub fn client_limits(&self) -> ClientLimits {
        let table = self.routes.as_ref();
        table.map_or_else(ClientLimits::default, |table| table.config().limits)
    }

    /// Whether requests can be served: a configuration and the endpoints are known.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.routes.is_some() && self.directory.is_loaded()
    }

    /// A read that was sent at `sent_ms` found this configuration at `revision`. Returns
    /// whether it came into force; an older one than the one in force never does.
    pub fn config_read(&mut self, config: ServiceConfig, revision: u64, sent_ms: u64) -> bool {
        let current = self.routes.as_ref().map(|table| table.config().version);
        if current.is_some_and(|version| config.version < version) {
            return false;
        }
        let is_new = current != Some(config.version);
        if is_new || revision > self.freshness.revision() {
            self.routes = Some(RouteTable::new(config));
        }
        self.freshness.confirmed(revision, sent_ms);
        is_new
    }

    /// Applies what changed in the directory to what is believed of the endpoints.
    pub fn directory_changed(&mut self, changes: &[DirectoryChange]) {
        for change in changes {
            if let DirectoryChange::Restarted(endpoint) | DirectoryChange::Gone(endpoint) = change {
                let key = EndpointKey::of(endpoint);
                self.cache.forget(key);
                self.trust.forget(key);
            }
        }
    }

    /// This many gateways share the budgets, this one included. A smaller number changes
    /// nothing: those that are not heard any more may be cut off and go on repeating.
    pub fn fleet_seen(&mut self, size: usize) {
        if size > self.fleet_size {
            self.fleet_size = size;
            self.share_budgets();
        }
    }

    /// The number of gateways that share the budgets.
    #[must_use]
    pub fn fleet_size(&self) -> usize {
        self.fleet_size
    }

    /// How many unused connections to an endpoint of `service` this gateway may keep: its part
    /// of half of what the endpoint takes. The other half is left to requests.
    #[must_use]
    pub fn connection_share(&self, service: &str) -> usize {
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

    /// A request for `service` arrived.
    pub fn arrived(&mut self, service: &str, customer: &str, hints: &RequestHints, now: Now) {
        self.budget(service).record_first(now);
        if !hints.parts.is_empty() {
            self.shares.asked(customer, cost_tokens(hints), now);
        }
    }

    /// Takes one repeat for `service` out of the budget; false when it is spent.
    pub fn try_repeat(&mut self, service: &str, now: Now) -> bool {
        self.budget(service).try_take(now)
    }

    /// Whether a request that ran on endpoints that died is refused.
    #[must_use]
    pub fn is_quarantined(&self, digest: &RequestDigest, now: Now) -> bool {
        self.quarantine.admission(digest, now) == Admission::Refused
    }

    /// Chooses an endpoint for a request, or refuses it.
    #[must_use]
    pub fn place(&self, wanted: Wanted<'_>, now: Now) -> Placement {
        let Some(choice) = self.choose(wanted, now) else {
            return Placement::Refuse {
                reason: "no-endpoint",
                retry_after_ms: self.options.no_endpoint_retry_ms,
                predicted_ms: 0.0,
            };
        };
        // The client already has a part of this answer, or was promised one.
        if wanted.is_resumed {
            return Placement::Send(choice);
        }
        #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
        let target_ms = wanted.route.target_latency_ms as f64;
        let standing = self.standing(wanted, now);
        match admit(&choice, target_ms, standing, &self.options.admission) {
            Verdict::Admit => Placement::Send(choice),
            Verdict::Refuse {
                reason,
                retry_after_ms,
            } => Placement::Refuse {
                reason: RefusalReason::as_str(reason),
                retry_after_ms,
                predicted_ms: choice.predicted_ms,
            },
        }
    }

    /// A request goes to the chosen endpoint; returns the number of the attempt.
    pub fn started(&mut self, choice: &Choice, wanted: Wanted<'_>, now: Now) -> u64 {
        self.attempts += 1;
        let key = EndpointKey::of(&choice.entry.endpoint);
        let sent = Sent {
            read_tokens: choice.read_tokens,
            memory_tokens: wanted.hints.own_tokens() + wanted.hints.expected_output_tokens(),
            predicted_ms: choice.predicted_ms,
        };
        self.load.started(self.attempts, key, sent, now);
        self.trust.tried(key, now);
        if !wanted.hints.parts.is_empty() {
            let added_tokens = choice.read_tokens + wanted.hints.expected_output_tokens();
            let shared = wanted.hints.shared_parts();
            self.cache.used(key, shared, added_tokens, now);
            if !wanted.is_repeat {
                self.shares
                    .admitted(wanted.customer, cost_tokens(wanted.hints), now);
            }
        }
        self.attempts
    }

    /// An attempt failed; true when its endpoint is avoided from now on.
    pub fn failed(&mut self, endpoint: &EndpointId, kind: FailureKind, now: Now) -> bool {
        self.trust.failed(EndpointKey::of(endpoint), kind, now)
    }

    /// An attempt succeeded; true when its endpoint is no longer avoided.
    pub fn succeeded(&mut self, endpoint: &EndpointId, now: Now) -> bool {
        self.trust.succeeded(EndpointKey::of(endpoint), now)
    }

    fn standing(&self, wanted: Wanted<'_>, now: Now) -> Standing {
        let limits = self.routes.as_ref().map(|table| table.config().limits);
        let tokens_per_s = limits.map_or(0, |limits| limits.tokens_per_s);
        if wanted.customer.is_empty() || wanted.hints.parts.is_empty() {
            return Standing::Within;
        }
        self.shares.standing(wanted.customer, tokens_per_s, now)
    }

    fn choose(&self, wanted: Wanted<'_>, now: Now) -> Option<Choice> {
        let offered = self.directory.of_service(wanted.service);
        let offered: Vec<&EndpointEntry> = offered
            .filter(|entry| !wanted.excluded.contains(&entry.endpoint))
            .collect();
        let is_trusted =
            |entry: &&EndpointEntry| !self.trust.is_avoided(EndpointKey::of(&entry.endpoint), now);
        let trusted: Vec<&EndpointEntry> = offered.iter().copied().filter(is_trusted).collect();
        // Where all are avoided, any of them is better than none.
        let entries = if trusted.is_empty() { offered } else { trusted };
        let surroundings = Surroundings {
            load: &self.load,
            cache: &self.cache,
            data_centre: &self.options.data_centre,
        };
        let service = self.routes.as_ref()?.service(wanted.service);
        let placement = &self.options.placement;
        match service.and_then(|service| service.engine) {
            Some(engine) => choose_engine(
                entries.into_iter(),
                engine,
                wanted.hints,
                surroundings,
                placement,
                now,
            ),
            None => choose_plain(entries.into_iter(), surroundings, placement, now),
        }
    }

    fn budget(&mut self, service: &str) -> &mut RetryBudget {
        if !self.budgets.contains_key(service) {
            let budget = RetryBudget::new(self.budget_options());
            self.budgets.insert(service.to_owned(), budget);
        }
        &mut self.budgets[service]
    }

    fn share_budgets(&mut self) {
        let options = self.budget_options();
        for budget in self.budgets.values_mut() {
            budget.set_options(options.clone());
        }
    }

    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a few hundred gateways and repeats"
    )]
    fn budget_options(&self) -> RetryBudgetOptions {
        let repeats = &self.options.repeats;
        let floor = repeats.slack * repeats.used_part / self.fleet_size as f64;
        RetryBudgetOptions {
            ratio: repeats.ratio * repeats.used_part,
            floor: floor as u64,
            window_ms: repeats.window_ms,
        }
    }
}

/// What a request costs its customer's share: each token read once, each generated twice.
fn cost_tokens(hints: &RequestHints) -> u64 {
    hints.own_tokens() + 2 * hints.expected_output_tokens()
}
