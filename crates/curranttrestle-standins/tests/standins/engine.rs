//! Streaming between the engine stand-in and its client.

use crate::common::{attempt, client, read_all, request, run};
use curranttrestle_standins::engine::{EngineOptions, expected_response, start};

#[test]
fn a_stream_delivers_the_complete_response() {
    let engine = start(EngineOptions::default()).unwrap();
    let request = request(1, "Describe the thermal camera.", 40);
    let text = smol::block_on(run(engine.address(), &request)).unwrap();
    assert_eq!(text, expected_response(&request.prompt, 40));
    let truth = engine.truth();
    assert_eq!(truth.completed, 1);
    assert_eq!(truth.tokens, 40);
}

#[test]
fn a_dropped_stream_is_resumed_at_its_offset() {
    let engine = start(EngineOptions::default()).unwrap();
    let address = engine.address();
    let request = request(1, "Summarise the returns.", 60);
    let text = smol::block_on(async {
        let mut first = client().start_stream(address, &request).await.unwrap();
        let mut text = String::new();
        while first.offset() < 50 {
            text.push_str(&first.next().await.unwrap().unwrap().text);
        }
        let (id, offset) = (first.stream().clone(), first.offset());
        drop(first);
        let mut resumed = client()
            .resume_stream(address, &id, &attempt(2), offset)
            .await
            .unwrap();
        while let Some(chunk) = resumed.next().await.unwrap() {
            text.push_str(&chunk.text);
        }
        text
    });
    assert_eq!(text, expected_response(&request.prompt, 60));
    assert_eq!(engine.truth().admitted, 1);
}

#[test]
fn a_cancelled_stream_ends() {
    let engine = start(EngineOptions::default()).unwrap();
    let address = engine.address();
    smol::block_on(async {
        let mut stream = client()
            .start_stream(address, &request(1, "Long.", 10_000))
            .await
            .unwrap();
        stream.next().await.unwrap();
        let id = stream.stream().clone();
        client().cancel_stream(address, &id).await.unwrap();
        read_until_failure(&mut stream).await;
        client().cancel_stream(address, &id).await.unwrap();
    });
    let truth = engine.truth();
    assert_eq!((truth.cancelled, truth.running), (1, 0));
}

/// Reads until the stream fails. Panics if it is completed instead.
async fn read_until_failure(stream: &mut curranttrestle::transport::frames::FrameStream) {
    while let Ok(chunk) = stream.next().await {
        assert!(chunk.is_some(), "a cancelled stream was completed");
    }
}

#[test]
fn concurrent_streams_receive_their_own_responses() {
    let engine = start(EngineOptions {
        token_interval_ms: 1.0,
        ..EngineOptions::default()
    })
    .unwrap();
    let address = engine.address();
    let tasks: Vec<_> = (0..32)
        .map(|number| {
            smol::spawn(async move {
                let request = request(number, &format!("Question {number}"), 30);
                let mut stream = client().start_stream(address, &request).await.unwrap();
                let text = read_all(&mut stream).await.unwrap();
                assert_eq!(text, expected_response(&request.prompt, 30));
            })
        })
        .collect();
    smol::block_on(async {
        for task in tasks {
            task.await;
        }
    });
    let truth = engine.truth();
    assert_eq!(truth.completed, 32);
    assert!(
        truth.over_admitted > 0,
        "no request counted as over-admitted with 32 streams on 8 slots"
    );
}
