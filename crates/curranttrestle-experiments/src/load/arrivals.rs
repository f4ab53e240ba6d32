//! Open-loop arrivals: a Poisson process whose rate changes over time.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::workload::{Arrival, Class, Sizes};
use crate::fleet::FleetPlan;

/// The rate from a moment on, up to the next point; between two points it changes evenly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RatePoint {
    /// The moment, since the load began.
    pub at_ms: f64,
    /// Requests in a second.
    pub per_s: f64,
}

/// What an open-loop load consists of.
#[derive(Clone, Debug, PartialEq)]
pub struct ArrivalPlan {
    /// The rate over time, with a point at zero.
    pub rates: Vec<RatePoint>,
    /// When it ends.
    pub end_ms: f64,
    /// The part of each customer of the requests.
    pub weights: Vec<f64>,
    /// The sizes of short requests.
    pub short: Sizes,
    /// The sizes of long requests.
    pub long: Sizes,
    /// The fraction of requests that are long.
    pub long_fraction: f64,
    /// Hints are wrong by up to this factor in both directions; none gives no hints.
    pub hint_error: Option<f64>,
}

/// Draws the arrivals of a load.
pub fn open_loop(fleet: &FleetPlan, plan: &ArrivalPlan, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let greatest = plan.rates.iter().map(|point| point.per_s);
    let greatest_per_s = greatest.fold(0.1, f64::max);
    let mut arrivals = Vec::new();
    let mut at_ms = 0.0;
    loop {
        let gap_s = -(1.0 - rng.random::<f64>()).ln() / greatest_per_s;
        at_ms += gap_s * 1_000.0;
        if at_ms >= plan.end_ms {
            return arrivals;
        }
        // Thinning: a candidate is kept with the ratio of the present rate to the greatest.
        if rng.random::<f64>() * greatest_per_s < rate_at(&plan.rates, at_ms) {
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

/// Customers call few routers: each sends most of its requests to one and the rest to the
/// next two.
fn draw_router(fleet: &FleetPlan, customer: usize, rng: &mut ChaCha8Rng) -> usize {
    let step = draw_weighted(&[0.6, 0.3, 0.1], rng);
    (customer * customer + step) % fleet.router_count()
}

fn draw_weighted(weights: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let mut rest = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        rest -= weight;
        if rest < 0.0 {
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
            let part = (at_ms - from.at_ms) / (to.at_ms - from.at_ms);
            from.per_s + part * (to.per_s - from.per_s)
        }
    }
}
