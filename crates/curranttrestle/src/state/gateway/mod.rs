//! State used by the gateway: the service configuration, endpoint entries and requests.

pub mod config;
pub mod entry;
pub mod request;

pub use config::{
    ClientLimits, Customer, EngineCapacity, RetryPolicy, Route, RouteTarget, Service,
    ServiceConfig, Warmup,
};
pub use entry::{EndpointEntry, EntryState};
pub use request::{PromptPart, RequestHints};
