//! Refuses requests that crash endpoints.
//!
//! A request is identified by everything that its client chose and that selects what the endpoint
//! does. Other requests at the same path may be harmless and complete all the time, so their
//! completion says nothing about it.
//!
//! A client may vary the query of a request that crashes endpoints. Such requests are recognized by
//! the rest of the request, if several of them crash endpoints while none at that path completes.

use xxhash_rust::xxh3::{Xxh3, xxh3_128};

use crate::coordination::quarantine::{Evidence, Quarantine, QuarantineOptions, RequestDigest};
use crate::state::{EndpointId, Now};

/// The parts of a request that identify it.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// The method.
    pub method: &'a str,
    /// The host.
    pub host: &'a str,
    /// The path.
    pub path: &'a str,
    /// The query, if any.
    pub query: Option<&'a str>,
    /// The customer; empty for none.
    pub customer: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// Identifies a request across its attempts, also those of other gateways.
///
/// ```
/// use curranttrestle::coordination::gateway::request_quarantine::{RequestIdentity, RequestParts};
/// let parts = RequestParts {
///     method: "GET",
///     host: "models.example",
///     path: "/stock/items",
///     query: Some("item=1"),
///     customer: "",
///     body: b"",
/// };
/// let other = RequestParts { query: Some("item=2"), ..parts };
/// assert_eq!(RequestIdentity::of(&parts), RequestIdentity::of(&parts));
/// assert_ne!(RequestIdentity::of(&parts), RequestIdentity::of(&other));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIdentity {
    /// The digest of the whole request.
    pub whole: RequestDigest,
    /// The digest without the query; `None` if the request has no query.
    without_query: Option<RequestDigest>,
}

impl RequestIdentity {
    /// Computes the identity of a request.
    #[must_use]
    pub fn of(parts: &RequestParts<'_>) -> Self {
        let body = xxh3_128(parts.body).to_le_bytes();
        let digest = |query: &[u8]| {
            let mut hasher = Xxh3::new();
            let texts = [parts.method, parts.host, parts.path, parts.customer];
            let texts = texts.iter().map(|text| text.as_bytes());
            for part in texts.chain([query, &body]) {
                hasher.update(&part.len().to_le_bytes());
                hasher.update(part);
            }
            hasher.digest128().to_le_bytes()
        };
        Self {
            whole: digest(parts.query.unwrap_or_default().as_bytes()),
            without_query: parts.query.map(|_| digest(b"")),
        }
    }

    fn digests(&self) -> impl Iterator<Item = &RequestDigest> {
        [&self.whole].into_iter().chain(&self.without_query)
    }
}

/// Requests that may crash endpoints, as known to one gateway.
///
/// ```
/// use curranttrestle::coordination::gateway::request_quarantine::{
///     RequestIdentity, RequestParts, RequestQuarantine,
/// };
/// use curranttrestle::coordination::quarantine::QuarantineOptions;
/// use curranttrestle::state::Now;
/// let parts = RequestParts {
///     method: "GET",
///     host: "models.example",
///     path: "/stock/items",
///     query: Some("item=1"),
///     customer: "",
///     body: b"",
/// };
/// let crashing = RequestIdentity::of(&parts);
/// let harmless = RequestIdentity::of(&RequestParts { query: Some("item=2"), ..parts });
/// let now = Now { steady_ms: 0, unix_ms: 1_700_000_000_000 };
/// let mut quarantine = RequestQuarantine::new(QuarantineOptions::default());
/// for endpoint in ["m1", "m2"] {
///     quarantine.record_crash(&endpoint.into(), &crashing, now);
///     quarantine.record_finished(&harmless, now);
/// }
/// assert!(quarantine.is_refused(&crashing, now));
/// assert!(!quarantine.is_refused(&harmless, now));
/// ```
#[derive(Clone, Debug)]
pub struct RequestQuarantine {
    /// The evidence by digest, which gateways share.
    pub suspects: Quarantine,
}

impl RequestQuarantine {
    /// Creates a quarantine without suspects.
    #[must_use]
    pub fn new(options: QuarantineOptions) -> Self {
        Self {
            suspects: Quarantine::new(options),
        }
    }

    /// Whether a request is refused because endpoints crashed while running it.
    #[must_use]
    pub fn is_refused(&self, request: &RequestIdentity, now: Now) -> bool {
        self.refusal_ms(request, now).is_some()
    }

    /// How long a request is still refused; `None` if it is not.
    #[must_use]
    pub fn refusal_ms(&self, request: &RequestIdentity, now: Now) -> Option<u64> {
        let digests = request.digests();
        digests
            .filter_map(|digest| self.suspects.refusal_ms(digest, now))
            .max()
    }

    /// The evidence on a request.
    #[must_use]
    pub fn evidence(&self, request: &RequestIdentity, now: Now) -> Evidence {
        self.suspects.evidence(&request.whole, now)
    }

    /// Records that an endpoint may have crashed while it ran a request.
    pub fn record_crash(&mut self, endpoint: &EndpointId, request: &RequestIdentity, now: Now) {
        // Further crashes of the same request are no evidence against others at its path.
        let is_first = self.evidence(request, now).crashes == 0;
        let without_query = request.without_query.filter(|_| is_first);
        let digests: Vec<RequestDigest> =
            [request.whole].into_iter().chain(without_query).collect();
        self.suspects
            .endpoint_crashed(endpoint, &digests, false, now);
    }

    /// Records that an endpoint completed a request.
    pub fn record_finished(&mut self, request: &RequestIdentity, now: Now) {
        for digest in request.digests() {
            self.suspects.record_finished(digest, false, now);
        }
    }
}
