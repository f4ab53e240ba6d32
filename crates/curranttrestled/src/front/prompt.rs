//! The body of a request to a model operation.

use curranttrestle::protocol::{Refusal, RefusalReason};
use serde::{Deserialize, Serialize};

/// Token limit of a response if the caller sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// A request to a model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// The input text.
    pub prompt: String,
    /// The maximum number of tokens to generate.
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
    /// Returns a refusal with the line and column of the error if the body is not valid JSON of this
    /// form.
    pub fn parse(body: &[u8]) -> Result<Self, Refusal> {
        serde_json::from_slice(body).map_err(|error| {
            let detail = format!("the body must be JSON with a prompt: {error}");
            Refusal::not_run(RefusalReason::BadRequest, detail)
        })
    }
}
