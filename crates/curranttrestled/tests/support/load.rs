//! Callers that send prompts until stopped and check every byte of the responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use curranttrestle_standins::engine::expected_answer;

use super::client::{Reply, call, read_events};

/// Pause of a caller after a refused request.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);

/// Outcomes of the callers' requests.
#[derive(Debug, Default)]
pub struct Received {
    /// Complete responses.
    pub answered: AtomicU64,
    /// Replies with the outcome `not-run`.
    pub not_run: AtomicU64,
    /// Incomplete responses, and replies with the outcome `unknown`.
    pub unknown: AtomicU64,
    /// Exchanges without a reply or outcome.
    pub broken: AtomicU64,
    /// The first few replies that were not complete responses.
    pub samples: std::sync::Mutex<Vec<String>>,
}

/// Running callers.
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    /// The outcomes so far.
    pub received: Arc<Received>,
}

impl Load {
    /// Starts `callers` callers at each router, each requesting responses of `tokens` tokens.
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

    /// Stops the callers once their current requests have ended.
    pub fn stop(self) -> Arc<Received> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("no caller receives a wrong byte");
        }
        self.received
    }
}

async fn ask_once(router: SocketAddr, key: &str, prompt: &str, tokens: u32, received: &Received) {
    let body = serde_json::json!({ "prompt": prompt, "max_tokens": tokens }).to_string();
    let reply = call(router, key, "draft-report", &[], &body).await;
    if reply.status == 200 {
        let response = read_events(&reply.body);
        let expected = expected_answer(prompt, tokens);
        assert!(
            expected.starts_with(&response.text),
            "the text differs from the expected response: {response:?}"
        );
        if response.done {
            assert_eq!(response.text, expected);
            received.answered.fetch_add(1, Ordering::Relaxed);
            return;
        }
        received.unknown.fetch_add(1, Ordering::Relaxed);
        record_sample(received, format!("{response:?}"));
        return;
    }
    count_refusal(&reply, received);
    smol::Timer::after(REFUSAL_PAUSE).await;
}

fn count_refusal(reply: &Reply, received: &Received) {
    let counter = match reply.outcome.as_str() {
        "not-run" => &received.not_run,
        "unknown" => &received.unknown,
        _ => &received.broken,
    };
    counter.fetch_add(1, Ordering::Relaxed);
    record_sample(received, format!("{reply:?}"));
}

fn record_sample(received: &Received, sample: String) {
    const MAX_SAMPLES: usize = 5;
    let mut samples = received.samples.lock().unwrap();
    if samples.len() < MAX_SAMPLES {
        samples.push(sample);
    }
}

impl Received {
    /// Asserts that there was at least one request and that all received a complete response.
    pub fn assert_all_answered(&self) {
        let failures = self.not_run.load(Ordering::Relaxed)
            + self.unknown.load(Ordering::Relaxed)
            + self.broken.load(Ordering::Relaxed);
        assert_eq!(failures, 0, "{:?}", self.samples.lock().unwrap());
        assert!(
            self.answered.load(Ordering::Relaxed) > 0,
            "no request was answered"
        );
    }
}
