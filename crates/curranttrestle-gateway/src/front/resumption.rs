//! Finds the software version at which a stream that a client resumes has to go on.

use curranttrestle::coordination::gateway::stream_versions::{
    ResumedFrom, ServiceKey, StreamKey, StreamQuery,
};

use super::exchange::Exchange;
use crate::clock;
use crate::timer::sleep_ms;

/// Reason for refusing to resume a stream that may have begun at any of several software versions.
pub const UNKNOWN_VERSION: &str = "stream-version-unknown";

/// How long peers may take to reply. They reply at once, and a lost datagram is not sent again.
const MAX_WAIT_MS: u64 = 150;

/// How long a read of the record of software versions may take.
const MAX_READ_MS: u64 = 500;

/// Interval for checking whether peers replied or the read has ended.
const CHECK_INTERVAL_MS: u64 = 5;

/// Determines the software version at which the stream of a client has to go on, if the client resumes
/// one, and the service that has it.
///
/// # Errors
///
/// [`UNKNOWN_VERSION`] if no gateway that responds knows where the stream began, and it may have begun at
/// several versions.
pub async fn require_version(exchange: &mut Exchange) -> Result<(), &'static str> {
    let hints = &exchange.hints;
    if hints.last_event_id.is_none() || !exchange.route.retry_policy.is_stream() {
        return Ok(());
    }
    let stream = hints.resumed_attempt_id.as_deref().map(StreamKey::of);
    if let Some(stream) = stream {
        let service = ServiceKey::of(&exchange.service);
        ask_peers(exchange, StreamQuery { stream, service }).await;
    }
    read_record(exchange, stream).await;
    let now = clock::now();
    let mut control = exchange.gateway.control.borrow_mut();
    control.observe_versions(now);
    // Peers that are not found yet or were not asked may have seen other versions.
    let peers = exchange.gateway.peers.get();
    let has_unasked = stream.is_none() && peers.is_some_and(|peers| peers.has_live());
    let directory_age_ms = control
        .directory
        .age_ms(now)
        .filter(|_| !exchange.gateway.is_finding_peers(now) && !has_unasked);
    let counts = stream.map(|stream| control.streams.reply_count(stream));
    let (replied, silent) = counts.unwrap_or_default();
    let resumed_from = control
        .streams
        .resolve(stream, directory_age_ms, exchange.arrived, now);
    log::info!(
        "kind=stream-resumed id={} resumed={} version={resumed_from:?} replies={replied} silent={silent} running_ms={} directory_age_ms={}",
        hints.attempt_id,
        hints.resumed_attempt_id.as_deref().unwrap_or("none"),
        exchange.gateway.running_ms(now),
        control.directory.age_ms(now).unwrap_or_default()
    );
    match resumed_from {
        ResumedFrom::Known(version) | ResumedFrom::OnlyVersion(version) => {
            let service = control.service_of_version(&exchange.route, version);
            let service = service.map(ToOwned::to_owned);
            drop(control);
            exchange.service = service.unwrap_or_else(|| exchange.service.clone());
            exchange.required_version.set(Some(version));
            let is_known = matches!(resumed_from, ResumedFrom::Known(_));
            exchange.continues_known_stream = is_known;
            exchange.requires_only_version.set(!is_known);
            Ok(())
        }
        ResumedFrom::Unknown => Err(UNKNOWN_VERSION),
    }
}

/// Reads the record of software versions, unless it is known where the stream began.
async fn read_record(exchange: &Exchange, stream: Option<StreamKey>) {
    let gateway = &exchange.gateway;
    let asked = clock::now();
    let is_known = stream.is_some_and(|stream| {
        let control = gateway.control.borrow();
        control.streams.version_of(stream, asked).is_some()
    });
    let reads = &gateway.version_reads;
    if is_known || reads.is_unavailable(asked) {
        return;
    }
    reads.request();
    loop {
        let now = clock::now();
        let is_read = gateway
            .control
            .borrow()
            .streams
            .served
            .is_read_since(exchange.arrived.steady_ms);
        if is_read || reads.is_unavailable(now) || now.since_ms(asked.steady_ms) >= MAX_READ_MS {
            return;
        }
        sleep_ms(CHECK_INTERVAL_MS).await;
    }
}

/// Asks peers about a stream that this gateway does not know, and waits for their replies.
async fn ask_peers(exchange: &Exchange, query: StreamQuery) {
    let gateway = &exchange.gateway;
    let asked = clock::now();
    let is_known = |now| {
        let control = gateway.control.borrow();
        control.streams.version_of(query.stream, now).is_some()
    };
    let Some(peers) = gateway.peers.get().filter(|_| !is_known(asked)) else {
        return;
    };
    peers.ask_about_stream(gateway, query);
    loop {
        let now = clock::now();
        let is_answered = gateway
            .control
            .borrow()
            .streams
            .is_answered(query.stream, now);
        if is_answered || now.since_ms(asked.steady_ms) >= MAX_WAIT_MS {
            return;
        }
        sleep_ms(CHECK_INTERVAL_MS).await;
    }
}
