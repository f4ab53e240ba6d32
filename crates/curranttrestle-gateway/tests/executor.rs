//! Runs control tasks beside many traffic tasks that are always ready.

use std::cell::Cell;
use std::net::UdpSocket;
use std::rc::Rc;

use curranttrestle_gateway::executor::Executors;
use futures_lite::future;
use smol::Async;

const TRAFFIC_TASKS: usize = 1_000;
const ROUND_TRIPS: usize = 20;

/// Sends datagrams to itself, one after the other.
async fn exchange_datagrams() {
    let socket = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = socket.get_ref().local_addr().unwrap();
    for _ in 0..ROUND_TRIPS {
        socket.send_to(&[1], address).await.unwrap();
        socket.readable().await.unwrap();
        socket.recv_from(&mut [0; 8]).await.unwrap();
    }
}

#[test]
fn call_with_many_turns_does_not_wait_for_all_requests_at_each_turn() {
    let executors = Executors::default();
    let polls = Rc::new(Cell::new(0_usize));
    for _ in 0..TRAFFIC_TASKS {
        let polls = Rc::clone(&polls);
        let request = async move {
            loop {
                polls.set(polls.get() + 1);
                future::yield_now().await;
            }
        };
        executors.traffic().spawn(request).detach();
    }
    let call = executors.control().spawn(exchange_datagrams());
    smol::block_on(executors.run(call));
    let polls_per_round_trip = polls.get() / ROUND_TRIPS;
    assert!(
        polls_per_round_trip < TRAFFIC_TASKS / 10,
        "{polls_per_round_trip} polls of requests during each round trip"
    );
}
