//! Generates the events of a run from its seed.

use curranttrestle::coordination::claims::ClaimManager;
use curranttrestle::state::Incarnation;
use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::store::FakeStore;
use super::{
    ARRIVALS_MS, END_MS, Event, Fault, Input, KEYS, LATE_ARRIVAL_INTERVAL_MS, REQUESTS_PER_KEY,
    ROUTERS, Report, Request, Router, Simulation, options,
};
use crate::support::{START_UNIX_MS, Schedule, router_name};

impl Simulation {
    pub(super) fn new(seed: u64, fault: Fault) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let routers = (0..ROUTERS)
            .map(|router| Router {
                claims: ClaimManager::new(&router_name(router), Incarnation(1), options()),
                run: 1,
                frozen_until_ms: 0,
                stale_until_ms: 0,
                stale_unix_ms: 0,
                clock_offset_ms: rng.random_range(0..1_000),
                next_attempt: 0,
            })
            .collect();
        Self {
            rng,
            fault,
            now_ms: 0,
            events: Schedule::new(),
            routers,
            store: FakeStore::new(fault == Fault::UnconditionalUpdates),
            requests: Vec::new(),
            keys: Vec::new(),
            partitions: vec![0..0; ROUTERS],
            dispatches: IndexMap::new(),
            report: Report::default(),
        }
    }

    /// Schedules the arrivals, restarts, partitions and outages.
    pub(super) fn schedule_events(&mut self) {
        for _ in 0..KEYS {
            let created_ms = self.rng.random_range(0..ARRIVALS_MS / 2);
            let key = self.create_key(created_ms);
            for _ in 0..REQUESTS_PER_KEY {
                let spread_ms = if self.rng.random_bool(0.7) {
                    100
                } else {
                    14_000
                };
                let at_ms = created_ms + self.rng.random_range(0..spread_ms);
                self.schedule_request(key, at_ms);
            }
        }
        // Later requests keep creating objects, so that the earlier ones expire.
        for created_ms in (ARRIVALS_MS / 2..END_MS - 10_000).step_by(LATE_ARRIVAL_INTERVAL_MS) {
            let key = self.create_key(created_ms);
            self.schedule_request(key, created_ms);
        }
        for router in 0..ROUTERS {
            self.events.push(0, Event::Router(router, 1, Input::Tick));
            if self.rng.random_bool(0.5) {
                let at_ms = self.rng.random_range(0..ARRIVALS_MS);
                self.events.push(at_ms, Event::Restart(router));
            }
        }
        for router in 0..ROUTERS {
            if self.rng.random_bool(0.3) {
                let from_ms = self.rng.random_range(0..ARRIVALS_MS);
                let duration_ms = self.rng.random_range(100..10_000);
                self.partitions[router] = from_ms..from_ms + duration_ms;
            }
        }
        if self.rng.random_bool(0.5) {
            let from_ms = self.rng.random_range(0..ARRIVALS_MS / 2);
            let duration_ms = self.rng.random_range(100..4_000);
            self.store.outage = from_ms..from_ms + duration_ms;
        }
    }

    /// Creates a key with the timestamp `created_ms`.
    fn create_key(&mut self, created_ms: u64) -> usize {
        let random_bytes: [u8; 10] = self.rng.random();
        let builder =
            uuid::Builder::from_unix_timestamp_millis(START_UNIX_MS + created_ms, &random_bytes);
        self.keys.push(builder.into_uuid());
        self.keys.len() - 1
    }

    fn schedule_request(&mut self, key: usize, at_ms: u64) {
        let router = self.rng.random_range(0..ROUTERS);
        self.requests.push(Request {
            key,
            router,
            run: 0,
            attempt: None,
            dispatched: false,
            verdicts: 0,
            ended: false,
        });
        let request = self.requests.len() - 1;
        self.events.push(at_ms, Event::Arrival(router, request));
    }
}
