//! Options of the engine stand-in.

use std::net::SocketAddr;

/// Options of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The name of the endpoint.
    pub name: String,
    /// The data centre of the endpoint.
    pub data_centre: String,
    /// The model that is loaded at start.
    pub model: String,
    /// Address to serve on; port 0 lets the system choose.
    pub address: SocketAddr,
    /// Address for fault injection and the ground truth.
    pub admin_address: SocketAddr,
    /// Number of requests the engine is designed to run concurrently. It admits more, but slows
    /// down.
    pub slots: u32,
    /// Time per token with a single running stream.
    pub token_interval_ms: f64,
    /// Increase of the time per token for each additional stream, as a fraction.
    pub batch_slowdown: f64,
    /// Prefill time per prompt token that is not cached.
    pub prefill_ms_per_token: f64,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Delay before a cache event is published.
    pub cache_event_lag_ms: u64,
    /// Drops every nth cache event; 0 publishes all events.
    pub cache_event_gap_every: u64,
    /// Age of the state shown in load reports.
    pub load_lag_ms: u64,
    /// How long a stream without a reader continues, and how long a finished stream is retained.
    pub grace_ms: u64,
    /// Downtime after a crash.
    pub restart_ms: u64,
    /// Whether to refuse orders with a stale fencing number.
    pub checks_fencing: bool,
    /// Whether to refuse orders for another incarnation.
    pub checks_incarnation: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: String::from("engine"),
            data_centre: String::from("dc"),
            model: String::from("model"),
            address: any_port,
            admin_address: any_port,
            slots: 8,
            token_interval_ms: 5.0,
            batch_slowdown: 0.05,
            prefill_ms_per_token: 0.05,
            cache_blocks: 4_096,
            cache_event_lag_ms: 500,
            cache_event_gap_every: 10,
            load_lag_ms: 300,
            grace_ms: 5_000,
            restart_ms: 1_000,
            checks_fencing: true,
            checks_incarnation: true,
        }
    }
}
