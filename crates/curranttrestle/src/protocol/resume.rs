//! Resume tokens, with which a caller can continue a streamed response at any router.

use serde::{Deserialize, Serialize};

use super::peer::{FleetKey, TAG_BYTES};
use crate::state::{AttemptId, CustomerId, EndpointId, RequestId};

/// Identifies a running stream of an endpoint. Routers store no state for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeToken {
    /// The endpoint that runs the stream.
    pub endpoint: EndpointId,
    /// The ID of the stream at the endpoint.
    pub stream: String,
    /// The attempt that produces the response.
    pub attempt: AttemptId,
    /// The request.
    pub request: RequestId,
    /// The customer that may read the response.
    pub customer: CustomerId,
}

impl ResumeToken {
    /// Encodes the token as hexadecimal text with an authentication tag of the fleet key.
    ///
    /// # Panics
    ///
    /// Never: every field of a token can be encoded.
    #[must_use]
    pub fn encode(&self, key: &FleetKey) -> String {
        let mut bytes =
            postcard::to_stdvec(self).expect("every field of a resume token can be encoded");
        let tag = key.tag(&bytes);
        bytes.extend_from_slice(&tag);
        hex::encode(bytes)
    }

    /// Decodes a token. Returns `None` if it is malformed or its tag does not match `key`.
    #[must_use]
    pub fn decode(text: &str, key: &FleetKey) -> Option<Self> {
        let bytes = hex::decode(text).ok()?;
        let split = bytes.len().checked_sub(TAG_BYTES)?;
        let (content, tag) = bytes.split_at(split);
        let tag = tag.try_into().ok()?;
        if !key.verifies(content, &tag) {
            return None;
        }
        postcard::from_bytes(content).ok()
    }
}
