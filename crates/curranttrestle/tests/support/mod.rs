//! Helpers shared by the tests of several coordination modules.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use curranttrestle::state::{Incarnation, InstanceId, Member, MemberView, Now};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Wall clock time at which each simulated run starts.
pub const START_UNIX_MS: u64 = 1_700_000_000_000;

/// Returns the time `steady_ms` after the start of a run, on both clocks.
pub fn now_at(steady_ms: u64) -> Now {
    Now {
        steady_ms,
        unix_ms: START_UNIX_MS + steady_ms,
    }
}

/// Returns the name of a router by its number.
pub fn router_name(router: usize) -> InstanceId {
    InstanceId::new(&format!("r{router}"))
}

/// Returns the number of a router by its name. Panics if the name is not from [`router_name`].
pub fn router_number(name: &InstanceId) -> usize {
    name.as_str()[1..].parse().unwrap()
}

/// Returns the view of the router `me` with the given live members, all of one data centre.
pub fn member_view(me: usize, live: impl IntoIterator<Item = usize>) -> MemberView {
    MemberView {
        local: member(me),
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

/// Returns a runner that generates the same cases in each run.
pub fn deterministic_runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// A queue of timed events. Events at the same time are in the order in which they were added.
pub struct Schedule<E> {
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<E>>,
}

impl<E> Schedule<E> {
    /// Creates an empty schedule.
    pub fn new() -> Self {
        Self {
            queue: BinaryHeap::new(),
            events: Vec::new(),
        }
    }

    /// Adds an event at a time.
    pub fn push(&mut self, at_ms: u64, event: E) {
        self.queue.push(Reverse((at_ms, self.events.len())));
        self.events.push(Some(event));
    }

    /// Removes the next event and returns it, or `None` if it is later than `end_ms`: such an
    /// event is lost.
    pub fn pop_or_discard(&mut self, end_ms: u64) -> Option<(u64, E)> {
        let Reverse((at_ms, index)) = self.queue.pop()?;
        let event = self.events[index].take()?;
        (at_ms <= end_ms).then_some((at_ms, event))
    }

    /// Removes and returns the next event up to `end_ms`. Later events stay in the schedule.
    pub fn pop_until(&mut self, end_ms: u64) -> Option<(u64, E)> {
        let Reverse((at_ms, _)) = self.queue.peek()?;
        if *at_ms > end_ms {
            return None;
        }
        self.pop_or_discard(end_ms)
    }
}
