//! Continuous batching: all running streams advance together, one token per step.

use curranttrestle::protocol::endpoint::StreamRequest;
use curranttrestle::state::CustomerId;
use indexmap::IndexMap;

use super::FrameFaults;
use super::reader::{Lines, Reader};
use super::response::{CRASH_MARKER, prompt_seed, response_tokens, token_text};

/// A running or finished stream.
#[derive(Debug)]
struct Stream {
    attempt: String,
    customer: CustomerId,
    crashes_engine: bool,
    seed: u64,
    target_tokens: u32,
    tokens: u32,
    text: String,
    ready_ms: u64,
    readers: Vec<Reader>,
    unread_since_ms: Option<u64>,
    finished_ms: Option<u64>,
}

/// Result of one step.
#[derive(Debug, Default)]
pub(super) struct Step {
    /// The customer of each generated token.
    pub(super) token_customers: Vec<CustomerId>,
    /// The attempts of the streams that ended in this step.
    pub(super) ended_attempts: Vec<String>,
    /// Number of streams that were completed.
    pub(super) completed: u64,
    /// Number of streams abandoned because they had no reader.
    pub(super) abandoned: u64,
    /// Whether a stream crashed the engine.
    pub(super) crashed: bool,
}

/// All streams of the engine.
#[derive(Debug)]
pub(super) struct Batch {
    grace_ms: u64,
    streams: IndexMap<String, Stream>,
    running: usize,
    next_stream: u64,
}

impl Batch {
    pub(super) fn new(grace_ms: u64) -> Self {
        Self {
            grace_ms,
            streams: IndexMap::new(),
            running: 0,
            next_stream: 1,
        }
    }

    /// Number of running streams.
    pub(super) fn running(&self) -> usize {
        self.running
    }

    pub(super) fn is_idle(&self) -> bool {
        self.running == 0
    }

    /// Admits a request whose prefill is finished at `ready_ms`.
    pub(super) fn admit(
        &mut self,
        request: &StreamRequest,
        ready_ms: u64,
        incarnation: u64,
    ) -> Lines {
        let id = format!("{incarnation}-{}", self.next_stream);
        self.next_stream += 1;
        let (reader, lines) = Reader::open(&request.attempt, &id, incarnation);
        let stream = Stream {
            attempt: request.attempt.clone(),
            customer: request.customer.clone(),
            crashes_engine: request.prompt.contains(CRASH_MARKER),
            seed: prompt_seed(&request.prompt),
            target_tokens: response_tokens(&request.prompt, request.max_tokens),
            tokens: 0,
            text: String::new(),
            ready_ms,
            readers: vec![reader],
            unread_since_ms: None,
            finished_ms: None,
        };
        self.streams.insert(id, stream);
        self.running += 1;
        lines
    }

    /// Resumes a stream at a byte offset for a new attempt. Returns the new reader's lines and the
    /// attempt that the stream belonged to before, or none if there is no such stream or offset.
    pub(super) fn resume(
        &mut self,
        id: &str,
        attempt: &str,
        offset: u64,
        incarnation: u64,
    ) -> Option<(Lines, String)> {
        let stream = self.streams.get_mut(id)?;
        let from = usize::try_from(offset).ok()?;
        let remaining = stream.text.get(from..)?.to_owned();
        let (mut reader, lines) = Reader::open(attempt, id, incarnation);
        let tokens_total = u64::from(stream.tokens);
        if !remaining.is_empty() {
            reader.send_text(offset, &remaining, tokens_total, &FrameFaults::default());
        }
        if stream.finished_ms.is_some() {
            reader.send_done(stream.text.len() as u64, tokens_total);
        } else {
            stream.readers.push(reader);
            stream.unread_since_ms = None;
        }
        let previous_attempt = std::mem::replace(&mut stream.attempt, attempt.to_owned());
        Some((lines, previous_attempt))
    }

    /// Cancels a stream. Returns its attempt if it was running.
    pub(super) fn cancel(&mut self, id: &str) -> Option<String> {
        let stream = self.streams.shift_remove(id)?;
        if stream.finished_ms.is_some() {
            return None;
        }
        self.running -= 1;
        Some(stream.attempt)
    }

    /// Aborts all streams. Returns how many of them were running.
    pub(super) fn abort_all(&mut self) -> usize {
        for (_, stream) in self.streams.drain(..) {
            stream.readers.into_iter().for_each(Reader::abort);
        }
        std::mem::take(&mut self.running)
    }

    /// Advances each stream whose prefill is finished by one token.
    pub(super) fn step(&mut self, now_ms: u64, faults: &FrameFaults) -> Step {
        let mut step = Step::default();
        for stream in self.streams.values_mut() {
            if stream.finished_ms.is_none() {
                stream.advance(now_ms, faults, self.grace_ms, &mut step);
            }
        }
        self.running -= step.ended_attempts.len();
        let grace_ms = self.grace_ms;
        self.streams
            .retain(|_, stream| stream.is_retained(now_ms, grace_ms));
        step
    }
}

impl Stream {
    fn advance(&mut self, now_ms: u64, faults: &FrameFaults, grace_ms: u64, step: &mut Step) {
        if self.is_abandoned(now_ms, grace_ms) {
            step.abandoned += 1;
            self.end(now_ms, step);
            return;
        }
        if self.ready_ms > now_ms {
            return;
        }
        if self.crashes_engine {
            step.crashed = true;
            return;
        }
        if self.tokens < self.target_tokens {
            self.generate_token(faults);
            step.token_customers.push(self.customer.clone());
        }
        if self.tokens == self.target_tokens {
            step.completed += 1;
            self.finish(now_ms, step);
        }
    }

    fn generate_token(&mut self, faults: &FrameFaults) {
        let token = token_text(self.seed, self.tokens);
        let offset = self.text.len() as u64;
        self.text.push_str(&token);
        self.tokens += 1;
        for reader in &mut self.readers {
            reader.send_text(offset, &token, u64::from(self.tokens), faults);
        }
    }

    fn finish(&mut self, now_ms: u64, step: &mut Step) {
        let length = self.text.len() as u64;
        for reader in self.readers.drain(..) {
            reader.send_done(length, u64::from(self.tokens));
        }
        self.end(now_ms, step);
    }

    fn end(&mut self, now_ms: u64, step: &mut Step) {
        self.finished_ms = Some(now_ms);
        step.ended_attempts.push(self.attempt.clone());
    }

    /// Whether the stream has had no reader for the grace period.
    fn is_abandoned(&mut self, now_ms: u64, grace_ms: u64) -> bool {
        self.readers.retain(Reader::is_open);
        if !self.readers.is_empty() {
            return false;
        }
        let since_ms = *self.unread_since_ms.get_or_insert(now_ms);
        now_ms.saturating_sub(since_ms) >= grace_ms
    }

    fn is_retained(&self, now_ms: u64, grace_ms: u64) -> bool {
        let finished = self.finished_ms;
        finished.is_none_or(|finished_ms| now_ms.saturating_sub(finished_ms) < grace_ms)
    }
}
