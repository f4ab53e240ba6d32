//! Tests of the stand-ins, and of the clients that talk to them.

mod common;
mod engine;
mod engine_faults;
mod engine_orders;
mod platform;
mod relay;
mod service;
