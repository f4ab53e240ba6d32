//! What a caller is told about its request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The name of the reply header that carries the [`Outcome`].
pub const OUTCOME_HEADER: &str = "Outcome";

/// What is known about a request when its reply is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran once and this is its answer.
    Answered,
    /// The request did not run: it never reached an endpoint, or an endpoint refused it
    /// before it began.
    NotRun,
    /// The request was handed over and there is no proof of what became of it.
    Unknown,
}

impl Outcome {
    /// The text form, as in the reply header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Why a request was refused or its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The customer's key is missing or wrong.
    Unauthorized,
    /// No such operation.
    NoSuchOperation,
    /// The request is malformed.
    BadRequest,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The sender of the body was too slow.
    SenderTooSlow,
    /// The operation needs an idempotency key.
    KeyMissing,
    /// The idempotency key is not a version 7 UUID.
    KeyMalformed,
    /// The idempotency key is older than the retention time, or lies in the future.
    KeyOutsideWindow,
    /// The idempotency key was used with another request.
    KeyReused,
    /// The customer's queue is full.
    QueueFull,
    /// No endpoint became free before the deadline.
    DeadlinePassed,
    /// No endpoint of the pool is left.
    NoEndpoint,
    /// The router is stopping or has no sheet yet.
    NotReady,
    /// The platform's store does not answer, and the request needs it.
    StoreUnavailable,
    /// The request is suspected of crashing endpoints.
    Quarantined,
    /// The endpoint refused the request before it began, and no retry was left.
    EndpointRefused,
    /// The attempt was lost after it was handed over.
    AttemptLost,
    /// The request was claimed before, and its result is not known.
    ClaimedBefore,
    /// The request was claimed before, and no result is recorded yet.
    StillRunning,
    /// The caller went away.
    CallerGone,
}

impl RefusalReason {
    /// The HTTP status of a reply with this reason.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::Unauthorized => 401,
            Self::NoSuchOperation => 404,
            Self::BadRequest | Self::KeyMissing | Self::KeyMalformed | Self::KeyOutsideWindow => {
                400
            }
            Self::BodyTooLarge => 413,
            Self::SenderTooSlow => 408,
            Self::KeyReused | Self::Quarantined => 422,
            Self::QueueFull => 429,
            Self::DeadlinePassed => 504,
            Self::NoEndpoint | Self::NotReady | Self::StoreUnavailable | Self::EndpointRefused => {
                503
            }
            Self::AttemptLost => 502,
            Self::ClaimedBefore | Self::StillRunning => 409,
            Self::CallerGone => 499,
        }
    }

    /// The text form, as in the problem document.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::NoSuchOperation => "no-such-operation",
            Self::BadRequest => "bad-request",
            Self::BodyTooLarge => "body-too-large",
            Self::SenderTooSlow => "sender-too-slow",
            Self::KeyMissing => "key-missing",
            Self::KeyMalformed => "key-malformed",
            Self::KeyOutsideWindow => "key-outside-window",
            Self::KeyReused => "key-reused",
            Self::QueueFull => "queue-full",
            Self::DeadlinePassed => "deadline-passed",
            Self::NoEndpoint => "no-endpoint",
            Self::NotReady => "not-ready",
            Self::StoreUnavailable => "store-unavailable",
            Self::Quarantined => "quarantined",
            Self::EndpointRefused => "endpoint-refused",
            Self::AttemptLost => "attempt-lost",
            Self::ClaimedBefore => "claimed-before",
            Self::StillRunning => "still-running",
            Self::CallerGone => "caller-gone",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A reply without an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What is known about the request.
    pub outcome: Outcome,
    /// Why there is no answer.
    pub reason: RefusalReason,
    /// A sentence for the caller.
    pub detail: String,
    /// When the caller may try again.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of a request that did not run.
    #[must_use]
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// A reply to a request whose outcome is not known.
    #[must_use]
    pub fn unknown(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(reason, detail)
        }
    }
}
