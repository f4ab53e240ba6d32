//! Experiments that run a seeded load against a small fleet of real routers and stand-in
//! endpoints, most of them once with the naive policy and once with the fair one. Service is
//! measured at the callers and the stand-ins; only `control-traffic` reads the routers' metrics.
//!
//! The `load-reports` and `slopes` experiments instead simulate the coordination between routers in
//! stepped time. `slopes` measures what their control state costs as the fleet grows.

mod error;
mod experiments;
mod fleet;
mod load;
mod options;
mod report;
mod simulation;
mod statistics;

pub use error::{Error, Result};
pub use experiments::run;
pub use options::{ExperimentName, ExperimentOptions};
pub use report::{Check, Plot, Report, Series, Table};
