//! Resume tokens: what a caller needs to go on reading a streamed answer at any router.

use serde::{Deserialize, Serialize};

use super::peer::{FleetKey, TAG_BYTES};
use crate::state::{AttemptId, CustomerId, EndpointId, RequestId};

/// Names a running stream of an endpoint. No router keeps any state for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeToken {
    /// The endpoint that runs the stream.
    pub endpoint: EndpointId,
    /// The stream's name at the endpoint.
    pub stream: String,
    /// The attempt whose frames make up the answer.
    pub attempt: AttemptId,
    /// The request.
    pub request: RequestId,
    /// The customer that may read the answer.
    pub customer: CustomerId,
}

impl ResumeToken {
    /// The token as text, which only holders of the fleet key can make.
    ///
    /// # Panics
    ///
    /// Never: tokens hold only types that can be encoded.
    #[must_use]
    pub fn encode(&self, key: &FleetKey) -> String {
        let mut bytes = postcard::to_stdvec(self).expect("a token can be encoded");
        let tag = key.tag(&bytes);
        bytes.extend_from_slice(&tag);
        hex::encode(bytes)
    }

    /// Reads a token; none when it is malformed or was made with another key.
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
