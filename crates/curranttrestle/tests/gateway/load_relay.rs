//! Relayed load updates in a fleet of 69 gateways in three data centres.

use std::net::SocketAddr;

use curranttrestle::coordination::gateway::load_relay::{
    LivePeer, LoadRelay, RelayOptions, RelayRound, data_centre_key,
};
use curranttrestle::protocol::gateway::{LoadUpdate, RelayedUpdate};

use super::support::at;

const COUNT: usize = 69;
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

/// Interval between two reports to all peers in a fleet of this size.
const REPORT_INTERVAL_MS: u64 = 500;

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(index).unwrap()], 7_400))
}

fn data_centre(index: usize) -> &'static str {
    DATA_CENTRES[index % DATA_CENTRES.len()]
}

/// A fleet in which every gateway considers all others live.
struct Fleet {
    gateways: Vec<LoadRelay>,
    /// For each receiver and sender, the send time of the newest load update.
    newest_sent_ms: Vec<Vec<u64>>,
    relays: Vec<Option<SocketAddr>>,
    /// Size of all forwarded updates, of 450 bytes each.
    bytes: u64,
}

impl Fleet {
    fn new() -> Self {
        let gateway =
            |index| LoadRelay::new(address(index), data_centre(index), RelayOptions::default());
        Self {
            gateways: (0..COUNT).map(gateway).collect(),
            newest_sent_ms: vec![vec![0; COUNT]; COUNT],
            relays: vec![None; COUNT],
            bytes: 0,
        }
    }

    /// Simulates a period of time. Messages for which `is_dropped` returns true are not
    /// delivered.
    fn simulate(&mut self, from_ms: u64, until_ms: u64, is_dropped: impl Fn(usize, usize) -> bool) {
        let peers: Vec<LivePeer> = (0..COUNT)
            .map(|index| LivePeer {
                address: address(index),
                data_centre: data_centre_key(data_centre(index)),
            })
            .collect();
        for now_ms in from_ms..until_ms {
            for from in 0..COUNT {
                // Each gateway ticks at its own offset.
                if !(now_ms + from as u64 * 7).is_multiple_of(50) {
                    continue;
                }
                let others: Vec<LivePeer> = peers
                    .iter()
                    .copied()
                    .filter(|peer| peer.address != address(from))
                    .collect();
                let (round, change) =
                    self.gateways[from].round(&others, REPORT_INTERVAL_MS, at(now_ms));
                if let Some(change) = change {
                    self.relays[from] = change.relay;
                }
                if let Some(round) = round {
                    self.deliver(from, round, now_ms, &is_dropped);
                }
            }
        }
    }

    fn deliver(
        &mut self,
        from: usize,
        round: RelayRound,
        now_ms: u64,
        is_dropped: &impl Fn(usize, usize) -> bool,
    ) {
        let update = LoadUpdate {
            sender: from as u64,
            sent_ms: now_ms + 1,
            ..LoadUpdate::default()
        };
        if let Some(relay) = round.relay {
            let to = index_of(relay);
            if !is_dropped(from, to)
                && self.gateways[to].receive_update(address(from), &update, at(now_ms))
            {
                self.newest_sent_ms[to][from] = now_ms;
            }
            return;
        }
        let mut member_updates = round.member_updates;
        member_updates.push(RelayedUpdate { update, held_ms: 0 });
        let all = [&member_updates[..], &round.relay_updates[..]].concat();
        let to_members = round.members.iter().map(|member| (*member, &all));
        let to_relays = round.relays.iter().map(|relay| (*relay, &member_updates));
        for (to, updates) in to_members.chain(to_relays) {
            self.bytes += 450 * updates.len() as u64;
            let to = index_of(to);
            if is_dropped(from, to) {
                continue;
            }
            let mut updates = updates.clone();
            updates.retain(|relayed| relayed.update.sender != to as u64);
            let new = self.gateways[to].receive_relayed(address(from), updates, at(now_ms));
            for relayed in new {
                let sender = usize::try_from(relayed.update.sender).unwrap();
                self.newest_sent_ms[to][sender] = relayed.update.sent_ms - 1;
                // Messages take no time, so the age of an update is the time that relays held it.
                assert_eq!(relayed.held_ms, now_ms + 1 - relayed.update.sent_ms);
            }
        }
    }

    /// Number of chosen pairs `(from, to)` in which gateway `to` has no load update of gateway
    /// `from` from the last `age_ms`.
    fn stale_count(
        &self,
        now_ms: u64,
        age_ms: u64,
        is_chosen: impl Fn(usize, usize) -> bool,
    ) -> usize {
        let pairs = (0..COUNT).flat_map(|from| (0..COUNT).map(move |to| (from, to)));
        let pairs = pairs.filter(|(from, to)| from != to && is_chosen(*from, *to));
        pairs
            .filter(|(from, to)| now_ms - self.newest_sent_ms[*to][*from] > age_ms)
            .count()
    }

    /// The relay that most gateways in the data centre of gateway `member` use.
    fn relay_of(&self, member: usize) -> usize {
        let used = (0..COUNT)
            .filter(|index| data_centre(*index) == data_centre(member))
            .filter_map(|index| self.relays[index]);
        index_of(
            used.max_by_key(|address| self.user_count(*address))
                .unwrap(),
        )
    }

    fn user_count(&self, relay: SocketAddr) -> usize {
        let used = self.relays.iter().flatten();
        used.filter(|address| **address == relay).count()
    }
}

fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]),
        SocketAddr::V6(_) => unreachable!(),
    }
}

#[test]
fn load_updates_reach_all_gateways_within_200_ms() {
    let mut fleet = Fleet::new();
    fleet.simulate(0, 2_000, |_, _| false);
    // Three hops of up to 50 ms each.
    assert_eq!(fleet.stale_count(2_000, 200, |_, _| true), 0);
    // One relay per data centre.
    let mut relays: Vec<SocketAddr> = fleet.relays.iter().flatten().copied().collect();
    relays.sort_unstable();
    relays.dedup();
    assert_eq!(relays.len(), 3, "{relays:?}");
    // Each of the 69 gateways receives the updates of all others at most twenty times per second.
    assert!(
        fleet.bytes / 2 <= 69 * 72 * 450 * 20,
        "{} bytes in two seconds",
        fleet.bytes
    );
}

#[test]
fn a_dead_relay_is_replaced_within_half_a_second() {
    let mut fleet = Fleet::new();
    fleet.simulate(0, 1_000, |_, _| false);
    let dead = fleet.relay_of(0);
    let is_dropped = |from, to| from == dead || to == dead;
    fleet.simulate(1_000, 1_700, is_dropped);
    assert_eq!(
        fleet.stale_count(1_700, 250, |from, to| !is_dropped(from, to)),
        0
    );
}

#[test]
fn a_relay_that_receives_but_cannot_send_is_replaced() {
    let mut fleet = Fleet::new();
    fleet.simulate(0, 1_000, |_, _| false);
    let muted = fleet.relay_of(1);
    fleet.simulate(1_000, 1_700, |from, _| from == muted);
    assert_eq!(
        fleet.stale_count(1_700, 250, |from, to| from != muted && to != muted),
        0
    );
    // It is used again once it is reachable, because its peers consider it live.
    fleet.simulate(1_700, 6_000, |_, _| false);
    assert_eq!(fleet.relay_of(1), muted);
    assert_eq!(fleet.stale_count(6_000, 200, |_, _| true), 0);
}

#[test]
fn a_partitioned_data_centre_continues_on_its_own() {
    let mut fleet = Fleet::new();
    fleet.simulate(0, 1_000, |_, _| false);
    let crosses = |from: usize, to: usize| from.is_multiple_of(3) != to.is_multiple_of(3);
    fleet.simulate(1_000, 2_000, crosses);
    assert_eq!(
        fleet.stale_count(2_000, 200, |from, to| !crosses(from, to)),
        0
    );
    fleet.simulate(2_000, 2_500, |_, _| false);
    assert_eq!(fleet.stale_count(2_500, 200, |_, _| true), 0);
}

#[test]
fn members_of_different_relays_receive_the_updates_of_each_other() {
    let mut fleet = Fleet::new();
    fleet.simulate(0, 1_000, |_, _| false);
    let relay = fleet.relay_of(0);
    // A third of its members cannot reach it.
    let is_dropped = |from: usize, to: usize| {
        let is_partitioned = |index: usize| index % 9 == relay % 3;
        (from == relay && is_partitioned(to)) || (to == relay && is_partitioned(from))
    };
    fleet.simulate(1_000, 2_000, is_dropped);
    assert_eq!(
        fleet.stale_count(2_000, 300, |from, to| !is_dropped(from, to)),
        0
    );
}

#[test]
fn a_small_fleet_uses_no_relay() {
    let peers: Vec<LivePeer> = (1..9)
        .map(|index| LivePeer {
            address: address(index),
            data_centre: data_centre_key("a"),
        })
        .collect();
    let mut gateway = LoadRelay::new(address(0), "a", RelayOptions::default());
    assert_eq!(gateway.round(&peers, 100, at(0)), (None, None));
    assert_eq!(gateway.round(&peers, 140, at(50)), (None, None));
    assert!(
        gateway
            .round(&peers, REPORT_INTERVAL_MS, at(100))
            .0
            .is_some()
    );
    // The report interval changes with the load, so relaying does not stop immediately.
    assert!(gateway.round(&peers, 140, at(150)).0.is_some());
    assert_eq!(gateway.round(&peers, 100, at(200)).0, None);
}

#[test]
fn old_and_duplicate_updates_are_ignored() {
    let mut gateway = LoadRelay::new(address(0), "a", RelayOptions::default());
    let update = |sent_ms| LoadUpdate {
        sender: 7,
        run: 1,
        sent_ms,
        ..LoadUpdate::default()
    };
    assert!(gateway.receive_update(address(7), &update(20_000), at(0)));
    assert!(!gateway.receive_update(address(7), &update(20_000), at(1)));
    assert!(!gateway.receive_update(address(7), &update(19_900), at(2)));
    assert!(gateway.receive_update(address(7), &update(20_050), at(3)));
    // The machine lost power, so its clock started over.
    let restarted = LoadUpdate {
        run: 2,
        ..update(19_000)
    };
    assert!(gateway.receive_update(address(7), &restarted, at(4)));
    assert!(!gateway.receive_update(address(7), &restarted, at(5)));
}

#[test]
fn a_paused_relay_forwards_no_old_updates() {
    let mut relay = LoadRelay::new(address(0), "a", RelayOptions::default());
    let update = |sender| LoadUpdate {
        sender,
        sent_ms: 1,
        ..LoadUpdate::default()
    };
    relay.receive_update(address(7), &update(7), at(0));
    // The relay is paused for five seconds and receives an update before its next round.
    relay.receive_update(address(8), &update(8), at(5_000));
    let round = relay.round(&[], REPORT_INTERVAL_MS, at(5_000)).0.unwrap();
    let senders: Vec<u64> = round
        .member_updates
        .iter()
        .map(|relayed| relayed.update.sender)
        .collect();
    assert_eq!(senders, [8]);
}
