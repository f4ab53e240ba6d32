//! The router library of a curranttrestle fleet.
//!
//! Four layers; each uses only those named before it:
//!
//! - [`state`]: plain data such as the sheet, identifiers, settings and events.
//! - [`coordination`]: the decision logic. No module in it performs I/O, reads a clock or creates
//!   a random number generator; the caller passes in the time and the generator.
//! - [`protocol`]: the messages between routers, and the requests and responses exchanged with
//!   the platform, endpoints and callers.
//! - [`transport`]: the I/O that carries those messages.
//!
//! `coordination` also uses the message types of `protocol`, never its codecs.

pub mod coordination;
pub mod protocol;
pub mod state;
pub mod transport;
