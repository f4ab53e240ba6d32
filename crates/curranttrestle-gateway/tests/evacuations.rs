//! Announcements of evacuations between gateways.

use std::net::SocketAddr;

use curranttrestle::coordination::gateway::control::{Control, ControlOptions};
use curranttrestle::coordination::gateway::evacuation::{
    EvacuationChange, EvacuationOptions, EvacuationState,
};
use curranttrestle::protocol::gateway::{EvacuationUpdate, GatewayMessage, GatewayReport};
use curranttrestle::state::Now;
use curranttrestle_gateway::peers::{PeerExchange, Received};
use curranttrestle_gateway::settings::GatewaySettings;

fn at(steady_ms: u64) -> Now {
    Now::default().plus_ms(1_000_000 + steady_ms)
}

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_400))
}

fn gateway(has_bound: bool) -> (Control, PeerExchange) {
    let evacuation = has_bound.then(EvacuationOptions::default);
    let settings = GatewaySettings {
        instance: "gateway-1".to_owned(),
        control: ControlOptions {
            data_centre: "a".to_owned(),
            evacuation,
            ..ControlOptions::default()
        },
        ..GatewaySettings::default()
    };
    let control = Control::new(settings.control.clone());
    (control, PeerExchange::new(&settings, 7, at(0)))
}

fn announcement(age_ms: u64) -> Vec<u8> {
    let update = EvacuationUpdate {
        revision: 7,
        age_ms,
        data_centres: vec!["b".to_owned()],
    };
    postcard::to_stdvec(&GatewayMessage::Evacuations(update)).unwrap()
}

fn state(revision: u64) -> EvacuationState {
    EvacuationState {
        revision,
        data_centres: ["b".to_owned()].into_iter().collect(),
    }
}

#[test]
fn read_is_announced_to_live_peers() {
    let (mut control, mut exchange) = gateway(true);
    let report = GatewayMessage::Report(GatewayReport::default());
    let report = postcard::to_stdvec(&report).unwrap();
    exchange
        .receive(&mut control, peer(9), &report, at(0))
        .unwrap();
    control.evacuations.record_read(state(7), at(0).steady_ms);
    let outgoing = exchange.send_due(&mut control, at(50));
    let sent: Vec<_> = outgoing
        .datagrams
        .into_iter()
        .filter(|datagram| datagram.kind == "evacuations")
        .collect();
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].targets, [peer(9)]);
    let (mut other, mut peer_exchange) = gateway(true);
    let received = peer_exchange.receive(&mut other, peer(1), &sent[0].bytes, at(0));
    let began = EvacuationChange::Began("b".to_owned());
    assert_eq!(received, Ok(Received::Evacuations(vec![began])));
}

/// The fleet may have gateways without the bound in their settings.
#[test]
fn announcement_changes_nothing_without_the_bound() {
    let (mut control, mut exchange) = gateway(false);
    let received = exchange.receive(&mut control, peer(9), &announcement(0), at(0));
    assert_eq!(received, Ok(Received::Evacuations(Vec::new())));
    assert!(!control.evacuations.is_evacuated("b"));
}

/// Gateways drop kinds of messages that they do not know, and accept the next message.
#[test]
fn message_of_an_unknown_kind_is_dropped() {
    let (mut control, mut exchange) = gateway(true);
    let mut unknown = announcement(0);
    unknown[0] += 1;
    assert!(
        exchange
            .receive(&mut control, peer(9), &unknown, at(0))
            .is_err()
    );
    let received = exchange.receive(&mut control, peer(9), &announcement(0), at(0));
    assert!(matches!(received, Ok(Received::Evacuations(_))));
}

/// A suspended process finds announcements in its socket that are as old as the suspension. Dated by
/// the time of reading, they would keep it from reading for itself.
#[test]
fn announcement_is_dated_by_the_last_time_the_loop_certainly_ran() {
    for has_tick_before in [false, true] {
        let (mut control, mut exchange) = gateway(true);
        exchange.send_due(&mut control, at(50));
        exchange.send_due(&mut control, at(100));
        let resumed = at(60_000);
        if has_tick_before {
            exchange.send_due(&mut control, resumed);
        }
        let bytes = announcement(30);
        exchange
            .receive(&mut control, peer(9), &bytes, resumed)
            .unwrap();
        let age_ms = control.evacuations.age_ms(resumed);
        assert!(age_ms >= Some(59_900 + 30), "{age_ms:?}");
    }
}
