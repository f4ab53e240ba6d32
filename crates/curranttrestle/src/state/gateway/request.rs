//! What a client declares about its request.

/// A part of a prompt. Other requests may share any part but the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part; the same in all requests that share it.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// What a client declares in the headers of its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHints {
    /// Identifies this attempt of the client. A retry by the client has a different id; a retry by
    /// the gateway keeps it.
    pub attempt_id: String,
    /// How long the client waits, from the arrival of the request.
    pub deadline_ms: Option<u64>,
    /// The customer's key.
    pub credential: Option<String>,
    /// Number of tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Maximum number of response tokens.
    pub max_output_tokens: u64,
    /// The client's estimate of the number of response tokens.
    pub estimated_output_tokens: Option<u64>,
    /// The prompt parts in order. The last one belongs to this request only.
    pub prompt_parts: Vec<PromptPart>,
    /// The id of the last event that the client received; `None` unless it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Whether the client names a last event in a way that cannot be read.
    pub has_unreadable_event_id: bool,
    /// The id of the client's attempt that received the first event of the stream that it resumes.
    pub resumed_attempt_id: Option<String>,
}

impl RequestHints {
    /// The parts that other requests may share.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.prompt_parts
            .split_last()
            .map_or(&[], |(_, shared)| shared)
    }

    /// Prompt tokens that no other request shares.
    ///
    /// ```
    /// use curranttrestle::state::gateway::{PromptPart, RequestHints};
    /// let prompt_parts = vec![PromptPart { id: 1, tokens: 800 }, PromptPart { id: 2, tokens: 250 }];
    /// let hints = RequestHints { prompt_parts, ..Default::default() };
    /// assert_eq!(hints.unshared_tokens(), 250);
    /// ```
    #[must_use]
    pub fn unshared_tokens(&self) -> u64 {
        self.prompt_parts
            .last()
            .map_or(self.prompt_tokens, |part| part.tokens)
    }

    /// The expected number of response tokens. Without an estimate, half of the maximum is assumed.
    #[must_use]
    pub fn expected_output_tokens(&self) -> u64 {
        let estimate = self
            .estimated_output_tokens
            .unwrap_or(self.max_output_tokens / 2);
        estimate.min(self.max_output_tokens)
    }
}
