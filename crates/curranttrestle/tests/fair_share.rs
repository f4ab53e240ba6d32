//! Tests of the exchange of service counters against the exact sum of all charges.
#![allow(clippy::cast_precision_loss)]

use std::collections::BTreeMap;

use curranttrestle::coordination::fair_share::{FairShare, FairShareOptions};
use curranttrestle::protocol::peer::PeerMessage;
use curranttrestle::state::sheet::{Customer, Endpoint, EndpointKind, KeyDigest, Sheet};
use curranttrestle::state::{
    AccountId, CustomerId, DataCentreId, EndpointId, Incarnation, InstanceId, Member, MemberView,
    Now, PoolId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const LINK_DELAY_MS: u64 = 2;

fn account(index: usize) -> AccountId {
    AccountId {
        pool: PoolId::new("model"),
        customer: CustomerId::new(&format!("c{index}")),
    }
}

fn sheet(customers: usize) -> Sheet {
    let mut sheet = Sheet {
        number: 1,
        ..Sheet::default()
    };
    for index in 0..customers {
        let row = Customer {
            share: 1 + u32::try_from(index).unwrap() % 3,
            key_digest: KeyDigest([0; 32]),
            queue_limit: 10,
        };
        sheet.customers.insert(account(index).customer, row);
    }
    let endpoint = Endpoint {
        pool: PoolId::new("model"),
        kind: EndpointKind::Model,
        data_centre: DataCentreId::new("dc0"),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: 8,
        checks_fencing: true,
        leaving: false,
    };
    sheet.endpoints.insert(EndpointId::new("e0"), endpoint);
    sheet
}

/// Simulated routers that only exchange service counters.
struct Exchange {
    now: Now,
    sheet: Sheet,
    members: Vec<Member>,
    /// Whether each router is connected to the others. One that is not sees only itself as a
    /// member, and the others do not see it.
    reachable: Vec<bool>,
    shares: Vec<FairShare>,
    in_transit: BTreeMap<(u64, u64), (usize, usize, PeerMessage)>,
    sent: u64,
    loss: f64,
    rng: ChaCha8Rng,
    /// Exact sum of the charges per customer.
    charged: Vec<f64>,
}

impl Exchange {
    fn new(routers: usize, data_centres: usize, customers: usize, seed: u64) -> Self {
        let sheet = sheet(customers);
        let members: Vec<Member> = (0..routers)
            .map(|index| Member {
                instance: InstanceId::new(&format!("r{index}")),
                incarnation: Incarnation(1),
                data_centre: DataCentreId::new(&format!("dc{}", index % data_centres)),
                address: "127.0.0.1:1".parse().unwrap(),
            })
            .collect();
        let mut exchange = Self {
            now: Now::default().plus_ms(1_000),
            sheet,
            reachable: vec![true; routers],
            shares: Vec::new(),
            members,
            in_transit: BTreeMap::new(),
            sent: 0,
            loss: 0.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            charged: vec![0.0; customers],
        };
        for index in 0..routers {
            let share = exchange.new_fair_share(index);
            exchange.shares.push(share);
        }
        exchange
    }

    fn new_fair_share(&self, index: usize) -> FairShare {
        let options = FairShareOptions {
            refresh_ms: 2_000,
            ..FairShareOptions::default()
        };
        let mut share = FairShare::new(options, self.members[index].clone());
        share.apply_sheet(&self.sheet);
        share
    }

    /// Restarts a router, which loses its state and the messages in transit to it.
    fn restart(&mut self, index: usize) {
        self.members[index].incarnation.0 += 1;
        self.shares[index] = self.new_fair_share(index);
        self.in_transit.retain(|_, (_, to, _)| *to != index);
    }

    fn charge(&mut self, router: usize, customer: usize, units: f64) {
        self.charged[customer] += units;
        self.shares[router].charge(&account(customer), units, self.now);
    }

    /// Charges random customers at random routers. Some charges are negative corrections.
    fn charge_at_random(&mut self, count: usize) {
        for _ in 0..count {
            let router = self.rng.random_range(0..self.shares.len());
            let customer = self.rng.random_range(0..self.charged.len());
            let units = f64::from(self.rng.random_range(-30..200));
            self.charge(router, customer, units);
        }
    }

    fn step(&mut self) {
        self.now = self.now.plus_ms(1);
        while let Some(entry) = self.in_transit.first_entry() {
            if entry.key().0 > self.now.steady_ms {
                break;
            }
            let (from, to, message) = entry.remove();
            let responses = self.receive(from, to, &message);
            self.send(to, responses);
        }
        let live: Vec<Member> = self
            .members
            .iter()
            .zip(&self.reachable)
            .filter(|(_, reachable)| **reachable)
            .map(|(member, _)| member.clone())
            .collect();
        for index in 0..self.shares.len() {
            if !(self.now.steady_ms + index as u64).is_multiple_of(5) {
                continue;
            }
            let mut view = MemberView {
                local: self.members[index].clone(),
                live: live.clone(),
            };
            if !self.reachable[index] {
                view.live = vec![view.local.clone()];
            }
            let messages = self.shares[index].tick(&view, self.now);
            self.send(index, messages);
        }
    }

    fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms {
            self.step();
        }
    }

    fn receive(
        &mut self,
        from: usize,
        to: usize,
        message: &PeerMessage,
    ) -> Vec<(InstanceId, PeerMessage)> {
        let sender = self.members[from].clone();
        let share = &mut self.shares[to];
        match message {
            PeerMessage::ServiceReport(report) => {
                share.receive_report(&sender.instance, sender.incarnation, report, self.now);
                Vec::new()
            }
            PeerMessage::ServiceTotals(totals) => {
                share.receive_totals(&sender.instance, totals, self.now)
            }
            _ => Vec::new(),
        }
    }

    fn send(&mut self, from: usize, messages: Vec<(InstanceId, PeerMessage)>) {
        for (to, message) in messages {
            let to = self
                .members
                .iter()
                .position(|member| member.instance == to)
                .unwrap();
            if self.loss > 0.0 && self.rng.random_bool(self.loss) {
                continue;
            }
            self.sent += 1;
            let due_ms = self.now.steady_ms + LINK_DELAY_MS;
            self.in_transit
                .insert((due_ms, self.sent), (from, to, message));
        }
    }

    /// Returns the largest difference between a router's units and the exact sum.
    fn max_error(&self) -> f64 {
        let mut max_error: f64 = 0.0;
        for share in &self.shares {
            for (customer, charged) in self.charged.iter().enumerate() {
                max_error = max_error.max((share.units(&account(customer)) - charged).abs());
            }
        }
        max_error
    }
}

#[test]
fn counters_converge_to_the_exact_sum() {
    for (seed, routers, data_centres) in [(1, 1, 1), (2, 6, 1), (3, 9, 3), (4, 30, 2)] {
        let mut exchange = Exchange::new(routers, data_centres, 12, seed);
        for _ in 0..20 {
            exchange.charge_at_random(20);
            exchange.run(97);
        }
        exchange.run(6_000);
        let error = exchange.max_error();
        println!("seed={seed} routers={routers} error={error}");
        assert!(
            error < 1e-6,
            "seed {seed}: the counters are off by {error} units"
        );
    }
}

#[test]
fn counters_converge_after_message_loss() {
    for seed in 1..=5 {
        let mut exchange = Exchange::new(12, 3, 8, seed);
        exchange.loss = 0.1;
        for _ in 0..20 {
            exchange.charge_at_random(10);
            exchange.run(101);
        }
        exchange.loss = 0.0;
        exchange.run(8_000);
        let error = exchange.max_error();
        println!("seed={seed} error={error}");
        assert!(
            error < 1e-6,
            "seed {seed}: the counters are off by {error} units"
        );
    }
}

#[test]
fn restarts_lose_or_double_count_at_most_one_second_of_charges() {
    for seed in 1..=5 {
        let mut exchange = Exchange::new(12, 2, 4, seed);
        let mut max_charged_per_second = 0.0;
        for round in 0..40 {
            let before: f64 = exchange.charged.iter().sum();
            exchange.charge_at_random(20);
            exchange.run(250);
            let after: f64 = exchange.charged.iter().sum();
            max_charged_per_second = f64::max(max_charged_per_second, 4.0 * (after - before));
            if round % 10 == 9 {
                exchange.restart((round / 10 * 5) % 12);
            }
        }
        exchange.run(6_000);
        let error = exchange.max_error();
        let total: f64 = exchange.charged.iter().sum();
        println!("seed={seed} error={error} max_per_second={max_charged_per_second} total={total}");
        assert!(
            error <= max_charged_per_second,
            "seed {seed}: the counters are off by {error} units"
        );
    }
}

#[test]
fn charges_of_partitioned_members_are_kept() {
    for seed in 1..=5 {
        let mut exchange = Exchange::new(12, 2, 4, seed);
        for round in 0..12 {
            exchange.charge_at_random(20);
            exchange.run(500);
            // In every other round, one router is partitioned from the others and continues to
            // charge.
            let partitioned = (round * 5) % 12;
            exchange.reachable = vec![true; 12];
            exchange.reachable[partitioned] = round % 2 == 0;
        }
        exchange.reachable = vec![true; 12];
        exchange.run(8_000);
        let error = exchange.max_error();
        let total: f64 = exchange.charged.iter().sum();
        println!("seed={seed} error={error} total={total}");
        assert!(
            error <= 0.03 * total,
            "seed {seed}: the counters are off by {error} of {total} units"
        );
    }
}

#[test]
fn concurrent_lifts_are_applied_once() {
    let mut exchange = Exchange::new(4, 2, 3, 1);
    exchange.charge(0, 0, 9_000.0);
    for router in 0..4 {
        exchange.shares[router].set_backlogged(&account(0), true, exchange.now);
    }
    exchange.run(2_000);
    // The second customer becomes backlogged at two routers at the same time.
    exchange.shares[1].set_backlogged(&account(1), true, exchange.now);
    exchange.shares[2].set_backlogged(&account(1), true, exchange.now);
    exchange.run(3_000);
    for share in &exchange.shares {
        println!(
            "levels {:?}",
            [0, 1, 2].map(|index| share.level(&account(index)))
        );
        assert!((share.level(&account(0)) - 9_000.0).abs() < 1.0);
        assert!((share.level(&account(1)) - 9_000.0).abs() < 1.0);
        assert!(share.level(&account(2)) < 1.0);
    }
}

#[test]
fn lag_is_capped() {
    let mut exchange = Exchange::new(4, 2, 2, 1);
    for router in 0..4 {
        exchange.shares[router].set_backlogged(&account(0), true, exchange.now);
        exchange.shares[router].set_backlogged(&account(1), true, exchange.now);
    }
    exchange.run(1_000);
    let pool = PoolId::new("model");
    let cap = exchange.shares[0].max_lag(&pool, exchange.now);
    exchange.charge(0, 0, 5.0 * cap);
    exchange.run(3_000);
    for share in &exchange.shares {
        let gap = share.level(&account(0)) - share.level(&account(1));
        assert!(gap <= cap + 1.0, "gap {gap} exceeds the cap {cap}");
        assert!(
            gap >= 0.9 * cap,
            "more than the excess over the cap {cap} was removed: gap {gap}"
        );
    }
}
#[test]
fn charges_during_a_single_partition_are_counted_exactly() {
    for partitioned in 0..12 {
        let mut exchange = Exchange::new(12, 2, 4, 1);
        for _ in 0..4 {
            exchange.charge_at_random(20);
            exchange.run(500);
        }
        // The partitioned router and the others continue to charge.
        exchange.reachable[partitioned] = false;
        exchange.charge_at_random(20);
        exchange.run(500);
        exchange.reachable[partitioned] = true;
        exchange.charge_at_random(20);
        exchange.run(6_000);
        assert!(
            exchange.max_error() < 1e-6,
            "the counters are off after a partition of router {partitioned}"
        );
    }
}
