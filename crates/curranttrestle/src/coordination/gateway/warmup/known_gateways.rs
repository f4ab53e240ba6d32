//! The gateways among which the rate of a cold endpoint is divided.

use std::cmp::Reverse;
use std::net::SocketAddr;

use indexmap::IndexMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::coordination::gateway::directory::EndpointRun;
use crate::state::Now;

/// The known gateways count as complete when no other one was heard of for this long. Longer than
/// the interval of full reports in a fleet that does not use relays yet.
const COMPLETE_AFTER_MS: u64 = 8_000;

/// Maximum number of known gateways, many times the largest fleet. Beyond it, the one that was
/// heard of first is forgotten.
const MAX_GATEWAYS: usize = 4_096;

/// All gateways that this one ever heard of.
#[derive(Clone, Debug, Default)]
pub struct KnownGateways {
    own: Option<(SocketAddr, u64)>,
    /// The other gateways, with the hash of their address.
    others: IndexMap<SocketAddr, u64>,
    /// When this gateway started or last heard of another one for the first time.
    learned_ms: u64,
    /// Since when peers are live.
    live_since_ms: Option<u64>,
    is_complete: bool,
}

impl KnownGateways {
    /// The number of other gateways.
    #[must_use]
    pub fn count(&self) -> usize {
        self.others.len()
    }

    /// Whether this gateway knows its peers. Once it does, others that are heard of later only
    /// lower its rank.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Sets the address of this gateway. Returns whether it changed.
    pub fn set_own_address(&mut self, address: SocketAddr, now: Now) -> bool {
        if self.own.is_some_and(|(own, _)| own == address) {
            return false;
        }
        self.own = Some((address, address_hash(address)));
        self.others.shift_remove(&address);
        self.learned_ms = now.steady_ms;
        true
    }

    /// Adds a gateway. Returns whether it was not known before.
    pub fn learn(&mut self, address: SocketAddr, now: Now) -> bool {
        let is_own = self.own.is_some_and(|(own, _)| own == address);
        if is_own || self.others.contains_key(&address) {
            return false;
        }
        self.others.insert(address, address_hash(address));
        self.learned_ms = now.steady_ms;
        true
    }

    /// Forgets the gateway that was heard of first if there are too many.
    pub fn drop_oldest(&mut self) -> bool {
        self.others.len() > MAX_GATEWAYS && self.others.shift_remove_index(0).is_some()
    }

    /// Records how many other gateways are live. A gateway that knows of others and hears none is
    /// cut off and does not know the fleet.
    pub fn observe_live_peers(&mut self, live: usize, now: Now) {
        if live == 0 && !self.others.is_empty() {
            self.live_since_ms = None;
            return;
        }
        let live_since_ms = *self.live_since_ms.get_or_insert(now.steady_ms);
        let unchanged_since_ms = live_since_ms.max(self.learned_ms);
        if self.own.is_some() && now.since_ms(unchanged_since_ms) >= COMPLETE_AFTER_MS {
            self.is_complete = true;
        }
    }

    /// Whether a gateway comes before this one in the ranking for a run of an endpoint.
    #[must_use]
    pub fn is_before_own(&self, address: SocketAddr, run: EndpointRun) -> bool {
        let Some((own, own_hash)) = self.own else {
            return true;
        };
        rank_key(address, address_hash(address), run) < rank_key(own, own_hash, run)
    }

    /// The number of gateways that come before this one in the ranking for a run of an endpoint.
    #[must_use]
    pub fn count_before_own(&self, run: EndpointRun) -> usize {
        let Some((own, own_hash)) = self.own else {
            return self.others.len();
        };
        let own_key = rank_key(own, own_hash, run);
        let before = self
            .others
            .iter()
            .filter(|(address, hash)| rank_key(**address, **hash, run) < own_key);
        before.count()
    }
}

fn address_hash(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}

/// Orders gateways by descending score.
fn rank_key(address: SocketAddr, hash: u64, run: EndpointRun) -> (Reverse<u64>, SocketAddr) {
    let score = xxh3_64_with_seed(&hash.to_le_bytes(), run);
    (Reverse(score), address)
}
