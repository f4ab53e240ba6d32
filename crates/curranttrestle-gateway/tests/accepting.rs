//! Guards against connections that are lost or wait long because a gateway accepts too slowly.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use curranttrestle_gateway::front::{accept_each, listen};
use futures_lite::{FutureExt, future};

/// Connections that wait: nearly the required 1,024, within the usual limit of descriptors.
const WAITING_CONNECTIONS: usize = 900;

fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    TcpStream::connect_timeout(&address, Duration::from_millis(200))
}

#[test]
fn a_gateway_that_does_not_accept_for_a_while_loses_no_connection() {
    let listener = listen((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let clients: Vec<TcpStream> = (0..WAITING_CONNECTIONS)
        .map_while(|_| connect(address).ok())
        .collect();
    assert_eq!(clients.len(), WAITING_CONNECTIONS);
}

#[test]
fn waiting_connections_are_accepted_together() {
    let listener = listen((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let clients: Vec<_> = (0..50).map(|_| connect(address).unwrap()).collect();
    let accepted = Cell::new(0);
    let accepting = async {
        accept_each(&listener, |_, _| accepted.set(accepted.get() + 1)).await;
    };
    // One turn of the accepting task takes all of them.
    smol::block_on(accepting.or(future::ready(())));
    assert_eq!(accepted.get(), clients.len());
}
