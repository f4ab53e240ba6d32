//! The body of a request to a model operation.

use curranttrestle::protocol::{Refusal, RefusalReason};
use serde::{Deserialize, Serialize};

/// Tokens of an answer whose caller sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// What a caller asks a model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// The text to answer.
    pub prompt: String,
    /// The answer ends after this many tokens at the latest.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
}

fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

impl Prompt {
    /// Reads a prompt from a request body.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the place of the fault.
    pub fn parse(body: &[u8]) -> Result<Self, Refusal> {
        serde_json::from_slice(body).map_err(|error| {
            let detail = format!("the body must be JSON with a prompt: {error}");
            Refusal::not_run(RefusalReason::BadRequest, detail)
        })
    }
}
