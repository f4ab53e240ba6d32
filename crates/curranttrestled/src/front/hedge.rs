//! A hedged attempt for a slow streamed response. It generates the response from the beginning
//! until it has caught up with the bytes already sent to the caller.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use curranttrestle::coordination::router::Dispatch;
use curranttrestle::transport::endpoint::{AttemptError, InterruptCause};
use curranttrestle::transport::frames::FrameStream;
use smol::Task;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

use super::attempts::{FirstData, OpeningAttempt};

/// A hedged attempt that has received at least as many bytes as were already sent to the caller.
pub struct CaughtUp {
    /// The stream from which the rest is read.
    pub stream: Box<FrameStream>,
    /// The number of tokens received so far.
    pub tokens: u64,
    /// The text received so far.
    text: String,
}

impl CaughtUp {
    /// Returns the text after the first `sent_bytes` bytes. Returns `None` if those bytes do not match
    /// `sent_digest`.
    pub fn text_after(&self, sent_bytes: u64, sent_digest: &Xxh3) -> Option<&str> {
        let sent_bytes = usize::try_from(sent_bytes).ok()?;
        let prefix = self.text.get(..sent_bytes)?;
        let matches = xxh3_64(prefix.as_bytes()) == sent_digest.digest();
        matches.then(|| &self.text[sent_bytes..])
    }
}

/// A hedged attempt that is catching up with the first one.
pub struct HedgedAttempt {
    dispatch: Dispatch,
    /// Bytes of the first attempt that were sent to the caller.
    sent_bytes: Arc<AtomicU64>,
    catching_up: Task<Result<CaughtUp, AttemptError>>,
}

impl HedgedAttempt {
    /// Starts an attempt that catches up with `sent_bytes`.
    pub fn new(dispatch: Dispatch, opening: OpeningAttempt, sent_bytes: u64) -> Self {
        let sent_bytes = Arc::new(AtomicU64::new(sent_bytes));
        Self {
            dispatch,
            catching_up: smol::spawn(catch_up(opening, sent_bytes.clone())),
            sent_bytes,
        }
    }

    /// The control thread's order for this attempt.
    pub fn dispatch(&self) -> &Dispatch {
        &self.dispatch
    }

    /// Updates the number of bytes that the hedged attempt must reach.
    pub fn set_sent_bytes(&self, sent_bytes: u64) {
        self.sent_bytes.store(sent_bytes, Ordering::Relaxed);
    }

    /// Waits until the attempt has caught up. Cancel safe: the attempt continues if the future is
    /// dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt did not run, was interrupted or ended too early.
    pub async fn caught_up(&mut self) -> Result<CaughtUp, AttemptError> {
        (&mut self.catching_up).await
    }
}

async fn catch_up(
    opening: OpeningAttempt,
    sent_bytes: Arc<AtomicU64>,
) -> Result<CaughtUp, AttemptError> {
    let (_, opened) = opening.await;
    let FirstData::Stream(mut stream, first) = opened? else {
        return Err(malformed(0));
    };
    let mut tokens = 0;
    let mut text = String::new();
    let mut next = first;
    loop {
        if let Some(chunk) = next {
            tokens = chunk.tokens_total;
            text.push_str(&chunk.text);
        }
        if text.len() as u64 >= sent_bytes.load(Ordering::Relaxed) {
            return Ok(CaughtUp {
                stream,
                tokens,
                text,
            });
        }
        next = stream.next().await?;
        if next.is_none() {
            // Shorter than the bytes already sent, so the response is a different one.
            return Err(malformed(text.len() as u64));
        }
    }
}

fn malformed(offset: u64) -> AttemptError {
    AttemptError::Interrupted {
        offset,
        cause: InterruptCause::Malformed,
    }
}
