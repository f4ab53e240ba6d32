use std::net::SocketAddr;

use curranttrestle::coordination::gateway::peering::{
    PeerChange, Peering, PeeringOptions, RoundKind,
};

use super::support::at;

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 7_400))
}

/// Simulates nine gateways, of which the first three are seeds, that start within 0.3 s. Returns
/// for each gateway the number of live peers and of full reports received.
fn simulate(until_ms: u64, is_dropped: impl Fn(usize, usize, u64) -> bool) -> Vec<(usize, u32)> {
    let seeds: Vec<SocketAddr> = (0..3).map(address).collect();
    let mut fleet: Vec<Peering> = (0..9)
        .map(|index| Peering::new(address(index), &seeds, PeeringOptions::default(), at(0)))
        .collect();
    let mut full = [0; 9];
    for now_ms in (0..until_ms).step_by(50) {
        let now = at(now_ms);
        for from in 0..9 {
            // Gateways start at different times, so their rounds are not in phase.
            if now_ms < from as u64 * 37 {
                continue;
            }
            fleet[from].expire_peers(|_| false, now);
            let Some(round) = fleet[from].round(|_| false, now) else {
                continue;
            };
            let is_full = round.kind == RoundKind::Full;
            let announced = if is_full {
                fleet[from].peers_to_announce()
            } else {
                Vec::new()
            };
            for (target, _) in &round.targets {
                let to = usize::from(match target {
                    SocketAddr::V4(target) => target.ip().octets()[3],
                    SocketAddr::V6(_) => unreachable!(),
                });
                if !is_dropped(from, to, now_ms) {
                    full[to] += u32::from(is_full);
                    let from = address(u8::try_from(from).unwrap());
                    fleet[to].report_received(from, 0, None, &announced, now);
                }
            }
        }
    }
    fleet
        .iter()
        .zip(full)
        .map(|(peering, full)| (peering.live_count() - 1, full))
        .collect()
}

#[test]
fn all_gateways_discover_each_other_within_seconds_and_receive_full_reports() {
    for (index, (live, full)) in simulate(3_000, |_, _, _| false).into_iter().enumerate() {
        assert_eq!(live, 8, "gateway {index}");
        // Five per second from each of eight peers, without the first second.
        assert!(full > 60, "gateway {index} received {full} full reports");
    }
}

#[test]
fn partitioned_gateways_are_lost_and_rediscovered() {
    let is_dropped = |from: usize, to: usize, now_ms: u64| {
        let crosses = (from < 3) != (to < 3);
        crosses && (4_000..10_000).contains(&now_ms)
    };
    let during = simulate(9_000, is_dropped);
    assert!(during[..3].iter().all(|(live, _)| *live == 2), "{during:?}");
    assert!(during[3..].iter().all(|(live, _)| *live == 5), "{during:?}");
    let after = simulate(12_000, is_dropped);
    assert!(after.iter().all(|(live, _)| *live == 8), "{after:?}");
}

#[test]
fn reports_stay_within_the_bandwidth_limit() {
    let options = PeeringOptions {
        bytes_per_s: 100_000,
        ..PeeringOptions::default()
    };
    let mut peering = Peering::new(address(0), &[address(1)], options, at(0));
    assert!(peering.round(|_| false, at(0)).is_some());
    peering.adapt_interval(50_000);
    assert_eq!(peering.interval_ms(), 500);
    assert!(peering.round(|_| false, at(400)).is_none());
    assert!(peering.round(|_| false, at(500)).is_some());
}

#[test]
fn a_silent_peer_is_removed_unless_it_is_a_seed() {
    let mut peering = Peering::new(address(0), &[address(1)], PeeringOptions::default(), at(0));
    let change = peering.report_received(address(2), 0, None, &[address(1)], at(0));
    assert_eq!(change, Some(PeerChange::Live(address(2))));
    assert_eq!(
        peering.expire_peers(|_| false, at(3_000)),
        [PeerChange::Lost(address(2))]
    );
    peering.expire_peers(|_| false, at(63_000));
    let round = peering.round(|_| false, at(63_000)).unwrap();
    assert_eq!(round.targets, [(address(1), None)]);
}
