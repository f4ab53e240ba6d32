//! Whether a request is taken now, or refused with the time to come back.
//!
//! Engines admit in order of arrival. A request that would start after its target only makes
//! all those behind it late too, so it is refused while it has not run. A customer that asks
//! for more than its fair share leaves the queue to the others.

use super::placement::Choice;
use super::shares::Standing;

/// The bounds on the predicted time to an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionOptions {
    /// The part of a route's target that the predicted time may take.
    pub target_part: f64,
    /// The same for a customer that got its fair share; one that got several times its share
    /// has as many times less.
    pub beyond_share_part: f64,
    /// A customer that got this many times its share waits also while an engine is idle: it
    /// asks most often, and would find nearly all idle moments.
    pub idle_times: f64,
    /// The least time after which a client is told to come back.
    pub min_retry_after_ms: f64,
    /// The greatest such time.
    pub max_retry_after_ms: f64,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            target_part: 0.8,
            beyond_share_part: 0.3,
            idle_times: 1.5,
            min_retry_after_ms: 100.0,
            max_retry_after_ms: 2_000.0,
        }
    }
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is sent to the chosen endpoint.
    Admit,
    /// It is refused, and has not run.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When it can be taken, by what is known now.
        retry_after_ms: f64,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Every endpoint would start it after its target.
    Queue,
    /// Every endpoint is full.
    Full,
    /// Its customer asks for more than its fair share, and others wait.
    BeyondShare,
}

impl RefusalReason {
    /// The name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Queue => "queue",
            Self::Full => "full",
            Self::BeyondShare => "beyond-share",
        }
    }
}

/// Decides on a request whose best endpoint is `choice`.
///
/// An idle endpoint takes a request however long it takes to read, unless its customer got
/// several times its share while others lack theirs.
#[must_use]
pub fn admit(
    choice: &Choice,
    target_latency_ms: f64,
    standing: Standing,
    options: &AdmissionOptions,
) -> Verdict {
    let (part, leaves_idle_moments) = match standing {
        Standing::Within => (options.target_part, false),
        // The further beyond, the less is left to it, so that those beyond become equal too.
        Standing::Beyond { times } => (
            options.beyond_share_part / times,
            times >= options.idle_times,
        ),
    };
    let limit_ms = target_latency_ms * part;
    let wait_limit_ms = limit_ms - (choice.predicted_ms - choice.wait_ms);
    let is_idle = choice.wait_ms < 1.0 && !leaves_idle_moments;
    if choice.is_full {
        let retry_after_ms = bounded(target_latency_ms, options);
        return Verdict::Refuse {
            reason: RefusalReason::Full,
            retry_after_ms,
        };
    }
    if choice.predicted_ms <= limit_ms || is_idle {
        return Verdict::Admit;
    }
    let reason = match standing {
        Standing::Within => RefusalReason::Queue,
        Standing::Beyond { .. } => RefusalReason::BeyondShare,
    };
    Verdict::Refuse {
        reason,
        retry_after_ms: bounded(choice.wait_ms - wait_limit_ms.max(0.0), options),
    }
}

fn bounded(retry_after_ms: f64, options: &AdmissionOptions) -> f64 {
    retry_after_ms.clamp(options.min_retry_after_ms, options.max_retry_after_ms)
}
