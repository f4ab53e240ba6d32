//! Tests of the stand-ins, and of the clients that talk to them.

mod common;
mod engine;
mod platform;
mod service;
