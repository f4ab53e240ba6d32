//! Callers of a fleet whose routers come and go: bookings that are repeated, and prompts.

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

/// How long callers wait for a booking.
const BOOKING_DEADLINE_MS: u64 = 4_000;
/// How long callers wait for an answer of a model.
const PROMPT_DEADLINE_MS: u64 = 15_000;
/// How often a booking is sent at most.
const SENDINGS: u32 = 4;
/// The share of answered bookings that are sent once more.
const REPEAT_SHARE: f64 = 0.3;
/// The pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(30);

/// The present addresses of the routers.
#[derive(Clone)]
pub struct Addresses(Arc<Mutex<Vec<(SocketAddr, SocketAddr)>>>);

impl Addresses {
    /// The addresses of a fleet.
    pub fn of(fleet: &Fleet) -> Self {
        let addresses = Self(Arc::default());
        addresses.update(fleet);
        addresses
    }

    /// Takes note of routers that were started anew.
    pub fn update(&self, fleet: &Fleet) {
        let routers = fleet.routers.iter();
        *self.0.lock().unwrap() = routers
            .map(|router| (router.callers(), router.operators()))
            .collect();
    }

    /// Where callers are served.
    fn any(&self, rng: &mut ChaCha8Rng) -> SocketAddr {
        let addresses = self.0.lock().unwrap();
        addresses[rng.random_range(0..addresses.len())].0
    }

    /// Where operators are served.
    pub fn operators(&self) -> Vec<SocketAddr> {
        let addresses = self.0.lock().unwrap();
        addresses.iter().map(|pair| pair.1).collect()
    }
}

/// What callers were told.
#[derive(Debug, Default)]
pub struct Told {
    /// All replies to each booking.
    pub bookings: Mutex<IndexMap<String, Vec<Reply>>>,
    /// Prompts answered whole.
    pub answered: AtomicU64,
    /// Prompts without a whole answer.
    pub failed: AtomicU64,
}

/// Running callers.
pub struct Mix {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    /// What they were told so far.
    pub told: Arc<Told>,
}

impl Mix {
    /// Starts callers that book and callers that ask models.
    pub fn start(
        addresses: &Addresses,
        key: &str,
        booking: usize,
        asking: usize,
        seed: u64,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let told = Arc::new(Told::default());
        let threads = (0..booking + asking).map(|number| {
            let caller = Caller {
                addresses: addresses.clone(),
                key: key.to_owned(),
                told: told.clone(),
                rng: ChaCha8Rng::seed_from_u64(seed + 1 + number as u64),
                number,
            };
            let stop = stop.clone();
            std::thread::spawn(move || caller.run(number < booking, &stop))
        });
        Self {
            threads: threads.collect(),
            stop,
            told,
        }
    }

    /// Stops the callers after their present requests.
    pub fn stop(self) -> Arc<Told> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a caller found a wrong byte");
        }
        self.told
    }
}

struct Caller {
    addresses: Addresses,
    key: String,
    told: Arc<Told>,
    rng: ChaCha8Rng,
    number: usize,
}

impl Caller {
    fn run(mut self, books: bool, stop: &AtomicBool) {
        let mut round = 0;
        while !stop.load(Ordering::Relaxed) {
            if books {
                self.book();
            } else {
                self.ask(round);
            }
            round += 1;
            std::thread::sleep(PAUSE);
        }
    }

    /// Makes a booking, and sends it again through other routers until it is answered.
    fn book(&mut self) {
        let booking = Uuid::now_v7().to_string();
        for _ in 0..SENDINGS {
            let router = self.addresses.any(&mut self.rng);
            let headers = [
                ("Idempotency-Key", booking.clone()),
                ("Deadline-Ms", BOOKING_DEADLINE_MS.to_string()),
            ];
            let body = format!("camera {}", self.number);
            let booking_call = call(router, &self.key, "book-camera", &headers, &body);
            let reply = smol::block_on(booking_call);
            let is_answered = reply.outcome == "answered";
            let mut bookings = self.told.bookings.lock().unwrap();
            bookings.entry(booking.clone()).or_default().push(reply);
            drop(bookings);
            if is_answered && !self.rng.random_bool(REPEAT_SHARE) {
                return;
            }
        }
    }

    fn ask(&mut self, round: u32) {
        let prompt = format!("prompt {} {round}", self.number);
        let tokens = self.rng.random_range(5..120);
        let body = serde_json::json!({ "prompt": prompt, "max_tokens": tokens }).to_string();
        let headers = [("Deadline-Ms", PROMPT_DEADLINE_MS.to_string())];
        let router = self.addresses.any(&mut self.rng);
        let asking = call(router, &self.key, "draft-report", &headers, &body);
        let reply = smol::block_on(asking);
        if reply.status == 200 {
            let whole = reply
                .body
                .rfind("\n\n")
                .map_or("", |end| &reply.body[..end]);
            let answer = read_events(whole);
            let expected = expected_response(&prompt, tokens);
            assert!(
                expected.starts_with(&answer.text),
                "a byte of another answer: {answer:?}"
            );
            if answer.done {
                assert_eq!(answer.text, expected);
                self.told.answered.fetch_add(1, Ordering::Relaxed);
                return;
            }
        }
        self.told.failed.fetch_add(1, Ordering::Relaxed);
    }
}
