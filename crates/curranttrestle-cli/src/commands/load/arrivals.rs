//! When calls are due, by a fixed seed.

use std::str::FromStr;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How many tokens are asked for: both bounds included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tokens {
    least: u32,
    most: u32,
}

impl FromStr for Tokens {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (least, most) = text.split_once('-').unwrap_or((text, text));
        let number = |text: &str| text.parse::<u32>().ok().filter(|number| *number > 0);
        match (number(least), number(most)) {
            (Some(least), Some(most)) if least <= most => Ok(Self { least, most }),
            _ => Err("must be a number above 0 or a range such as 10-200".to_owned()),
        }
    }
}

/// What the arrivals depend on.
#[derive(Clone, Debug)]
pub struct ArrivalOptions {
    /// The seed.
    pub seed: u64,
    /// The mean number of calls a second.
    pub rate_per_s: f64,
    /// How many calls at most.
    pub count: u64,
    /// Until when calls are due at most.
    pub duration_s: u64,
    /// The part of each customer.
    pub parts: Vec<u32>,
    /// How many tokens are asked for.
    pub tokens: Tokens,
}

/// One call that is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Its number, from zero.
    pub number: u64,
    /// When it is due, from the start.
    pub due: Duration,
    /// The index of its customer.
    pub customer: usize,
    /// The most tokens of its answer.
    pub max_tokens: u32,
}

/// The calls in the order in which they are due: a Poisson process.
#[derive(Clone, Debug)]
pub struct Arrivals {
    options: ArrivalOptions,
    rng: ChaCha8Rng,
    due_s: f64,
    number: u64,
}

impl Arrivals {
    /// The arrivals of a seed.
    pub fn new(options: ArrivalOptions) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            options,
            due_s: 0.0,
            number: 0,
        }
    }

    fn next_customer(&mut self) -> usize {
        let total: u64 = self.options.parts.iter().copied().map(u64::from).sum();
        let mut left = self.rng.random_range(0..total);
        for (index, part) in self.options.parts.iter().enumerate() {
            if left < u64::from(*part) {
                return index;
            }
            left -= u64::from(*part);
        }
        0
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        // The gaps of a Poisson process have an exponential distribution.
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        self.due_s += -uniform.ln() / self.options.rate_per_s;
        let due = Duration::from_secs_f64(self.due_s);
        if self.number >= self.options.count || due.as_secs() >= self.options.duration_s {
            return None;
        }
        let tokens = self.options.tokens;
        let arrival = Arrival {
            number: self.number,
            due,
            customer: self.next_customer(),
            max_tokens: self.rng.random_range(tokens.least..=tokens.most),
        };
        self.number += 1;
        Some(arrival)
    }
}
