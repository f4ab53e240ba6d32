//! Derives the router's options from the settings.

use curranttrestle::coordination::membership::MembershipOptions;
use curranttrestle::coordination::router::{Policy, RouterOptions};
use curranttrestle::coordination::slots::ReportMode;
use curranttrestle::state::settings::{LoadReports, PolicyKind, Settings};

/// The environment variable that makes invariant violations fatal. Its value is ignored.
const FATAL_INVARIANTS_VARIABLE: &str = "CURRANTTRESTLE_FATAL_INVARIANTS";

/// Interval at which the platform's list of instances is read.
const INSTANCE_POLL_INTERVAL_MS: u64 = 1_000;

/// How long a stopping router waits for the store to accept the results of non-idempotent
/// requests.
const RESULT_FLUSH_TIMEOUT_MS: u64 = 10_000;

/// The router's options for these settings.
#[must_use]
pub fn from_settings(settings: &Settings) -> RouterOptions {
    let timing = &settings.timing;
    let mut options = RouterOptions {
        policy: match settings.policy.kind {
            PolicyKind::Fair => Policy::Fair,
            PolicyKind::Naive => Policy::Naive,
        },
        hedging: settings.policy.hedging,
        seeds: settings.fleet.seeds.clone(),
        address_overrides: settings.fleet.via.clone(),
        fatal_invariants: std::env::var_os(FATAL_INVARIANTS_VARIABLE).is_some(),
        load_report_interval_ms: timing.load_report_interval_ms,
        membership: MembershipOptions {
            probe_interval_ms: timing.heartbeat_interval_ms,
            probe_timeout_ms: timing.heartbeat_interval_ms,
            suspect_after_ms: timing.suspect_after_ms,
            dead_after_ms: timing.dead_after_ms,
            ..MembershipOptions::default()
        },
        ..RouterOptions::default()
    };
    options.queue_per_customer = settings.limits.queue_per_customer;
    options.result_flush_timeout_ms = RESULT_FLUSH_TIMEOUT_MS;
    options.fleet_store_calls_per_s = u64::from(settings.platform.fleet_calls_per_second);
    options.instance_poll_interval_ms = INSTANCE_POLL_INTERVAL_MS;
    options.claims.fatal_invariants = options.fatal_invariants;
    options.drain.fatal_invariants = options.fatal_invariants;
    options.drain.lease_ms = timing.lease_ms;
    options.store_call_limiter.rate_per_s = u64::from(settings.platform.calls_per_second);
    options.slots.report_mode = match settings.policy.load_reports {
        LoadReports::Reconcile => ReportMode::Reconcile,
        LoadReports::Trust => ReportMode::Trust,
        LoadReports::Ignore => ReportMode::Ignore,
    };
    options.slots.lease_ms = timing.lease_ms;
    options.fair_share.service_round_ms = timing.service_round_ms;
    options
}
