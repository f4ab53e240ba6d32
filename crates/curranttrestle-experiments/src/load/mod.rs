//! The load generator: callers over HTTP, with seeded request sizes and arrival times.

mod arrivals;
mod client;
mod runner;
mod workload;

pub use arrivals::{ArrivalPlan, RatePoint, open_loop};
pub use client::exchange;
pub use runner::{Observations, Outstanding, run_load};
pub use workload::{Caller, Class, Sample, ScheduledFault, Sizes, Workload};
