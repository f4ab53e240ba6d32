//! Open-loop arrivals from a Poisson process whose rate changes over time.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::workload::{Arrival, Class, Sizes};
use crate::fleet::FleetPlan;

/// The arrival rate at one time. The rate between two points is interpolated linearly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RatePoint {
    /// The time since the start of the load, in milliseconds.
    pub at_ms: f64,
    /// Requests per second.
    pub per_s: f64,
}

/// The parameters of an open-loop load.
#[derive(Clone, Debug, PartialEq)]
pub struct ArrivalPlan {
    /// The rate over time. The first point is at time zero.
    pub rates: Vec<RatePoint>,
    /// The time of the end of the load, in milliseconds since its start.
    pub end_ms: f64,
    /// The relative request rate of each customer.
    pub weights: Vec<f64>,
    /// The sizes of short requests.
    pub short: Sizes,
    /// The sizes of long requests.
    pub long: Sizes,
    /// The fraction of requests that are long.
    pub long_fraction: f64,
    /// The largest factor by which cost hints are wrong, in either direction; `None` sends no
    /// hints.
    pub hint_error: Option<f64>,
}

/// Draws the arrivals of a load from a seeded generator, ordered by time.
pub fn open_loop(fleet: &FleetPlan, plan: &ArrivalPlan, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let rates_per_s = plan.rates.iter().map(|point| point.per_s);
    let max_per_s = rates_per_s.fold(0.1, f64::max);
    let mut arrivals = Vec::new();
    let mut at_ms = 0.0;
    loop {
        let gap_s = -(1.0 - rng.random::<f64>()).ln() / max_per_s;
        at_ms += gap_s * 1_000.0;
        if at_ms >= plan.end_ms {
            return arrivals;
        }
        // Thinning: accepts a candidate with probability current rate / maximum rate.
        if rng.random::<f64>() * max_per_s < rate_at(&plan.rates, at_ms) {
            arrivals.push(draw(fleet, plan, at_ms, &mut rng));
        }
    }
}

fn draw(fleet: &FleetPlan, plan: &ArrivalPlan, at_ms: f64, rng: &mut ChaCha8Rng) -> Arrival {
    let customer = draw_weighted(&plan.weights, rng);
    let class = if rng.random::<f64>() < plan.long_fraction {
        Class::Long
    } else {
        Class::Short
    };
    let sizes = match class {
        Class::Short => plan.short,
        Class::Long => plan.long,
    };
    let tokens = sizes.draw(rng);
    let hint = plan.hint_error.map(|factor| {
        let exponent: f64 = rng.random_range(-1.0..=1.0);
        f64::from(tokens) * factor.powf(exponent)
    });
    Arrival {
        at_ms,
        router: draw_router(fleet, customer, rng),
        customer,
        class,
        tokens,
        hint,
    }
}

/// Draws a router for a request. Each customer sends 60 % of its requests to one router and the
/// rest to the next two.
fn draw_router(fleet: &FleetPlan, customer: usize, rng: &mut ChaCha8Rng) -> usize {
    let offset = draw_weighted(&[0.6, 0.3, 0.1], rng);
    (customer * customer + offset) % fleet.router_count()
}

fn draw_weighted(weights: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let mut remaining = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    weights.len().saturating_sub(1)
}

fn rate_at(rates: &[RatePoint], at_ms: f64) -> f64 {
    let next = rates.iter().position(|point| point.at_ms > at_ms);
    match next {
        Some(0) | None => rates.last().map_or(0.0, |point| point.per_s),
        Some(next) => {
            let (from, to) = (rates[next - 1], rates[next]);
            let fraction = (at_ms - from.at_ms) / (to.at_ms - from.at_ms);
            from.per_s + fraction * (to.per_s - from.per_s)
        }
    }
}
