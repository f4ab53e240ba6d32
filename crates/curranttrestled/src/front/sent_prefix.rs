//! Removes from a streamed response what an earlier attempt has already sent to the caller.

use curranttrestle::transport::frames::Chunk;
use xxhash_rust::xxh3::Xxh3;

/// Removes the bytes already sent to the caller from the start of a new attempt's response, and
/// checks that they are the same bytes.
pub struct SentPrefixFilter {
    skip_bytes: u64,
    skipped_digest: Xxh3,
    skipped_bytes: u64,
}

impl SentPrefixFilter {
    /// Creates a filter that removes the first `skip_bytes` bytes.
    pub fn new(skip_bytes: u64) -> Self {
        Self {
            skip_bytes,
            skipped_digest: Xxh3::new(),
            skipped_bytes: 0,
        }
    }

    /// Returns the part of a chunk that is still to be sent. Returns `None` if the skipped bytes do
    /// not match `sent_digest`, the digest of the bytes already sent, or end inside a character.
    pub fn unsent_text<'a>(&mut self, chunk: &'a Chunk, sent_digest: &Xxh3) -> Option<&'a str> {
        let to_skip = self.skip_bytes - self.skipped_bytes;
        if to_skip == 0 {
            return Some(&chunk.text);
        }
        let length = usize::try_from(to_skip)
            .unwrap_or(usize::MAX)
            .min(chunk.text.len());
        if !chunk.text.is_char_boundary(length) {
            return None;
        }
        let (sent, unsent) = chunk.text.split_at(length);
        self.skipped_digest.update(sent.as_bytes());
        self.skipped_bytes += length as u64;
        let complete = self.skipped_bytes == self.skip_bytes;
        if complete && self.skipped_digest.digest() != sent_digest.digest() {
            return None;
        }
        Some(unsent)
    }
}
