//! Several gateways and engines on a simulated clock. A prompt part crashes each engine that begins
//! to respond to a request with it. Arrivals and responses are counted at the engines.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use curranttrestle::coordination::gateway::control::Control;
use curranttrestle::coordination::gateway::directory::endpoint_run;
use curranttrestle::state::Now;
use curranttrestle::state::gateway::PromptPart;
use curranttrestle_gateway::peers::PeerExchange;
use curranttrestle_gateway::settings::GatewaySettings;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const GATEWAYS: usize = 9;
const ENGINES: usize = 12;
const TICK_INTERVAL_MS: u64 = 50;
const DATAGRAM_DELAY_MS: u64 = 3;
/// Share of the datagrams that are lost.
const LOSS: f64 = 0.03;
/// From the start of a request to its first event.
const FIRST_EVENT_MS: u64 = 120;
/// From the first event to the last one.
const RESPONSE_MS: u64 = 1_500;
const RESTART_MS: u64 = 3_000;
const MAX_ATTEMPTS: u32 = 2;
/// The crashing requests come from this time on.
const FIRST_CRASHING_MS: u64 = 10_000;
const END_MS: u64 = 40_000;

/// The rule: after the fifth crash and this time, at most three more requests with the part reach
/// engines; after twice this time, harmless requests begin as before.
const CONTACT_MS: u64 = 3_000;
const MAX_LATE_ARRIVALS: usize = 3;

/// The part that crashes engines.
const CRASHING: u64 = 999;

/// One kind of request.
#[derive(Clone, Copy, Debug)]
struct Kind {
    requests_per_s: f64,
    /// Number of different first parts, and of second parts below all of them.
    first_parts: u64,
    second_parts: u64,
    crashing_share: f64,
    /// Position of the crashing part in its prompts.
    crashing_position: usize,
}

const REPORTS: Kind = Kind {
    requests_per_s: 62.8,
    first_parts: 4,
    second_parts: 252,
    crashing_share: 0.05,
    crashing_position: 1,
};

#[derive(Clone, Debug)]
struct Request {
    gateway: usize,
    parts: Vec<PromptPart>,
    attempts: u32,
    engine: usize,
    has_begun: bool,
}

enum Event {
    Begin(u64),
    Complete(u64),
    Datagram {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Engine {
    down_until_ms: u64,
    runs: u64,
}

/// What engines and callers saw.
#[derive(Debug, Default)]
struct Record {
    crashes_ms: Vec<u64>,
    /// Arrivals of requests with the crashing part.
    crashing_arrivals_ms: Vec<u64>,
    /// Harmless requests with the first part of crashing ones: when they came, and whether the first
    /// attempt began.
    related: Vec<(u64, bool)>,
    /// Harmless requests that were refused.
    refused: usize,
}

struct Fleet {
    kind: Kind,
    gateways: Vec<(Control, PeerExchange)>,
    engines: Vec<Engine>,
    random: ChaCha8Rng,
    events: BTreeMap<u64, Vec<Event>>,
    requests: BTreeMap<u64, Request>,
    /// Index in `Record::related` by request.
    related: BTreeMap<u64, usize>,
    next_request: u64,
    now_ms: u64,
    record: Record,
}

fn at(now_ms: u64) -> Now {
    Now {
        steady_ms: 1_000_000 + now_ms,
        unix_ms: 1_700_000_000_000 + now_ms,
    }
}

fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(7_000 + index).expect("few gateways");
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn part(id: u64) -> PromptPart {
    PromptPart { id, tokens: 500 }
}

impl Fleet {
    fn new(kind: Kind, seed: u64) -> Self {
        let gateway = |index| {
            let settings = GatewaySettings {
                instance: format!("gateway-{index}"),
                peers: address(index),
                seeds: (0..3).map(address).collect(),
                ..GatewaySettings::default()
            };
            let exchange = PeerExchange::new(&settings, 1, at(0));
            (Control::new(settings.control), exchange)
        };
        Self {
            kind,
            gateways: (0..GATEWAYS).map(gateway).collect(),
            engines: vec![Engine::default(); ENGINES],
            random: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            requests: BTreeMap::new(),
            related: BTreeMap::new(),
            next_request: 0,
            now_ms: 0,
            record: Record::default(),
        }
    }

    /// Runs the load. Engines also crash together for other reasons at `common_crashes_ms`.
    fn run(mut self, common_crashes_ms: &[u64]) -> Self {
        while self.now_ms < END_MS {
            for event in self.events.remove(&self.now_ms).unwrap_or_default() {
                self.handle(event);
            }
            if common_crashes_ms.contains(&self.now_ms) {
                (0..ENGINES / 3).for_each(|engine| self.crash(engine));
            }
            for index in 0..GATEWAYS {
                if (self.now_ms + index as u64 * 7).is_multiple_of(TICK_INTERVAL_MS) {
                    self.tick(index);
                }
            }
            if self.random.random::<f64>() < self.kind.requests_per_s / 1_000.0 {
                self.arrive();
            }
            self.now_ms += 1;
        }
        self
    }

    fn tick(&mut self, index: usize) {
        let now = at(self.now_ms);
        let (control, exchange) = &mut self.gateways[index];
        control.prompt_parts.update(now);
        for datagram in exchange.send_due(control, now).datagrams {
            for target in datagram.targets {
                if self.random.random::<f64>() < LOSS {
                    continue;
                }
                let event = Event::Datagram {
                    from: index,
                    to: usize::from(target.port()) - 7_000,
                    bytes: datagram.bytes.clone(),
                };
                let arrival_ms = self.now_ms + DATAGRAM_DELAY_MS;
                self.events.entry(arrival_ms).or_default().push(event);
            }
        }
    }

    fn arrive(&mut self) {
        let Kind {
            first_parts,
            second_parts,
            crashing_share,
            crashing_position,
            ..
        } = self.kind;
        let is_crashing =
            self.now_ms >= FIRST_CRASHING_MS && self.random.random::<f64>() < crashing_share;
        let first = self.random.random_range(0..first_parts);
        let second = 1_000 + self.random.random_range(0..second_parts);
        let id = self.next_request;
        self.next_request += 1;
        let mut parts = vec![part(first), part(second), part(1_000_000 + id)];
        if is_crashing {
            // All crashing requests have the same first part, unless that one is the crashing one.
            parts[0] = part(0);
            parts[crashing_position] = part(CRASHING);
        } else if first == 0 || crashing_position == 0 {
            self.related.insert(id, self.record.related.len());
            self.record.related.push((self.now_ms, false));
        }
        let request = Request {
            gateway: self.random.random_range(0..GATEWAYS),
            parts,
            attempts: 0,
            engine: 0,
            has_begun: false,
        };
        self.send(id, request);
    }

    fn send(&mut self, id: u64, mut request: Request) {
        let now = at(self.now_ms);
        let (control, _) = &self.gateways[request.gateway];
        let shared = &request.parts[..2];
        let is_crashing = shared.contains(&part(CRASHING));
        if control.prompt_parts.refusal_ms(shared, now).is_some() {
            self.record.refused += usize::from(!is_crashing);
            return;
        }
        let up: Vec<usize> = (0..ENGINES)
            .filter(|engine| self.engines[*engine].down_until_ms <= self.now_ms)
            .collect();
        if up.is_empty() || request.attempts >= MAX_ATTEMPTS {
            return;
        }
        request.engine = up[self.random.random_range(0..up.len())];
        request.attempts += 1;
        if is_crashing {
            self.record.crashing_arrivals_ms.push(self.now_ms);
        }
        self.requests.insert(id, request);
        let begin_ms = self.now_ms + FIRST_EVENT_MS;
        let first = self.events.entry(begin_ms).or_default();
        first.push(Event::Begin(id));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Begin(id) => self.begin(id),
            Event::Complete(id) => {
                self.requests.remove(&id);
            }
            Event::Datagram { from, to, bytes } => {
                let (control, exchange) = &mut self.gateways[to];
                exchange
                    .receive(control, address(from), &bytes, at(self.now_ms))
                    .expect("a datagram is a message");
            }
        }
    }

    fn begin(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.parts.contains(&part(CRASHING)) {
            let engine = request.engine;
            self.record.crashes_ms.push(self.now_ms);
            self.crash(engine);
            return;
        }
        request.has_begun = true;
        if request.attempts == 1
            && let Some(index) = self.related.get(&id)
        {
            self.record.related[*index].1 = true;
        }
        let (control, _) = &mut self.gateways[request.gateway];
        control
            .prompt_parts
            .record_begun(&request.parts[..2], at(self.now_ms));
        let end_ms = self.now_ms + RESPONSE_MS;
        let end = self.events.entry(end_ms).or_default();
        end.push(Event::Complete(id));
    }

    /// Loses all requests of an engine; those that had not begun are sent again.
    fn crash(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        let run = endpoint_run(&format!("engine-{index}").as_str().into(), engine.runs);
        engine.runs += 1;
        engine.down_until_ms = self.now_ms + RESTART_MS;
        let lost: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| request.engine == index)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            let Some(request) = self.requests.remove(&id) else {
                continue;
            };
            if !request.has_begun {
                let (control, _) = &mut self.gateways[request.gateway];
                control
                    .prompt_parts
                    .record_crash(run, &request.parts[..2], at(self.now_ms));
                self.send(id, request);
            }
        }
    }
}

impl Record {
    /// When the fifth engine crashed, or the last if there were fewer.
    fn fifth_crash_ms(&self) -> u64 {
        let fifth = self.crashes_ms.get(4).or(self.crashes_ms.last());
        *fifth.expect("an engine crashed")
    }

    /// The part of the related requests in a span of time whose first attempt began.
    fn begun_share(&self, from_ms: u64, to_ms: u64) -> f64 {
        let in_span = self.related.iter();
        let in_span: Vec<bool> = in_span
            .filter(|(arrived_ms, _)| (from_ms..to_ms).contains(arrived_ms))
            .map(|(_, has_begun)| *has_begun)
            .collect();
        assert!(in_span.len() >= 20, "{} requests", in_span.len());
        let begun = in_span.iter().filter(|has_begun| **has_begun).count();
        let [begun, all] = [begun, in_span.len()].map(|count| u32::try_from(count).unwrap());
        f64::from(begun) / f64::from(all)
    }
}

/// Checks both rules for one kind of request, with several seeds.
fn check(kind: Kind) {
    for seed in 1..=10 {
        let record = Fleet::new(kind, seed).run(&[]).record;
        let fifth_ms = record.fifth_crash_ms();
        let late = record.crashing_arrivals_ms.iter();
        let late = late.filter(|at_ms| **at_ms > fifth_ms + CONTACT_MS).count();
        assert!(
            late <= MAX_LATE_ARRIVALS,
            "seed {seed}: {late} requests with the part reached engines later, {} crashed in all",
            record.crashes_ms.len()
        );
        let before = record.begun_share(0, FIRST_CRASHING_MS);
        let during = record.begun_share(fifth_ms + 2 * CONTACT_MS, END_MS - 1_000);
        assert!(
            during >= before / 2.0,
            "seed {seed}: {during:.2} of the harmless requests began, {before:.2} before"
        );
    }
}

#[test]
fn part_that_crashes_engines_reaches_no_more_of_them_and_harmless_requests_go_on() {
    check(REPORTS);
}

#[test]
fn rare_first_part_that_all_crashing_requests_share_is_not_refused() {
    check(Kind {
        first_parts: 20,
        crashing_share: 0.1,
        ..REPORTS
    });
}

#[test]
fn crashing_first_part_is_refused_and_its_second_parts_are_not() {
    check(Kind {
        second_parts: 12,
        crashing_share: 0.1,
        crashing_position: 0,
        ..REPORTS
    });
}

#[test]
fn engines_that_crash_for_other_reasons_get_no_part_refused() {
    let kind = Kind {
        requests_per_s: 200.0,
        crashing_share: 0.0,
        ..REPORTS
    };
    for seed in 1..=10 {
        let fleet = Fleet::new(kind, seed).run(&[5_000, 9_000, 13_000, 17_000, 21_000]);
        assert_eq!(fleet.record.refused, 0, "seed {seed}");
    }
}
