//! Keeps the evacuations of data centres up to date.

use std::rc::Rc;

use curranttrestle::coordination::gateway::evacuation::{EvacuationOptions, EvacuationState};
use rand::Rng;

use super::{StoreHealth, record_call};
use crate::clock;
use crate::edge::{Platform, PlatformError};
use crate::gateway::Gateway;
use crate::timer::sleep_ms;

/// Interval at which a gateway checks whether it has to read.
const CHECK_INTERVAL_MS: u64 = 50;

/// Minimum interval between two calls, if the store responds to watches at once.
const MIN_CALL_INTERVAL_MS: u64 = 200;

/// Reads the evacuations. A reader watches them for its peers, another gateway lists them only if
/// the last announcement is old.
pub async fn maintain_evacuations<P: Platform>(
    gateway: Rc<Gateway>,
    platform: Rc<P>,
    options: EvacuationOptions,
) {
    // Without the directory, the names of other data centres would be logged as unknown.
    while !gateway.control.borrow().directory.is_loaded() {
        sleep_ms(CHECK_INTERVAL_MS).await;
    }
    let mut health = StoreHealth::new("store-evacuations");
    let mut must_list = false;
    let mut max_age_ms = random_max_age_ms(options);
    loop {
        if must_list || is_old(&gateway, max_age_ms) {
            match list(&gateway, platform.as_ref()).await {
                Ok(()) => {
                    health.log_recovery();
                    must_list = false;
                    max_age_ms = random_max_age_ms(options);
                }
                Err(error) => {
                    record_failure(&gateway, &mut health, &error);
                    health.back_off(&gateway).await;
                }
            }
            continue;
        }
        let Some(base) = state_to_watch(&gateway) else {
            sleep_ms(CHECK_INTERVAL_MS).await;
            continue;
        };
        if !may_watch(&gateway, options) {
            must_list = true;
            continue;
        }
        let started = clock::now();
        match watch(&gateway, platform.as_ref(), base, options).await {
            // A list proves more than the response with the change.
            Ok(has_changes) => must_list = has_changes,
            Err(error) => {
                if error == PlatformError::HistoryDiscarded {
                    log::info!("kind=evacuations-history-gone");
                } else {
                    record_failure(&gateway, &mut health, &error);
                }
                must_list = true;
            }
        }
        let elapsed_ms = clock::now().since_ms(started.steady_ms);
        sleep_ms(MIN_CALL_INTERVAL_MS.saturating_sub(elapsed_ms)).await;
    }
}

fn random_max_age_ms(options: EvacuationOptions) -> u64 {
    rand::rng().random_range(options.age_limits_ms())
}

fn is_old(gateway: &Gateway, max_age_ms: u64) -> bool {
    let control = gateway.control.borrow();
    let age_ms = control.evacuations.age_ms(clock::now());
    age_ms.is_none_or(|age_ms| age_ms >= max_age_ms)
}

/// Whether a watch would respond in time. The knowledge of a gateway that has just become a reader may be
/// too old for it.
fn may_watch(gateway: &Gateway, options: EvacuationOptions) -> bool {
    let control = gateway.control.borrow();
    let age_ms = control.evacuations.age_ms(clock::now());
    age_ms.is_some_and(|age_ms| options.may_watch(age_ms))
}

/// The state after which this gateway watches; `None` if it is no reader.
fn state_to_watch(gateway: &Gateway) -> Option<EvacuationState> {
    let control = gateway.control.borrow();
    let state = control.evacuations.state();
    // Revision zero stands for a store without evacuations, which cannot be watched.
    let state = state.filter(|state| gateway.reads_evacuations.get() && state.revision > 0);
    state.cloned()
}

fn record_failure(gateway: &Gateway, health: &mut StoreHealth, error: &PlatformError) {
    let failures = &gateway.metrics.store_failures;
    failures.with_label_values(&["evacuations"]).inc();
    health.log_failure(error);
}

fn count_call(gateway: &Gateway, call: &str) {
    let calls = &gateway.metrics.store_calls;
    calls.with_label_values(&[call]).inc();
}

async fn list<P: Platform>(gateway: &Gateway, platform: &P) -> Result<(), PlatformError> {
    count_call(gateway, "evacuations-list");
    let sent = clock::now();
    let timeout_ms = gateway.bounds().store.timeout_ms;
    let state = match platform.list_evacuations(timeout_ms).await {
        // The store does not have evacuations.
        Err(PlatformError::NotFound) => EvacuationState::default(),
        Ok(state) => state,
        Err(error) => {
            let mut control = gateway.control.borrow_mut();
            let evacuations = &mut control.evacuations;
            evacuations.record_failed_list(sent.steady_ms, timeout_ms, clock::now());
            return Err(error);
        }
    };
    record_call(gateway, "evacuations-list", sent);
    apply(gateway, state, sent.steady_ms, "list");
    Ok(())
}

/// Waits for changes after the state `base`. Returns whether there were any.
async fn watch<P: Platform>(
    gateway: &Gateway,
    platform: &P,
    base: EvacuationState,
    options: EvacuationOptions,
) -> Result<bool, PlatformError> {
    count_call(gateway, "evacuations-watch");
    let sent = clock::now();
    let wait_ms = options.watch_wait_ms();
    let timeout_ms = wait_ms + gateway.bounds().store.watch_timeout_ms;
    let events = platform
        .watch_evacuations(base.revision, wait_ms, timeout_ms)
        .await?;
    let has_changes = !events.changes.is_empty();
    let is_quiet = !has_changes && clock::now().since_ms(sent.steady_ms) >= wait_ms;
    let proved_ms = options.watch_proof_ms(sent.steady_ms, wait_ms, is_quiet);
    let state = base.after(&events.changes, events.revision);
    apply(gateway, state, proved_ms, "watch");
    Ok(has_changes)
}

fn apply(gateway: &Gateway, state: EvacuationState, proved_ms: u64, source: &str) {
    let mut control = gateway.control.borrow_mut();
    let changes = control.evacuations.record_read(state, proved_ms);
    drop(control);
    gateway.apply_evacuation_changes(&changes, source, clock::now());
}
