//! Contradictions between settings that are well formed by themselves.

use std::net::SocketAddr;

use super::Settings;
use super::reader::Reader;

/// How many heartbeats a lease or a silent router must outlast.
const HEARTBEATS_TO_OUTLAST: u64 = 3;

/// Reports all contradictions.
pub(super) fn report_contradictions(settings: &Settings, reader: &mut Reader) {
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
                let message = format!("{address} is also the address of {other_key}");
                reader.add_contradiction(&[key], &message);
            }
        }
    }
}

/// Whether two listeners would claim the same port. Port zero lets the system choose.
fn overlap(first: SocketAddr, second: SocketAddr) -> bool {
    let same_ip =
        first.ip() == second.ip() || first.ip().is_unspecified() || second.ip().is_unspecified();
    first.port() != 0 && first.port() == second.port() && same_ip
}

fn report_peer_address(settings: &Settings, reader: &mut Reader) {
    if settings.listen.peers.ip().is_unspecified() {
        let message = "must name one IP number, because other routers are told this address";
        reader.add_contradiction(&["listen.peers"], message);
    }
}

fn report_timing(settings: &Settings, reader: &mut Reader) {
    let timing = &settings.timing;
    let least_ms = timing
        .heartbeat_interval_ms
        .saturating_mul(HEARTBEATS_TO_OUTLAST);
    for (key, value_ms) in [
        ("timing.lease_ms", timing.lease_ms),
        ("timing.suspect_after_ms", timing.suspect_after_ms),
    ] {
        if value_ms < least_ms {
            let message = format!(
                "{value_ms} ms is shorter than {HEARTBEATS_TO_OUTLAST} heartbeats of {} ms",
                timing.heartbeat_interval_ms
            );
            reader.add_contradiction(&[key, "timing.heartbeat_interval_ms"], &message);
        }
    }
    if timing.dead_after_ms <= timing.suspect_after_ms {
        let message = "dead_after_ms must be longer than suspect_after_ms";
        reader.add_contradiction(
            &["timing.dead_after_ms", "timing.suspect_after_ms"],
            message,
        );
    }
}

fn report_limits(settings: &Settings, reader: &mut Reader) {
    if settings.limits.shutdown_ms < settings.limits.deadline_ms {
        let message = "shutdown_ms is shorter than deadline_ms, so a stop would cut requests";
        reader.add_contradiction(&["limits.shutdown_ms", "limits.deadline_ms"], message);
    }
    if settings.platform.watch_timeout_ms < settings.platform.timeout_ms {
        let message = "watch_timeout_ms is shorter than timeout_ms";
        reader.add_contradiction(
            &["platform.watch_timeout_ms", "platform.timeout_ms"],
            message,
        );
    }
}
