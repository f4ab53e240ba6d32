//! Decisions of the account of memory for clients.

use curranttrestle::state::Now;
use curranttrestle_gateway::memory::{BodyId, Budget, ClientMemory, Growth, MemoryKind};
use curranttrestle_gateway::settings::MemoryOptions;
use proptest::prelude::*;

const BUDGET_BYTES: usize = 8_000_000;

/// Large bodies may use all but an eighth.
const LARGE_BODY_BYTES: usize = 7_000_000;

fn account() -> ClientMemory {
    ClientMemory::new(Budget::Total(BUDGET_BYTES), MemoryOptions::default())
}

fn at_ms(ms: u64) -> Now {
    Now::default().plus_ms(ms)
}

/// A body of which `bytes` have arrived.
fn add_body(memory: &mut ClientMemory, bytes: usize, now: Now) -> BodyId {
    let id = memory.open_body(now);
    assert_eq!(grow(memory, id, bytes, now), Growth::Granted(Vec::new()));
    id
}

fn grow(memory: &mut ClientMemory, id: BodyId, bytes: usize, now: Now) -> Growth {
    memory.record_received(id, bytes, now);
    memory.grow_body(id, bytes, now)
}

/// Guards against refusing slow clients although there is memory for them.
#[test]
fn slow_body_is_kept_while_there_is_room() {
    let mut memory = account();
    let slow = memory.open_body(at_ms(0));
    for second in 0..600 {
        let now = at_ms(second * 1_000);
        assert_eq!(grow(&mut memory, slow, 1, now), Growth::Granted(Vec::new()));
        let id = add_body(&mut memory, 4_000_000, now);
        memory.discard(id);
    }
}

/// Guards against stalled bodies that keep the memory from others.
#[test]
fn bodies_behind_the_minimum_rate_are_evicted_first_the_slowest_before_others() {
    let mut memory = account();
    let stalled = add_body(&mut memory, 3_000_000, at_ms(0));
    let trickling = add_body(&mut memory, 3_000_000, at_ms(500));
    memory.record_received(trickling, 1, at_ms(4_900));
    let steady = add_body(&mut memory, 500_000, at_ms(4_800));
    let newest = memory.open_body(at_ms(5_000));
    let growth = grow(&mut memory, newest, 3_000_000, at_ms(5_000));
    assert_eq!(growth, Growth::Granted(vec![stalled]));
    let growth = grow(&mut memory, steady, 3_000_000, at_ms(5_001));
    assert_eq!(growth, Growth::Granted(vec![trickling]));
    assert_eq!(memory.held_bytes(MemoryKind::Bodies), 6_500_000);
}

/// Guards against a flood in which all bodies are refused before any of them completes.
#[test]
fn newest_bodies_give_way_to_older_ones_when_none_lags() {
    let mut memory = account();
    let now = at_ms(100);
    let oldest = add_body(&mut memory, 4_000_000, now);
    let middle = add_body(&mut memory, 1_500_000, now);
    let newest = add_body(&mut memory, 1_500_000, now);
    assert_eq!(grow(&mut memory, newest, 100_000, now), Growth::Refused);
    let growth = grow(&mut memory, oldest, 1_000_000, now);
    assert_eq!(growth, Growth::Granted(vec![newest]));
    // The two newer ones do not hold enough, so none of them is evicted in vain.
    assert_eq!(grow(&mut memory, oldest, 3_000_000, now), Growth::Refused);
    assert!(memory.complete_body(middle) > 0);
}

/// Guards against large bodies that shut out ordinary requests.
#[test]
fn small_bodies_and_requests_have_room_beside_large_ones() {
    let mut memory = account();
    let now = at_ms(0);
    let large = add_body(&mut memory, LARGE_BODY_BYTES, now);
    assert_eq!(grow(&mut memory, large, 1, now), Growth::Refused);
    for _ in 0..16 {
        add_body(&mut memory, 16_384, now);
        let request = memory.try_take(MemoryKind::Connections, 40_000, now);
        assert_eq!(request, Growth::Granted(Vec::new()));
    }
}

/// Guards against evicting the body of a request that may be running.
#[test]
fn complete_body_is_not_evicted_and_counts_until_it_is_released() {
    let mut memory = account();
    let complete = add_body(&mut memory, 6_000_000, at_ms(0));
    let held_bytes = memory.complete_body(complete);
    let late = at_ms(60_000);
    let next = memory.open_body(late);
    assert_eq!(grow(&mut memory, next, 2_000_000, late), Growth::Refused);
    memory.release(MemoryKind::Bodies, held_bytes);
    let growth = grow(&mut memory, next, 2_000_000, late);
    assert_eq!(growth, Growth::Granted(Vec::new()));
}

/// Guards against a body that sends fast and then stops, and would hold its memory for as long as
/// its bytes would have taken at the minimum rate.
#[test]
fn fast_start_does_not_pay_for_a_pause() {
    let mut memory = account();
    let id = add_body(&mut memory, LARGE_BODY_BYTES, at_ms(0));
    assert_eq!(memory.evict_slowest(at_ms(1_000)), None);
    assert_eq!(memory.stall_left_ms(id, 5_000, at_ms(1_000)), 4_000);
    assert_eq!(memory.evict_slowest(at_ms(1_001)), Some(id));
    assert_eq!(memory.total_bytes(), 0);
}

/// Guards against limiting more than bodies where the memory of the instance is unknown.
#[test]
fn fixed_limit_counts_only_bodies() {
    let budget = Budget::Bodies(BUDGET_BYTES);
    let mut memory = ClientMemory::new(budget, MemoryOptions::default());
    let now = at_ms(0);
    let taken = memory.try_take(MemoryKind::Responses, 100_000_000, now);
    assert_eq!(taken, Growth::Granted(Vec::new()));
    add_body(&mut memory, BUDGET_BYTES, now);
    assert_eq!(budget.max_connections(1), None);
}

#[derive(Clone, Debug)]
enum Step {
    Open,
    Grow(usize, usize),
    Complete(usize),
    Discard(usize),
    Take(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Open),
        (0..20_usize, 1..2_000_000_usize).prop_map(|(index, bytes)| Step::Grow(index, bytes)),
        (0..20_usize).prop_map(Step::Complete),
        (0..20_usize).prop_map(Step::Discard),
        (1..500_000_usize).prop_map(Step::Take),
        (1..3_000_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    /// Guards against counting bytes twice or not at all, in any order of events.
    #[test]
    fn account_stays_within_the_budget_and_ends_empty(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let mut memory = account();
        let mut now = at_ms(0);
        let mut bodies = Vec::new();
        let mut held = Vec::new();
        for step in steps {
            match step {
                Step::Open => bodies.push(memory.open_body(now)),
                Step::Grow(index, bytes) => {
                    if let Some(id) = bodies.get(index).copied()
                        && let Growth::Granted(evicted) = grow(&mut memory, id, bytes, now)
                    {
                        prop_assert!(!evicted.contains(&id));
                    }
                }
                Step::Complete(index) if index < bodies.len() => {
                    let bytes = memory.complete_body(bodies.swap_remove(index));
                    held.push((MemoryKind::Bodies, bytes));
                }
                Step::Discard(index) if index < bodies.len() => {
                    memory.discard(bodies.swap_remove(index));
                }
                Step::Complete(_) | Step::Discard(_) => {}
                Step::Take(bytes) => {
                    let kind = MemoryKind::Responses;
                    if memory.try_take(kind, bytes, now) != Growth::Refused {
                        held.push((kind, bytes));
                    }
                }
                Step::Wait(ms) => now = now.plus_ms(ms),
            }
            prop_assert!(memory.total_bytes() <= BUDGET_BYTES);
        }
        for id in bodies {
            memory.discard(id);
        }
        for (kind, bytes) in held {
            memory.release(kind, bytes);
        }
        prop_assert_eq!((memory.total_bytes(), memory.receiving_count()), (0, 0));
    }
}
