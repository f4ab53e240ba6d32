//! A naive version of membership: each router knows all addresses and sends a heartbeat to each.

use indexmap::IndexMap;

use super::LiveSet;
use crate::support::router_name;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Time without a heartbeat after which a router counts as dead.
const DEAD_AFTER_MS: u64 = 4_500;

/// The last heartbeat received from a router.
#[derive(Clone, Copy, Debug)]
struct LastHeartbeat {
    incarnation: u64,
    leaving: bool,
    received_ms: u64,
}

/// The naive version of one router's membership.
#[derive(Clone, Debug)]
pub struct NaiveMembership {
    router: usize,
    incarnation: u64,
    leaving: bool,
    last_sent_ms: Option<u64>,
    received_heartbeats: IndexMap<usize, LastHeartbeat>,
}

impl NaiveMembership {
    /// Creates a router that has received no heartbeat.
    pub fn new(router: usize, incarnation: u64) -> Self {
        Self {
            router,
            incarnation,
            leaving: false,
            last_sent_ms: None,
            received_heartbeats: IndexMap::new(),
        }
    }

    /// Marks this router as taking no new work.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether this router takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether a heartbeat to all routers is due. If so, records it as sent.
    pub fn is_heartbeat_due(&mut self, now_ms: u64) -> bool {
        let due = self
            .last_sent_ms
            .is_none_or(|last_ms| now_ms - last_ms >= HEARTBEAT_INTERVAL_MS);
        if due {
            self.last_sent_ms = Some(now_ms);
        }
        due
    }

    /// Records a heartbeat, unless it is of an older incarnation than the last one.
    pub fn receive_heartbeat(&mut self, from: usize, incarnation: u64, leaving: bool, now_ms: u64) {
        let previous = self.received_heartbeats.get(&from);
        if previous.is_some_and(|heartbeat| heartbeat.incarnation > incarnation) {
            return;
        }
        let heartbeat = LastHeartbeat {
            incarnation,
            leaving,
            received_ms: now_ms,
        };
        self.received_heartbeats.insert(from, heartbeat);
    }

    /// The routers that this one considers live.
    pub fn live(&self, now_ms: u64) -> LiveSet {
        let mut live: LiveSet = self
            .received_heartbeats
            .iter()
            .filter(|(_, heartbeat)| {
                !heartbeat.leaving && now_ms - heartbeat.received_ms < DEAD_AFTER_MS
            })
            .map(|(router, heartbeat)| (router_name(*router), heartbeat.incarnation))
            .collect();
        if !self.leaving {
            live.insert((router_name(self.router), self.incarnation));
        }
        live
    }
}
