//! HTTP request handlers of the engine stand-in.

use std::sync::Arc;

use curranttrestle::protocol::endpoint::{Order, OrderKind, OrderResponse, StreamRequest};
use futures_util::TryStreamExt;
use trillium_http::{Body, Method, Status};

use super::reader::Lines;
use super::{Engine, State};
use crate::endpoint::{Identity, load_reply, not_run_reply, order_reply};
use crate::server::{Reply, Request};

/// Handles one request.
pub(super) fn handle(engine: &Arc<Engine>, request: &Request) -> Reply {
    let segments: Vec<&str> = request.segments.iter().map(String::as_str).collect();
    let reply = match (request.method, segments.as_slice()) {
        (Method::Post, ["v1", "streams"]) => start_stream(engine, request),
        (Method::Get, ["v1", "streams", id]) => Ok(resume_stream(engine, request, id)),
        (Method::Delete, ["v1", "streams", id]) => Ok(cancel_stream(engine, id)),
        (Method::Get, ["v1", "load"]) => Ok(load_report(engine)),
        (Method::Post, ["v1", "orders"]) => handle_order(engine, request),
        (Method::Get, ["v1", "events"]) => Ok(cache_events(engine, request)),
        _ => Ok(Reply::empty(Status::NotFound)),
    };
    reply.unwrap_or_else(|refusal| refusal)
}

fn start_stream(engine: &Engine, request: &Request) -> Result<Reply, Reply> {
    let request: StreamRequest = request.json()?;
    let now = engine.now();
    let mut state = engine.state();
    let state = &mut *state;
    if state.orders.is_stopped() || state.faults.take_refusal() {
        state.truth.refused += 1;
        return Err(not_run_reply());
    }
    let uncached = state.cache.insert_prompt(now.steady_ms, &request.prompt);
    let prefill_ms = engine.options.prefill_ms_per_token * f64::from(uncached);
    let ready_ms = now.steady_ms + whole_ms(prefill_ms * state.faults.slow_factor);
    let lines = state.batch.admit(&request, ready_ms, state.incarnation);
    state.load.begin(now.unix_ms, &request.attempt);
    state.leaving.record_admission(now.unix_ms);
    state
        .truth
        .record_admission(&request.request, &request.attempt);
    let running = state.batch.running() as u64;
    state.truth.record_batch(running, engine.options.slots);
    let _ = engine.work_sender.try_send(());
    Ok(stream_reply(lines))
}

fn resume_stream(engine: &Engine, request: &Request, id: &str) -> Reply {
    let Some(attempt) = request.query.get("attempt") else {
        return Reply::text(Status::BadRequest, "the attempt is missing");
    };
    let now = engine.now();
    let mut state = engine.state();
    let incarnation = state.incarnation;
    let offset = request.number("offset");
    let Some((lines, previous_attempt)) = state.batch.resume(id, attempt, offset, incarnation)
    else {
        return Reply::empty(Status::NotFound);
    };
    state.truth.resumed += 1;
    state.load.rename(now.unix_ms, &previous_attempt, attempt);
    stream_reply(lines)
}

fn cancel_stream(engine: &Engine, id: &str) -> Reply {
    let now = engine.now();
    let mut state = engine.state();
    if let Some(attempt) = state.batch.cancel(id) {
        state.truth.cancelled += 1;
        state.load.end(now.unix_ms, &attempt);
    }
    Reply::empty(Status::NoContent)
}

fn load_report(engine: &Engine) -> Reply {
    let state = engine.state();
    let identity = Identity {
        name: &engine.options.name,
        incarnation: state.incarnation,
        slots: engine.options.slots,
    };
    let faults = &state.faults;
    load_reply(
        &identity,
        &state.load,
        &state.orders,
        faults.load_lag_ms,
        faults.lying_load,
    )
}

fn handle_order(engine: &Arc<Engine>, request: &Request) -> Result<Reply, Reply> {
    let order: Order = request.json()?;
    let mut state = engine.state();
    Ok(order_reply(apply_order(engine, &mut state, &order)))
}

fn apply_order(engine: &Arc<Engine>, state: &mut State, order: &Order) -> OrderResponse {
    let response = state.orders.receive(order, state.incarnation);
    let stops = order.kind == OrderKind::Stop && response == OrderResponse::Applied;
    if stops && !state.orders.is_stopped() {
        engine.stop(state, engine.now());
    }
    response
}

fn cache_events(engine: &Engine, request: &Request) -> Reply {
    let now = engine.now();
    let state = engine.state();
    let lag_ms = engine.options.cache_event_lag_ms;
    let events = state
        .cache
        .events(now.steady_ms, lag_ms, request.number("after"));
    Reply::json(Status::Ok, &events)
}

fn stream_reply(lines: Lines) -> Reply {
    let body = Box::pin(lines).into_async_read();
    Reply {
        content_type: "application/x-ndjson",
        body: Body::new_streaming(body, None),
        ..Reply::empty(Status::Ok)
    }
}

/// Rounds a duration up to whole milliseconds.
fn whole_ms(duration_ms: f64) -> u64 {
    let seconds = duration_ms.ceil() / 1_000.0;
    crate::server::milliseconds(std::time::Duration::from_secs_f64(seconds))
}
