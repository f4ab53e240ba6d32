//! Keeps the record of the software versions that may have begun streams.

use std::cell::Cell;
use std::rc::Rc;

use curranttrestle::coordination::gateway::served_versions::{
    RecordDue, RecordRole, StoredRecord, VersionRecord, difference,
};
use curranttrestle::state::Now;
use futures_lite::FutureExt;
use rand::Rng;

use super::{StoreHealth, record_call};
use crate::clock;
use crate::edge::{Platform, PlatformError, VersionRead};
use crate::gateway::{Gateway, Notify};
use crate::peers::Peers;
use crate::timer::sleep_ms;

/// Interval for checking whether the record has to be read, if nothing asks for it before.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// Minimum interval between two reads. Streams that are resumed meanwhile share the next one.
const MIN_READ_INTERVAL_MS: u64 = 50;

/// In a large fleet, all gateways may read at once when one of them is lost: this times the number of
/// gateways is the minimum interval if it is larger than [`MIN_READ_INTERVAL_MS`].
const MIN_READ_INTERVAL_MS_PER_GATEWAY: u64 = 2;

/// Upper limit of the minimum interval, since clients wait for a read.
const MAX_READ_INTERVAL_MS: u64 = 250;

/// Interval between two reads of a record that cannot or need not be changed yet.
const REFRESH_INTERVAL_MS: u64 = 2_500;

/// Pause after a call that would fail in the same way again.
const REJECTED_PAUSE_MS: u64 = 30_000;

/// How long a failed call shows that the store does not respond.
const FAILURE_MS: u64 = 500;

/// Asks for reads of the record, and says how the last ones ended.
#[derive(Debug, Default)]
pub struct VersionReads {
    notify: Notify,
    is_requested: Cell<bool>,
    /// Until when no read is expected to succeed, by the steady clock.
    unavailable_until_ms: Cell<u64>,
}

impl VersionReads {
    /// Asks for a read.
    pub fn request(&self) {
        self.is_requested.set(true);
        self.notify.notify();
    }

    /// Asks to check whether the record has to be read.
    pub fn check(&self) {
        self.notify.notify();
    }

    /// Whether a read is expected to fail now.
    #[must_use]
    pub fn is_unavailable(&self, now: Now) -> bool {
        now.steady_ms < self.unavailable_until_ms.get()
    }
}

/// Reads the record whenever it may have to change or a client resumes a stream, and writes what has
/// changed.
pub async fn maintain_versions<P: Platform>(
    gateway: Rc<Gateway>,
    platform: Rc<P>,
    peers: Rc<Peers>,
) {
    let mut health = StoreHealth::new("store-versions");
    let mut refreshed_ms = None;
    loop {
        wait_until_due(&gateway, &peers, refreshed_ms).await;
        let result = update(&gateway, platform.as_ref(), &peers).await;
        let now = clock::now();
        refreshed_ms = Some(now.steady_ms);
        match result {
            Ok(()) => {
                health.log_recovery();
                gateway.version_reads.unavailable_until_ms.set(0);
                let gateways = gateway.control.borrow().fleet_size();
                sleep_ms(min_read_interval_ms(gateways)).await;
            }
            // Another gateway has just written it.
            Err(PlatformError::Conflict) => {
                let pause_ms = rand::rng().random_range(0..=MIN_READ_INTERVAL_MS);
                sleep_ms(pause_ms).await;
            }
            Err(error) => {
                let failures = &gateway.metrics.store_failures;
                failures.with_label_values(&["versions"]).inc();
                health.log_failure(&error);
                let is_rejected = is_rejected(&error);
                let failure_ms = if is_rejected {
                    REJECTED_PAUSE_MS
                } else {
                    FAILURE_MS
                };
                let until_ms = now.steady_ms + failure_ms;
                gateway.version_reads.unavailable_until_ms.set(until_ms);
                if is_rejected {
                    sleep_ms(REJECTED_PAUSE_MS).await;
                } else {
                    health.back_off(&gateway).await;
                }
            }
        }
    }
}

/// Minimum interval between two reads in a fleet of `gateways` instances.
fn min_read_interval_ms(gateways: usize) -> u64 {
    let gateways = u64::try_from(gateways).unwrap_or(u64::MAX);
    let fleet_interval_ms = gateways.saturating_mul(MIN_READ_INTERVAL_MS_PER_GATEWAY);
    fleet_interval_ms.clamp(MIN_READ_INTERVAL_MS, MAX_READ_INTERVAL_MS)
}

/// Whether the same call would fail in the same way again.
fn is_rejected(error: &PlatformError) -> bool {
    match error {
        PlatformError::Refused(status) => matches!(status, 400..=499) && *status != 429,
        PlatformError::NotFound | PlatformError::InvalidResponse(_) => true,
        PlatformError::Unreachable(_)
        | PlatformError::NoResponse(_)
        | PlatformError::HistoryDiscarded
        | PlatformError::Conflict => false,
    }
}

async fn wait_until_due(gateway: &Gateway, peers: &Peers, refreshed_ms: Option<u64>) {
    let reads = &gateway.version_reads;
    loop {
        let now = clock::now();
        let due = gateway
            .control
            .borrow()
            .streams
            .served
            .due(role(peers), now);
        let is_refresh_due = refreshed_ms
            .is_none_or(|refreshed_ms| now.since_ms(refreshed_ms) >= REFRESH_INTERVAL_MS);
        let is_due = match due {
            RecordDue::Now => true,
            RecordDue::Refresh => is_refresh_due,
            RecordDue::No => false,
        };
        if reads.is_requested.take() || is_due {
            return;
        }
        let timeout = async {
            sleep_ms(CHECK_INTERVAL_MS).await;
            false
        };
        timeout.or(reads.notify.notified()).await;
    }
}

fn role(peers: &Peers) -> RecordRole {
    if peers.keeps_list() {
        RecordRole::Primary
    } else {
        RecordRole::Secondary
    }
}

/// Reads the record, and replaces it if it should contain something else.
async fn update<P: Platform>(
    gateway: &Gateway,
    platform: &P,
    peers: &Peers,
) -> Result<(), PlatformError> {
    let timeout_ms = gateway.bounds().store.timeout_ms;
    let calls = &gateway.metrics.store_calls;
    calls.with_label_values(&["versions-read"]).inc();
    let sent = clock::now();
    let VersionRead { stored, position } = platform.read_versions(timeout_ms).await?;
    record_call(gateway, "versions-read", sent);
    let now = clock::now();
    let next = {
        let mut control = gateway.control.borrow_mut();
        control.observe_versions(now);
        let directory_age_ms = control.directory.age_ms(now);
        let served = &mut control.streams.served;
        served.apply(&stored, sent, now);
        served.next_record(&stored, role(peers), directory_age_ms, now)
    };
    let Some(next) = next else {
        return Ok(());
    };
    calls.with_label_values(&["versions-write"]).inc();
    platform.write_versions(&next, position, timeout_ms).await?;
    let before = stored
        .content()
        .map_or_else(VersionRecord::new, Clone::clone);
    log::info!(
        "kind=versions-recorded added={:?} removed={:?}",
        difference(&next, &before),
        difference(&before, &next)
    );
    let mut control = gateway.control.borrow_mut();
    let written = StoredRecord::Current(next);
    control.streams.served.apply(&written, now, clock::now());
    Ok(())
}
