//! The limit on requests to endpoints that are cold after a start.

/// By how much the requests of a second may exceed the rate of a cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupOptions {
    /// Factor on the rate.
    pub tolerance: f64,
    /// Requests in addition.
    pub burst: f64,
}
