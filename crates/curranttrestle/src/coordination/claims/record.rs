//! The content of a claim object.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use uuid::Uuid;

use crate::protocol::peer::{ClaimResult, StoredBody, StoredResponse};
use crate::state::{AttemptId, CustomerId};

use super::ClaimKey;

/// Upper bound of the size of a record's JSON form, without its names and the response's content
/// type and body.
const RECORD_OVERHEAD_BYTES: usize = 320;

/// Why a claim object can't be used.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The value is not the JSON form of a claim object.
    #[error("the claim object is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// The result type of this module.
pub type Result<T> = std::result::Result<T, RecordError>;

/// A claim: the attempt that has the right to dispatch the request of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The customer that chose the key.
    pub customer: CustomerId,
    /// The idempotency key.
    pub key: Uuid,
    /// The digest of the request.
    #[serde(with = "hex::serde")]
    pub request_digest: [u8; 16],
    /// The attempt that has the right to dispatch.
    pub attempt: AttemptId,
    /// The result of the attempt; `None` until it ended.
    pub result: Option<ClaimResult>,
}

impl ClaimRecord {
    /// Upper bound of the size of the JSON form.
    pub(super) fn size_bytes(&self) -> usize {
        let names = self.customer.as_str().len() + self.attempt.instance.as_str().len();
        let result = match &self.result {
            Some(ClaimResult::Answered(response)) => response_size_bytes(response),
            Some(ClaimResult::NotRun | ClaimResult::Unknown) | None => 0,
        };
        RECORD_OVERHEAD_BYTES + 2 * names + result
    }
}

fn response_size_bytes(response: &StoredResponse) -> usize {
    let body = match &response.body {
        StoredBody::Whole(body) => 2 * body.len(),
        StoredBody::TooLarge { .. } => 0,
    };
    2 * response.content_type.len() + body
}

/// Replaces the body of a response by its length and digest.
pub(super) fn without_body(response: StoredResponse) -> StoredResponse {
    let StoredBody::Whole(body) = &response.body else {
        return response;
    };
    let mut digest = [0; 16];
    digest.copy_from_slice(&Sha256::digest(body)[..16]);
    StoredResponse {
        body: StoredBody::TooLarge {
            length_bytes: body.len() as u64,
            digest,
        },
        ..response
    }
}

/// Replaces the body of a response by its length and digest if it exceeds `max_body_bytes`.
pub(super) fn limit_body(response: StoredResponse, max_body_bytes: usize) -> StoredResponse {
    match &response.body {
        StoredBody::Whole(body) if body.len() > max_body_bytes => without_body(response),
        StoredBody::Whole(_) | StoredBody::TooLarge { .. } => response,
    }
}

/// All claims of one object.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimTable {
    records: IndexMap<ClaimKey, ClaimRecord>,
    size_bytes: usize,
}

impl ClaimTable {
    /// Parses the JSON form.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::Malformed`] if the value is not the JSON form of a claim object.
    pub fn decode(value: &str) -> Result<Self> {
        let records: Vec<ClaimRecord> = serde_json::from_str(value)?;
        let mut table = Self::default();
        for record in records {
            table.put(record);
        }
        Ok(table)
    }

    /// Serialises the claims to JSON.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::Malformed`] if a record can't be serialised.
    pub fn encode(&self) -> Result<String> {
        let records: Vec<&ClaimRecord> = self.records.values().collect();
        Ok(serde_json::to_string(&records)?)
    }

    /// The claim of a key.
    #[must_use]
    pub fn get(&self, key: &ClaimKey) -> Option<&ClaimRecord> {
        self.records.get(key)
    }

    /// Upper bound of the size of the JSON form.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Adds or replaces the claim of a key.
    pub(super) fn put(&mut self, record: ClaimRecord) {
        self.size_bytes += record.size_bytes();
        let key = ClaimKey {
            customer: record.customer.clone(),
            key: record.key,
        };
        if let Some(old) = self.records.insert(key, record) {
            self.size_bytes -= old.size_bytes();
        }
    }
}
