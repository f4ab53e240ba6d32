//! Authenticates a caller and reads its request: headers, limits and body.

use std::io::ErrorKind;
use std::time::Duration;

use curranttrestle::coordination::router::NewRequest;
use curranttrestle::protocol::{Refusal, RefusalReason};
use curranttrestle::state::sheet::KeyDigest;
use curranttrestle::state::{CustomerId, RequestId};
use curranttrestle::transport::body::read_to_end;
use futures_lite::FutureExt;
use sha2::{Digest, Sha256};
use trillium::{Conn, KnownHeaderName};
use uuid::Uuid;

use crate::shared::Shared;

/// The request header with the caller's idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";
/// The request header with the time that the caller will wait, in milliseconds.
const DEADLINE_HEADER: &str = "Deadline-Ms";
/// The request header with the caller's estimate of the cost, in units of the pool. Negative and
/// non-finite values are ignored.
const COST_HEADER: &str = "Expected-Cost";
/// Length in bytes to which a request digest is truncated.
const DIGEST_BYTES: usize = 16;

/// A caller's request with its body.
#[derive(Debug)]
pub struct CallerRequest {
    /// The description of the request for the control thread.
    pub new_request: NewRequest,
    /// The request body.
    pub body: Vec<u8>,
}

/// Returns the customer that owns the caller's API key.
///
/// # Errors
///
/// Returns a refusal if the key is missing or unknown, or if this router has no sheet yet.
pub fn authenticate(conn: &Conn, shared: &Shared) -> Result<CustomerId, Refusal> {
    let header = conn
        .request_headers()
        .get_str(KnownHeaderName::Authorization);
    let Some(key) = header.and_then(|value| value.strip_prefix("Bearer ")) else {
        return Err(Refusal::not_run(
            RefusalReason::Unauthorized,
            "the Authorization header must contain the customer's key as a bearer token",
        ));
    };
    let sheet = shared.sheet();
    if sheet.number == 0 {
        let detail = "this router has no sheet yet";
        return Err(Refusal::not_run(RefusalReason::NotReady, detail));
    }
    sheet
        .customer_by_key_digest(&KeyDigest::of(key))
        .map(|(customer, _)| customer.clone())
        .ok_or_else(|| {
            let detail = "no customer has this key";
            Refusal::not_run(RefusalReason::Unauthorized, detail)
        })
}

/// Reads the request of an authenticated caller.
///
/// # Errors
///
/// Returns a refusal if a header is malformed or the body is too large, too slow or unreadable.
pub async fn read_request(
    conn: &mut Conn,
    shared: &Shared,
    customer: CustomerId,
    operation: &str,
) -> Result<CallerRequest, Refusal> {
    let key = idempotency_key(conn)?;
    let hint_units = number_header(conn, COST_HEADER)?;
    let wait_ms = number_header::<u64>(conn, DEADLINE_HEADER)?
        .unwrap_or(shared.limits.deadline_ms)
        .min(shared.limits.deadline_ms);
    let body = read_body(conn, shared).await?;
    Ok(CallerRequest {
        new_request: NewRequest {
            request: RequestId(Uuid::now_v7()),
            customer,
            operation: operation.to_owned(),
            key,
            digest: request_digest(operation, &body),
            hint_units: hint_units.filter(|units: &f64| units.is_finite() && *units >= 0.0),
            deadline_ms: shared.clock.now().steady_ms + wait_ms,
        },
        body,
    })
}

async fn read_body(conn: &mut Conn, shared: &Shared) -> Result<Vec<u8>, Refusal> {
    let limit = shared.limits.body_bytes as u64;
    let too_large = || {
        let detail = format!("the body must not exceed {limit} bytes");
        Refusal::not_run(RefusalReason::BodyTooLarge, detail)
    };
    let content_length = conn
        .request_headers()
        .get_str(KnownHeaderName::ContentLength)
        .and_then(|value| value.parse::<u64>().ok());
    if content_length.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let timeout = Duration::from_millis(shared.limits.sender_timeout_ms);
    let reading = async {
        let body = conn.request_body().await;
        Some(read_to_end(body, limit).await)
    };
    let expired = async {
        smol::Timer::after(timeout).await;
        None
    };
    match reading.or(expired).await {
        Some(Ok(body)) => Ok(body),
        Some(Err(error)) if error.kind() == ErrorKind::FileTooLarge => Err(too_large()),
        Some(Err(error)) => Err(Refusal::not_run(
            RefusalReason::BadRequest,
            format!("the body could not be read: {error}"),
        )),
        None => Err(Refusal::not_run(
            RefusalReason::SenderTooSlow,
            "the body did not arrive in time",
        )),
    }
}

fn idempotency_key(conn: &Conn) -> Result<Option<Uuid>, Refusal> {
    let Some(text) = conn.request_headers().get_str(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let key = Uuid::try_parse(text)
        .ok()
        .filter(|key| key.get_version_num() == 7);
    key.map(Some).ok_or_else(|| {
        let detail = "the idempotency key must be a version 7 UUID";
        Refusal::not_run(RefusalReason::KeyMalformed, detail)
    })
}

fn number_header<T: std::str::FromStr>(
    conn: &Conn,
    name: &'static str,
) -> Result<Option<T>, Refusal> {
    let Some(text) = conn.request_headers().get_str(name) else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|_| {
        let detail = format!("the value of the header {name} is not a valid number");
        Refusal::not_run(RefusalReason::BadRequest, detail)
    })
}

/// The truncated SHA-256 digest of operation and body. It does not depend on the idempotency key.
fn request_digest(operation: &str, body: &[u8]) -> [u8; DIGEST_BYTES] {
    let mut hasher = Sha256::new();
    hasher.update(operation.as_bytes());
    hasher.update([0]);
    hasher.update(body);
    let full = hasher.finalize();
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&full[..DIGEST_BYTES]);
    digest
}
