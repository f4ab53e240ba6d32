//! Tests the transport between routers over loopback connections.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use curranttrestle::protocol::peer::{
    Envelope, FleetKey, MemberDigests, PeerMessage, Ping, SealError, SealedEnvelope,
};
use curranttrestle::protocol::resume::ResumeToken;
use curranttrestle::state::event::HybridTime;
use curranttrestle::state::{AttemptId, Incarnation, RequestId};
use curranttrestle::transport::peer::{
    ByteCounts, OutboundMessage, PeerListener, PeerListenerOptions, PeerSender, PeerSenderOptions,
};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use proptest::prelude::*;
use smol::net::{TcpListener, TcpStream};
use uuid::Uuid;

use support::deterministic_runner;

const KEY: &str = "a fleet key of some length";
/// The maximum time to wait for an envelope. It is generous because test machines may be busy.
const DEADLINE: Duration = Duration::from_secs(30);

fn message(sequence: u64) -> OutboundMessage {
    OutboundMessage {
        time: HybridTime::default(),
        message: PeerMessage::Ping(Ping {
            sequence,
            join: false,
            digests: MemberDigests::default(),
            updates: Vec::new(),
        }),
    }
}

fn sequences(envelope: &Envelope) -> Vec<u64> {
    let pings = envelope.messages.iter().map(|message| match message {
        PeerMessage::Ping(ping) => ping.sequence,
        other => panic!("unexpected message of kind {}", other.kind()),
    });
    pings.collect()
}

/// Starts a listener on a free port. Returns its address, the received envelopes and the byte
/// counts.
async fn listen() -> (SocketAddr, Receiver<Envelope>, ByteCounts) {
    let counts = ByteCounts::default();
    let listener = PeerListener::bind(PeerListenerOptions {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        key: FleetKey::new(KEY),
        counts: counts.clone(),
    });
    let listener = listener.await.unwrap();
    let address = listener.local_addr().unwrap();
    let (inbox, envelopes) = async_channel::unbounded();
    smol::spawn(listener.run(inbox)).detach();
    (address, envelopes, counts)
}

fn sender_options(key: &str) -> PeerSenderOptions {
    PeerSenderOptions::new("rennes-1".into(), Incarnation(7), FleetKey::new(key))
}

async fn next(envelopes: &Receiver<Envelope>) -> Envelope {
    let timed_out = async {
        smol::Timer::after(DEADLINE).await;
        panic!("no envelope arrived within {DEADLINE:?}")
    };
    let envelope = async { envelopes.recv().await.unwrap() };
    envelope.or(timed_out).await
}

#[test]
fn messages_arrive_in_order_and_in_batches() {
    const MESSAGES: u64 = 2_000;
    smol::block_on(async {
        let (address, envelopes, received) = listen().await;
        let options = sender_options(KEY);
        let sent = options.counts.clone();
        let max_messages = options.max_envelope_messages;
        let mut sender = PeerSender::new(options);
        for sequence in 0..MESSAGES {
            sender.send(address, message(sequence));
        }
        let mut arrived = Vec::new();
        let mut count = 0;
        while (arrived.len() as u64) < MESSAGES {
            let envelope = next(&envelopes).await;
            assert_eq!(envelope.from, "rennes-1".into());
            assert_eq!(envelope.incarnation, Incarnation(7));
            assert!(envelope.messages.len() <= max_messages);
            arrived.extend(sequences(&envelope));
            count += 1;
        }
        assert_eq!(arrived, (0..MESSAGES).collect::<Vec<u64>>());
        assert!(count < MESSAGES / 4, "{count} envelopes");
        assert_eq!(sender.dropped_messages(), 0);
        // A ping takes more than 32 bytes: its digests alone take 32.
        assert!(sent.sent_bytes() > 32 * MESSAGES);
        assert!(received.received_bytes() > 32 * MESSAGES);
        assert!(sent.sent_bytes() >= received.received_bytes());
    });
}

#[test]
fn an_envelope_sealed_with_another_fleet_key_is_refused() {
    smol::block_on(async {
        let (address, envelopes, _) = listen().await;
        let mut other_key_sender = PeerSender::new(sender_options("another key of some length"));
        other_key_sender.send(address, message(1));
        // Allows the listener to read the first envelope before the second one is sent.
        smol::Timer::after(Duration::from_millis(300)).await;
        let mut same_key_sender = PeerSender::new(sender_options(KEY));
        same_key_sender.send(address, message(2));
        assert_eq!(sequences(&next(&envelopes).await), [2]);
        assert!(envelopes.is_empty());
    });
}

#[test]
fn a_full_queue_drops_messages_and_counts_them() {
    smol::block_on(async {
        // This listener never accepts a connection, so nothing is acknowledged.
        let unresponsive = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut sender = PeerSender::new(PeerSenderOptions {
            max_queued_messages: 10,
            ..sender_options(KEY)
        });
        for sequence in 0..1_000 {
            sender.send(unresponsive.local_addr().unwrap(), message(sequence));
        }
        assert!(sender.dropped_messages() > 0);
    });
}

#[test]
fn the_listener_ignores_arbitrary_bytes() {
    let bytes = prop::collection::vec(any::<u8>(), 0..600);
    // Prefixes the bytes with a valid frame length, so that the content is read.
    let framed = prop::collection::vec(any::<u8>(), 0..600).prop_map(|content| {
        let length = u32::try_from(content.len()).unwrap();
        [&length.to_be_bytes()[..], &content].concat()
    });
    smol::block_on(async {
        let (address, envelopes, _) = listen().await;
        deterministic_runner(200)
            .run(&prop_oneof![bytes, framed], |bytes| {
                smol::block_on(async {
                    let mut stream = TcpStream::connect(address).await.unwrap();
                    // The listener may close the connection at the first invalid byte.
                    let _ = stream.write_all(&bytes).await;
                    let _ = stream.shutdown(std::net::Shutdown::Write);
                    let _ = stream.read_to_end(&mut Vec::new()).await;
                });
                prop_assert!(envelopes.is_empty());
                Ok(())
            })
            .unwrap();
        let mut sender = PeerSender::new(sender_options(KEY));
        sender.send(address, message(1));
        assert_eq!(sequences(&next(&envelopes).await), [1]);
    });
}

/// Relays connections to `to`. The first one stops forwarding after a message on `stall` but
/// stays open; later ones are always forwarded.
async fn relay_that_stalls_first_connection(
    listener: TcpListener,
    to: SocketAddr,
    stall: Receiver<()>,
) {
    let mut first = true;
    while let Ok((caller, _)) = listener.accept().await {
        let callee = TcpStream::connect(to).await.unwrap();
        let stalls = std::mem::replace(&mut first, false);
        let stall = stall.clone();
        smol::spawn(async move {
            let upstream = futures_lite::io::copy(caller.clone(), callee.clone());
            let downstream = futures_lite::io::copy(callee.clone(), caller.clone());
            let copying = async {
                let _ = futures_lite::future::zip(upstream, downstream).await;
            };
            let stalled = async {
                if !stalls || stall.recv().await.is_err() {
                    std::future::pending::<()>().await;
                }
            };
            copying.or(stalled).await;
            if stalls {
                // Both connections stay open, but nothing is forwarded.
                std::future::pending::<()>().await;
            }
            drop((caller, callee));
        })
        .detach();
    }
}

#[test]
fn a_stalled_connection_is_replaced_after_the_delivery_timeout() {
    smol::block_on(async {
        let (address, envelopes, _) = listen().await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = listener.local_addr().unwrap();
        let (stall, stalled) = async_channel::bounded(1);
        let relaying = relay_that_stalls_first_connection(listener, address, stalled);
        smol::spawn(relaying).detach();
        let mut sender = PeerSender::new(sender_options(KEY));
        sender.send(relay, message(0));
        assert_eq!(sequences(&next(&envelopes).await), [0]);
        stall.send(()).await.unwrap();
        smol::Timer::after(Duration::from_millis(100)).await;
        let start = Instant::now();
        let send_repeatedly = async {
            for sequence in 1_u64.. {
                sender.send(relay, message(sequence));
                smol::Timer::after(Duration::from_millis(50)).await;
            }
            unreachable!("sequence numbers are exhausted")
        };
        let envelope = next(&envelopes).or(send_repeatedly).await;
        let elapsed = start.elapsed();
        println!("silent_connection_replaced_ms={}", elapsed.as_millis());
        assert!(
            sequences(&envelope)[0] > 1,
            "the first message should have been lost"
        );
        assert!(elapsed >= Duration::from_millis(900), "{elapsed:?}");
        assert!(elapsed < Duration::from_secs(5), "{elapsed:?}");
    });
}

fn sealed(sequence: u64) -> (Envelope, SealedEnvelope) {
    let envelope = Envelope {
        from: "brest-1".into(),
        incarnation: Incarnation(3),
        time: HybridTime::default(),
        messages: vec![message(sequence).message],
    };
    let sealed = FleetKey::new(KEY).seal(&envelope);
    (envelope, sealed)
}

#[test]
fn a_sealed_envelope_opens_only_if_unaltered_and_with_the_same_key() {
    let cases = (any::<u64>(), any::<prop::sample::Index>(), 1_u8..);
    deterministic_runner(500)
        .run(&cases, |(sequence, position, difference)| {
            let key = FleetKey::new(KEY);
            let (envelope, sealed) = sealed(sequence);
            prop_assert_eq!(key.open(&sealed), Ok(envelope));
            let other_key = FleetKey::new("another key of some length");
            prop_assert_eq!(other_key.open(&sealed), Err(SealError::WrongTag));
            let mut altered = sealed.clone();
            let position = position.index(altered.tag.len() + altered.bytes.len());
            match position.checked_sub(altered.tag.len()) {
                None => altered.tag[position] ^= difference,
                Some(position) => altered.bytes[position] ^= difference,
            }
            prop_assert_eq!(key.open(&altered), Err(SealError::WrongTag));
            altered = sealed.clone();
            altered.bytes.pop();
            prop_assert_eq!(key.open(&altered), Err(SealError::WrongTag));
            Ok(())
        })
        .unwrap();
}

#[test]
fn sealed_bytes_that_do_not_decode_are_malformed() {
    let content = prop::collection::vec(any::<u8>(), 0..3);
    deterministic_runner(500)
        .run(&content, |bytes| {
            let key = FleetKey::new(KEY);
            let tag = key.tag(&bytes);
            let opened = key.open(&SealedEnvelope { tag, bytes });
            prop_assert_eq!(opened, Err(SealError::Malformed));
            Ok(())
        })
        .unwrap();
}

fn token() -> ResumeToken {
    ResumeToken {
        endpoint: "rennes-assistant-1".into(),
        stream: "s-17".to_owned(),
        attempt: AttemptId {
            instance: "rennes-1".into(),
            incarnation: Incarnation(5),
            sequence: 9,
        },
        request: RequestId(Uuid::from_u128(11)),
        customer: "roofer".into(),
    }
}

#[test]
fn a_resume_token_decodes_only_if_unaltered_and_with_the_same_key() {
    let key = FleetKey::new(KEY);
    let text = token().encode(&key);
    assert_eq!(ResumeToken::decode(&text, &key), Some(token()));
    let other_key = FleetKey::new("another key of some length");
    assert_eq!(ResumeToken::decode(&text, &other_key), None);
    let bytes = hex::decode(&text).unwrap();
    deterministic_runner(500)
        .run(
            &(any::<prop::sample::Index>(), 1_u8..),
            |(position, difference)| {
                let mut altered = bytes.clone();
                altered[position.index(bytes.len())] ^= difference;
                let altered = hex::encode(altered);
                prop_assert_eq!(ResumeToken::decode(&altered, &key), None);
                let shortened = &text[..position.index(text.len())];
                prop_assert_eq!(ResumeToken::decode(shortened, &key), None);
                Ok(())
            },
        )
        .unwrap();
    deterministic_runner(500)
        .run(&".{0,200}", |text| {
            prop_assert_eq!(ResumeToken::decode(&text, &key), None);
            Ok(())
        })
        .unwrap();
}
