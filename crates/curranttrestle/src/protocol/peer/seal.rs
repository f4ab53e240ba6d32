//! Encodes envelopes and authenticates them with the fleet key.

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use super::Envelope;

/// The length of the authentication tag in bytes.
pub const TAG_BYTES: usize = 16;

/// An encoded envelope with an authentication tag made with the fleet key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedEnvelope {
    /// The truncated HMAC-SHA-256 of the bytes.
    pub tag: [u8; TAG_BYTES],
    /// The encoded envelope.
    pub bytes: Vec<u8>,
}

/// The reason for which a sealed envelope was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SealError {
    /// The tag does not match the bytes: they were sealed with another key or altered.
    #[error("the envelope was not sealed with this fleet's key")]
    WrongTag,
    /// The tag matches, but the bytes do not decode to an envelope.
    #[error("the envelope cannot be decoded")]
    Malformed,
}

/// The result of opening an envelope.
pub type Result<T> = std::result::Result<T, SealError>;

/// The key shared by all routers of a fleet.
#[derive(Clone)]
pub struct FleetKey(Hmac<Sha256>);

impl FleetKey {
    /// Creates a key from the secret in the settings.
    ///
    /// # Panics
    ///
    /// Never: HMAC takes keys of any length.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self(Hmac::new_from_slice(secret.as_bytes()).expect("HMAC takes keys of any length"))
    }

    /// Encodes and seals an envelope.
    ///
    /// # Panics
    ///
    /// Never: every field of an envelope can be encoded.
    #[must_use]
    pub fn seal(&self, envelope: &Envelope) -> SealedEnvelope {
        let bytes =
            postcard::to_stdvec(envelope).expect("every field of an envelope can be encoded");
        SealedEnvelope {
            tag: self.tag(&bytes),
            bytes,
        }
    }

    /// Verifies and decodes a sealed envelope.
    ///
    /// # Errors
    ///
    /// Returns a [`SealError`] if the tag does not match or the bytes cannot be decoded.
    pub fn open(&self, sealed: &SealedEnvelope) -> Result<Envelope> {
        if !self.verifies(&sealed.bytes, &sealed.tag) {
            return Err(SealError::WrongTag);
        }
        postcard::from_bytes(&sealed.bytes).map_err(|_| SealError::Malformed)
    }

    /// Returns whether `tag` is the tag of `bytes`. The comparison takes constant time.
    #[must_use]
    pub fn verifies(&self, bytes: &[u8], tag: &[u8; TAG_BYTES]) -> bool {
        let mut mac = self.0.clone();
        mac.update(bytes);
        mac.verify_truncated_left(tag).is_ok()
    }

    /// Returns the tag of `bytes`: their HMAC-SHA-256, truncated to [`TAG_BYTES`].
    #[must_use]
    pub fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut mac = self.0.clone();
        mac.update(bytes);
        let full = mac.finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full[..TAG_BYTES]);
        tag
    }
}

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("FleetKey(..)")
    }
}
