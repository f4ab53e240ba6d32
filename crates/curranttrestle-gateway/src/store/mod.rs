//! Keeps the configuration and the directory up to date.

mod evacuations;
mod gateways;
mod versions;

use std::rc::Rc;

use curranttrestle::coordination::gateway::directory::DirectoryChange;
use curranttrestle::coordination::gateway::outage_detection::{CallFailure, OutageDetector};
use curranttrestle::state::Now;
use futures_lite::FutureExt;
use rand::Rng;

use crate::clock;
use crate::edge::{ConfigRead, EndpointEvent, EndpointList, Platform, PlatformError};
use crate::gateway::Gateway;
use crate::peers::ProofRole;
use crate::timer::sleep_ms;

pub use evacuations::maintain_evacuations;
pub use gateways::maintain_gateways;
pub use versions::{VersionReads, maintain_versions};

/// The failures of one task's calls: logs the first of consecutive ones and the recovery, and records
/// outages.
#[derive(Debug)]
struct StoreHealth {
    name: &'static str,
    failures: u32,
    failed_since_ms: u64,
    outages: OutageDetector,
}

impl StoreHealth {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            failures: 0,
            failed_since_ms: 0,
            outages: OutageDetector::default(),
        }
    }

    /// Records the failure of a call that was sent at `sent`. `lost` is the failure if its connection
    /// was lost.
    fn record_failure(
        &mut self,
        gateway: &Gateway,
        error: &PlatformError,
        lost: CallFailure,
        sent: Now,
    ) {
        // A call that was under way when an outage ended fails after the directory was listed again.
        if gateway.control.borrow().directory.has_responded_since(sent) {
            self.log_failure(error);
            return;
        }
        let failure = match error {
            PlatformError::NoResponse(_) => lost,
            PlatformError::Unreachable(_)
            | PlatformError::Refused(_)
            | PlatformError::HistoryDiscarded
            | PlatformError::Conflict
            | PlatformError::NotFound
            | PlatformError::InvalidResponse(_) => CallFailure::NotServed,
        };
        if self.outages.record_failure(failure) {
            let mut control = gateway.control.borrow_mut();
            control.directory.record_store_failure();
        }
        self.log_failure(error);
    }

    fn log_failure(&mut self, error: &PlatformError) {
        let now = clock::now();
        if self.failures == 0 {
            self.failed_since_ms = now.steady_ms;
            log::warn!(
                "kind=dependency-lost name={} error={:?}",
                self.name,
                error.to_string()
            );
        }
        self.failures = self.failures.saturating_add(1);
    }

    fn record_success(&mut self, gateway: &Gateway) {
        if self.outages.record_success() {
            let mut control = gateway.control.borrow_mut();
            control.directory.retract_store_failure();
        }
        self.log_recovery();
    }

    fn log_recovery(&mut self) {
        if self.failures > 0 {
            let outage_ms = clock::now().since_ms(self.failed_since_ms);
            let failures = self.failures;
            log::info!(
                "kind=dependency-back name={} away_ms={outage_ms} failures={failures}",
                self.name
            );
            self.failures = 0;
        }
    }

    /// Waits before the next attempt, with exponential backoff and jitter.
    async fn back_off(&self, gateway: &Gateway) {
        let options = gateway.bounds().store;
        let doublings = self.failures.saturating_sub(1).min(8);
        let gateways = gateway.control.borrow().fleet_size();
        let max_ms = options.max_backoff_ms_in(gateways);
        let longest_ms = (options.min_backoff_ms << doublings).min(max_ms);
        let pause_ms = rand::rng().random_range(longest_ms / 2..=longest_ms);
        sleep_ms(pause_ms).await;
    }
}

/// A call to the store that took this long is logged.
const LOGGED_CALL_MS: u64 = 250;

/// Observes the duration of a successful call that was sent at `sent`.
fn record_call(gateway: &Gateway, call: &str, sent: Now) {
    let elapsed_ms = clock::now().since_ms(sent.steady_ms);
    let times = gateway.metrics.store_times.with_label_values(&[call]);
    #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
    times.observe(elapsed_ms as f64 / 1_000.0);
    if elapsed_ms >= LOGGED_CALL_MS {
        let task_delay_ms = gateway.strain.borrow().task_delay_ms();
        log::warn!(
            "kind=store-call-slow call={call} ms={elapsed_ms} task_delay_ms={task_delay_ms}"
        );
    }
}

/// Reads the configuration repeatedly. Each read also proves that the configuration is the newest
/// one as of the time when the read was sent.
pub async fn maintain_config<P: Platform>(gateway: Rc<Gateway>, platform: Rc<P>) {
    let mut health = StoreHealth::new("store-config");
    loop {
        wait_until_proof_is_old(&gateway).await;
        let sent = clock::now();
        let timeout_ms = gateway.bounds().store.timeout_ms;
        let read = platform.read_config(timeout_ms).await;
        let calls = &gateway.metrics.store_calls;
        calls.with_label_values(&["config"]).inc();
        match read {
            Ok(read) => {
                health.record_success(&gateway);
                record_call(&gateway, "config", sent);
                apply_config_read(&gateway, read, sent);
            }
            Err(error) => {
                let failures = &gateway.metrics.store_failures;
                failures.with_label_values(&["config"]).inc();
                if error == PlatformError::NotFound {
                    // A store that has no configuration is still available.
                    health.log_failure(&error);
                    wait_for_first_config(&gateway, &health).await;
                } else {
                    health.record_failure(&gateway, &error, CallFailure::NoResponse, sent);
                    health.back_off(&gateway).await;
                }
            }
        }
    }
}

/// Backoffs after which a member of a relay asks again for the first configuration. Its relay asks
/// after each backoff and announces it.
const MEMBER_BACKOFFS: u32 = 4;

/// Waits before asking again for the first configuration. Returns early once a peer has it.
async fn wait_for_first_config(gateway: &Gateway, health: &StoreHealth) {
    let backoffs = match gateway.proof_role.get() {
        ProofRole::Peer | ProofRole::Reader | ProofRole::Follower | ProofRole::Relay => 1,
        ProofRole::Member => MEMBER_BACKOFFS,
    };
    let backed_off = async {
        for _ in 0..backoffs {
            health.back_off(gateway).await;
        }
        false
    };
    backed_off.or(gateway.newer_config.notified()).await;
}

/// Waits until the freshness proof of the configuration is old. Peers share their proofs, so that
/// few gateways have to read the store: each waits for a random time, and the first to read renews
/// the proof for the others. Where reports are frequent, one gateway reads before its peers need to.
/// Where relays forward proofs, they read earlier than their members, who then need not read. Returns
/// early once a peer has a newer configuration.
async fn wait_until_proof_is_old(gateway: &Gateway) {
    let gateways = gateway.control.borrow().fleet_size();
    let longest_ms = gateway.bounds().store.config_interval_ms_in(gateways);
    let range_ms = match gateway.proof_role.get() {
        ProofRole::Peer => longest_ms / 2..=longest_ms,
        ProofRole::Reader => longest_ms / 16 * 10..=longest_ms / 16 * 11,
        ProofRole::Follower => longest_ms / 16 * 15..=longest_ms,
        ProofRole::Relay => longest_ms / 4..=longest_ms / 2,
        ProofRole::Member => longest_ms / 4 * 3..=longest_ms,
    };
    let limit_ms = rand::rng().random_range(range_ms);
    loop {
        let age_ms = gateway
            .control
            .borrow()
            .config_freshness
            .age_ms(clock::now());
        match age_ms {
            Some(age_ms) if age_ms < limit_ms => {
                let expiry = async {
                    sleep_ms(limit_ms - age_ms).await;
                    false
                };
                if expiry.or(gateway.newer_config.notified()).await {
                    log::info!("kind=config-announced proof_age_ms={age_ms}");
                    return;
                }
            }
            _ => return,
        }
    }
}

/// Applies the response to a read that was sent at `sent`.
fn apply_config_read(gateway: &Gateway, read: ConfigRead, sent: Now) {
    let mut control = gateway.control.borrow_mut();
    let Some(config) = read.config else {
        control
            .config_freshness
            .record_proof(read.revision, sent.steady_ms);
        return;
    };
    let version = config.version;
    let routes = config.routes.len();
    let customers = config.customers.as_ref();
    let customer_count = customers.map_or_else(
        || "none".to_owned(),
        |customers| customers.len().to_string(),
    );
    let keys: usize = customers
        .into_iter()
        .flatten()
        .map(|customer| customer.keys.len())
        .sum();
    if control.apply_config(config, read.revision, sent.steady_ms) {
        // Streams may go to other services now.
        control.observe_versions(clock::now());
        gateway.version_reads.check();
        log::info!(
            "kind=config-in-force version={version} revision={} routes={routes} customers={customer_count} keys={keys} age_ms={}",
            read.revision,
            clock::now().since_ms(sent.steady_ms)
        );
    }
}

/// Lists the directory, then watches it. Lists it again whenever the watch was interrupted.
pub async fn maintain_directory<P: Platform>(gateway: Rc<Gateway>, platform: Rc<P>) {
    let mut health = StoreHealth::new("store-directory");
    loop {
        let listed = list_endpoints(&gateway, platform.as_ref()).await;
        let (error, lost) = match listed {
            Ok(list) => {
                health.record_success(&gateway);
                let revision = list.revision;
                apply_list(&gateway, list);
                let error = watch_endpoints(&gateway, platform.as_ref(), revision).await;
                (error, CallFailure::WatchLost)
            }
            Err(error) => (error, CallFailure::NoResponse),
        };
        if error == PlatformError::HistoryDiscarded {
            log::info!("kind=directory-history-gone");
            // What this gateway recorded may be lost.
            gateway.version_reads.request();
            sleep_ms(gateway.bounds().store.min_backoff_ms).await;
            continue;
        }
        gateway
            .metrics
            .store_failures
            .with_label_values(&["directory"])
            .inc();
        health.record_failure(&gateway, &error, lost, clock::now());
        health.back_off(&gateway).await;
    }
}

async fn list_endpoints<P: Platform>(
    gateway: &Gateway,
    platform: &P,
) -> Result<EndpointList, PlatformError> {
    let options = gateway.bounds().store;
    gateway
        .metrics
        .store_calls
        .with_label_values(&["directory-list"])
        .inc();
    let sent = clock::now();
    let list = platform.list_endpoints(options.timeout_ms).await?;
    record_call(gateway, "directory-list", sent);
    Ok(list)
}

fn apply_list(gateway: &Gateway, list: EndpointList) {
    for (name, reason) in &list.skipped {
        log::warn!("kind=entry-skipped name={name:?} reason={reason:?}");
    }
    let now = clock::now();
    let mut control = gateway.control.borrow_mut();
    let changes = control.directory.replace(list.entries, now);
    control.apply_sightings(now);
    drop(control);
    gateway.apply_directory_changes(&changes, "list");
}

/// Watches the directory until a call fails.
async fn watch_endpoints<P: Platform>(
    gateway: &Gateway,
    platform: &P,
    mut revision: u64,
) -> PlatformError {
    loop {
        let options = gateway.bounds().store;
        let started = clock::now();
        gateway
            .metrics
            .store_calls
            .with_label_values(&["directory-watch"])
            .inc();
        let timeout_ms = options.watch_wait_ms + options.watch_timeout_ms;
        let watched = platform
            .watch_endpoints(revision, options.watch_wait_ms, timeout_ms)
            .await;
        let changes = match watched {
            Ok(changes) => changes,
            Err(error) => return error,
        };
        revision = changes.revision;
        let now = clock::now();
        gateway
            .control
            .borrow_mut()
            .directory
            .record_store_success(now);
        let applied: Vec<DirectoryChange> = changes
            .events
            .into_iter()
            .filter_map(|event| apply_event(gateway, event))
            .collect();
        gateway.apply_directory_changes(&applied, "watch");
        let elapsed_ms = clock::now().since_ms(started.steady_ms);
        let gateways = gateway.control.borrow().fleet_size();
        let interval_ms = gateway.bounds().store.watch_interval_ms_in(gateways);
        sleep_ms(interval_ms.saturating_sub(elapsed_ms)).await;
    }
}

fn apply_event(gateway: &Gateway, event: EndpointEvent) -> Option<DirectoryChange> {
    let mut control = gateway.control.borrow_mut();
    let now = clock::now();
    let change = match event {
        EndpointEvent::Written(entry) => {
            control.observe_entry_version(&entry, now);
            control.directory.set(entry)
        }
        EndpointEvent::Removed(endpoint) => control.directory.remove(&endpoint, now),
        EndpointEvent::Unreadable(endpoint, reason) => {
            log::warn!("kind=entry-skipped name={endpoint} reason={reason:?}");
            control.directory.remove(&endpoint, now)
        }
    };
    control.apply_sightings(now);
    change
}
