//! A naive version: each router knows all addresses and sends a heartbeat to each.

use indexmap::IndexMap;

use super::LiveSet;
use crate::support::router_name;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Silence after which a router counts as dead.
const DEAD_AFTER_MS: u64 = 4_500;

/// What was heard last of one router.
#[derive(Clone, Copy, Debug)]
struct Heard {
    incarnation: u64,
    leaving: bool,
    last_ms: u64,
}

/// The naive version of one router.
#[derive(Clone, Debug)]
pub struct NaiveMembership {
    router: usize,
    incarnation: u64,
    leaving: bool,
    last_heartbeat_ms: Option<u64>,
    heard: IndexMap<usize, Heard>,
}

impl NaiveMembership {
    /// A router that has heard of nobody.
    pub fn new(router: usize, incarnation: u64) -> Self {
        Self {
            router,
            incarnation,
            leaving: false,
            last_heartbeat_ms: None,
            heard: IndexMap::new(),
        }
    }

    /// Takes no new work from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether the router takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether a heartbeat to all is due; taken as sent.
    pub fn is_heartbeat_due(&mut self, now_ms: u64) -> bool {
        let due = self
            .last_heartbeat_ms
            .is_none_or(|last_ms| now_ms - last_ms >= HEARTBEAT_INTERVAL_MS);
        if due {
            self.last_heartbeat_ms = Some(now_ms);
        }
        due
    }

    /// Takes a heartbeat.
    pub fn receive(&mut self, from: usize, incarnation: u64, leaving: bool, now_ms: u64) {
        let newer = self.heard.get(&from);
        if newer.is_some_and(|heard| heard.incarnation > incarnation) {
            return;
        }
        let heard = Heard {
            incarnation,
            leaving,
            last_ms: now_ms,
        };
        self.heard.insert(from, heard);
    }

    /// The routers that this one holds live.
    pub fn live(&self, now_ms: u64) -> LiveSet {
        let mut live: LiveSet = self
            .heard
            .iter()
            .filter(|(_, heard)| !heard.leaving && now_ms - heard.last_ms < DEAD_AFTER_MS)
            .map(|(router, heard)| (router_name(*router), heard.incarnation))
            .collect();
        if !self.leaving {
            live.insert((router_name(self.router), self.incarnation));
        }
        live
    }
}
