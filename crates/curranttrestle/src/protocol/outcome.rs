//! Outcomes and refusals reported to callers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The response header with the [`Outcome`].
pub const OUTCOME_HEADER: &str = "Outcome";

/// What is known about a request when its response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran once, and the response carries its result.
    Answered,
    /// The request did not run: it was not sent to an endpoint, or an endpoint refused it
    /// before running it.
    NotRun,
    /// The request was dispatched, and it is not known whether it ran or with what result.
    Unknown,
}

impl Outcome {
    /// Returns the text form used in the response header.
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

/// The reason for which a request was refused or its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The customer's key is missing or wrong.
    Unauthorized,
    /// The operation does not exist.
    NoSuchOperation,
    /// The request is malformed.
    BadRequest,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The caller sent the body too slowly.
    SenderTooSlow,
    /// The operation requires an idempotency key.
    KeyMissing,
    /// The idempotency key is not a version 7 UUID.
    KeyMalformed,
    /// The idempotency key is older than the retention time, or its timestamp is in the future.
    KeyOutsideWindow,
    /// The idempotency key was already used with a different request.
    KeyReused,
    /// The customer's queue is full.
    QueueFull,
    /// The deadline passed before the request was dispatched or before its response was complete.
    DeadlinePassed,
    /// The pool has no usable endpoint.
    NoEndpoint,
    /// The router is shutting down or has not received a sheet yet.
    NotReady,
    /// The request needs the platform's store, which does not respond.
    StoreUnavailable,
    /// The request is suspected of crashing endpoints.
    Quarantined,
    /// The endpoint did not run the request, and the deadline or the retry budget allows no retry.
    EndpointRefused,
    /// The attempt was interrupted after it was dispatched, or its response can't be continued.
    AttemptLost,
    /// An earlier request claimed the idempotency key, and its response is unknown or was too
    /// large to store.
    ClaimedBefore,
    /// An earlier request claimed the idempotency key and has no recorded result yet.
    StillRunning,
    /// The caller closed the connection.
    CallerGone,
}

impl RefusalReason {
    /// Returns the HTTP status of a response with this reason.
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

    /// Returns the text form used in the problem document.
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

/// An error response: the request was refused or its outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What is known about the request.
    pub outcome: Outcome,
    /// The reason.
    pub reason: RefusalReason,
    /// An explanation for the caller, in one sentence.
    pub detail: String,
    /// How long the caller should wait before a retry.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    #[must_use]
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Creates a response to a request whose outcome is unknown.
    #[must_use]
    pub fn unknown(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(reason, detail)
        }
    }
}
