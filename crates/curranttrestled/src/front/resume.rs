//! Resumes a streamed response, also one that another router started.

use std::sync::Arc;

use curranttrestle::protocol::endpoint::StreamId;
use curranttrestle::protocol::resume::ResumeToken;
use curranttrestle::protocol::{Refusal, RefusalReason};

use super::body::{BodyReader, body_channel};
use super::sse;
use crate::shared::Shared;

/// Forwards the rest of a stream from byte `offset`.
///
/// # Errors
///
/// Returns a refusal if the sheet no longer has the stream's endpoint, or if the endpoint cannot
/// resume the stream.
pub async fn resume_stream(
    shared: Arc<Shared>,
    token: ResumeToken,
    offset: u64,
) -> Result<BodyReader, Refusal> {
    let Some(address) = shared
        .sheet()
        .endpoints
        .get(&token.endpoint)
        .map(|endpoint| endpoint.address)
    else {
        let detail = "the endpoint that ran the stream is not in the configuration sheet";
        return Err(Refusal::unknown(RefusalReason::AttemptLost, detail));
    };
    let stream_id = StreamId(token.stream.clone());
    let mut stream = shared
        .endpoints
        .resume_stream(address, &stream_id, &token.attempt, offset)
        .await
        .map_err(|error| Refusal::unknown(RefusalReason::AttemptLost, error.to_string()))?;
    let (chunks, reader) = body_channel();
    smol::spawn(async move {
        let encoded_token = token.encode(&shared.fleet_key);
        let _ = chunks
            .send(sse::start(&token.request, &encoded_token))
            .await;
        loop {
            match stream.next().await {
                Ok(Some(chunk)) => {
                    if chunks
                        .send(sse::text_chunk(chunk.offset, &chunk.text))
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
                Ok(None) => {
                    let _ = chunks.send(sse::done(stream.offset())).await;
                    return;
                }
                Err(error) => {
                    let refusal = Refusal::unknown(RefusalReason::AttemptLost, error.to_string());
                    let _ = chunks.send(sse::error(&refusal)).await;
                    return;
                }
            }
        }
    })
    .detach();
    Ok(reader)
}
