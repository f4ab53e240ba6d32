//! One router of a simulated fleet.

use std::net::SocketAddr;
use std::time::Instant;

use curranttrestle::coordination::router::{Effect, Input, Router};
use curranttrestle::protocol::peer::{Envelope, PeerMessage};
use curranttrestle::protocol::platform::StoreCall;
use curranttrestle::state::event::HybridTime;
use curranttrestle::state::{Member, Now};
use indexmap::IndexMap;
use rand_chacha::ChaCha8Rng;

use super::counts::Counts;

/// One router and its counters.
pub struct Node {
    /// The member it is in the fleet.
    pub member: Member,
    /// Its counters.
    pub counts: Counts,
    /// Whether it handles inputs. A lost router ignores them all.
    pub alive: bool,
    router: Router,
    rng: ChaCha8Rng,
    outbox: IndexMap<SocketAddr, (HybridTime, Vec<PeerMessage>)>,
}

impl Node {
    /// Creates a node whose router has handled no inputs yet.
    pub fn new(member: Member, router: Router, rng: ChaCha8Rng) -> Self {
        Self {
            member,
            counts: Counts::default(),
            alive: true,
            router,
            rng,
            outbox: IndexMap::new(),
        }
    }

    /// Handles an input and returns its effects. Messages to other routers are not among them but
    /// queued for [`Node::take_envelopes`].
    pub fn handle(&mut self, input: Input, now: Now) -> Vec<Effect> {
        if !self.alive {
            return Vec::new();
        }
        let started = Instant::now();
        let effects = self.router.handle(input, now, &mut self.rng);
        self.counts.busy += started.elapsed();
        self.counts.inputs += 1;
        effects
            .into_iter()
            .filter_map(|effect| self.intercept(effect))
            .collect()
    }

    fn intercept(&mut self, effect: Effect) -> Option<Effect> {
        match effect {
            Effect::Send {
                address,
                time,
                message,
            } => {
                self.counts.add_message(&message);
                let (last, messages) = self.outbox.entry(address).or_default();
                *last = time;
                messages.push(message);
                None
            }
            Effect::Store { call, request } => {
                let is_write =
                    matches!(request, StoreCall::Update { .. } | StoreCall::Delete { .. });
                self.counts.store_writes += u64::from(is_write);
                self.counts.store_reads += u64::from(!is_write);
                Some(Effect::Store { call, request })
            }
            other => Some(other),
        }
    }

    /// Takes the queued messages, in one envelope per receiver.
    pub fn take_envelopes(&mut self) -> Vec<(SocketAddr, Envelope)> {
        let outbox = std::mem::take(&mut self.outbox);
        self.counts.envelopes += outbox.len() as u64;
        outbox
            .into_iter()
            .map(|(address, (time, messages))| {
                let envelope = Envelope {
                    from: self.member.instance.clone(),
                    incarnation: self.member.incarnation,
                    time,
                    messages,
                };
                (address, envelope)
            })
            .collect()
    }

    /// The number of other members it knows.
    pub fn known_members(&self, now: Now) -> usize {
        self.router.status(now).members.len()
    }

    /// The number of other members it considers alive.
    pub fn alive_members(&self, now: Now) -> usize {
        let members = self.router.status(now).members;
        members.iter().filter(|line| line.status == "alive").count()
    }

    /// The number of the sheet in force.
    pub fn sheet_number(&self, now: Now) -> u64 {
        self.router.status(now).sheet_number
    }

    /// The number of invariant violations.
    pub fn violations(&self) -> u64 {
        self.router
            .invariant_violations()
            .map(|(_, count)| count)
            .sum()
    }
}
