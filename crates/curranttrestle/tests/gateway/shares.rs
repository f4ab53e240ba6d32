use curranttrestle::coordination::gateway::shares::{
    ShareBook, ShareOptions, Standing, fair_level,
};
use proptest::prelude::*;

use super::support::at;

/// The load of a day on which one customer sends many times its usual: without the rule the
/// engines serve in proportion to what is asked.
#[test]
fn a_flood_is_held_to_its_fair_share_and_nobody_else_is_touched() {
    let tokens_per_s = 360_000;
    let mut book = ShareBook::new(ShareOptions::default());
    let mut served = [0_u64; 4];
    // Three customers ask for 60,000 tokens a second each, the flood for 600,000. What they
    // get is counted over two windows, once a whole window was seen.
    for step in 0..1_200_u64 {
        let now = at(step * 10);
        for (customer, tokens) in [("a", 600), ("b", 600), ("c", 600), ("flood", 6_000)] {
            book.asked(customer, tokens, now);
            if book.standing(customer, tokens_per_s, now) == Standing::Within {
                book.admitted(customer, tokens, now);
                let place = ["a", "b", "c", "flood"]
                    .iter()
                    .position(|name| *name == customer);
                served[place.unwrap()] += if step >= 400 { tokens } else { 0 };
            }
        }
    }
    assert_eq!(&served[..3], [480_000, 480_000, 480_000]);
    // The rest of 360,000 tokens a second over the eight seconds.
    let rest = 360_000 * 8 - 3 * 480_000;
    assert!(
        served[3] <= rest + 6_000,
        "the flood got {} of {rest}",
        served[3]
    );
    assert!(
        served[3] * 10 >= rest * 9,
        "capacity was left idle: {}",
        served[3]
    );
}

#[test]
fn reports_of_peers_count_until_they_are_old() {
    let mut here = ShareBook::new(ShareOptions::default());
    let mut there = ShareBook::new(ShareOptions::default());
    there.asked("flood", 1_000_000, at(0));
    there.admitted("flood", 100_000, at(0));
    here.asked("flood", 1_000, at(0));
    assert_eq!(here.standing("flood", 10_000, at(0)), Standing::Within);
    here.report_received(1, there.report(at(0)), at(100));
    assert_eq!(here.standing("flood", 10_000, at(100)), Standing::Beyond);
    assert_eq!(here.standing("flood", 10_000, at(2_100)), Standing::Within);
}

#[test]
fn what_was_asked_before_the_window_is_forgotten() {
    let mut book = ShareBook::new(ShareOptions::default());
    book.asked("a", 1_000_000, at(0));
    book.admitted("a", 1_000_000, at(0));
    assert_eq!(book.standing("a", 10_000, at(3_000)), Standing::Beyond);
    assert_eq!(book.standing("a", 10_000, at(4_100)), Standing::Within);
    assert!(book.report(at(4_100)).is_empty());
}

proptest! {
    /// Nobody gets more than it asks, all of the capacity is used where it is wanted, and
    /// who gets less than it asks gets as much as anybody.
    #[test]
    fn the_level_is_max_min_fair(
        asked in prop::collection::vec(0.0_f64..1_000.0, 1..20),
        capacity in 1.0_f64..5_000.0,
    ) {
        let level = fair_level(asked.iter().copied(), capacity);
        let total: f64 = asked.iter().sum();
        let given: f64 = asked.iter().map(|amount| amount.min(level)).sum();
        prop_assert!((given - total.min(capacity)).abs() < 1e-6);
    }
}
