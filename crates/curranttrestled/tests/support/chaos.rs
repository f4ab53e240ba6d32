//! Faults at random, one or two at a time, each undone after a while.

use std::time::{Duration, Instant};

use curranttrestle_standins::relay::{Direction, RelayFault};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use super::client::{Reply, post};
use super::fleet::{DATA_CENTRES, Fleet, TOKEN, fault};
use super::mix::Addresses;

/// The most faults in force at once.
const MAX_FAULTS: usize = 2;
/// Bounds of the time that a fault lasts.
const FAULT_MS: std::ops::Range<u64> = 200..3_500;
/// Bounds of the time between two faults.
const PAUSE_MS: std::ops::Range<u64> = 50..700;
/// Endpoints that may be marked as leaving in one run, which is never undone.
const MAX_MARKS: usize = 2;

/// What is brought about.
#[derive(Clone, Copy, Debug)]
enum Chaos {
    KillRouter(usize),
    PauseRouter(usize),
    CutOneWay(usize, usize),
    CutBothWays(usize, usize),
    CutPlatform(usize),
    SilencePeers(usize, usize),
    StoreUnavailable,
    StoreClosed,
    StoreSlow(u64),
    LoseAnswers(u32),
    SilencePlatform,
    RaceSheets(usize, usize),
    MarkEngine(usize),
    SilenceEngine(usize),
    CloseEngine(usize),
    CrashEngine(usize),
    FreezeEngine(usize),
    EngineFrames(usize),
    FreezeService(usize),
    SilenceService(usize),
    ServiceClosesAfterRunning(usize),
    ServiceClosesBeforeRunning(usize),
}

/// A run of random faults.
pub struct ChaosRun<'a> {
    fleet: &'a mut Fleet,
    addresses: Addresses,
    rng: ChaCha8Rng,
    in_force: Vec<(Instant, Chaos)>,
    marked: usize,
    races: u32,
    /// The greatest number of a sheet that an operator was told was accepted.
    pub accepted_number: u64,
}

impl<'a> ChaosRun<'a> {
    /// Nothing has happened yet; sheet 1 is in force.
    pub fn new(fleet: &'a mut Fleet, addresses: Addresses, seed: u64) -> Self {
        Self {
            fleet,
            addresses,
            rng: ChaCha8Rng::seed_from_u64(seed),
            in_force: Vec::new(),
            marked: 0,
            races: 0,
            accepted_number: 1,
        }
    }

    /// Brings about faults for a while, then undoes all.
    pub fn run(&mut self, length: Duration) {
        let started = Instant::now();
        while started.elapsed() < length {
            self.undo_until(Instant::now());
            if self.in_force.len() < MAX_FAULTS {
                let chaos = self.choose();
                let lasts_ms = self.rng.random_range(FAULT_MS);
                println!(
                    "{:>6} ms {chaos:?} for {lasts_ms} ms",
                    started.elapsed().as_millis()
                );
                self.begin(chaos);
                let until = Instant::now() + Duration::from_millis(lasts_ms);
                self.in_force.push((until, chaos));
            }
            let pause_ms = self.rng.random_range(PAUSE_MS);
            std::thread::sleep(Duration::from_millis(pause_ms));
        }
        self.undo_until(Instant::now() + Duration::from_millis(FAULT_MS.end));
        self.heal_all();
    }

    fn choose(&mut self) -> Chaos {
        let router = self.running_router();
        let engine = self.rng.random_range(0..self.fleet.engines.len());
        let service = self.rng.random_range(0..self.fleet.services.len());
        let from = self.rng.random_range(0..DATA_CENTRES.len());
        let to = (from + self.rng.random_range(1..DATA_CENTRES.len())) % DATA_CENTRES.len();
        match self.rng.random_range(0..22) {
            0 | 1 => Chaos::KillRouter(router),
            2 | 3 => Chaos::PauseRouter(router),
            4 => Chaos::CutOneWay(from, to),
            5 => Chaos::CutBothWays(from, to),
            6 => Chaos::CutPlatform(from),
            7 => Chaos::SilencePeers(from, to),
            8 => Chaos::StoreUnavailable,
            9 => Chaos::StoreClosed,
            10 => Chaos::StoreSlow(self.rng.random_range(100..1_500)),
            11 => Chaos::LoseAnswers(self.rng.random_range(1..10)),
            12 => Chaos::SilencePlatform,
            13 => self.race(router),
            14 if self.marked < MAX_MARKS => Chaos::MarkEngine(engine),
            15 => Chaos::CloseEngine(engine),
            16 => Chaos::CrashEngine(engine),
            17 => Chaos::FreezeEngine(engine),
            18 => Chaos::EngineFrames(engine),
            19 => Chaos::FreezeService(service),
            20 => Chaos::SilenceService(service),
            21 if self.rng.random_bool(0.5) => Chaos::ServiceClosesAfterRunning(service),
            21 => Chaos::ServiceClosesBeforeRunning(service),
            _ => Chaos::SilenceEngine(engine),
        }
    }

    /// A race between two routers that run.
    fn race(&self, first: usize) -> Chaos {
        let count = self.fleet.routers.len();
        let mut running = (0..count)
            .map(|step| (first + step) % count)
            .filter(|router| self.is_running(*router));
        let one = running.next().expect("most routers run");
        let other = running.next().expect("most routers run");
        Chaos::RaceSheets(one, other)
    }

    /// A router that is neither killed nor paused.
    fn running_router(&mut self) -> usize {
        loop {
            let router = self.rng.random_range(0..self.fleet.routers.len());
            if self.is_running(router) {
                return router;
            }
        }
    }

    fn is_running(&self, index: usize) -> bool {
        !self.in_force.iter().any(|(_, chaos)| match chaos {
            Chaos::KillRouter(router) | Chaos::PauseRouter(router) => *router == index,
            _ => false,
        })
    }

    fn begin(&mut self, chaos: Chaos) {
        let cut = RelayFault::Cut {
            direction: Direction::Both,
        };
        let platform = &self.fleet.platform;
        match chaos {
            Chaos::KillRouter(router) => self.fleet.routers[router].process.kill(),
            Chaos::PauseRouter(router) => self.fleet.routers[router].process.pause(),
            Chaos::CutOneWay(from, to) => {
                self.fleet
                    .cut_one_way(DATA_CENTRES[from], DATA_CENTRES[to], cut);
            }
            Chaos::CutBothWays(from, to) => {
                self.fleet.cut(DATA_CENTRES[from], DATA_CENTRES[to], cut);
            }
            Chaos::CutPlatform(from) => self.fleet.cut_platform(DATA_CENTRES[from], cut),
            Chaos::SilencePeers(from, to) => {
                let silence = RelayFault::SilenceConnections;
                self.fleet
                    .cut(DATA_CENTRES[from], DATA_CENTRES[to], silence);
            }
            Chaos::StoreUnavailable => {
                fault(
                    platform,
                    &json!({ "fault": "outage", "outage": "unavailable" }),
                );
            }
            Chaos::StoreClosed => {
                fault(platform, &json!({ "fault": "outage", "outage": "closed" }));
            }
            Chaos::StoreSlow(delay_ms) => {
                fault(platform, &json!({ "fault": "slow", "delay_ms": delay_ms }));
            }
            Chaos::LoseAnswers(count) => {
                fault(
                    platform,
                    &json!({ "fault": "lose-answers", "count": count }),
                );
            }
            Chaos::SilencePlatform => {
                fault(platform, &json!({ "fault": "silence-connections" }));
            }
            Chaos::RaceSheets(one, other) => self.race_sheets(one, other),
            Chaos::MarkEngine(engine) => self.mark_engine(engine),
            Chaos::SilenceEngine(engine) => {
                self.at_engine(engine, &json!({ "fault": "silence-connections" }));
            }
            Chaos::CloseEngine(engine) => {
                self.at_engine(engine, &json!({ "fault": "close-connections" }));
            }
            Chaos::CrashEngine(engine) => self.at_engine(engine, &json!({ "fault": "crash" })),
            Chaos::FreezeEngine(engine) => self.at_engine(engine, &json!({ "fault": "freeze" })),
            Chaos::EngineFrames(engine) => {
                let frames = json!({
                    "duplicate_every": 3, "reorder_every": 5, "foreign_every": 4,
                    "late_every": 7, "drop_every": 11,
                });
                self.at_engine(engine, &json!({ "fault": "frames", "frames": frames }));
            }
            Chaos::FreezeService(service) => {
                self.at_service(service, &json!({ "fault": "freeze" }));
            }
            Chaos::SilenceService(service) => {
                self.at_service(service, &json!({ "fault": "silence-connections" }));
            }
            Chaos::ServiceClosesAfterRunning(service) => {
                self.at_service(
                    service,
                    &json!({ "fault": "close-after-running", "count": 2 }),
                );
            }
            Chaos::ServiceClosesBeforeRunning(service) => {
                self.at_service(
                    service,
                    &json!({ "fault": "close-without-running", "count": 2 }),
                );
            }
        }
    }

    fn undo_until(&mut self, now: Instant) {
        let (over, in_force) = std::mem::take(&mut self.in_force)
            .into_iter()
            .partition(|(until, _)| *until <= now);
        self.in_force = in_force;
        let over: Vec<(Instant, Chaos)> = over;
        for (_, chaos) in over {
            self.undo(chaos);
        }
    }

    fn undo(&mut self, chaos: Chaos) {
        let heal = json!({ "fault": "heal" });
        match chaos {
            Chaos::KillRouter(router) => {
                self.fleet.restart_router(router);
                self.addresses.update(self.fleet);
            }
            Chaos::PauseRouter(router) => self.fleet.routers[router].process.resume(),
            Chaos::CutOneWay(from, to) | Chaos::CutBothWays(from, to) => {
                let (from, to) = (DATA_CENTRES[from], DATA_CENTRES[to]);
                self.fleet.cut(from, to, RelayFault::Heal);
            }
            Chaos::CutPlatform(from) => {
                self.fleet
                    .cut_platform(DATA_CENTRES[from], RelayFault::Heal);
            }
            Chaos::StoreUnavailable | Chaos::StoreClosed | Chaos::StoreSlow(_) => {
                fault(&self.fleet.platform, &heal);
            }
            Chaos::FreezeEngine(engine) | Chaos::EngineFrames(engine) => {
                self.at_engine(engine, &heal);
            }
            Chaos::FreezeService(service) => self.at_service(service, &heal),
            Chaos::SilencePeers(..)
            | Chaos::LoseAnswers(_)
            | Chaos::SilencePlatform
            | Chaos::RaceSheets(..)
            | Chaos::MarkEngine(_)
            | Chaos::SilenceEngine(_)
            | Chaos::CloseEngine(_)
            | Chaos::CrashEngine(_)
            | Chaos::SilenceService(_)
            | Chaos::ServiceClosesAfterRunning(_)
            | Chaos::ServiceClosesBeforeRunning(_) => {}
        }
    }

    fn heal_all(&self) {
        let heal = json!({ "fault": "heal" });
        fault(&self.fleet.platform, &heal);
        (0..self.fleet.engines.len()).for_each(|engine| self.at_engine(engine, &heal));
        (0..self.fleet.services.len()).for_each(|service| self.at_service(service, &heal));
    }

    fn at_engine(&self, engine: usize, what: &serde_json::Value) {
        fault(&self.fleet.engines[engine].process, what);
    }

    fn at_service(&self, service: usize, what: &serde_json::Value) {
        fault(&self.fleet.services[service].process, what);
    }

    /// Two operators submit different sheets through two routers at once.
    fn race_sheets(&mut self, one: usize, other: usize) {
        self.races += 1;
        let round = self.races;
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
        let numbers = replies.each_ref().map(accepted);
        if let [Some(one), Some(other)] = numbers {
            assert_ne!(one, other, "two sheets were accepted under one number");
        }
        let newest = numbers.into_iter().flatten().max().unwrap_or_default();
        self.accepted_number = self.accepted_number.max(newest);
    }

    fn mark_engine(&mut self, engine: usize) {
        self.marked += 1;
        let name = &self.fleet.engines[engine].name;
        let body = json!({ "endpoint": name, "mark": "leaving" }).to_string();
        let mut routers = 0..self.fleet.routers.len();
        let router = routers.find(|router| self.is_running(*router));
        let operators = self.fleet.routers[router.expect("most routers run")].operators();
        let _ = smol::block_on(post(operators, "/v1/marks", TOKEN, &body));
    }
}

fn accepted(reply: &Reply) -> Option<u64> {
    let body: serde_json::Value = serde_json::from_str(&reply.body).unwrap_or_default();
    body["number"].as_u64().filter(|_| reply.status == 200)
}
