//! A simulation of the coordination between routers in stepped time, and the `slopes` experiment,
//! which uses it to measure what coordination costs at several fleet sizes.
//!
//! Routers are plain values in one process. Messages are delivered after one step, and attempts
//! end after their drawn duration. Neither networks nor machines are modelled.

mod counts;
mod demand;
mod endpoints;
mod events;
mod fleet;
mod grid;
mod memory;
mod node;
mod sheet;
mod store;

pub use fleet::{SimulatedFleet, SimulationPlan};
pub use grid::run;
pub use memory::resident_bytes;
