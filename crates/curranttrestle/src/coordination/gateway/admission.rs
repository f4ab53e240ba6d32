//! Admission control: admits a request or refuses it with a time to retry after.
//!
//! Engines process requests in order of arrival. A request that misses its target latency also
//! delays every request queued behind it, so it is refused before it runs if the predicted time is
//! too long. A customer over its fair share is held to a lower limit, which leaves the queue to
//! the other customers.

use super::placement::{Choice, Room};
use super::shares::ShareStatus;

/// Options of admission control. The fractions limit the predicted time to the first event, or to
/// the response of a plain service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionOptions {
    /// Fraction of a route's target latency that the predicted time may take.
    pub target_fraction: f64,
    /// The same fraction for a customer over its fair share. It is divided by the customer's
    /// share ratio (admitted tokens over the fair share).
    pub over_share_fraction: f64,
    /// Fraction of an engine's slots and memory that a customer over its fair share may use. It is
    /// divided by the customer's share ratio. The rest is reserved for customers within their share:
    /// a customer that floods would otherwise take each slot as it becomes free.
    pub over_share_capacity: f64,
    /// Share ratio from which the limit applies to a customer even while an engine is idle. Such a
    /// customer sends most often, so it would otherwise take nearly all idle slots.
    pub idle_limit_ratio: f64,
    /// Shortest retry-after time sent to a client.
    pub min_retry_after_ms: f64,
    /// Longest retry-after time sent to a client.
    pub max_retry_after_ms: f64,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            target_fraction: 0.8,
            over_share_fraction: 0.3,
            over_share_capacity: 0.9,
            idle_limit_ratio: 1.5,
            min_retry_after_ms: 100.0,
            max_retry_after_ms: 2_000.0,
        }
    }
}

/// The admission decision for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// Send the request to the chosen endpoint.
    Admit,
    /// Refuse the request. It has not run.
    Refuse {
        /// Why the request is refused.
        reason: RefusalReason,
        /// Time until the request is expected to be admitted at the current load. The target
        /// latency is used if the endpoint has no room.
        retry_after_ms: f64,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The chosen endpoint is busy, and the predicted time exceeds the allowed fraction of the
    /// target latency.
    Queue,
    /// Every endpoint considered for the request is at capacity.
    Full,
    /// The customer is over its fair share, and the predicted time exceeds its lower limit or the
    /// capacity that is left is reserved for other customers.
    OverShare,
    /// The response would wait in this gateway for longer than the target latency.
    OwnDelay,
}

impl RefusalReason {
    /// The name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Queue => "queue",
            Self::Full => "full",
            Self::OverShare => "beyond-share",
            Self::OwnDelay => "gateway-late",
        }
    }
}

/// The fraction of an engine's slots and memory that a customer may use.
///
/// ```
/// use curranttrestle::coordination::gateway::admission::{AdmissionOptions, usable_fraction};
/// use curranttrestle::coordination::gateway::shares::ShareStatus;
/// let options = AdmissionOptions { over_share_capacity: 0.9, ..AdmissionOptions::default() };
/// let fraction = |status| usable_fraction(status, &options);
/// assert_eq!(fraction(ShareStatus::Within), 1.0);
/// assert_eq!(fraction(ShareStatus::Over { ratio: 1.5, leads: false }), 0.6);
/// ```
#[must_use]
pub fn usable_fraction(share_status: ShareStatus, options: &AdmissionOptions) -> f64 {
    match share_status {
        ShareStatus::Within => 1.0,
        ShareStatus::Over { ratio, .. } => options.over_share_capacity / ratio,
    }
}

/// The part of a target latency that the delay of the gateway leaves to the endpoint; `None` if it
/// leaves nothing. A target of zero means that the route has none.
///
/// ```
/// use curranttrestle::coordination::gateway::admission::endpoint_target_ms;
/// assert_eq!(endpoint_target_ms(500.0, 200.0), Some(300.0));
/// assert_eq!(endpoint_target_ms(500.0, 500.0), None);
/// assert_eq!(endpoint_target_ms(0.0, 500.0), Some(0.0));
/// ```
#[must_use]
pub fn endpoint_target_ms(target_latency_ms: f64, own_delay_ms: f64) -> Option<f64> {
    let left_ms = (target_latency_ms - own_delay_ms).max(0.0);
    (left_ms > 0.0 || target_latency_ms <= 0.0).then_some(left_ms)
}

/// Decides whether to admit a request whose best endpoint is `choice`. `target_latency_ms` is the part
/// of the target latency that the endpoint may use.
///
/// An idle endpoint admits a request however long its prefill takes, unless the customer's share
/// ratio reaches [`AdmissionOptions::idle_limit_ratio`] or it leads a customer that lacks capacity.
#[must_use]
pub fn admit(
    choice: &Choice,
    target_latency_ms: f64,
    share_status: ShareStatus,
    options: &AdmissionOptions,
) -> AdmissionDecision {
    let (fraction, is_limited_while_idle) = match share_status {
        ShareStatus::Within => (options.target_fraction, false),
        // The limit shrinks as the ratio grows, so that all customers over their share get similar
        // amounts.
        ShareStatus::Over { ratio, leads } => (
            options.over_share_fraction / ratio,
            leads || ratio >= options.idle_limit_ratio,
        ),
    };
    let limit_ms = target_latency_ms * fraction;
    // Negative if the predicted time would exceed the limit even without waiting.
    let max_wait_ms = limit_ms - (choice.predicted_ms - choice.wait_ms);
    let may_use_idle = choice.wait_ms < 1.0 && !is_limited_while_idle;
    let without_room = match choice.room {
        Room::Free => None,
        Room::Reserved => Some(RefusalReason::OverShare),
        Room::Full => Some(RefusalReason::Full),
    };
    if let Some(reason) = without_room {
        let retry_after_ms = clamp_retry_after(target_latency_ms, options);
        return AdmissionDecision::Refuse {
            reason,
            retry_after_ms,
        };
    }
    if choice.predicted_ms <= limit_ms || may_use_idle {
        return AdmissionDecision::Admit;
    }
    let reason = match share_status {
        ShareStatus::Within => RefusalReason::Queue,
        ShareStatus::Over { .. } => RefusalReason::OverShare,
    };
    AdmissionDecision::Refuse {
        reason,
        retry_after_ms: clamp_retry_after(choice.wait_ms - max_wait_ms.max(0.0), options),
    }
}

fn clamp_retry_after(retry_after_ms: f64, options: &AdmissionOptions) -> f64 {
    retry_after_ms.clamp(options.min_retry_after_ms, options.max_retry_after_ms)
}
