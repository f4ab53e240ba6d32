//! Experiments: a small fleet of real routers and stand-ins under a seeded load, once with the
//! naive policy and once with the fair one, measured by what the stand-ins saw.
//!
//! `slopes` measures what the control state of a router costs, without any traffic.

mod error;
mod experiments;
mod fleet;
mod load;
mod options;
mod report;
mod slopes;
mod statistics;

pub use error::{Error, Result};
pub use experiments::run;
pub use options::{ExperimentName, ExperimentOptions};
pub use report::{Check, Plot, Report, Series, Table};
