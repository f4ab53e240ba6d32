//! A simulated network with delay, loss, links blocked one way and paused routers.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Range of the one-way delay of a message.
const DELAY_MS: std::ops::RangeInclusive<u64> = 1..=20;

/// The faults of the network.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Pairs of sender and receiver between which all messages are lost.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Paused routers, with the time at which each resumes.
    pub paused_until_ms: IndexMap<usize, u64>,
}

impl Network {
    /// Blocks all messages between two groups of routers, in both directions.
    pub fn partition(&mut self, one: &[usize], other: &[usize]) {
        for &a in one {
            for &b in other {
                self.blocked_links.insert((a, b));
                self.blocked_links.insert((b, a));
            }
        }
    }

    /// Ends message loss and unblocks all links. Paused routers stay paused.
    pub fn heal(&mut self) {
        self.loss = 0.0;
        self.blocked_links.clear();
    }

    /// Returns the time at which a paused router resumes, or `None` if it is not paused.
    pub fn paused_until(&self, router: usize, now_ms: u64) -> Option<u64> {
        let until_ms = self.paused_until_ms.get(&router).copied();
        until_ms.filter(|until_ms| now_ms < *until_ms)
    }

    /// Whether a message is delivered. Loss is drawn at random.
    pub fn is_delivered(&self, from: usize, to: usize, rng: &mut ChaCha8Rng) -> bool {
        !self.blocked_links.contains(&(from, to)) && !rng.random_bool(self.loss)
    }
}

/// Draws the one-way delay of a message.
pub fn delay_ms(rng: &mut ChaCha8Rng) -> u64 {
    rng.random_range(DELAY_MS)
}
