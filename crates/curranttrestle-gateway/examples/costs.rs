//! Prints the cost of frequent operations of a gateway in microseconds: one placement among 140
//! engines with 60 peers reporting, one share status with 30 customers, one refusal and one load
//! report. Run it with `cargo run --release -p curranttrestle-gateway --example costs`.

use std::hint::black_box;
use std::time::Instant;

use curranttrestle::coordination::gateway::control::{Control, ControlOptions, PlacementRequest};
use curranttrestle::coordination::gateway::endpoint_load::{EndpointKey, LoadLine};
use curranttrestle::coordination::gateway::shares::{CustomerKey, ShareLine};
use curranttrestle::state::Now;
use curranttrestle::state::gateway::{
    ClientLimits, EndpointEntry, EngineCapacity, EntryState, PromptPart, RequestHints, RetryPolicy,
    Route, RouteTarget, Service, ServiceConfig,
};
use curranttrestle_gateway::front::response::LocalResponse;

const ENGINES: u32 = 140;
const PEERS: u64 = 60;
const CUSTOMERS: u32 = 30;
const ROUNDS: u32 = 20_000;
const SERVICE: &str = "model";

fn main() {
    let now = Now::default().plus_ms(100_000);
    let mut control = control(now);
    let config = config();
    let (route, hints) = (&config.routes[0], hints());
    let request = PlacementRequest {
        route,
        service: SERVICE,
        customer: "customer-3",
        hints: &hints,
        excluded: &[],
        is_retry: false,
        is_resumed: false,
        required_version: None,
    };
    // Requests of this gateway itself.
    for _ in 0..100 {
        control.record_arrival(SERVICE, "customer-3", &hints, now);
    }
    print("placement", || {
        black_box(control.place(black_box(request), now));
    });
    let key = EndpointKey::of(&entry(7).endpoint);
    print("load of one endpoint", || {
        black_box(control.load.view(black_box(key), now));
    });
    print("share status", || {
        black_box(control.shares.status(black_box("customer-3"), 400_000, now));
    });
    print("refusal response", || {
        black_box(LocalResponse::refused("queue", 250.0).into_response());
    });
    let lines = load_lines(3);
    print("load report", || {
        control.load.apply_report(3, black_box(&lines), now);
    });
    let shares = share_lines(3);
    print("share report", || {
        control
            .shares
            .apply_report(3, black_box(shares.clone()), now);
    });
}

fn print(name: &str, mut operation: impl FnMut()) {
    for _ in 0..ROUNDS / 10 {
        operation();
    }
    let mut best_us = f64::INFINITY;
    // The best of several runs: other processes of the machine only add to the time.
    for _ in 0..5 {
        let started = Instant::now();
        for _ in 0..ROUNDS {
            operation();
        }
        let elapsed_us = started.elapsed().as_secs_f64() * 1_000_000.0;
        best_us = best_us.min(elapsed_us / f64::from(ROUNDS));
    }
    println!("{name}: {best_us:.2} us");
}

fn entry(index: u32) -> EndpointEntry {
    EndpointEntry {
        endpoint: format!("engine-{index}").as_str().into(),
        service: SERVICE.to_owned(),
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: "a".to_owned(),
        software_version: "1".to_owned(),
        state: EntryState::Ready,
        slots: 16,
        started_unix_ms: u64::from(index),
        warmup_left_ms: 0,
    }
}

fn config() -> ServiceConfig {
    let route = Route {
        name: "stream".to_owned(),
        host: "host".to_owned(),
        path_prefix: "/".to_owned(),
        retry_policy: RetryPolicy::Stream { resumable: true },
        timeout_ms: 10_000,
        target_latency_ms: 500,
        max_pause_ms: 400,
        targets: vec![RouteTarget {
            service: SERVICE.to_owned(),
            weight: 1,
        }],
        max_attempts: 3,
        anonymous: false,
        allowed_regions: Vec::new(),
    };
    let service = Service {
        name: SERVICE.to_owned(),
        max_connections: 0,
        engine: Some(EngineCapacity {
            slots: 16,
            memory_tokens: 225_485,
        }),
        warmup: None,
    };
    ServiceConfig {
        version: 1,
        routes: vec![route],
        services: vec![service],
        customers: None,
        limits: ClientLimits {
            tokens_per_s: 400_000,
            ..ClientLimits::default()
        },
    }
}

fn hints() -> RequestHints {
    let part = |id, tokens| PromptPart { id, tokens };
    RequestHints {
        prompt_tokens: 2_368,
        max_output_tokens: 100,
        prompt_parts: vec![part(1, 568), part(2, 1_800)],
        ..RequestHints::default()
    }
}

fn load_lines(peer: u32) -> Vec<LoadLine> {
    (0..ENGINES)
        .filter(|index| (index + peer).is_multiple_of(3))
        .map(|index| LoadLine {
            endpoint: EndpointKey::of(&entry(index).endpoint),
            waiting_tokens: 100 + index,
            in_flight: 1,
            memory_tokens: 500 + peer,
        })
        .collect()
}

fn share_lines(peer: u32) -> Vec<ShareLine> {
    (0..CUSTOMERS)
        .map(|index| ShareLine {
            customer: CustomerKey::of(&format!("customer-{index}")),
            asked_tokens: 10_000 + 100 * index + peer,
            admitted_tokens: 8_000 + 50 * index,
        })
        .collect()
}

fn control(now: Now) -> Control {
    let mut control = Control::new(ControlOptions {
        data_centre: "a".to_owned(),
        ..ControlOptions::default()
    });
    control.apply_config(config(), 1, now.steady_ms);
    control
        .directory
        .replace((0..ENGINES).map(entry).collect(), now);
    for peer in 0..u32::try_from(PEERS).unwrap_or_default() {
        let key = u64::from(peer);
        control.load.apply_report(key, &load_lines(peer), now);
        control.shares.apply_report(key, share_lines(peer), now);
    }
    control
}
