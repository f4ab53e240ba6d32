//! Decisions of the limit on client connections.

use curranttrestle::state::Now;
use curranttrestle_gateway::connections::{CloseReason, Closed, ConnectionId, ConnectionLimit};
use curranttrestle_gateway::settings::ConnectionOptions;

const MAX: usize = 8;

fn limit() -> ConnectionLimit {
    ConnectionLimit::new(Some(MAX), ConnectionOptions::default())
}

fn at_ms(ms: u64) -> Now {
    Now::default().plus_ms(ms)
}

/// Opens a connection whose response ended at `ended_ms`.
fn open_kept(connections: &mut ConnectionLimit, ended_ms: u64) -> ConnectionId {
    let id = connections.open(at_ms(0));
    connections.record_request(id);
    connections.record_response_end(id, at_ms(ended_ms));
    id
}

fn open_busy(connections: &mut ConnectionLimit) -> ConnectionId {
    let id = connections.open(at_ms(0));
    connections.record_request(id);
    id
}

fn closed(id: ConnectionId, reason: CloseReason) -> Closed {
    Closed { id, reason }
}

/// Guards against closing connections while there is room.
#[test]
fn nothing_is_closed_below_the_limit_or_without_one() {
    let mut connections = limit();
    for _ in 0..MAX {
        assert_eq!(connections.make_room(at_ms(60_000)), Ok(None));
        connections.open(at_ms(0));
    }
    connections.set_max(None);
    assert_eq!(connections.make_room(at_ms(60_000)), Ok(None));
    assert_eq!(connections.open_count(), MAX);
}

/// Guards against closing a kept connection, on which its client may be about to send a request,
/// while there are clients that never sent one.
#[test]
fn connection_without_any_request_is_closed_before_a_kept_one() {
    let mut connections = limit();
    for index in 0..MAX - 2 {
        open_kept(&mut connections, u64::try_from(index).unwrap());
    }
    let silent = connections.open(at_ms(100));
    connections.open(at_ms(200));
    let made = connections.make_room(at_ms(1_100));
    assert_eq!(made, Ok(Some(closed(silent, CloseReason::NoRequest))));
    assert!(!connections.is_open(silent));
}

/// Guards against closing a connection whose client was about to send its first request.
#[test]
fn few_new_connections_have_time_to_send_and_the_longest_idle_is_closed() {
    let mut connections = limit();
    connections.open(at_ms(900));
    let busy = open_busy(&mut connections);
    for ms in [500, 400, 300, 600, 700, 800] {
        open_kept(&mut connections, ms);
    }
    let made = connections.make_room(at_ms(1_000)).unwrap().unwrap();
    assert_eq!(made.reason, CloseReason::Idle);
    connections.record_request(busy);
    connections.open(at_ms(1_000));
    // The one that ended at 400 ms is the longest idle now.
    let made = connections.make_room(at_ms(1_000)).unwrap().unwrap();
    assert_eq!(made.reason, CloseReason::Idle);
    assert!(connections.is_open(busy));
}

/// Guards against a flood of silent connections that drives out all kept ones.
#[test]
fn flood_of_new_connections_closes_its_own() {
    let mut connections = limit();
    let kept = open_kept(&mut connections, 0);
    for _ in 0..1_000 {
        let made = connections.make_room(at_ms(10));
        assert!(matches!(
            made,
            Ok(None
                | Some(Closed {
                    reason: CloseReason::NoRequest,
                    ..
                }))
        ));
        connections.open(at_ms(10));
    }
    assert!(connections.is_open(kept));
    assert_eq!(connections.open_count(), MAX);
}

/// Guards against cutting off a request for a new connection.
#[test]
fn connections_with_a_request_are_never_closed() {
    let mut connections = limit();
    let busy: Vec<ConnectionId> = (0..MAX).map(|_| open_busy(&mut connections)).collect();
    let made = connections.make_room(at_ms(60_000));
    assert_eq!(made, Err(CloseReason::NoRoom));
    assert!(busy.iter().all(|id| connections.is_open(*id)));
    connections.record_response_end(busy[3], at_ms(60_000));
    let made = connections.make_room(at_ms(60_000));
    assert_eq!(made, Ok(Some(closed(busy[3], CloseReason::Idle))));
}
