//! The I/O of a router.

pub mod peer;
