//! What the tests of several deciding modules share.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use curranttrestle::state::{Incarnation, InstanceId, Member, MemberView, Now};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// The wall clock time at which each run starts.
pub const START_UNIX_MS: u64 = 1_700_000_000_000;

/// The time `steady_ms` after the start of a run.
pub fn at(steady_ms: u64) -> Now {
    Now {
        steady_ms,
        unix_ms: START_UNIX_MS + steady_ms,
    }
}

/// The name of a router.
pub fn router_name(router: usize) -> InstanceId {
    InstanceId::new(&format!("r{router}"))
}

/// The number of the router with a name.
pub fn router_number(name: &InstanceId) -> usize {
    name.as_str()[1..].parse().unwrap()
}

/// The members of one data centre as the router `me` sees them.
pub fn members(me: usize, live: impl IntoIterator<Item = usize>) -> MemberView {
    MemberView {
        me: member(me),
        live: live.into_iter().map(member).collect(),
    }
}

fn member(router: usize) -> Member {
    Member {
        instance: router_name(router),
        incarnation: Incarnation(1),
        data_centre: "vannes".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
    }
}

/// A property test with the same cases each time.
pub fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Events in the order of their time; those of one time in the order in which they came.
pub struct Schedule<E> {
    order: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<E>>,
}

impl<E> Schedule<E> {
    /// No events.
    pub fn new() -> Self {
        Self {
            order: BinaryHeap::new(),
            events: Vec::new(),
        }
    }

    /// Adds an event.
    pub fn push(&mut self, at_ms: u64, event: E) {
        self.order.push(Reverse((at_ms, self.events.len())));
        self.events.push(Some(event));
    }

    /// Takes the next event until `end_ms`.
    pub fn pop(&mut self, end_ms: u64) -> Option<(u64, E)> {
        let Reverse((at_ms, number)) = self.order.pop()?;
        let event = self.events[number].take()?;
        (at_ms <= end_ms).then_some((at_ms, event))
    }

    /// Takes the next event until `end_ms` and leaves later ones in place.
    pub fn pop_until(&mut self, end_ms: u64) -> Option<(u64, E)> {
        let Reverse((at_ms, _)) = self.order.peek()?;
        if *at_ms > end_ms {
            return None;
        }
        self.pop(end_ms)
    }
}
