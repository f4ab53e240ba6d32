//! Support for tests that run the fleet as processes.

#![allow(dead_code, reason = "each test file uses only some of these")]

pub mod chaos;
pub mod client;
pub mod fleet;
pub mod load;
pub mod mixed_load;
pub mod process;
pub mod raw;
