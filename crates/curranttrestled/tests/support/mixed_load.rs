//! Callers of a fleet whose routers are restarted. They make bookings, with retries, and send
//! prompts.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use curranttrestle_standins::engine::expected_response;
use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use super::client::{Reply, call, read_events};
use super::fleet::Fleet;

/// Deadline of a booking, in milliseconds.
const BOOKING_DEADLINE_MS: u64 = 4_000;
/// Deadline of a prompt, in milliseconds.
const PROMPT_DEADLINE_MS: u64 = 15_000;
/// Maximum number of times that a caller sends a booking.
const MAX_BOOKING_CALLS: u32 = 4;
/// Probability that an answered booking is retried.
const RETRY_PROBABILITY: f64 = 0.3;
/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(30);

/// The current caller and operator addresses of the routers.
#[derive(Clone)]
pub struct Addresses(Arc<Mutex<Vec<(SocketAddr, SocketAddr)>>>);

impl Addresses {
    /// Returns the addresses of a fleet's routers.
    pub fn of(fleet: &Fleet) -> Self {
        let addresses = Self(Arc::default());
        addresses.update(fleet);
        addresses
    }

    /// Updates the addresses after a router restart.
    pub fn update(&self, fleet: &Fleet) {
        let routers = fleet.routers.iter();
        *self.0.lock().unwrap() = routers
            .map(|router| (router.callers(), router.operators()))
            .collect();
    }

    /// Returns the callers' address of a random router.
    fn random_caller_address(&self, rng: &mut ChaCha8Rng) -> SocketAddr {
        let addresses = self.0.lock().unwrap();
        addresses[rng.random_range(0..addresses.len())].0
    }

    /// Returns the operators' addresses of all routers.
    pub fn operators(&self) -> Vec<SocketAddr> {
        let addresses = self.0.lock().unwrap();
        addresses.iter().map(|pair| pair.1).collect()
    }
}

/// Outcomes of the callers' requests.
#[derive(Debug, Default)]
pub struct Outcomes {
    /// All replies to each booking.
    pub bookings: Mutex<IndexMap<String, Vec<Reply>>>,
    /// Prompts with a complete response.
    pub answered: AtomicU64,
    /// Prompts without a complete response.
    pub failed: AtomicU64,
}

/// Running callers.
pub struct MixedLoad {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    /// The outcomes so far.
    pub outcomes: Arc<Outcomes>,
}

impl MixedLoad {
    /// Starts callers that make bookings and callers that send prompts.
    pub fn start(
        addresses: &Addresses,
        key: &str,
        booking_callers: usize,
        prompt_callers: usize,
        seed: u64,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let outcomes = Arc::new(Outcomes::default());
        let threads = (0..booking_callers + prompt_callers).map(|number| {
            let caller = Caller {
                addresses: addresses.clone(),
                key: key.to_owned(),
                outcomes: outcomes.clone(),
                rng: ChaCha8Rng::seed_from_u64(seed + 1 + number as u64),
                number,
            };
            let stop = stop.clone();
            std::thread::spawn(move || caller.run(number < booking_callers, &stop))
        });
        Self {
            threads: threads.collect(),
            stop,
            outcomes,
        }
    }

    /// Stops the callers once their current requests have ended.
    pub fn stop(self) -> Arc<Outcomes> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("no caller receives a wrong byte");
        }
        self.outcomes
    }
}

struct Caller {
    addresses: Addresses,
    key: String,
    outcomes: Arc<Outcomes>,
    rng: ChaCha8Rng,
    number: usize,
}

impl Caller {
    fn run(mut self, makes_bookings: bool, stop: &AtomicBool) {
        let mut round = 0;
        while !stop.load(Ordering::Relaxed) {
            if makes_bookings {
                self.book();
            } else {
                self.ask(round);
            }
            round += 1;
            std::thread::sleep(PAUSE);
        }
    }

    /// Makes a booking and retries it through random routers until it is answered. Some answered
    /// bookings are retried too.
    fn book(&mut self) {
        let booking = Uuid::now_v7().to_string();
        for _ in 0..MAX_BOOKING_CALLS {
            let router = self.addresses.random_caller_address(&mut self.rng);
            let headers = [
                ("Idempotency-Key", booking.clone()),
                ("Deadline-Ms", BOOKING_DEADLINE_MS.to_string()),
            ];
            let body = format!("camera {}", self.number);
            let booking_call = call(router, &self.key, "book-camera", &headers, &body);
            let reply = smol::block_on(booking_call);
            let is_answered = reply.outcome == "answered";
            let mut bookings = self.outcomes.bookings.lock().unwrap();
            bookings.entry(booking.clone()).or_default().push(reply);
            drop(bookings);
            if is_answered && !self.rng.random_bool(RETRY_PROBABILITY) {
                return;
            }
        }
    }

    fn ask(&mut self, round: u32) {
        let prompt = format!("prompt {} {round}", self.number);
        let tokens = self.rng.random_range(5..120);
        let body = serde_json::json!({ "prompt": prompt, "max_tokens": tokens }).to_string();
        let headers = [("Deadline-Ms", PROMPT_DEADLINE_MS.to_string())];
        let router = self.addresses.random_caller_address(&mut self.rng);
        let request = call(router, &self.key, "draft-report", &headers, &body);
        let reply = smol::block_on(request);
        if reply.status == 200 {
            // The connection may break within an event. An incomplete event is ignored.
            let complete = reply
                .body
                .rfind("\n\n")
                .map_or("", |end| &reply.body[..end]);
            let response = read_events(complete);
            let expected = expected_response(&prompt, tokens);
            assert!(
                expected.starts_with(&response.text),
                "the text differs from the expected response: {response:?}"
            );
            if response.done {
                assert_eq!(response.text, expected);
                self.outcomes.answered.fetch_add(1, Ordering::Relaxed);
                return;
            }
        }
        self.outcomes.failed.fetch_add(1, Ordering::Relaxed);
    }
}
