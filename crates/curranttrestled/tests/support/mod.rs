//! Support for tests that run the fleet as processes.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod chaos;
pub mod client;
pub mod fleet;
pub mod load;
pub mod mix;
pub mod process;
pub mod raw;
