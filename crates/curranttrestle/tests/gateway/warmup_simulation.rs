//! A fleet whose gateways disagree on who is in it, and an endpoint that starts during traffic.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use curranttrestle::coordination::gateway::directory::{Sighting, SightingKind, endpoint_run};
use curranttrestle::coordination::gateway::warmup::{
    ColdEndpoints, ColdLimit, ColdStatus, WarmupOptions,
};
use curranttrestle::state::EndpointId;
use curranttrestle::state::gateway::Warmup;
use indexmap::IndexSet;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::support::at;

/// The limit of the deployments that have one: 21.5 requests in any second.
pub const OPTIONS: WarmupOptions = WarmupOptions {
    tolerance: 1.5,
    burst: 5.0,
};
pub const WARMUP: Warmup = Warmup {
    duration_ms: 3_000,
    requests_per_s: 11.0,
};
pub const BOUND: f64 = 21.5;

const STEP_MS: u64 = 10;
const GOSSIP_MS: u64 = 500;
const SEEDS: usize = 3;

/// Messages that a gateway sends in each round. Those to gateways that it does not know or reach
/// are lost.
const MESSAGES: usize = 6;

/// Attempts in each step, over the whole fleet: 600 a second, far above the bound.
const ATTEMPTS: usize = 6;

/// Longest time from the writing of an entry until a gateway reads it.
const MAX_READ_LAG_MS: u64 = 2_800;

/// How the endpoint starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Under a new id.
    New,
    /// Under the same id, after a crash that the gateways see as refused connections.
    AfterCrash,
}

/// One course of events.
#[derive(Clone, Debug)]
pub struct Course {
    pub gateways: usize,
    /// When the fleet is divided into two halves, if it is. It stays so.
    pub partition_ms: Option<u64>,
    /// When further gateways start, and whether they replace a running one at its address.
    pub joins: Vec<(u64, bool)>,
    /// How many gateways end without notice, at which time.
    pub stops: (usize, u64),
    pub start: Start,
    pub start_ms: u64,
    pub seed: u64,
}

struct Gateway {
    address: SocketAddr,
    cold: ColdEndpoints,
    known: IndexSet<SocketAddr>,
    side: bool,
    is_running: bool,
    /// When it reads the entry of the new run.
    reads_ms: u64,
}

struct Simulation<'a> {
    course: &'a Course,
    options: Option<WarmupOptions>,
    random: ChaCha8Rng,
    gateways: Vec<Gateway>,
    limit: ColdLimit,
    endpoint: EndpointId,
}

/// Plays a course and returns when requests arrived at the endpoint while it was cold.
pub fn arrivals(course: &Course, options: Option<WarmupOptions>) -> Vec<u64> {
    let mut simulation = Simulation {
        course,
        options,
        random: ChaCha8Rng::seed_from_u64(course.seed),
        gateways: Vec::new(),
        limit: ColdLimit::new(WARMUP, options.unwrap_or(OPTIONS)),
        endpoint: "model-0".into(),
    };
    simulation.run()
}

/// The most requests in any second.
pub fn most_in_a_second(arrivals: &[u64]) -> u32 {
    let starts = arrivals.iter();
    let counts = starts.map(|start_ms| {
        let within = arrivals
            .iter()
            .filter(|at_ms| (*start_ms..start_ms + 1_000).contains(at_ms));
        within.count()
    });
    let most = counts.max().unwrap_or_default();
    u32::try_from(most).expect("a few hundred requests")
}

fn address(index: usize) -> SocketAddr {
    let index = u16::try_from(index).expect("a few hundred gateways");
    SocketAddr::from(([10, 0, 0, 1], 1_000 + index))
}

impl Simulation<'_> {
    fn run(&mut self) -> Vec<u64> {
        let all: Vec<SocketAddr> = (0..self.course.gateways).map(address).collect();
        for index in 0..self.course.gateways {
            self.add(address(index), &all, 0);
        }
        let start_ms = self.course.start_ms;
        let crash_ms = start_ms - self.random.random_range(100..2_000);
        let mut sent = BTreeMap::new();
        let mut joins = self.course.joins.clone();
        for now_ms in (0..start_ms + WARMUP.duration_ms).step_by(10) {
            if now_ms % GOSSIP_MS == 0 {
                self.gossip(now_ms);
            }
            joins.retain(|(join_ms, replaces)| {
                let is_due = *join_ms <= now_ms;
                if is_due {
                    self.join(*replaces, now_ms);
                }
                !is_due
            });
            if self.course.partition_ms == Some(now_ms / GOSSIP_MS * GOSSIP_MS)
                && now_ms % GOSSIP_MS == 0
            {
                for gateway in &mut self.gateways {
                    gateway.side = self.random.random();
                }
            }
            if now_ms == self.course.stops.1 / STEP_MS * STEP_MS {
                for gateway in self.gateways.iter_mut().take(self.course.stops.0) {
                    gateway.is_running = false;
                }
            }
            if self.course.start == Start::AfterCrash && now_ms < start_ms {
                if now_ms + STEP_MS > crash_ms {
                    self.refuse_connections(now_ms);
                }
            } else if now_ms + STEP_MS > start_ms {
                self.read_entries(now_ms);
                self.send(now_ms, &mut sent);
            }
        }
        let cold_until_ms = start_ms + WARMUP.duration_ms;
        let arrived = sent
            .into_iter()
            .flat_map(|(arrived_ms, count)| std::iter::repeat_n(arrived_ms, count));
        arrived
            .filter(|arrived_ms| *arrived_ms < cold_until_ms)
            .collect()
    }

    fn add(&mut self, own: SocketAddr, known: &[SocketAddr], now_ms: u64) {
        let now = at(now_ms);
        let mut cold = ColdEndpoints::new(self.options);
        cold.set_own_address(own, now);
        for other in known {
            cold.record_gateway(*other, now);
        }
        // The endpoint is in the first list that the gateway reads, unless it has a new id.
        if self.course.start == Start::AfterCrash || now_ms > self.course.start_ms {
            let (run, left_ms) = if now_ms > self.course.start_ms {
                (2, self.course.start_ms + WARMUP.duration_ms)
            } else {
                (1, 0)
            };
            let left_ms = left_ms.saturating_sub(now_ms);
            cold.record_sighting(self.sighting(SightingKind::FirstList, run, left_ms), now);
        }
        let reads_ms = self.course.start_ms + self.random.random_range(0..MAX_READ_LAG_MS);
        self.gateways.push(Gateway {
            address: own,
            cold,
            known: known.iter().copied().collect(),
            side: self.random.random(),
            is_running: true,
            reads_ms: if now_ms > self.course.start_ms {
                u64::MAX
            } else {
                reads_ms
            },
        });
    }

    fn sighting(&self, kind: SightingKind, run: u64, warmup_left_ms: u64) -> Sighting {
        Sighting {
            endpoint: self.endpoint.clone(),
            service: "model".to_owned(),
            run: endpoint_run(&self.endpoint, run),
            warmup_left_ms,
            kind,
        }
    }

    fn join(&mut self, at_running_address: bool, now_ms: u64) {
        let seeds: Vec<SocketAddr> = (0..SEEDS).map(address).collect();
        let new = address(500 + self.gateways.len());
        let index = self.random.random_range(0..self.gateways.len());
        let ended = Some(index).filter(|_| at_running_address);
        let own = ended.map_or(new, |index| {
            let gateway = &mut self.gateways[index];
            gateway.is_running = false;
            gateway.address
        });
        self.add(own, &seeds, now_ms);
    }

    fn is_connected(&self, one: usize, other: usize, now_ms: u64) -> bool {
        let (one, other) = (&self.gateways[one], &self.gateways[other]);
        let is_divided = self.course.partition_ms.is_some_and(|from| from <= now_ms);
        one.is_running && other.is_running && (!is_divided || one.side == other.side)
    }

    fn gossip(&mut self, now_ms: u64) {
        let now = at(now_ms);
        let count = self.gateways.len();
        for from in 0..count {
            let is_live = |simulation: &Self, to: usize| {
                let known = &simulation.gateways[from].known;
                to != from
                    && simulation.is_connected(from, to, now_ms)
                    && known.contains(&simulation.gateways[to].address)
            };
            let has_live = (0..count).any(|to| is_live(self, to));
            let live = usize::from(has_live);
            self.gateways[from].cold.observe_live_peers(live, now);
            for _ in 0..MESSAGES {
                let to = self.random.random_range(0..count);
                let named = self.random.random_range(0..count);
                if !is_live(self, to) {
                    continue;
                }
                let named = Some(named).filter(|named| is_live(self, *named));
                for index in [Some(from), named].into_iter().flatten() {
                    let address = self.gateways[index].address;
                    let receiver = &mut self.gateways[to];
                    receiver.cold.record_gateway(address, now);
                    receiver.known.insert(address);
                }
            }
        }
    }

    fn refuse_connections(&mut self, now_ms: u64) {
        for gateway in &mut self.gateways {
            let status = gateway.cold.status(&self.endpoint, &self.limit, at(now_ms));
            if status == ColdStatus::Warm {
                let now = at(now_ms);
                gateway.cold.record_connection_lost(&self.endpoint, now);
            }
        }
    }

    fn read_entries(&mut self, now_ms: u64) {
        let kind = match self.course.start {
            Start::New => SightingKind::New,
            Start::AfterCrash => SightingKind::Restarted,
        };
        for index in 0..self.gateways.len() {
            if self.gateways[index].reads_ms <= now_ms {
                self.gateways[index].reads_ms = u64::MAX;
                let sighting = self.sighting(kind, 2, 0);
                self.gateways[index]
                    .cold
                    .record_sighting(sighting, at(now_ms));
            }
        }
    }

    fn send(&mut self, now_ms: u64, sent: &mut BTreeMap<u64, usize>) {
        for _ in 0..ATTEMPTS {
            let index = self.random.random_range(0..self.gateways.len());
            let waits_ms = self.random.random_range(0..STEP_MS);
            let late_ms = if self.random.random_bool(0.05) {
                self.random.random_range(0..1_500)
            } else {
                self.random.random_range(0..250)
            };
            let gateway = &mut self.gateways[index];
            let now = at(now_ms + waits_ms);
            let is_sent = gateway.is_running
                && match self.options {
                    None => gateway.reads_ms == u64::MAX,
                    Some(_) => gateway.cold.take_permit(&self.endpoint, &self.limit, now),
                };
            if is_sent {
                let (endpoint, sent_ms) = (&self.endpoint, now.steady_ms);
                gateway
                    .cold
                    .record_answer(endpoint, sent_ms, now.plus_ms(1));
                *sent.entry(now_ms + waits_ms + late_ms).or_default() += 1;
            }
        }
    }
}
