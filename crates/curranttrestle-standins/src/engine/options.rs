//! Settings of the engine stand-in.

use std::net::SocketAddr;

/// Settings of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The name of the endpoint.
    pub name: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// The model it has loaded.
    pub model: String,
    /// Where it serves; port zero lets the system choose.
    pub address: SocketAddr,
    /// Where faults are injected and the truth is read.
    pub admin_address: SocketAddr,
    /// How many requests it is made to run at once. It admits more, and slows.
    pub slots: u32,
    /// The time of one token when one stream runs.
    pub token_interval_ms: f64,
    /// How much each further stream adds to the time of a token, as a fraction of it.
    pub batch_slowdown: f64,
    /// The time to read one token of a prompt that is not cached.
    pub prefill_ms_per_token: f64,
    /// How many blocks of prompt prefixes are cached.
    pub cache_blocks: usize,
    /// How late cache events are published.
    pub cache_event_lag_ms: u64,
    /// Each such event is never published; zero publishes all.
    pub cache_event_gap_every: u64,
    /// How old the state is that a load report shows.
    pub load_lag_ms: u64,
    /// How long a stream that nobody reads goes on, and how long a finished one is kept.
    pub grace_ms: u64,
    /// How long the engine stays away after a crash.
    pub restart_ms: u64,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// Whether an order that names another run is refused.
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
