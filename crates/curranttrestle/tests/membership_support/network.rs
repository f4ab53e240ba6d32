//! A network with delay, loss, one-way cuts and paused routers.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The shortest and longest time on the way.
const DELAY_MS: std::ops::RangeInclusive<u64> = 1..=20;

/// What is wrong with the network.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// The share of messages lost.
    pub loss: f64,
    /// Pairs of sender and receiver whose messages are lost.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Routers that do not run, and until when.
    pub paused_until_ms: IndexMap<usize, u64>,
}

impl Network {
    /// Cuts all messages between two groups, both ways.
    pub fn part(&mut self, one: &[usize], other: &[usize]) {
        for &a in one {
            for &b in other {
                self.cuts.insert((a, b));
                self.cuts.insert((b, a));
            }
        }
    }

    /// Ends loss and cuts.
    pub fn heal(&mut self) {
        self.loss = 0.0;
        self.cuts.clear();
    }

    /// Until when a router is paused; none when it runs.
    pub fn paused_until(&self, router: usize, now_ms: u64) -> Option<u64> {
        let until_ms = self.paused_until_ms.get(&router).copied();
        until_ms.filter(|until_ms| now_ms < *until_ms)
    }

    /// Whether a message gets through.
    pub fn passes(&self, from: usize, to: usize, rng: &mut ChaCha8Rng) -> bool {
        !self.cuts.contains(&(from, to)) && !rng.random_bool(self.loss)
    }
}

/// How long a message is on its way.
pub fn delay_ms(rng: &mut ChaCha8Rng) -> u64 {
    rng.random_range(DELAY_MS)
}
