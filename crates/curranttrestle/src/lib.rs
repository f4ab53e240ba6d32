//! The router library of a curranttrestle fleet.
//!
//! Four layers, each using only those named before it:
//!
//! - [`state`]: plain data such as the sheet, identifiers, settings and events.
//! - [`coordination`]: the decisions. No module here does I/O, reads a clock or
//!   draws a random number of its own.
//! - [`protocol`]: the messages between routers, and the requests and replies
//!   exchanged with the platform, endpoints and callers.
//! - [`transport`]: the I/O that carries those messages.
//!
//! `coordination` uses the message types of `protocol`, never its codecs.

pub mod coordination;
pub mod protocol;
pub mod state;
pub mod transport;
