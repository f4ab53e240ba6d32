//! A simulated fleet whose memberships exchange messages over a faulty network. Each router also
//! runs a naive version that sends a heartbeat to every router.

#![allow(dead_code, reason = "each test file uses a part of it")]

mod naive;
mod network;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use curranttrestle::coordination::membership::{Membership, MembershipEffect, MembershipOptions};
use curranttrestle::protocol::peer::{
    MemberDigests, MemberStatus, MemberUpdate, PeerMessage, Ping,
};
use curranttrestle::state::{Incarnation, InstanceId, Member};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::{Schedule, now_at, router_name};
pub use naive::NaiveMembership;
pub use network::Network;

/// Time between two ticks of a router.
const TICK_MS: u64 = 100;
/// The port of router 0.
const FIRST_PORT: u16 = 7_000;

/// The routers in one router's live view, by name and incarnation.
pub type LiveSet = BTreeSet<(InstanceId, u64)>;

/// A message between routers.
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

/// A running router.
pub struct Node {
    /// The membership under test.
    pub membership: Membership,
    /// The naive version of the same router.
    pub naive: NaiveMembership,
    /// Encoded bytes of all membership messages sent.
    pub sent_bytes: u64,
    /// Number of times that this router recorded each router as dead, by router number.
    pub deaths: Vec<u32>,
    incarnation: u64,
}

/// The simulated fleet.
pub struct Fleet {
    /// The routers by number; `None` for one that does not run.
    pub nodes: Vec<Option<Node>>,
    /// The network between the routers.
    pub network: Network,
    /// Simulated time.
    pub now_ms: u64,
    schedule: Schedule<Event>,
    rng: ChaCha8Rng,
    incarnations: u64,
}

impl Fleet {
    /// Creates a fleet whose routers start within a second and use the first two as seeds.
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

    /// Starts a router, or restarts it, as a new incarnation.
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

    /// Ends a router abruptly.
    pub fn kill(&mut self, router: usize) {
        self.nodes[router] = None;
    }

    /// Pauses a router. Messages that arrive meanwhile are delivered when it resumes.
    pub fn pause(&mut self, router: usize, until_ms: u64) {
        self.network.paused_until_ms.insert(router, until_ms);
    }

    /// Makes a router announce that it takes no new work.
    pub fn leave(&mut self, router: usize) {
        if let Some(node) = &mut self.nodes[router] {
            node.membership.leave();
            node.naive.leave();
        }
    }

    /// Sends `to`, as if from the next router, an update that gives `router` the status `status`.
    pub fn send_status(&mut self, to: usize, router: usize, status: MemberStatus) {
        let receiver = self.nodes[to].as_ref().unwrap();
        let known = receiver
            .membership
            .members()
            .find(|update| update.member.instance == router_name(router))
            .unwrap();
        let update = MemberUpdate {
            status,
            ..known.clone()
        };
        let ping = Ping {
            sequence: 0,
            join: false,
            digests: MemberDigests::default(),
            updates: vec![update],
        };
        let packet = Packet::Peer(PeerMessage::Ping(ping));
        self.deliver(to + 1, to, packet);
    }

    /// Runs the simulation until `end_ms`.
    pub fn run_until(&mut self, end_ms: u64) {
        while let Some((at_ms, event)) = self.schedule.pop_until(end_ms) {
            self.now_ms = at_ms;
            self.handle_event(event);
        }
        self.now_ms = end_ms;
    }

    /// Runs the simulation until all routers agree on the live ones. Returns the elapsed time, or
    /// `None` after `limit_ms`.
    pub fn run_until_converged(&mut self, limit_ms: u64) -> Option<u64> {
        let start_ms = self.now_ms;
        while !self.has_converged() {
            if self.now_ms - start_ms >= limit_ms {
                return None;
            }
            self.run_until(self.now_ms + TICK_MS);
        }
        Some(self.now_ms - start_ms)
    }

    /// Whether each router's live view is exactly the running routers that are not leaving.
    pub fn has_converged(&self) -> bool {
        let expected = self.expected_live();
        self.running().all(|(_, node)| node.live() == expected)
    }

    /// The running routers with their numbers.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Node)> {
        let nodes = self.nodes.iter().enumerate();
        nodes.filter_map(|(router, node)| Some((router, node.as_ref()?)))
    }

    /// The running routers that are not leaving.
    pub fn expected_live(&self) -> LiveSet {
        let not_leaving = self.running().filter(|(_, node)| !node.naive.is_leaving());
        not_leaving
            .map(|(router, node)| (router_name(router), node.incarnation))
            .collect()
    }

    /// Bytes of membership messages that each running router has sent since its start.
    pub fn sent_bytes(&self) -> Vec<u64> {
        self.running().map(|(_, node)| node.sent_bytes).collect()
    }

    /// Number of times that a router was recorded as dead, summed over all running routers.
    pub fn deaths_of(&self, router: usize) -> u32 {
        self.running().map(|(_, node)| node.deaths[router]).sum()
    }

    fn handle_event(&mut self, event: Event) {
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
        let effects = node.membership.tick(now_at(self.now_ms), &mut self.rng);
        let is_heartbeat_due = node.naive.is_heartbeat_due(self.now_ms);
        let leaving = node.naive.is_leaving();
        self.run_effects(router, effects);
        if is_heartbeat_due {
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
        let now = now_at(self.now_ms);
        let name = router_name(from);
        let message = match packet {
            Packet::Heartbeat {
                incarnation,
                leaving,
            } => {
                return node
                    .naive
                    .receive_heartbeat(from, incarnation, leaving, self.now_ms);
            }
            Packet::Peer(message) => message,
        };
        node.membership.record_contact(&name, now);
        let effects = match &message {
            PeerMessage::Ping(ping) => node.membership.receive_ping(&name, ping, now),
            PeerMessage::Ack(ack) => node.membership.receive_ack(ack, now),
            PeerMessage::PingRequest(request) => {
                node.membership.receive_ping_request(&name, request, now)
            }
            other => panic!(
                "unexpected message of kind {} from membership",
                other.kind()
            ),
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
                MembershipEffect::MemberChanged(update) if update.status == MemberStatus::Dead => {
                    let number = crate::support::router_number(&update.member.instance);
                    node.deaths[number] += 1;
                }
                MembershipEffect::MemberChanged(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, packet: Packet) {
        if from == to || !self.network.is_delivered(from, to, &mut self.rng) {
            return;
        }
        let delay_ms = network::delay_ms(&mut self.rng);
        let event = Event::Deliver { from, to, packet };
        self.schedule.push(self.now_ms + delay_ms, event);
    }
}

impl Node {
    /// The routers in this router's live view.
    pub fn live(&self) -> LiveSet {
        let live = self.membership.view().live.iter();
        live.map(|member| (member.instance.clone(), member.incarnation.0))
            .collect()
    }

    /// The recorded status of another router.
    pub fn status_of(&self, router: usize) -> Option<MemberStatus> {
        let name = router_name(router);
        let mut members = self.membership.members();
        let update = members.find(|update| update.member.instance == name);
        update.map(|update| update.status)
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
