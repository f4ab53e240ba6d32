//! Callers that ask models until they are told to stop, and check each byte.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use curranttrestle_standins::engine::expected_response;

use super::client::{Reply, call, read_events};

/// The pause after a reply that is no answer.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// What callers got.
#[derive(Debug, Default)]
pub struct Received {
    /// Whole answers.
    pub answered: AtomicU64,
    /// Replies that say that the request did not run.
    pub not_run: AtomicU64,
    /// Answers that broke off, and replies that say that nothing is known.
    pub unknown: AtomicU64,
    /// Exchanges without any reply.
    pub broken: AtomicU64,
    /// The first few replies that were not answers.
    pub samples: std::sync::Mutex<Vec<String>>,
}

/// Running callers.
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    /// What they got so far.
    pub received: Arc<Received>,
}

impl Load {
    /// Starts `callers` callers at each router, asking for answers of `tokens` tokens.
    pub fn start(routers: &[SocketAddr], key: &str, callers: usize, tokens: u32) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let received = Arc::new(Received::default());
        let threads = routers
            .iter()
            .flat_map(|router| (0..callers).map(move |caller| (*router, caller)))
            .map(|(router, caller)| {
                let stop = stop.clone();
                let received = received.clone();
                let key = key.to_owned();
                std::thread::spawn(move || {
                    let mut round = 0;
                    while !stop.load(Ordering::Relaxed) {
                        let prompt = format!("prompt {router} {caller} {round}");
                        smol::block_on(ask_once(router, &key, &prompt, tokens, &received));
                        round += 1;
                    }
                })
            })
            .collect();
        Self {
            stop,
            threads,
            received,
        }
    }

    /// Stops the callers after their present requests.
    pub fn stop(self) -> Arc<Received> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a caller found a wrong byte");
        }
        self.received
    }
}

async fn ask_once(router: SocketAddr, key: &str, prompt: &str, tokens: u32, received: &Received) {
    let body = serde_json::json!({ "prompt": prompt, "max_tokens": tokens }).to_string();
    let reply = call(router, key, "draft-report", &[], &body).await;
    if reply.status == 200 {
        let answer = read_events(&reply.body);
        let expected = expected_response(prompt, tokens);
        assert!(
            expected.starts_with(&answer.text),
            "a byte of another answer: {answer:?}"
        );
        if answer.done {
            assert_eq!(answer.text, expected);
            received.answered.fetch_add(1, Ordering::Relaxed);
            return;
        }
        received.unknown.fetch_add(1, Ordering::Relaxed);
        note(received, format!("{answer:?}"));
        return;
    }
    count_refusal(&reply, received);
    smol::Timer::after(REFUSED_PAUSE).await;
}

fn count_refusal(reply: &Reply, received: &Received) {
    let counter = match reply.outcome.as_str() {
        "not-run" => &received.not_run,
        "unknown" => &received.unknown,
        _ => &received.broken,
    };
    counter.fetch_add(1, Ordering::Relaxed);
    note(received, format!("{reply:?}"));
}

fn note(received: &Received, sample: String) {
    const SAMPLES: usize = 5;
    let mut samples = received.samples.lock().unwrap();
    if samples.len() < SAMPLES {
        samples.push(sample);
    }
}

impl Received {
    /// Asserts that every request was answered whole.
    pub fn assert_all_answered(&self) {
        let failures = self.not_run.load(Ordering::Relaxed)
            + self.unknown.load(Ordering::Relaxed)
            + self.broken.load(Ordering::Relaxed);
        assert_eq!(failures, 0, "{:?}", self.samples.lock().unwrap());
        assert!(
            self.answered.load(Ordering::Relaxed) > 0,
            "nothing was asked"
        );
    }
}
