//! The sheet: what operators order each morning.

mod model;

pub use model::{Customer, Endpoint, EndpointKind, KeyDigest, Operation, Sheet};
