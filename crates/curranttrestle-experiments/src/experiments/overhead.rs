//! The latency that one router adds to a direct call of an engine, and its throughput per core.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use curranttrestle::protocol::endpoint::StreamRequest;
use curranttrestle::state::CustomerId;
use curranttrestle::transport::endpoint::{EndpointClient, EndpointClientOptions};
use curranttrestle_standins::engine::tokens_marker;

use super::measures::latencies_ms;
use super::threads::cpu_seconds;
use crate::fleet::{Fleet, FleetPlan, OPERATION};
use crate::load::{Caller, Sizes, Workload, run_load};
use crate::report::{Report, Table};
use crate::statistics::{float, percentile, ratio};
use crate::{ExperimentOptions, Result};

/// Tokens of each response.
const TOKENS: u32 = 4;
/// Time per token in milliseconds.
const TOKEN_MS: f64 = 1.0;
/// Number of slots of the engine.
const SLOTS: u32 = 64;
/// Number of concurrent callers in the throughput run.
const CALLERS: usize = 32;
/// Name prefixes of threads that do not belong to the router.
const NON_ROUTER_THREADS: [&str; 5] = ["callers", "truth", "engine", "platform", "curranttrestle"];

/// Runs the experiment.
pub fn run(seed: u64, options: &ExperimentOptions) -> Result<Report> {
    let run_ms = options.duration_ms / 3;
    let plan = FleetPlan {
        data_centre_count: 1,
        routers: 1,
        engines: 1,
        slots: SLOTS,
        token_interval_ms: TOKEN_MS,
        batch_slowdown: 0.0,
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan)?;
    let direct = call_directly(fleet.engines[0].address(), run_ms);
    let one = workload(1, seed);
    let routed = run_load(&fleet, &one, run_ms)?;
    let many = workload(CALLERS, seed);
    let cpu_before_s = cpu_seconds(&NON_ROUTER_THREADS);
    let loaded = run_load(&fleet, &many, run_ms)?;
    let router_cpu_s = cpu_seconds(&NON_ROUTER_THREADS) - cpu_before_s;
    fleet.stop();
    let latencies = |observations| latencies_ms(observations, &one, run_ms);
    let routed = latencies(&routed);
    let completed = loaded
        .samples
        .iter()
        .filter(|sample| sample.done_ms.is_some());
    let completed = float(completed.count() as u64);
    let mut report = Report::new("overhead", seed);
    let mut table = Table::new(
        "time to a complete response, one caller",
        &["way", "requests", "p50 ms", "p99 ms"],
    );
    for (way, values) in [("direct", &direct), ("through a router", &routed)] {
        table.push([
            way.to_owned(),
            values.len().to_string(),
            format!("{:.2}", percentile(values, 50.0)),
            format!("{:.2}", percentile(values, 99.0)),
        ]);
    }
    let added = |percent| percentile(&routed, percent) - percentile(&direct, percent);
    table.push([
        "added".to_owned(),
        String::new(),
        format!("{:.2}", added(50.0)),
        format!("{:.2}", added(99.0)),
    ]);
    let mut rate = Table::new(
        "throughput, concurrent callers",
        &[
            "callers",
            "requests/s",
            "router cores",
            "requests/s per core",
        ],
    );
    let seconds = float(run_ms) / 1_000.0;
    rate.push([
        CALLERS.to_string(),
        format!("{:.0}", completed / seconds),
        format!("{:.2}", router_cpu_s / seconds),
        format!("{:.0}", ratio(completed, router_cpu_s)),
    ]);
    report.tables = vec![table, rate];
    Ok(report)
}

fn workload(callers: usize, seed: u64) -> Workload {
    let caller = |index| Caller {
        router: 0,
        customer: index % 16,
        sizes: Sizes {
            min: TOKENS,
            max: TOKENS,
        },
        seed: seed + index as u64,
    };
    Workload {
        callers: (0..callers).map(caller).collect(),
        deadline_ms: 10_000,
        ..Workload::default()
    }
}

/// The times to a complete response for one caller that calls the engine directly.
fn call_directly(engine: SocketAddr, duration_ms: u64) -> Vec<f64> {
    let client = EndpointClient::new(EndpointClientOptions::default());
    let end = Instant::now() + Duration::from_millis(duration_ms);
    let mut times_ms = Vec::new();
    while Instant::now() < end {
        let started = Instant::now();
        let request = StreamRequest {
            attempt: format!("direct.1.{}", times_ms.len()),
            request: format!("direct-{}", times_ms.len()),
            customer: CustomerId::new("customer-00"),
            operation: OPERATION.into(),
            pool: "model".into(),
            prompt: format!("request {} {}", times_ms.len(), tokens_marker(TOKENS)),
            max_tokens: TOKENS,
            expected_cost: None,
        };
        if smol::block_on(read_to_end(&client, engine, &request)) {
            times_ms.push(started.elapsed().as_secs_f64() * 1_000.0);
        }
    }
    times_ms
}

async fn read_to_end(client: &EndpointClient, engine: SocketAddr, request: &StreamRequest) -> bool {
    let Ok(mut stream) = client.start_stream(engine, request).await else {
        return false;
    };
    loop {
        match stream.next().await {
            Ok(Some(_)) => {}
            Ok(None) => return true,
            Err(_) => return false,
        }
    }
}
