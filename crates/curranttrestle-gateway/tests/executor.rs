//! Runs control tasks and requests beside many traffic tasks that are always ready.

use std::cell::Cell;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use curranttrestle_gateway::executor::{Executors, block_on};
use futures_lite::future;
use tokio::net::UdpSocket;

const TRAFFIC_TASKS: usize = 1_000;
const ROUND_TRIPS: usize = 20;

/// Tasks that a response passes through, each of which wakes the next one.
const STEPS: usize = 6;

/// Adds tasks that are always ready. Returns the number of times that they ran.
fn spawn_busy_tasks(executors: &Executors) -> Rc<Cell<usize>> {
    let polls = Rc::new(Cell::new(0));
    for _ in 0..TRAFFIC_TASKS {
        let polls = Rc::clone(&polls);
        let busy = async move {
            loop {
                polls.set(polls.get() + 1);
                future::yield_now().await;
            }
        };
        executors.traffic().spawn(busy).detach();
    }
    polls
}

/// Passes on everything that it receives.
async fn pass_on(from: Receiver<()>, to: Sender<()>) {
    while from.recv().await.is_ok() {
        to.send(()).await.unwrap();
    }
}

/// Sends datagrams to itself, one after the other.
async fn exchange_datagrams() {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    for _ in 0..ROUND_TRIPS {
        socket.send_to(&[1], address).await.unwrap();
        socket.readable().await.unwrap();
        socket.recv_from(&mut [0; 8]).await.unwrap();
    }
}

#[test]
fn call_with_many_turns_does_not_wait_for_all_requests_at_each_turn() {
    let executors = Executors::default();
    let polls = spawn_busy_tasks(&executors);
    let call = executors.control().spawn(exchange_datagrams());
    block_on(executors.run(call)).unwrap();
    let polls_per_round_trip = polls.get() / ROUND_TRIPS;
    assert!(
        polls_per_round_trip < TRAFFIC_TASKS / 10,
        "{polls_per_round_trip} polls of requests during each round trip"
    );
}

#[test]
fn response_does_not_wait_for_all_requests_at_each_task_that_it_passes_through() {
    let executors = Executors::default();
    let polls = spawn_busy_tasks(&executors);
    let (event, mut from) = async_channel::bounded(1);
    for _ in 0..STEPS {
        let (to, next) = async_channel::bounded(1);
        executors.traffic().spawn(pass_on(from, to)).detach();
        from = next;
    }
    block_on(executors.run(async {
        // Not a task, like the reactor.
        for _ in 0..ROUND_TRIPS {
            event.send(()).await.unwrap();
            from.recv().await.unwrap();
        }
    }))
    .unwrap();
    let turns = polls.get() / TRAFFIC_TASKS / ROUND_TRIPS;
    assert!(turns <= 2, "waited {turns} times for all other requests");
}

#[test]
fn tasks_that_wake_each_other_without_end_leave_turns_for_others() {
    let executors = Executors::default();
    let (there, back) = (async_channel::bounded(1), async_channel::bounded(1));
    there.0.try_send(()).unwrap();
    let traffic = executors.traffic();
    traffic.spawn(pass_on(there.1, back.0)).detach();
    traffic.spawn(pass_on(back.1, there.0)).detach();
    let polls = spawn_busy_tasks(&executors);
    let call = executors.traffic().spawn(exchange_datagrams());
    block_on(executors.run(call)).unwrap();
    assert!(polls.get() >= TRAFFIC_TASKS);
}
