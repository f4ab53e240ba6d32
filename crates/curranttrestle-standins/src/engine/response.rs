//! Deterministic responses of the engine stand-in, derived from the prompt and the token limit.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A prompt that contains this marker crashes the engine.
pub const CRASH_MARKER: &str = "[crash]";

const TOKENS_MARKER: &str = "[tokens=";

/// Fragments that tokens are built from. Some contain multi-byte characters.
const FRAGMENTS: [&str; 16] = [
    "ra", "pport ", "thé", "rm", "ique ", "rul", "le ", "å", "papper ", "ö", "sta", "n ", "ver",
    "t. ", "lo", "ck ",
];

/// Returns a marker that, as part of a prompt, limits the response to `tokens` tokens.
///
/// ```
/// use curranttrestle_standins::engine::{response_tokens, tokens_marker};
/// let prompt = format!("Draft a report. {}", tokens_marker(7));
/// assert_eq!(response_tokens(&prompt, 100), 7);
/// assert_eq!(response_tokens(&prompt, 5), 5);
/// ```
#[must_use]
pub fn tokens_marker(tokens: u32) -> String {
    format!("{TOKENS_MARKER}{tokens}]")
}

/// Length of the response in tokens: the value of the prompt's marker, at most `max_tokens`.
/// Without a marker, it is `max_tokens`.
#[must_use]
pub fn response_tokens(prompt: &str, max_tokens: u32) -> u32 {
    let marked = prompt.split_once(TOKENS_MARKER).and_then(|(_, rest)| {
        let (number, _) = rest.split_once(']')?;
        number.parse::<u32>().ok()
    });
    marked.unwrap_or(max_tokens).min(max_tokens)
}

/// Returns the complete response to a prompt.
///
/// ```
/// use curranttrestle_standins::engine::expected_response;
/// assert_eq!(expected_response("a", 9), expected_response("a", 9));
/// assert_ne!(expected_response("a", 9), expected_response("b", 9));
/// ```
#[must_use]
pub fn expected_response(prompt: &str, max_tokens: u32) -> String {
    let seed = prompt_seed(prompt);
    (0..response_tokens(prompt, max_tokens))
        .map(|index| token_text(seed, index))
        .collect()
}

/// Seed of the response's tokens.
pub(super) fn prompt_seed(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Text of the token at `index`.
pub(super) fn token_text(seed: u64, index: u32) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), seed);
    let fragment = |shift: u32| FRAGMENTS[usize::try_from((hash >> shift) & 15).unwrap_or(0)];
    format!("{}{}", fragment(0), fragment(4))
}
