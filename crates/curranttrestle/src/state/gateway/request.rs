//! What a client says of its request.

/// A part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Which part it is.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// What a client says of its request, decoded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHints {
    /// The id of this attempt of the client; no two attempts have the same one.
    pub attempt_id: String,
    /// How long the client waits, from the arrival of the request.
    pub deadline_ms: Option<u64>,
    /// The key of the customer.
    pub credential: Option<String>,
    /// The tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// The most tokens that the answer may have.
    pub max_output_tokens: u64,
    /// The client's guess of the tokens of the answer.
    pub output_guess_tokens: Option<u64>,
    /// The parts of the prompt in order; the last belongs to this request alone.
    pub parts: Vec<PromptPart>,
    /// The last event that the client has of this stream.
    pub last_event_id: Option<u64>,
}

impl RequestHints {
    /// The parts that other requests share.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The tokens that no other request shares.
    ///
    /// ```
    /// use curranttrestle::state::gateway::{PromptPart, RequestHints};
    /// let parts = vec![PromptPart { id: 1, tokens: 800 }, PromptPart { id: 2, tokens: 250 }];
    /// let hints = RequestHints { parts, ..Default::default() };
    /// assert_eq!(hints.own_tokens(), 250);
    /// ```
    #[must_use]
    pub fn own_tokens(&self) -> u64 {
        self.parts
            .last()
            .map_or(self.prompt_tokens, |part| part.tokens)
    }

    /// The tokens that the answer is expected to have.
    #[must_use]
    pub fn expected_output_tokens(&self) -> u64 {
        let guess = self
            .output_guess_tokens
            .unwrap_or(self.max_output_tokens / 2);
        guess.min(self.max_output_tokens)
    }
}
