//! The transport between routers, over loopback connections.

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

use support::runner;

const KEY: &str = "a fleet key of some length";
/// How long a message may take on a busy machine.
const DEADLINE: Duration = Duration::from_secs(30);

fn message(sequence: u64) -> OutboundMessage {
    OutboundMessage {
        time: HybridTime::default(),
        message: PeerMessage::Ping(Ping {
            sequence,
            join: false,
            digests: MemberDigests::default(),
            news: Vec::new(),
        }),
    }
}

fn sequences(envelope: &Envelope) -> Vec<u64> {
    let pings = envelope.messages.iter().map(|message| match message {
        PeerMessage::Ping(ping) => ping.sequence,
        other => panic!("no {} was sent", other.kind()),
    });
    pings.collect()
}

/// A listener on a free port, the envelopes it takes and the bytes it counts.
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
    let expired = async {
        smol::Timer::after(DEADLINE).await;
        panic!("no envelope came in time")
    };
    let envelope = async { envelopes.recv().await.unwrap() };
    envelope.or(expired).await
}

#[test]
fn messages_arrive_in_order_and_many_in_one_envelope() {
    const MESSAGES: u64 = 2_000;
    smol::block_on(async {
        let (address, envelopes, received) = listen().await;
        let options = sender_options(KEY);
        let sent = options.counts.clone();
        let largest = options.envelope_messages;
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
            assert!(envelope.messages.len() <= largest);
            arrived.extend(sequences(&envelope));
            count += 1;
        }
        assert_eq!(arrived, (0..MESSAGES).collect::<Vec<u64>>());
        assert!(count < MESSAGES / 4, "{count} envelopes");
        assert_eq!(sender.dropped_messages(), 0);
        // Each ping takes more than 32 bytes, for its digests alone.
        assert!(sent.sent_bytes() > 32 * MESSAGES);
        assert!(received.received_bytes() > 32 * MESSAGES);
        assert!(sent.sent_bytes() >= received.received_bytes());
    });
}

#[test]
fn an_envelope_of_another_fleet_is_refused() {
    smol::block_on(async {
        let (address, envelopes, _) = listen().await;
        let mut stranger = PeerSender::new(sender_options("another key of some length"));
        stranger.send(address, message(1));
        // The listener must have read the stranger's envelope before the other one is sent.
        smol::Timer::after(Duration::from_millis(300)).await;
        let mut friend = PeerSender::new(sender_options(KEY));
        friend.send(address, message(2));
        assert_eq!(sequences(&next(&envelopes).await), [2]);
        assert!(envelopes.is_empty());
    });
}

#[test]
fn a_full_queue_drops_messages_and_counts_them() {
    smol::block_on(async {
        // Nobody accepts here, so that nothing is acknowledged.
        let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut sender = PeerSender::new(PeerSenderOptions {
            queue_messages: 10,
            ..sender_options(KEY)
        });
        for sequence in 0..1_000 {
            sender.send(silent.local_addr().unwrap(), message(sequence));
        }
        assert!(sender.dropped_messages() > 0);
    });
}

#[test]
fn arbitrary_bytes_at_the_listener_change_nothing() {
    let bytes = prop::collection::vec(any::<u8>(), 0..600);
    // Some begin with the length of a frame, so that its content is read.
    let framed = prop::collection::vec(any::<u8>(), 0..600).prop_map(|content| {
        let length = u32::try_from(content.len()).unwrap();
        [&length.to_be_bytes()[..], &content].concat()
    });
    smol::block_on(async {
        let (address, envelopes, _) = listen().await;
        runner(200)
            .run(&prop_oneof![bytes, framed], |bytes| {
                smol::block_on(async {
                    let mut stream = TcpStream::connect(address).await.unwrap();
                    // The listener may close at the first wrong byte.
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

/// Passes the first connection on until it goes silent for good, and later ones unharmed.
async fn relay_whose_first_connection_goes_silent(
    listener: TcpListener,
    to: SocketAddr,
    silence: Receiver<()>,
) {
    let mut first = true;
    while let Ok((caller, _)) = listener.accept().await {
        let callee = TcpStream::connect(to).await.unwrap();
        let goes_silent = std::mem::replace(&mut first, false);
        let silence = silence.clone();
        smol::spawn(async move {
            let there = futures_lite::io::copy(caller.clone(), callee.clone());
            let back = futures_lite::io::copy(callee.clone(), caller.clone());
            let copying = async {
                let _ = futures_lite::future::zip(there, back).await;
            };
            let silenced = async {
                if !goes_silent || silence.recv().await.is_err() {
                    std::future::pending::<()>().await;
                }
            };
            copying.or(silenced).await;
            if goes_silent {
                // Both ends stay open, and nothing is passed on any more.
                std::future::pending::<()>().await;
            }
            drop((caller, callee));
        })
        .detach();
    }
}

#[test]
fn a_connection_that_is_silent_for_good_is_replaced_within_about_a_second() {
    smol::block_on(async {
        let (address, envelopes, _) = listen().await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = listener.local_addr().unwrap();
        let (silence, silenced) = async_channel::bounded(1);
        let relaying = relay_whose_first_connection_goes_silent(listener, address, silenced);
        smol::spawn(relaying).detach();
        let mut sender = PeerSender::new(sender_options(KEY));
        sender.send(relay, message(0));
        assert_eq!(sequences(&next(&envelopes).await), [0]);
        silence.send(()).await.unwrap();
        smol::Timer::after(Duration::from_millis(100)).await;
        let start = Instant::now();
        let sending = async {
            for sequence in 1_u64.. {
                sender.send(relay, message(sequence));
                smol::Timer::after(Duration::from_millis(50)).await;
            }
            unreachable!("the numbers end")
        };
        let envelope = next(&envelopes).or(sending).await;
        let elapsed = start.elapsed();
        println!("silent_connection_replaced_ms={}", elapsed.as_millis());
        assert!(
            sequences(&envelope)[0] > 1,
            "the first went into the silence"
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
fn a_sealed_envelope_opens_only_unaltered_and_with_its_key() {
    let cases = (any::<u64>(), any::<prop::sample::Index>(), 1_u8..);
    runner(500)
        .run(&cases, |(sequence, place, difference)| {
            let key = FleetKey::new(KEY);
            let (envelope, sealed) = sealed(sequence);
            prop_assert_eq!(key.open(&sealed), Ok(envelope));
            let stranger = FleetKey::new("another key of some length");
            prop_assert_eq!(stranger.open(&sealed), Err(SealError::WrongTag));
            let mut altered = sealed.clone();
            let place = place.index(altered.tag.len() + altered.bytes.len());
            match place.checked_sub(altered.tag.len()) {
                None => altered.tag[place] ^= difference,
                Some(place) => altered.bytes[place] ^= difference,
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
fn sealed_bytes_that_are_no_envelope_are_malformed() {
    let content = prop::collection::vec(any::<u8>(), 0..3);
    runner(500)
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
fn a_resume_token_is_read_only_unaltered_and_with_its_key() {
    let key = FleetKey::new(KEY);
    let text = token().encode(&key);
    assert_eq!(ResumeToken::decode(&text, &key), Some(token()));
    let stranger = FleetKey::new("another key of some length");
    assert_eq!(ResumeToken::decode(&text, &stranger), None);
    let bytes = hex::decode(&text).unwrap();
    runner(500)
        .run(
            &(any::<prop::sample::Index>(), 1_u8..),
            |(place, difference)| {
                let mut altered = bytes.clone();
                altered[place.index(bytes.len())] ^= difference;
                let altered = hex::encode(altered);
                prop_assert_eq!(ResumeToken::decode(&altered, &key), None);
                let shortened = &text[..place.index(text.len())];
                prop_assert_eq!(ResumeToken::decode(shortened, &key), None);
                Ok(())
            },
        )
        .unwrap();
    runner(500)
        .run(&".{0,200}", |text| {
            prop_assert_eq!(ResumeToken::decode(&text, &key), None);
            Ok(())
        })
        .unwrap();
}
