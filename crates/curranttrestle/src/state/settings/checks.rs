//! Checks for conflicts between settings that are valid individually.

use std::net::SocketAddr;

use super::Settings;
use super::reader::Reader;

/// The minimum lease duration and suspicion timeout, in heartbeat intervals.
const HEARTBEATS_TO_OUTLAST: u64 = 3;

/// Reports all conflicts between settings.
pub(super) fn report_conflicts(settings: &Settings, reader: &mut Reader) {
    report_listeners(settings, reader);
    report_peer_address(settings, reader);
    report_timing(settings, reader);
    report_limits(settings, reader);
}

fn report_listeners(settings: &Settings, reader: &mut Reader) {
    let listeners = [
        ("listen.callers", settings.listen.callers),
        ("listen.operators", settings.listen.operators),
        ("listen.peers", settings.listen.peers),
    ];
    for (index, (key, address)) in listeners.iter().enumerate() {
        for (other_key, other) in &listeners[..index] {
            if overlap(*address, *other) {
                let message = format!("{address} overlaps with {other_key} ({other})");
                reader.add_conflict(&[key], &message);
            }
        }
    }
}

/// Returns whether two listeners would bind the same port. Port zero never overlaps, because the
/// operating system then chooses a free port.
fn overlap(first: SocketAddr, second: SocketAddr) -> bool {
    let same_ip =
        first.ip() == second.ip() || first.ip().is_unspecified() || second.ip().is_unspecified();
    first.port() != 0 && first.port() == second.port() && same_ip
}

fn report_peer_address(settings: &Settings, reader: &mut Reader) {
    if settings.listen.peers.ip().is_unspecified() {
        let message = "must be a specific IP address, because it is announced to other routers";
        reader.add_conflict(&["listen.peers"], message);
    }
}

fn report_timing(settings: &Settings, reader: &mut Reader) {
    let timing = &settings.timing;
    let min_ms = timing
        .heartbeat_interval_ms
        .saturating_mul(HEARTBEATS_TO_OUTLAST);
    for (key, value_ms) in [
        ("timing.lease_ms", timing.lease_ms),
        ("timing.suspect_after_ms", timing.suspect_after_ms),
    ] {
        if value_ms < min_ms {
            let message = format!(
                "{value_ms} ms is shorter than {HEARTBEATS_TO_OUTLAST} heartbeats of {} ms",
                timing.heartbeat_interval_ms
            );
            reader.add_conflict(&[key, "timing.heartbeat_interval_ms"], &message);
        }
    }
    if timing.dead_after_ms <= timing.suspect_after_ms {
        let message = "dead_after_ms must be longer than suspect_after_ms";
        reader.add_conflict(
            &["timing.dead_after_ms", "timing.suspect_after_ms"],
            message,
        );
    }
}

fn report_limits(settings: &Settings, reader: &mut Reader) {
    if settings.limits.shutdown_ms < settings.limits.deadline_ms {
        let message = "shutdown_ms is shorter than deadline_ms, so a shutdown would abort requests";
        reader.add_conflict(&["limits.shutdown_ms", "limits.deadline_ms"], message);
    }
    if settings.platform.watch_timeout_ms < settings.platform.timeout_ms {
        let message = "watch_timeout_ms is shorter than timeout_ms";
        reader.add_conflict(
            &["platform.watch_timeout_ms", "platform.timeout_ms"],
            message,
        );
    }
}
