//! The I/O of a router.
