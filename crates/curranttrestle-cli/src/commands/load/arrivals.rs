//! Generates the arrival times of calls from a seed.

use std::str::FromStr;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// An inclusive range of values for `max_tokens`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenRange {
    min: u32,
    max: u32,
}

impl FromStr for TokenRange {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (min, max) = text.split_once('-').unwrap_or((text, text));
        let number = |text: &str| text.parse::<u32>().ok().filter(|number| *number > 0);
        match (number(min), number(max)) {
            (Some(min), Some(max)) if min <= max => Ok(Self { min, max }),
            _ => Err("must be a number above 0 or a range such as 10-200".to_owned()),
        }
    }
}

/// The parameters of the arrivals.
#[derive(Clone, Debug)]
pub struct ArrivalOptions {
    /// The random seed.
    pub seed: u64,
    /// The mean number of calls per second.
    pub rate_per_s: f64,
    /// The maximum number of calls.
    pub count: u64,
    /// The time after which no more calls are due, in seconds.
    pub duration_s: u64,
    /// The weight of each customer.
    pub weights: Vec<u32>,
    /// The range from which the maximum output tokens of each call are drawn.
    pub tokens: TokenRange,
}

/// A call and the time when it is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// The number of the call, from zero.
    pub number: u64,
    /// When the call is due, relative to the start of the run.
    pub due: Duration,
    /// The index of the customer.
    pub customer: usize,
    /// The maximum number of output tokens.
    pub max_tokens: u32,
}

/// A Poisson process that yields calls in the order in which they are due.
#[derive(Clone, Debug)]
pub struct Arrivals {
    options: ArrivalOptions,
    rng: ChaCha8Rng,
    due_s: f64,
    number: u64,
}

impl Arrivals {
    /// Creates the arrivals for the given options.
    pub fn new(options: ArrivalOptions) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            options,
            due_s: 0.0,
            number: 0,
        }
    }

    fn next_customer(&mut self) -> usize {
        let total: u64 = self.options.weights.iter().copied().map(u64::from).sum();
        let mut remaining = self.rng.random_range(0..total);
        for (index, weight) in self.options.weights.iter().enumerate() {
            if remaining < u64::from(*weight) {
                return index;
            }
            remaining -= u64::from(*weight);
        }
        0
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        // The interarrival times of a Poisson process are exponentially distributed.
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
            max_tokens: self.rng.random_range(tokens.min..=tokens.max),
        };
        self.number += 1;
        Some(arrival)
    }
}
