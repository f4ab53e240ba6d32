//! Lightweight stand-ins for the services that a router fleet talks to, for tests and trials.
//!
//! - [`platform`]: the object API and the instance list, which lags behind its changes.
//! - [`engine`]: a model engine with continuous batching and streamed responses.
//! - [`service`]: a plain request/response service that counts how often each call ran.
//! - [`relay`]: a TCP relay that partitions, silences or delays connections.
//! - [`remote`]: fault injection and ground truth for stand-ins in separate processes.
//!
//! The `start` function of a stand-in takes an options struct and returns a handle. Faults are
//! injected through the handle or with `POST /faults` on the admin address. The ground truth,
//! which records what actually happened, is read through the handle or with `GET /truth`. The
//! relay has neither an admin address nor a ground truth.

mod endpoint;
pub mod engine;
pub mod platform;
pub mod relay;
pub mod remote;
pub mod server;
pub mod service;

pub use server::{Error, Handle, Result};
