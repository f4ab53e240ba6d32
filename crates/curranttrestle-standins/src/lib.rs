//! Small stand-ins for what a router fleet talks to, for tests and trials.
//!
//! - [`platform`]: the object API and the lagging list of instances.
//! - [`engine`]: a model engine that batches continuously and streams its answers.
//! - [`service`]: a plain service that counts how often each booking ran.
//! - [`relay`]: a TCP relay that cuts, silences or delays connections.
//! - [`remote`]: faults and truth of stand-ins that run as processes of their own.
//!
//! Each is started with an options struct and returns a handle. Faults are injected through
//! the handle or by `POST /faults` on the stand-in's administration address, and what really
//! happened is read through the handle or by `GET /truth`.

mod endpoint;
pub mod engine;
pub mod platform;
pub mod relay;
pub mod remote;
pub mod server;
pub mod service;

pub use server::{Error, Handle, Result};
