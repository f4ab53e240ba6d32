//! A fleet of memberships that exchange messages through a faulty network, beside a naive
//! version that sends a heartbeat to every router.

#![allow(dead_code, reason = "each test file uses a part of it")]

mod naive;
mod network;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use curranttrestle::coordination::membership::{Membership, MembershipEffect, MembershipOptions};
use curranttrestle::protocol::peer::{MemberDigests, MemberNews, MemberStatus, PeerMessage, Ping};
use curranttrestle::state::{Incarnation, InstanceId, Member};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::{Schedule, at, router_name};
pub use naive::NaiveMembership;
pub use network::Network;

/// Time between two ticks of a router.
const TICK_MS: u64 = 100;
/// The port of router 0.
const FIRST_PORT: u16 = 7_000;

/// The routers that one router holds live, by name and run.
pub type LiveSet = BTreeSet<(InstanceId, u64)>;

/// What travels between routers.
#[derive(Clone, Debug)]
enum Packet {
    Peer(PeerMessage),
    Heartbeat { incarnation: u64, leaving: bool },
}

enum Event {
    Tick {
        router: usize,
        incarnation: u64,
    },
    Deliver {
        from: usize,
        to: usize,
        packet: Packet,
    },
}

/// One running router.
pub struct Node {
    /// The membership under test.
    pub membership: Membership,
    /// The naive version.
    pub naive: NaiveMembership,
    /// Encoded bytes of all messages sent.
    pub sent_bytes: u64,
    /// How often any member, by its number, was declared dead here.
    pub deaths: Vec<u32>,
    incarnation: u64,
}

/// The fleet.
pub struct Fleet {
    /// The routers; none for one that does not run.
    pub nodes: Vec<Option<Node>>,
    /// The network.
    pub network: Network,
    /// The present time.
    pub now_ms: u64,
    schedule: Schedule<Event>,
    rng: ChaCha8Rng,
    incarnations: u64,
}

impl Fleet {
    /// Routers that start within a second and join through the first two of them.
    pub fn new(routers: usize, seed: u64) -> Self {
        let mut fleet = Self {
            nodes: (0..routers).map(|_| None).collect(),
            network: Network::default(),
            now_ms: 0,
            schedule: Schedule::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            incarnations: 0,
        };
        for router in 0..routers {
            fleet.start(router);
        }
        fleet
    }

    /// Starts a router as a new run of its name.
    pub fn start(&mut self, router: usize) {
        self.incarnations += 1;
        let incarnation = self.incarnations;
        let member = member(router, incarnation);
        let seeds = vec![address(0), address(1)];
        self.nodes[router] = Some(Node {
            membership: Membership::new(member, seeds, MembershipOptions::default()),
            naive: NaiveMembership::new(router, incarnation),
            sent_bytes: 0,
            deaths: vec![0; self.nodes.len()],
            incarnation,
        });
        let first_ms = self.now_ms + self.rng.random_range(0..1_000);
        let event = Event::Tick {
            router,
            incarnation,
        };
        self.schedule.push(first_ms, event);
    }

    /// Ends a router without a word.
    pub fn kill(&mut self, router: usize) {
        self.nodes[router] = None;
    }

    /// Stops a router from running until a time. What it is sent waits for it.
    pub fn pause(&mut self, router: usize, until_ms: u64) {
        self.network.paused_until_ms.insert(router, until_ms);
    }

    /// Makes a router say that it takes no new work.
    pub fn leave(&mut self, router: usize) {
        if let Some(node) = &mut self.nodes[router] {
            node.membership.leave();
            node.naive.leave();
        }
    }

    /// A third router tells `to` that `router` is believed to be `status`.
    pub fn tell(&mut self, to: usize, router: usize, status: MemberStatus) {
        let sender = self.nodes[to].as_ref().unwrap();
        let news = sender
            .membership
            .members()
            .find(|news| news.member.instance == router_name(router))
            .unwrap();
        let news = MemberNews {
            status,
            ..news.clone()
        };
        let ping = Ping {
            sequence: 0,
            join: false,
            digests: MemberDigests::default(),
            news: vec![news],
        };
        let packet = Packet::Peer(PeerMessage::Ping(ping));
        self.deliver(to + 1, to, packet);
    }

    /// Lets time pass.
    pub fn run_until(&mut self, end_ms: u64) {
        while let Some((at_ms, event)) = self.schedule.pop_until(end_ms) {
            self.now_ms = at_ms;
            self.take(event);
        }
        self.now_ms = end_ms;
    }

    /// Lets time pass until all agree on the running routers; returns how long that took.
    pub fn run_until_agreed(&mut self, limit_ms: u64) -> Option<u64> {
        let start_ms = self.now_ms;
        while !self.is_agreed() {
            if self.now_ms - start_ms >= limit_ms {
                return None;
            }
            self.run_until(self.now_ms + TICK_MS);
        }
        Some(self.now_ms - start_ms)
    }

    /// Whether each router holds exactly the running ones that are not leaving for live.
    pub fn is_agreed(&self) -> bool {
        let truth = self.truth();
        self.running().all(|(_, node)| node.live() == truth)
    }

    /// The routers that run.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Node)> {
        let nodes = self.nodes.iter().enumerate();
        nodes.filter_map(|(router, node)| Some((router, node.as_ref()?)))
    }

    /// The routers that run and are not leaving.
    pub fn truth(&self) -> LiveSet {
        let staying = self.running().filter(|(_, node)| !node.naive.is_leaving());
        staying
            .map(|(router, node)| (router_name(router), node.incarnation))
            .collect()
    }

    /// What all running routers sent since their start, in bytes.
    pub fn sent_bytes(&self) -> Vec<u64> {
        self.running().map(|(_, node)| node.sent_bytes).collect()
    }

    /// How often a router was declared dead, counted over all running routers.
    pub fn deaths_of(&self, router: usize) -> u32 {
        self.running().map(|(_, node)| node.deaths[router]).sum()
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Tick {
                router,
                incarnation,
            } => self.tick(router, incarnation),
            Event::Deliver { from, to, packet } => self.deliver(from, to, packet),
        }
    }

    fn tick(&mut self, router: usize, incarnation: u64) {
        let Some(node) = &mut self.nodes[router] else {
            return;
        };
        if node.incarnation != incarnation {
            return;
        }
        if let Some(until_ms) = self.network.paused_until(router, self.now_ms) {
            self.schedule.push(
                until_ms,
                Event::Tick {
                    router,
                    incarnation,
                },
            );
            return;
        }
        let effects = node.membership.tick(at(self.now_ms), &mut self.rng);
        let heartbeat_due = node.naive.is_heartbeat_due(self.now_ms);
        let leaving = node.naive.is_leaving();
        self.run_effects(router, effects);
        if heartbeat_due {
            for to in 0..self.nodes.len() {
                self.send(
                    router,
                    to,
                    Packet::Heartbeat {
                        incarnation,
                        leaving,
                    },
                );
            }
        }
        let next = Event::Tick {
            router,
            incarnation,
        };
        self.schedule.push(self.now_ms + TICK_MS, next);
    }

    fn deliver(&mut self, from: usize, to: usize, packet: Packet) {
        if let Some(until_ms) = self.network.paused_until(to, self.now_ms) {
            self.schedule
                .push(until_ms, Event::Deliver { from, to, packet });
            return;
        }
        let Some(node) = &mut self.nodes[to] else {
            return;
        };
        let now = at(self.now_ms);
        let name = router_name(from);
        let message = match packet {
            Packet::Heartbeat {
                incarnation,
                leaving,
            } => {
                return node.naive.receive(from, incarnation, leaving, self.now_ms);
            }
            Packet::Peer(message) => message,
        };
        node.membership.heard_from(&name, now);
        let effects = match &message {
            PeerMessage::Ping(ping) => node.membership.receive_ping(&name, ping, now),
            PeerMessage::Ack(ack) => node.membership.receive_ack(ack, now),
            PeerMessage::PingRequest(request) => {
                node.membership.receive_ping_request(&name, request, now)
            }
            other => panic!("membership does not send {}", other.kind()),
        };
        self.run_effects(to, effects);
    }

    fn run_effects(&mut self, router: usize, effects: Vec<MembershipEffect>) {
        for effect in effects {
            let Some(node) = &mut self.nodes[router] else {
                return;
            };
            match effect {
                MembershipEffect::Send { address, message } => {
                    node.sent_bytes += message.encoded_bytes() as u64;
                    let to = usize::from(address.port() - FIRST_PORT);
                    self.send(router, to, Packet::Peer(message));
                }
                MembershipEffect::Changed(news) if news.status == MemberStatus::Dead => {
                    let number = crate::support::router_number(&news.member.instance);
                    node.deaths[number] += 1;
                }
                MembershipEffect::Changed(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, packet: Packet) {
        if from == to || !self.network.passes(from, to, &mut self.rng) {
            return;
        }
        let delay_ms = network::delay_ms(&mut self.rng);
        let event = Event::Deliver { from, to, packet };
        self.schedule.push(self.now_ms + delay_ms, event);
    }
}

impl Node {
    /// The routers that this one holds live.
    pub fn live(&self) -> LiveSet {
        let live = self.membership.view().live.iter();
        live.map(|member| (member.instance.clone(), member.incarnation.0))
            .collect()
    }

    /// What is believed of another router.
    pub fn status_of(&self, router: usize) -> Option<MemberStatus> {
        let name = router_name(router);
        let mut members = self.membership.members();
        let news = members.find(|news| news.member.instance == name);
        news.map(|news| news.status)
    }
}

fn address(router: usize) -> SocketAddr {
    let port = FIRST_PORT + u16::try_from(router).unwrap();
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn member(router: usize, incarnation: u64) -> Member {
    Member {
        instance: router_name(router),
        incarnation: Incarnation(incarnation),
        data_centre: ["rennes", "brest", "vannes"][router % 3].into(),
        address: address(router),
    }
}
