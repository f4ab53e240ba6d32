use curranttrestle::coordination::gateway::load_relay::data_centre_key;
use curranttrestle::coordination::gateway::load_sums::{LoadSums, SumChange, SumOptions};
use curranttrestle::coordination::gateway::shares::{CustomerKey, ShareLine};
use curranttrestle::protocol::gateway::DataCentreUpdate;

use super::support::at;

fn sums() -> LoadSums {
    LoadSums::new(data_centre_key("a"), SumOptions::default())
}

/// A sum of the gateways of data centre `b`.
fn update(sender: u64, run: u32, sent_ms: u64, gateways: u16) -> DataCentreUpdate {
    DataCentreUpdate {
        sender,
        run,
        sent_ms,
        gateways,
        data_centre: data_centre_key("b"),
        ..DataCentreUpdate::default()
    }
}

#[test]
fn sums_that_are_late_or_doubled_are_dropped() {
    let mut sums = sums();
    let first = update(1, 7, 1_000, 60);
    assert_eq!(sums.receive(&first, at(0)), Some(SumChange::First));
    let newer = update(1, 7, 1_100, 60);
    assert_eq!(sums.receive(&newer, at(100)), Some(SumChange::Newer));
    assert_eq!(sums.receive(&newer, at(101)), None);
    assert_eq!(sums.receive(&first, at(102)), None);
}

#[test]
fn sum_of_the_own_data_centre_is_dropped() {
    let mut sums = sums();
    let own = DataCentreUpdate {
        data_centre: data_centre_key("a"),
        ..update(1, 7, 1_000, 60)
    };
    assert_eq!(sums.receive(&own, at(0)), None);
    assert!(!sums.is_current(data_centre_key("a"), at(0)));
}

#[test]
fn smaller_part_of_a_data_centre_counts_only_when_the_larger_one_is_silent() {
    let mut sums = sums();
    sums.receive(&update(1, 7, 1_000, 60), at(0));
    assert_eq!(sums.receive(&update(2, 9, 50, 5), at(50)), None);
    assert!(sums.receive(&update(3, 9, 50, 61), at(100)).is_some());
    assert_eq!(sums.receive(&update(2, 9, 350, 5), at(350)), None);
    // Relay 3 has been silent for 300 ms.
    assert!(sums.receive(&update(2, 9, 400, 5), at(400)).is_some());
}

#[test]
fn restarted_relay_is_used_again_although_its_clock_starts_over() {
    let mut sums = sums();
    sums.receive(&update(1, 7, 90_000, 60), at(0));
    assert_eq!(sums.receive(&update(1, 8, 10, 60), at(100)), None);
    assert!(sums.receive(&update(1, 8, 310, 60), at(400)).is_some());
    assert!(sums.receive(&update(1, 8, 410, 60), at(500)).is_some());
}

#[test]
fn data_centre_without_sums_is_known_by_single_reports_again() {
    let mut sums = sums();
    sums.receive(&update(1, 7, 1_000, 60), at(0));
    assert!(sums.is_current(data_centre_key("b"), at(999)));
    assert!(!sums.is_current(data_centre_key("b"), at(1_000)));
    let later = update(1, 7, 3_000, 60);
    assert_eq!(sums.receive(&later, at(2_000)), Some(SumChange::First));
}

#[test]
fn shares_of_a_sum_that_was_replaced_before_it_was_forwarded_are_kept() {
    let mut sums = sums();
    let line = ShareLine {
        customer: CustomerKey::of("customer"),
        asked_tokens: 5,
        admitted_tokens: 4,
    };
    let with_shares = DataCentreUpdate {
        shares: Some(vec![line]),
        ..update(1, 7, 1_000, 60)
    };
    sums.keep_for_members(with_shares, at(0));
    sums.keep_for_members(update(1, 7, 1_100, 60), at(60));
    let forwarded = sums.take_pending(at(100));
    assert_eq!(forwarded.len(), 1);
    assert_eq!(forwarded[0].sent_ms, 1_100);
    assert_eq!(forwarded[0].held_ms, 40);
    assert_eq!(forwarded[0].shares.as_deref(), Some(&[line][..]));
    assert!(sums.take_pending(at(100)).is_empty());
}
