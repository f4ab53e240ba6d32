//! The library shared by the routers and gateways of a curranttrestle fleet.
//!
//! Four layers. Each uses only those listed before it, with one exception: `coordination` also
//! uses the message types of `protocol`, never its codecs.
//!
//! - [`state`]: plain data such as the sheet, identifiers, settings and events.
//! - [`coordination`]: the decision logic. No module in it performs I/O, reads a clock or creates
//!   a random number generator; the caller passes in the time and the generator.
//! - [`protocol`]: the messages between routers, and the requests and responses exchanged with
//!   the platform, endpoints and callers.
//! - [`transport`]: the I/O that carries those messages.

pub mod coordination;
pub mod protocol;
pub mod state;
pub mod transport;
