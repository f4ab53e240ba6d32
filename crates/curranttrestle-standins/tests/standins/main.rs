//! Tests of the stand-ins and their clients.

mod common;
mod engine;
mod engine_faults;
mod engine_orders;
mod platform;
mod relay;
mod service;
