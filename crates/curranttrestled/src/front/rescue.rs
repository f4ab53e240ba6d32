//! A second attempt of a slow streamed answer, which catches up from the beginning.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use curranttrestle::coordination::router::Dispatch;
use curranttrestle::transport::endpoint::{AttemptError, InterruptCause};
use curranttrestle::transport::frames::FrameStream;
use smol::Task;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

use super::attempts::{Opened, Opening};

/// A second attempt that has made as much of the answer as the first one passed on.
pub struct CaughtUp {
    /// Its stream, to be read on.
    pub stream: Box<FrameStream>,
    /// The tokens that it has made so far.
    pub tokens: u64,
    /// The answer so far.
    text: String,
}

impl CaughtUp {
    /// What follows the bytes already passed on; none when it does not begin with them.
    pub fn text_after(&self, sent_bytes: u64, sent_digest: &Xxh3) -> Option<&str> {
        let sent_bytes = usize::try_from(sent_bytes).ok()?;
        let sent = self.text.get(..sent_bytes)?;
        let is_same = xxh3_64(sent.as_bytes()) == sent_digest.digest();
        is_same.then(|| &self.text[sent_bytes..])
    }
}

/// A second attempt on its way.
pub struct Rescue {
    dispatch: Dispatch,
    /// How many bytes the first attempt has passed on.
    sent_bytes: Arc<AtomicU64>,
    catching_up: Task<Result<CaughtUp, AttemptError>>,
}

impl Rescue {
    /// Begins to catch up with `sent_bytes`.
    pub fn new(dispatch: Dispatch, opening: Opening, sent_bytes: u64) -> Self {
        let sent_bytes = Arc::new(AtomicU64::new(sent_bytes));
        Self {
            dispatch,
            catching_up: smol::spawn(catch_up(opening, sent_bytes.clone())),
            sent_bytes,
        }
    }

    /// The order that started it.
    pub fn dispatch(&self) -> &Dispatch {
        &self.dispatch
    }

    /// Takes note of how far the first attempt has come.
    pub fn sent_to(&self, sent_bytes: u64) {
        self.sent_bytes.store(sent_bytes, Ordering::Relaxed);
    }

    /// Waits until it has caught up. Dropping the future loses nothing.
    ///
    /// # Errors
    ///
    /// Returns an error when the attempt did not run or broke off.
    pub async fn caught_up(&mut self) -> Result<CaughtUp, AttemptError> {
        (&mut self.catching_up).await
    }
}

async fn catch_up(opening: Opening, sent_bytes: Arc<AtomicU64>) -> Result<CaughtUp, AttemptError> {
    let (_, opened) = opening.await;
    let Opened::Stream(mut stream, first) = opened? else {
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
            // It ended before the first attempt's bytes did: another answer.
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
