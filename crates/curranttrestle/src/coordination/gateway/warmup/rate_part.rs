//! The part of the rate of a cold endpoint that one gateway has.

use super::WarmupOptions;

/// Groups of gateways that know nothing of each other and may each select gateways of their own:
/// those that were running before a partition, and those that started on either side of it.
const GROUPS: usize = 3;

/// Maximum number of gateways that are selected for an endpoint.
const MAX_GATEWAYS: usize = 8;

/// How much later than another a request may arrive without exceeding the bound.
const LATE_MS: u64 = 250;

/// The part of the rate of a cold endpoint that each selected gateway has.
///
/// ```
/// use curranttrestle::coordination::gateway::warmup::{RatePart, WarmupOptions};
/// let part = RatePart::new(11.0, WarmupOptions { tolerance: 1.5, burst: 5.0 });
/// // The bound is 21.5 requests in a second; three groups of 7 gateways send at most 21.
/// assert_eq!((part.gateways, part.requests, part.window_ms), (7, 1, 1_250));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RatePart {
    /// Number of gateways that are selected.
    pub gateways: usize,
    /// Requests that each of them may send in any window.
    pub requests: usize,
    /// Length of the window. Longer than the second of the bound, because requests may arrive late.
    pub window_ms: u64,
}

impl RatePart {
    /// Divides the bound that `options` give for a rate.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a positive number of requests; the cast saturates"
    )]
    pub fn new(requests_per_s: f64, options: WarmupOptions) -> Self {
        let bound = requests_per_s * options.tolerance + options.burst;
        let bound = bound.max(0.0) as usize;
        // A bound too small for three groups still allows one gateway to send.
        let gateways = (bound / GROUPS).min(MAX_GATEWAYS).max(bound.min(1));
        Self {
            gateways,
            requests: (bound / (GROUPS * gateways.max(1))).max(1),
            window_ms: 1_000 + LATE_MS,
        }
    }
}
