//! Skips what an earlier attempt of a streamed answer passed on already.

use curranttrestle::transport::frames::Chunk;
use xxhash_rust::xxh3::Xxh3;

/// Skips the part of a new attempt's answer that an earlier attempt passed on already.
pub struct Replay {
    skip_bytes: u64,
    skipped: Xxh3,
    skipped_bytes: u64,
}

impl Replay {
    /// Skips `skip_bytes`.
    pub fn new(skip_bytes: u64) -> Self {
        Self {
            skip_bytes,
            skipped: Xxh3::new(),
            skipped_bytes: 0,
        }
    }

    /// The new text of a chunk; none when the skipped bytes differ from those with `digest`.
    pub fn take_new<'a>(&mut self, chunk: &'a Chunk, digest: &Xxh3) -> Option<&'a str> {
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
        let (old, new) = chunk.text.split_at(length);
        self.skipped.update(old.as_bytes());
        self.skipped_bytes += length as u64;
        let complete = self.skipped_bytes == self.skip_bytes;
        if complete && self.skipped.digest() != digest.digest() {
            return None;
        }
        Some(new)
    }
}
