//! The cost of control at several sizes: coordination only, in stepped time, in one process.
//!
//! Routers are values here. Their messages are passed on after one step, and attempts end
//! after their time; there is no model of a network or of a machine.

mod cell;
mod counts;
mod demand;
mod endpoints;
mod events;
mod grid;
mod memory;
mod node;
mod sheet;
mod store;

pub use cell::{Cell, CellPlan};
pub use grid::run;
pub use memory::resident_bytes;
