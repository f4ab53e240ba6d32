//! The content of a claim object.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use uuid::Uuid;

use crate::protocol::peer::{ClaimResult, StoredAnswer, StoredBody};
use crate::state::{AttemptId, CustomerId};

use super::ClaimKey;

/// An upper estimate of the size of a record besides its names and its body.
const RECORD_OVERHEAD_BYTES: usize = 320;

/// Why a claim object can't be used.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The value is not the JSON form of a claim object.
    #[error("the claim object is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// The result of this module's functions.
pub type Result<T> = std::result::Result<T, RecordError>;

/// One claim: which attempt has the right to dispatch the request of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The customer whose key it is.
    pub customer: CustomerId,
    /// The idempotency key.
    pub key: Uuid,
    /// The digest of the request.
    #[serde(with = "hex::serde")]
    pub request_digest: [u8; 16],
    /// The attempt that has the right to dispatch.
    pub attempt: AttemptId,
    /// How the attempt ended, once it did.
    pub result: Option<ClaimResult>,
}

impl ClaimRecord {
    /// An upper estimate of the size of the JSON form.
    pub(super) fn size_bytes(&self) -> usize {
        let names = self.customer.as_str().len() + self.attempt.instance.as_str().len();
        let result = match &self.result {
            Some(ClaimResult::Answered(answer)) => answer_size_bytes(answer),
            Some(ClaimResult::NotRun | ClaimResult::Unknown) | None => 0,
        };
        RECORD_OVERHEAD_BYTES + 2 * names + result
    }
}

fn answer_size_bytes(answer: &StoredAnswer) -> usize {
    let body = match &answer.body {
        StoredBody::Whole(body) => 2 * body.len(),
        StoredBody::TooLarge { .. } => 0,
    };
    2 * answer.content_type.len() + body
}

/// The same answer without its body.
pub(super) fn without_body(answer: StoredAnswer) -> StoredAnswer {
    let StoredBody::Whole(body) = &answer.body else {
        return answer;
    };
    let mut digest = [0; 16];
    digest.copy_from_slice(&Sha256::digest(body)[..16]);
    StoredAnswer {
        body: StoredBody::TooLarge {
            length_bytes: body.len() as u64,
            digest,
        },
        ..answer
    }
}

/// The same answer, without its body when that exceeds `max_body_bytes`.
pub(super) fn bound_body(answer: StoredAnswer, max_body_bytes: usize) -> StoredAnswer {
    match &answer.body {
        StoredBody::Whole(body) if body.len() > max_body_bytes => without_body(answer),
        StoredBody::Whole(_) | StoredBody::TooLarge { .. } => answer,
    }
}

/// All claims of one object.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimTable {
    records: IndexMap<ClaimKey, ClaimRecord>,
    size_bytes: usize,
}

impl ClaimTable {
    /// Reads the JSON form.
    ///
    /// # Errors
    ///
    /// Fails when the value is malformed.
    pub fn decode(value: &str) -> Result<Self> {
        let records: Vec<ClaimRecord> = serde_json::from_str(value)?;
        let mut table = Self::default();
        for record in records {
            table.put(record);
        }
        Ok(table)
    }

    /// The JSON form.
    ///
    /// # Errors
    ///
    /// Fails when a record has no JSON form.
    pub fn encode(&self) -> Result<String> {
        let records: Vec<&ClaimRecord> = self.records.values().collect();
        Ok(serde_json::to_string(&records)?)
    }

    /// The claim of a key.
    #[must_use]
    pub fn get(&self, key: &ClaimKey) -> Option<&ClaimRecord> {
        self.records.get(key)
    }

    /// An upper estimate of the size of the JSON form.
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
