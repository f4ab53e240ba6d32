//! The load: callers over HTTP, with arrivals from a seed.

mod arrivals;
mod client;
mod runner;
mod workload;

pub use arrivals::{ArrivalPlan, RatePoint, open_loop};
pub use client::exchange;
pub use runner::{Observations, Outstanding, run_load};
pub use workload::{Caller, Class, Disturbance, Sample, Sizes, Workload};
