//! Serves readiness for the load balancer, and metrics.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use super::accept_each;
use crate::clock;
use crate::gateway::Gateway;
use crate::memory::MemoryKind;

/// Maximum time to wait for a complete request head.
const HEADER_READ_TIMEOUT_MS: u64 = 10_000;

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves readiness and metrics; never returns.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    accept_each(&listener, |stream, _address| {
        let serving = serve_connection(Rc::clone(&gateway), stream);
        gateway.executors().traffic().spawn(serving).detach();
    })
    .await;
}

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream) {
    let service = service_fn(move |request: Request<Incoming>| {
        let response = respond(&gateway, request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(HEADER_READ_TIMEOUT_MS))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("kind=status-connection-failed error={error:?}");
    }
}

fn respond(gateway: &Gateway, path: &str) -> Response<Full<Bytes>> {
    if path == gateway.settings.readiness_path {
        let status = if gateway.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        return with_status(status, Bytes::new());
    }
    if path != METRICS_PATH {
        return with_status(StatusCode::NOT_FOUND, Bytes::new());
    }
    set_gauges(gateway);
    match gateway.metrics.text() {
        Ok(text) => with_status(StatusCode::OK, Bytes::from(text)),
        Err(error) => {
            log::error!("kind=metrics-failed error={:?}", error.to_string());
            with_status(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

fn with_status(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// Sets all gauges to their current values.
fn set_gauges(gateway: &Gateway) {
    let now = clock::now();
    let set = |name: &str, value: u64| {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        gateway.metrics.gauges.with_label_values(&[name]).set(value);
    };
    let count = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
    let control = gateway.control.borrow();
    set("open_requests", count(gateway.open_requests.get()));
    set("attempts_in_flight", count(control.load.in_flight()));
    set("idle_connections", count(gateway.pool.idle_count()));
    let body_bytes = gateway.memory.borrow().held_bytes(MemoryKind::Bodies);
    set("body_bytes", count(body_bytes));
    gateway.set_client_gauges(|name, value| set(name, count(value)));
    set("endpoints", count(control.directory.all_entries().count()));
    set("paused_endpoints", count(control.pauses.count(now)));
    if control.evacuations.options().is_some() {
        set("evacuated_data_centres", count(control.evacuations.count()));
        let age_ms = control.evacuations.age_ms(now).unwrap_or(u64::MAX);
        set("evacuation_age_ms", age_ms);
    }
    set("cold_endpoints", count(control.cold.count()));
    set("known_gateways", count(control.cold.gateways().count() + 1));
    set("gateways", count(control.fleet_size()));
    set(
        "suspect_requests",
        count(control.quarantine.suspects.suspect_count()),
    );
    set(
        "suspect_prompt_parts",
        count(control.prompt_parts.suspect_count()),
    );
    set(
        "refused_prompt_parts",
        count(control.prompt_parts.refused_count()),
    );
    let version = control.routes().map_or(0, |table| table.config().version);
    set("config_version", version);
    set(
        "config_proof_age_ms",
        control.config_freshness.age_ms(now).unwrap_or(u64::MAX),
    );
    let coverage = control.shares.coverage(now);
    set("share_reports", count(coverage.reports));
    set("oldest_share_report_ms", coverage.oldest_age_ms);
    set("loop_delay_ms", gateway.strain.borrow().delay_ms());
    set("task_delay_ms", gateway.strain.borrow().task_delay_ms());
    set(
        "directory_age_ms",
        control.directory.age_ms(now).unwrap_or(u64::MAX),
    );
    let dropped = gateway
        .log_lines
        .as_ref()
        .map_or(0, crate::log::LogLines::dropped);
    set("log_lines_dropped", dropped);
    set(
        "refusals_not_logged",
        gateway.refusal_log_limit.borrow().suppressed(),
    );
}
