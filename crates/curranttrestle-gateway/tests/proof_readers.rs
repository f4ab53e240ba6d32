//! Which gateways of a small fleet read the configuration.

mod simulation;

use curranttrestle_gateway::peers::ProofRole;
use simulation::{Fleet, FleetOptions};

/// Time in which gateways find each other, and after which a peer that sends nothing is lost.
const SETTLE_MS: u64 = 4_000;

fn readers(fleet: &Fleet) -> Vec<usize> {
    let running = fleet.running().into_iter();
    running
        .filter(|index| fleet.proof_role(*index) == ProofRole::Reader)
        .collect()
}

#[test]
fn small_fleet_has_one_reader_and_another_one_after_it_stops() {
    let mut fleet = Fleet::new(FleetOptions {
        gateways: 9,
        engines: 12,
        prefill_tokens_per_ms: 50.0,
        response_ms: 400,
        nominal_tokens_per_s: 0,
        seed: 1,
    });
    fleet.run(SETTLE_MS, &[]);
    let first = readers(&fleet);
    assert_eq!(first.len(), 1);
    fleet.stop(first[0]);
    fleet.run(SETTLE_MS, &[]);
    let second = readers(&fleet);
    assert_eq!(second.len(), 1);
    assert_ne!(first, second);
}
