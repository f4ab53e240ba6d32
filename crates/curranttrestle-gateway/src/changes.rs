//! Applies changes of the directory, evacuations and cold endpoints, and logs and counts them.

use curranttrestle::coordination::gateway::directory::DirectoryChange;
use curranttrestle::coordination::gateway::evacuation::EvacuationChange;
use curranttrestle::coordination::gateway::warmup::ColdChange;
use curranttrestle::state::Now;

use crate::clock;
use crate::gateway::Gateway;

impl Gateway {
    /// Logs and counts changes of the directory and applies them.
    pub fn apply_directory_changes(&self, changes: &[DirectoryChange], source: &str) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            let (what, endpoint) = match change {
                DirectoryChange::Joined(endpoint) => ("joined", endpoint),
                DirectoryChange::Leaving(endpoint) => ("leaving", endpoint),
                DirectoryChange::Lapsed(endpoint) => ("lapsed", endpoint),
                DirectoryChange::Removed(endpoint) => ("gone", endpoint),
                DirectoryChange::Restarted(endpoint) => ("restarted", endpoint),
            };
            log::info!("kind=endpoint-{what} endpoint={endpoint} source={source}");
            self.metrics
                .directory_changes
                .with_label_values(&[what])
                .inc();
        }
        let mut control = self.control.borrow_mut();
        control.apply_directory_changes(changes);
        control.observe_versions(clock::now());
        drop(control);
        self.version_reads.check();
    }

    /// Logs and counts evacuations that began or ended.
    pub fn apply_evacuation_changes(&self, changes: &[EvacuationChange], source: &str, now: Now) {
        let mut control = self.control.borrow_mut();
        let age_ms = control.evacuations.age_ms(now).unwrap_or_default();
        let counter = &self.metrics.evacuation_changes;
        for change in changes {
            match change {
                EvacuationChange::Began(name) if !control.is_data_centre(name) => {
                    counter.with_label_values(&["unknown"]).inc();
                    log::warn!("kind=evacuation-unknown name={name:?} source={source}");
                }
                EvacuationChange::Began(name) => {
                    counter.with_label_values(&["began"]).inc();
                    log::warn!(
                        "kind=evacuation-began data_centre={name:?} source={source} age_ms={age_ms}"
                    );
                }
                EvacuationChange::Ended(name) => {
                    counter.with_label_values(&["ended"]).inc();
                    let endpoints = control.evacuation_ended(name, now);
                    log::info!(
                        "kind=evacuation-ended data_centre={name:?} source={source} age_ms={age_ms} endpoints={endpoints}"
                    );
                }
            }
        }
    }

    /// Counts a request that got no permit for a cold endpoint.
    pub fn count_cold_refusal(&self) {
        let counter = &self.metrics.cold_endpoints;
        counter.with_label_values(&["refused"]).inc();
    }

    /// Passes on which endpoints still hold connections that are older than the loss of another one.
    pub(crate) fn check_lost_endpoints(&self, now: Now) {
        let mut control = self.control.borrow_mut();
        for endpoint in control.cold.lost_endpoints(now) {
            let address = control.directory.address(&endpoint);
            let opened_ms = address.and_then(|address| self.pool.oldest_open_ms(address));
            if let Some(opened_ms) = opened_ms {
                control
                    .cold
                    .record_open_connection(&endpoint, opened_ms, now);
            }
        }
    }

    /// Logs and counts endpoints that became cold or warm.
    pub(crate) fn log_cold_changes(&self, now: Now) {
        for change in self.control.borrow_mut().update_cold(now) {
            let event = match change {
                ColdChange::Cold {
                    endpoint,
                    cause,
                    left_ms,
                    has_part,
                } => {
                    let why = cause.as_str();
                    log::info!(
                        "kind=endpoint-cold endpoint={endpoint} why={why} left_ms={left_ms} has_part={has_part}"
                    );
                    "cold"
                }
                ColdChange::Warm(endpoint) => {
                    log::info!("kind=endpoint-warm endpoint={endpoint}");
                    "warm"
                }
            };
            self.metrics
                .cold_endpoints
                .with_label_values(&[event])
                .inc();
        }
    }
}
