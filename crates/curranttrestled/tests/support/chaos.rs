//! Injects random faults, at most two at a time, and undoes those that can be undone after a random
//! duration.

use std::time::{Duration, Instant};

use curranttrestle_standins::relay::{Direction, RelayFault};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use super::client::{Reply, post};
use super::fleet::{DATA_CENTRES, Fleet, TOKEN, inject_fault};
use super::mixed_load::Addresses;

/// Maximum faults that are active at once.
const MAX_FAULTS: usize = 2;
/// Range of a fault's duration, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 200..3_500;
/// Range of the pause between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 50..700;
/// Maximum endpoints marked as leaving in one run. A mark is never undone.
const MAX_MARKS: usize = 2;

/// A fault and what it affects: indices of routers, engines, services or data centres. `StoreSlow`
/// has a delay in milliseconds, `LoseResponses` a number of responses.
#[derive(Clone, Copy, Debug)]
enum Fault {
    KillRouter(usize),
    PauseRouter(usize),
    PartitionOneWay(usize, usize),
    PartitionBothWays(usize, usize),
    PartitionPlatform(usize),
    SilencePeerConnections(usize, usize),
    StoreUnavailable,
    StoreClosesConnections,
    StoreSlow(u64),
    LoseResponses(u32),
    SilencePlatformConnections,
    SubmitSheetsConcurrently(usize, usize),
    MarkEngineLeaving(usize),
    SilenceEngineConnections(usize),
    CloseEngineConnections(usize),
    CrashEngine(usize),
    FreezeEngine(usize),
    DisturbEngineFrames(usize),
    FreezeService(usize),
    SilenceServiceConnections(usize),
    ServiceClosesAfterRunning(usize),
    ServiceClosesWithoutRunning(usize),
}

/// A run of random faults.
pub struct ChaosRun<'a> {
    fleet: &'a mut Fleet,
    addresses: Addresses,
    rng: ChaCha8Rng,
    active: Vec<(Instant, Fault)>,
    marked_engines: usize,
    concurrent_submissions: u32,
    /// Highest sheet number that was reported to an operator as accepted.
    pub accepted_number: u64,
}

impl<'a> ChaosRun<'a> {
    /// Creates a run on a fleet whose sheet in force is number 1.
    pub fn new(fleet: &'a mut Fleet, addresses: Addresses, seed: u64) -> Self {
        Self {
            fleet,
            addresses,
            rng: ChaCha8Rng::seed_from_u64(seed),
            active: Vec::new(),
            marked_engines: 0,
            concurrent_submissions: 0,
            accepted_number: 1,
        }
    }

    /// Injects faults for `length`, then undoes those that can be undone.
    pub fn run(&mut self, length: Duration) {
        let started = Instant::now();
        while started.elapsed() < length {
            self.undo_expired(Instant::now());
            if self.active.len() < MAX_FAULTS {
                let fault = self.choose_fault();
                let lasts_ms = self.rng.random_range(FAULT_MS);
                println!(
                    "{:>6} ms: inject {fault:?}, undo after {lasts_ms} ms",
                    started.elapsed().as_millis()
                );
                self.inject(fault);
                let until = Instant::now() + Duration::from_millis(lasts_ms);
                self.active.push((until, fault));
            }
            let pause_ms = self.rng.random_range(PAUSE_MS);
            std::thread::sleep(Duration::from_millis(pause_ms));
        }
        // Every active fault ends before this time.
        self.undo_expired(Instant::now() + Duration::from_millis(FAULT_MS.end));
        self.heal_all();
    }

    fn choose_fault(&mut self) -> Fault {
        let router = self.running_router();
        let engine = self.rng.random_range(0..self.fleet.engines.len());
        let service = self.rng.random_range(0..self.fleet.services.len());
        let from = self.rng.random_range(0..DATA_CENTRES.len());
        let to = (from + self.rng.random_range(1..DATA_CENTRES.len())) % DATA_CENTRES.len();
        match self.rng.random_range(0..22) {
            0 | 1 => Fault::KillRouter(router),
            2 | 3 => Fault::PauseRouter(router),
            4 => Fault::PartitionOneWay(from, to),
            5 => Fault::PartitionBothWays(from, to),
            6 => Fault::PartitionPlatform(from),
            7 => Fault::SilencePeerConnections(from, to),
            8 => Fault::StoreUnavailable,
            9 => Fault::StoreClosesConnections,
            10 => Fault::StoreSlow(self.rng.random_range(100..1_500)),
            11 => Fault::LoseResponses(self.rng.random_range(1..10)),
            12 => Fault::SilencePlatformConnections,
            13 => self.choose_submitting_routers(router),
            14 if self.marked_engines < MAX_MARKS => Fault::MarkEngineLeaving(engine),
            15 => Fault::CloseEngineConnections(engine),
            16 => Fault::CrashEngine(engine),
            17 => Fault::FreezeEngine(engine),
            18 => Fault::DisturbEngineFrames(engine),
            19 => Fault::FreezeService(service),
            20 => Fault::SilenceServiceConnections(service),
            21 if self.rng.random_bool(0.5) => Fault::ServiceClosesAfterRunning(service),
            21 => Fault::ServiceClosesWithoutRunning(service),
            _ => Fault::SilenceEngineConnections(engine),
        }
    }

    /// Chooses two running routers for concurrent sheet submissions.
    fn choose_submitting_routers(&self, first: usize) -> Fault {
        let count = self.fleet.routers.len();
        let mut running = (0..count)
            .map(|step| (first + step) % count)
            .filter(|router| self.is_running(*router));
        let one = running.next().expect("at least two routers are running");
        let other = running.next().expect("at least two routers are running");
        Fault::SubmitSheetsConcurrently(one, other)
    }

    /// Chooses a router that is neither killed nor paused.
    fn running_router(&mut self) -> usize {
        loop {
            let router = self.rng.random_range(0..self.fleet.routers.len());
            if self.is_running(router) {
                return router;
            }
        }
    }

    fn is_running(&self, index: usize) -> bool {
        !self.active.iter().any(|(_, fault)| match fault {
            Fault::KillRouter(router) | Fault::PauseRouter(router) => *router == index,
            _ => false,
        })
    }

    fn inject(&mut self, fault: Fault) {
        let cut = RelayFault::Cut {
            direction: Direction::Both,
        };
        let platform = &self.fleet.platform;
        match fault {
            Fault::KillRouter(router) => self.fleet.routers[router].process.kill(),
            Fault::PauseRouter(router) => self.fleet.routers[router].process.pause(),
            Fault::PartitionOneWay(from, to) => {
                self.fleet
                    .inject_one_way(DATA_CENTRES[from], DATA_CENTRES[to], cut);
            }
            Fault::PartitionBothWays(from, to) => {
                self.fleet
                    .inject_between(DATA_CENTRES[from], DATA_CENTRES[to], cut);
            }
            Fault::PartitionPlatform(from) => self.fleet.inject_platform(DATA_CENTRES[from], cut),
            Fault::SilencePeerConnections(from, to) => {
                let silence = RelayFault::SilenceConnections;
                self.fleet
                    .inject_between(DATA_CENTRES[from], DATA_CENTRES[to], silence);
            }
            Fault::StoreUnavailable => {
                inject_fault(
                    platform,
                    &json!({ "fault": "outage", "outage": "unavailable" }),
                );
            }
            Fault::StoreClosesConnections => {
                inject_fault(platform, &json!({ "fault": "outage", "outage": "closed" }));
            }
            Fault::StoreSlow(delay_ms) => {
                inject_fault(platform, &json!({ "fault": "slow", "delay_ms": delay_ms }));
            }
            Fault::LoseResponses(count) => {
                inject_fault(
                    platform,
                    &json!({ "fault": "lose-answers", "count": count }),
                );
            }
            Fault::SilencePlatformConnections => {
                inject_fault(platform, &json!({ "fault": "silence-connections" }));
            }
            Fault::SubmitSheetsConcurrently(one, other) => {
                self.submit_sheets_concurrently(one, other);
            }
            Fault::MarkEngineLeaving(engine) => self.mark_engine(engine),
            Fault::SilenceEngineConnections(engine) => {
                self.inject_into_engine(engine, &json!({ "fault": "silence-connections" }));
            }
            Fault::CloseEngineConnections(engine) => {
                self.inject_into_engine(engine, &json!({ "fault": "close-connections" }));
            }
            Fault::CrashEngine(engine) => {
                self.inject_into_engine(engine, &json!({ "fault": "crash" }));
            }
            Fault::FreezeEngine(engine) => {
                self.inject_into_engine(engine, &json!({ "fault": "freeze" }));
            }
            Fault::DisturbEngineFrames(engine) => {
                let frames = json!({
                    "duplicate_every": 3, "reorder_every": 5, "foreign_every": 4,
                    "late_every": 7, "drop_every": 11,
                });
                self.inject_into_engine(engine, &json!({ "fault": "frames", "frames": frames }));
            }
            Fault::FreezeService(service) => {
                self.inject_into_service(service, &json!({ "fault": "freeze" }));
            }
            Fault::SilenceServiceConnections(service) => {
                self.inject_into_service(service, &json!({ "fault": "silence-connections" }));
            }
            Fault::ServiceClosesAfterRunning(service) => {
                self.inject_into_service(
                    service,
                    &json!({ "fault": "close-after-running", "count": 2 }),
                );
            }
            Fault::ServiceClosesWithoutRunning(service) => {
                self.inject_into_service(
                    service,
                    &json!({ "fault": "close-without-running", "count": 2 }),
                );
            }
        }
    }

    fn undo_expired(&mut self, now: Instant) {
        let (expired, active) = std::mem::take(&mut self.active)
            .into_iter()
            .partition(|(until, _)| *until <= now);
        self.active = active;
        let expired: Vec<(Instant, Fault)> = expired;
        for (_, fault) in expired {
            self.undo(fault);
        }
    }

    fn undo(&mut self, fault: Fault) {
        let heal = json!({ "fault": "heal" });
        match fault {
            Fault::KillRouter(router) => {
                self.fleet.restart_router(router);
                self.addresses.update(self.fleet);
            }
            Fault::PauseRouter(router) => self.fleet.routers[router].process.resume(),
            Fault::PartitionOneWay(from, to) | Fault::PartitionBothWays(from, to) => {
                let (from, to) = (DATA_CENTRES[from], DATA_CENTRES[to]);
                self.fleet.inject_between(from, to, RelayFault::Heal);
            }
            Fault::PartitionPlatform(from) => {
                self.fleet
                    .inject_platform(DATA_CENTRES[from], RelayFault::Heal);
            }
            Fault::StoreUnavailable | Fault::StoreClosesConnections | Fault::StoreSlow(_) => {
                inject_fault(&self.fleet.platform, &heal);
            }
            Fault::FreezeEngine(engine) | Fault::DisturbEngineFrames(engine) => {
                self.inject_into_engine(engine, &heal);
            }
            Fault::FreezeService(service) => self.inject_into_service(service, &heal),
            Fault::SilencePeerConnections(..)
            | Fault::LoseResponses(_)
            | Fault::SilencePlatformConnections
            | Fault::SubmitSheetsConcurrently(..)
            | Fault::MarkEngineLeaving(_)
            | Fault::SilenceEngineConnections(_)
            | Fault::CloseEngineConnections(_)
            | Fault::CrashEngine(_)
            | Fault::SilenceServiceConnections(_)
            | Fault::ServiceClosesAfterRunning(_)
            | Fault::ServiceClosesWithoutRunning(_) => {}
        }
    }

    fn heal_all(&self) {
        let heal = json!({ "fault": "heal" });
        inject_fault(&self.fleet.platform, &heal);
        (0..self.fleet.engines.len()).for_each(|engine| self.inject_into_engine(engine, &heal));
        (0..self.fleet.services.len()).for_each(|service| self.inject_into_service(service, &heal));
    }

    fn inject_into_engine(&self, engine: usize, fault: &serde_json::Value) {
        inject_fault(&self.fleet.engines[engine].process, fault);
    }

    fn inject_into_service(&self, service: usize, fault: &serde_json::Value) {
        inject_fault(&self.fleet.services[service].process, fault);
    }

    /// Submits different sheets through two routers concurrently.
    fn submit_sheets_concurrently(&mut self, one: usize, other: usize) {
        self.concurrent_submissions += 1;
        let round = self.concurrent_submissions;
        let sheet = self.fleet.sheet();
        let sheets = [one, other].map(|index| {
            let operators = self.fleet.routers[index].operators();
            let text = format!("{sheet}operation,race-{round}-{index},model,yes,3,40\n");
            (operators, text)
        });
        let replies = std::thread::scope(|scope| {
            let threads = sheets.map(|(operators, text)| {
                scope.spawn(move || smol::block_on(post(operators, "/v1/sheets", TOKEN, &text)))
            });
            threads.map(|thread| thread.join().unwrap())
        });
        let numbers = replies.each_ref().map(accepted_number);
        if let [Some(one), Some(other)] = numbers {
            assert_ne!(one, other, "two sheets were accepted with the same number");
        }
        let newest = numbers.into_iter().flatten().max().unwrap_or_default();
        self.accepted_number = self.accepted_number.max(newest);
    }

    fn mark_engine(&mut self, engine: usize) {
        self.marked_engines += 1;
        let name = &self.fleet.engines[engine].name;
        let body = json!({ "endpoint": name, "mark": "leaving" }).to_string();
        let mut routers = 0..self.fleet.routers.len();
        let router = routers.find(|router| self.is_running(*router));
        let operators =
            self.fleet.routers[router.expect("at least two routers are running")].operators();
        let _ = smol::block_on(post(operators, "/v1/marks", TOKEN, &body));
    }
}

fn accepted_number(reply: &Reply) -> Option<u64> {
    let body: serde_json::Value = serde_json::from_str(&reply.body).unwrap_or_default();
    body["number"].as_u64().filter(|_| reply.status == 200)
}
