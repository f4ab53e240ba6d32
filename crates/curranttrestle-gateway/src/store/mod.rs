//! Keeps the configuration and the directory up to date.

use std::rc::Rc;

use curranttrestle::coordination::gateway::directory::DirectoryChange;
use curranttrestle::state::Now;
use futures_lite::FutureExt;
use rand::Rng;

use crate::clock;
use crate::edge::{ConfigRead, EndpointEvent, Platform, PlatformError};
use crate::gateway::Gateway;
use crate::timer::sleep_ms;

/// Logs the first failure of a run of them, and its end.
#[derive(Debug)]
struct Dependency {
    name: &'static str,
    failures: u32,
    lost_ms: u64,
}

impl Dependency {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            failures: 0,
            lost_ms: 0,
        }
    }

    fn failed(&mut self, error: &PlatformError) {
        let now = clock::now();
        if self.failures == 0 {
            self.lost_ms = now.steady_ms;
            log::warn!(
                "kind=dependency-lost name={} error={:?}",
                self.name,
                error.to_string()
            );
        }
        self.failures = self.failures.saturating_add(1);
    }

    fn succeeded(&mut self) {
        if self.failures > 0 {
            let away_ms = clock::now().since_ms(self.lost_ms);
            let failures = self.failures;
            log::info!(
                "kind=dependency-back name={} away_ms={away_ms} failures={failures}",
                self.name
            );
            self.failures = 0;
        }
    }

    /// Waits before the next try: longer with each failure, and not in step with others.
    async fn back_off(&self, gateway: &Gateway) {
        let options = gateway.settings.store;
        let doublings = self.failures.saturating_sub(1).min(8);
        let longest_ms = (options.min_backoff_ms << doublings).min(options.max_backoff_ms);
        let pause_ms = rand::rng().random_range(longest_ms / 2..=longest_ms);
        sleep_ms(pause_ms).await;
    }
}

/// Reads the configuration again and again. Each read is also the proof that it is the
/// newest one, so it is dated by its sending.
pub async fn keep_config<P: Platform>(gateway: Rc<Gateway>, platform: Rc<P>) {
    let options = gateway.settings.store;
    let mut store = Dependency::new("store-config");
    loop {
        proof_grows_old(&gateway).await;
        let sent = clock::now();
        let read = platform.config(options.timeout_ms).await;
        let calls = &gateway.metrics.store_calls;
        calls.with_label_values(&["config"]).inc();
        match read {
            Ok(read) => {
                store.succeeded();
                config_read(&gateway, read, sent);
            }
            Err(error) => {
                let failures = &gateway.metrics.store_failures;
                failures.with_label_values(&["config"]).inc();
                if error != PlatformError::Missing {
                    gateway.control.borrow_mut().directory.store_failed();
                }
                store.failed(&error);
                store.back_off(&gateway).await;
            }
        }
    }
}

/// Waits until the last proof that the configuration is the newest one is old. Peers pass
/// theirs on, so that few of all gateways have to read; each waits for another time, and the
/// first one to read spares the others. Waits no longer once a peer knows a newer one.
async fn proof_grows_old(gateway: &Gateway) {
    let gateways = gateway.control.borrow().fleet_size();
    let longest_ms = gateway.settings.store.config_interval_in(gateways);
    let limit_ms = rand::rng().random_range(longest_ms / 2..=longest_ms);
    loop {
        let age_ms = gateway.control.borrow().freshness.age_ms(clock::now());
        match age_ms {
            Some(age_ms) if age_ms < limit_ms => {
                let grown = async {
                    sleep_ms(limit_ms - age_ms).await;
                    false
                };
                if grown.or(gateway.newer_config.is_told()).await {
                    return;
                }
            }
            _ => return,
        }
    }
}

/// Takes an answer of the store to a read that was sent at `sent`.
fn config_read(gateway: &Gateway, read: ConfigRead, sent: Now) {
    let mut control = gateway.control.borrow_mut();
    let Some(config) = read.config else {
        control.freshness.confirmed(read.revision, sent.steady_ms);
        return;
    };
    let version = config.version;
    let routes = config.routes.len();
    if control.config_read(config, read.revision, sent.steady_ms) {
        log::info!(
            "kind=config-in-force version={version} revision={} routes={routes} age_ms={}",
            read.revision,
            clock::now().since_ms(sent.steady_ms)
        );
    }
}

/// Lists the directory, then watches it; lists it again whenever the watch was interrupted.
pub async fn keep_endpoints<P: Platform>(gateway: Rc<Gateway>, platform: Rc<P>) {
    let mut store = Dependency::new("store-directory");
    loop {
        let listed = list_endpoints(&gateway, platform.as_ref()).await;
        let error = match listed {
            Ok(revision) => {
                store.succeeded();
                watch_endpoints(&gateway, platform.as_ref(), revision).await
            }
            Err(error) => error,
        };
        if error == PlatformError::HistoryGone {
            log::info!("kind=directory-history-gone");
            sleep_ms(gateway.settings.store.min_backoff_ms).await;
            continue;
        }
        gateway
            .metrics
            .store_failures
            .with_label_values(&["directory"])
            .inc();
        gateway.control.borrow_mut().directory.store_failed();
        store.failed(&error);
        store.back_off(&gateway).await;
    }
}

async fn list_endpoints<P: Platform>(
    gateway: &Gateway,
    platform: &P,
) -> Result<u64, PlatformError> {
    let options = gateway.settings.store;
    gateway
        .metrics
        .store_calls
        .with_label_values(&["directory-list"])
        .inc();
    let list = platform.endpoints(options.timeout_ms).await?;
    for (name, reason) in &list.skipped {
        log::warn!("kind=entry-skipped name={name:?} reason={reason:?}");
    }
    let now = clock::now();
    let changes = gateway
        .control
        .borrow_mut()
        .directory
        .replace(list.entries, now);
    gateway.directory_changed(&changes, "list");
    Ok(list.revision)
}

/// Follows the directory until a call fails.
async fn watch_endpoints<P: Platform>(
    gateway: &Gateway,
    platform: &P,
    mut revision: u64,
) -> PlatformError {
    let options = gateway.settings.store;
    loop {
        let begun = clock::now();
        gateway
            .metrics
            .store_calls
            .with_label_values(&["directory-watch"])
            .inc();
        let timeout_ms = options.watch_ms + options.timeout_ms;
        let watched = platform
            .watch_endpoints(revision, options.watch_ms, timeout_ms)
            .await;
        let changes = match watched {
            Ok(changes) => changes,
            Err(error) => return error,
        };
        revision = changes.revision;
        let now = clock::now();
        gateway.control.borrow_mut().directory.store_answered(now);
        let applied: Vec<DirectoryChange> = changes
            .events
            .into_iter()
            .filter_map(|event| apply(gateway, event))
            .collect();
        gateway.directory_changed(&applied, "watch");
        let took_ms = clock::now().since_ms(begun.steady_ms);
        sleep_ms(options.watch_interval_ms.saturating_sub(took_ms)).await;
    }
}

fn apply(gateway: &Gateway, event: EndpointEvent) -> Option<DirectoryChange> {
    let mut control = gateway.control.borrow_mut();
    let now = clock::now();
    match event {
        EndpointEvent::Written(entry) => control.directory.set(entry),
        EndpointEvent::Removed(endpoint) => control.directory.remove(&endpoint, now),
        EndpointEvent::Unreadable(endpoint, reason) => {
            log::warn!("kind=entry-skipped name={endpoint} reason={reason:?}");
            control.directory.remove(&endpoint, now)
        }
    }
}
