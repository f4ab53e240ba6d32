//! Messages of peers that are torn, late, doubled, forged or of an unknown kind.

use std::net::SocketAddr;

use curranttrestle::coordination::gateway::control::{Control, ControlOptions};
use curranttrestle::coordination::gateway::endpoint_load::{EndpointKey, LoadLine};
use curranttrestle::coordination::gateway::load_relay::data_centre_key;
use curranttrestle::protocol::gateway::{
    DataCentreUpdate, GatewayMessage, GatewayReport, LoadUpdate, MessageEcho, RelayedProof,
};
use curranttrestle::state::Now;
use curranttrestle_gateway::peers::{PeerExchange, Received};
use curranttrestle_gateway::settings::GatewaySettings;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RUN: u32 = 7;

fn at(steady_ms: u64) -> Now {
    Now::default().plus_ms(1_000_000 + steady_ms)
}

fn peer() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 9], 7_400))
}

fn gateway() -> (Control, PeerExchange) {
    let settings = GatewaySettings {
        instance: "gateway-1".to_owned(),
        control: ControlOptions {
            data_centre: "a".to_owned(),
            ..ControlOptions::default()
        },
        ..GatewaySettings::default()
    };
    let control = Control::new(settings.control.clone());
    (control, PeerExchange::new(&settings, RUN, at(0)))
}

fn encoded(message: &GatewayMessage) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap()
}

fn endpoint() -> EndpointKey {
    EndpointKey::of(&"engine".into())
}

fn load(in_flight: u16) -> Vec<LoadLine> {
    vec![LoadLine {
        endpoint: endpoint(),
        waiting_tokens: 0,
        in_flight,
        memory_tokens: 0,
    }]
}

fn sum(sent_ms: u64, in_flight: u16) -> GatewayMessage {
    GatewayMessage::DataCentre(DataCentreUpdate {
        sender: 5,
        run: 1,
        sent_ms,
        data_centre: data_centre_key("b"),
        gateways: 3,
        loads: load(in_flight),
        ..DataCentreUpdate::default()
    })
}

#[test]
fn late_and_doubled_sums_change_nothing() {
    let (mut control, mut exchange) = gateway();
    let mut receive = |message: &GatewayMessage| {
        let received = exchange.receive(&mut control, peer(), &encoded(message), at(0));
        (
            received.unwrap(),
            control.load.view(endpoint(), at(0)).in_flight,
        )
    };
    assert_eq!(receive(&sum(200, 4)), (Received::Sum, 4));
    assert_eq!(receive(&sum(200, 4)), (Received::DroppedSum, 4));
    assert_eq!(receive(&sum(100, 9)), (Received::DroppedSum, 4));
    assert_eq!(receive(&sum(300, 2)), (Received::Sum, 2));
}

/// A gateway of an older program sends its load one by one while a relay sums its data centre.
#[test]
fn report_of_a_gateway_in_a_sum_is_not_counted_beside_it() {
    let (mut control, mut exchange) = gateway();
    let report = |sent_ms| {
        GatewayMessage::Report(GatewayReport {
            update: LoadUpdate {
                sender: 6,
                run: 1,
                sent_ms,
                loads: load(1),
                ..LoadUpdate::default()
            },
            data_centre: data_centre_key("b"),
            ..Default::default()
        })
    };
    let mut receive = |message: &GatewayMessage, now: Now| {
        let received = exchange.receive(&mut control, peer(), &encoded(message), now);
        received.unwrap();
        control.load.view(endpoint(), now).in_flight
    };
    assert_eq!(receive(&report(1), at(0)), 1);
    assert_eq!(receive(&sum(200, 4), at(10)), 4);
    assert_eq!(receive(&report(2), at(20)), 4);
    // The sums have ended: the last one expires, and single reports count again.
    assert_eq!(receive(&report(3), at(2_500)), 1);
}

#[test]
fn proof_for_another_run_of_the_process_is_no_proof() {
    let (mut control, mut exchange) = gateway();
    control.config_freshness.record_proof(3, at(0).steady_ms);
    // The key of the gateway, as others know it.
    let own = exchange.key();
    let proof = |run, age_ms| {
        GatewayMessage::RelayedProof(RelayedProof {
            revision: 3,
            age_ms,
            echoes: vec![MessageEcho {
                peer: own,
                run,
                sent_ms: at(900).steady_ms,
            }],
        })
    };
    let now = at(1_000);
    let mut age_after = |message: &GatewayMessage| {
        let received = exchange.receive(&mut control, peer(), &encoded(message), now);
        received.unwrap();
        control.config_freshness.age_ms(now)
    };
    assert_eq!(age_after(&proof(RUN + 1, 50)), Some(1_000));
    // Sent at 900, when the proof was at most 50 ms old.
    assert_eq!(age_after(&proof(RUN, 50)), Some(150));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_give_a_message_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let (mut control, mut exchange) = gateway();
        let _ = exchange.receive(&mut control, peer(), &bytes, at(0));
    }

    #[test]
    fn torn_sum_is_an_error(length in 0_usize..30) {
        let (mut control, mut exchange) = gateway();
        let whole = encoded(&sum(200, 4));
        let torn = &whole[..length.min(whole.len() - 1)];
        prop_assert!(exchange.receive(&mut control, peer(), torn, at(0)).is_err());
        prop_assert_eq!(control.load.view(endpoint(), at(0)).in_flight, 0);
    }
}
