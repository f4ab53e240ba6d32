//! Keeps a list of live gateways in the store, and finds gateways through it.
//!
//! Only a gateway without a live peer of a lower address reads the list. One that is alone, because all its
//! seeds are stale, is such a gateway, and so is one of each part of a fleet that is split in two.

use std::rc::Rc;

use rand::Rng;

use super::{StoreHealth, record_call};
use crate::clock;
use crate::edge::{GatewayList, Platform, PlatformError};
use crate::gateway::Gateway;
use crate::peers::Peers;
use crate::settings::ListingOptions;
use crate::timer::sleep_ms;

/// Reads the list at intervals, and writes it when none of its gateways is live.
pub async fn maintain_gateways<P: Platform>(
    gateway: Rc<Gateway>,
    platform: Rc<P>,
    peers: Rc<Peers>,
    options: ListingOptions,
) {
    let mut health = StoreHealth::new("store-gateways");
    // Gateways that start at the same time do not all read at the same time.
    let delay_ms = options.response_ms / 2;
    sleep_ms(options.settle_ms + rand::rng().random_range(0..=delay_ms)).await;
    if peers.has_live() {
        // The seeds work, so the list only helps gateways that start later.
        sleep_ms(options.found_peers_ms).await;
    }
    loop {
        if !peers.keeps_list() {
            sleep_ms(options.settle_ms).await;
            continue;
        }
        match update(&gateway, platform.as_ref(), &peers, options).await {
            Ok(()) => {
                health.log_recovery();
                sleep_ms(options.interval_ms).await;
            }
            // The other writer is listed now.
            Err(PlatformError::Conflict) => sleep_ms(delay_ms).await,
            Err(error) => {
                let failures = &gateway.metrics.store_failures;
                failures.with_label_values(&["gateways"]).inc();
                health.log_failure(&error);
                sleep_ms(match error {
                    // The next call would fail in the same way.
                    PlatformError::NotFound | PlatformError::InvalidResponse(_) => {
                        options.interval_ms
                    }
                    _ => options.settle_ms,
                })
                .await;
            }
        }
    }
}

/// Reads the list, waits for the gateways in it to respond and writes it if none does.
async fn update<P: Platform>(
    gateway: &Gateway,
    platform: &P,
    peers: &Peers,
    options: ListingOptions,
) -> Result<(), PlatformError> {
    let timeout_ms = gateway.settings.store.timeout_ms;
    let calls = &gateway.metrics.store_calls;
    calls.with_label_values(&["gateways-read"]).inc();
    let sent = clock::now();
    let list = match platform.read_gateways(timeout_ms).await {
        Err(PlatformError::NotFound) => GatewayList::default(),
        read => read?,
    };
    record_call(gateway, "gateways-read", sent);
    peers.add_listed(&list.addresses, clock::now());
    if !list.addresses.is_empty() && peers.addresses_to_list(&list.addresses).is_some() {
        sleep_ms(options.response_ms).await;
    }
    let Some(addresses) = peers.addresses_to_list(&list.addresses) else {
        return Ok(());
    };
    calls.with_label_values(&["gateways-write"]).inc();
    platform
        .write_gateways(&addresses, list.revision, timeout_ms)
        .await?;
    log::info!(
        "kind=gateways-listed count={} before={}",
        addresses.len(),
        list.addresses.len()
    );
    Ok(())
}
