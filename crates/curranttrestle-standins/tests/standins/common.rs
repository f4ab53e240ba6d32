//! Helpers shared by the tests.

use std::net::SocketAddr;
use std::time::Duration;

use curranttrestle::protocol::endpoint::StreamRequest;
use curranttrestle::state::{AttemptId, CustomerId, Incarnation, InstanceId, PoolId};
use curranttrestle::transport::endpoint::{EndpointClient, EndpointClientOptions, Result};
use curranttrestle::transport::frames::FrameStream;

/// Returns an attempt id with a sequence number.
pub fn attempt(sequence: u64) -> AttemptId {
    AttemptId {
        instance: InstanceId::new("router-1"),
        incarnation: Incarnation(1),
        sequence,
    }
}

/// Waits for a short polling interval.
pub async fn pause() {
    smol::Timer::after(Duration::from_millis(10)).await;
}

/// Creates a request with a prompt.
pub fn request(sequence: u64, prompt: &str, max_tokens: u32) -> StreamRequest {
    StreamRequest {
        attempt: attempt(sequence).to_string(),
        request: format!("request-{sequence}"),
        customer: CustomerId::new("roofers"),
        operation: String::from("draft"),
        pool: PoolId::new("model"),
        prompt: prompt.to_owned(),
        max_tokens,
        expected_cost: None,
    }
}

/// Creates a client with default options.
pub fn client() -> EndpointClient {
    EndpointClient::new(EndpointClientOptions::default())
}

/// Reads a stream to the end.
pub async fn read_all(stream: &mut FrameStream) -> Result<String> {
    let mut text = String::new();
    while let Some(chunk) = stream.next().await? {
        assert_eq!(chunk.offset, text.len() as u64);
        text.push_str(&chunk.text);
    }
    Ok(text)
}

/// Starts a stream and reads it to the end.
pub async fn run(address: SocketAddr, request: &StreamRequest) -> Result<String> {
    let mut stream = client().start_stream(address, request).await?;
    read_all(&mut stream).await
}
