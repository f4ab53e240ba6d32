//! Shared test helpers.

use std::net::SocketAddr;

use curranttrestle::coordination::gateway::request_quarantine::{RequestIdentity, RequestParts};
use curranttrestle::state::Now;
use curranttrestle::state::gateway::{
    Customer, EndpointEntry, EngineCapacity, EntryState, PromptPart, RequestHints, RetryPolicy,
    Route, RouteTarget, Service, ServiceConfig,
};

/// A time `steady_ms` after the start of a test. The start is far enough from zero for earlier
/// times to be valid.
pub fn at(steady_ms: u64) -> Now {
    Now {
        steady_ms: 1_000_000 + steady_ms,
        unix_ms: 1_700_000_000_000 + steady_ms,
    }
}

/// The `index`-th endpoint of a service.
pub fn entry(service: &str, index: u16) -> EndpointEntry {
    EndpointEntry {
        endpoint: format!("{service}-{index}").as_str().into(),
        service: service.to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + index)),
        data_centre: "a".to_owned(),
        software_version: "1".to_owned(),
        state: EntryState::Ready,
        slots: 64,
        warmup_left_ms: 0,
        started_unix_ms: 1,
    }
}

pub fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        retry_policy: RetryPolicy::Stream { resumable: true },
        timeout_ms: 6_000,
        target_latency_ms: 500,
        max_pause_ms: 200,
        targets: vec![RouteTarget {
            service: "model".to_owned(),
            weight: 1,
        }],
        max_attempts: 2,
        allowed_regions: Vec::new(),
        anonymous: false,
    }
}

/// A lookup on an open route.
pub fn lookup(item: &str) -> RequestIdentity {
    RequestIdentity::of(&RequestParts {
        method: "GET",
        host: "host.example",
        path: "/stock/items",
        query: Some(item),
        customer: "",
        body: b"",
    })
}

/// Capacity of an engine in the deployments `armor-pret` and `kassarulle-hq`.
pub const ENGINE: EngineCapacity = EngineCapacity {
    slots: 64,
    memory_tokens: 304_154,
};

pub fn config(version: u64) -> ServiceConfig {
    ServiceConfig {
        version,
        routes: vec![route("drafts", "host.example", "/drafts/")],
        services: vec![Service {
            name: "model".to_owned(),
            max_connections: 370,
            engine: Some(ENGINE),
            warmup: None,
        }],
        customers: Some(vec![Customer {
            name: "customer".to_owned(),
            keys: vec!["key".to_owned()],
            allowed_regions: Vec::new(),
        }]),
        ..ServiceConfig::default()
    }
}

/// A prompt with one shared and one unshared part.
pub fn prompt(shared: u64, shared_tokens: u64, own_tokens: u64) -> RequestHints {
    RequestHints {
        attempt_id: "attempt".to_owned(),
        credential: Some("key".to_owned()),
        prompt_tokens: shared_tokens + own_tokens,
        max_output_tokens: 100,
        prompt_parts: vec![
            PromptPart {
                id: shared,
                tokens: shared_tokens,
            },
            PromptPart {
                id: u64::MAX,
                tokens: own_tokens,
            },
        ],
        ..RequestHints::default()
    }
}
