//! HTTP request handlers of the object API.

use std::sync::Arc;
use std::time::Duration;

use curranttrestle::protocol::platform::{Expected, InstanceStatus, Object, Version};
use serde::Serialize;
use smol::Timer;
use trillium_http::{KnownHeaderName, Method, Status};

use super::rates::CallKind;
use super::{Outage, Platform};
use crate::server::{Reply, Request};

/// Maximum size of an object's value.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// The response to an update or a removal.
#[derive(Serialize)]
struct ChangeResponse {
    version: Version,
}

/// A call to the object API, parsed from a request.
enum Call<'a> {
    Read(&'a str),
    Watch(&'a str, Version),
    List(&'a str),
    Update(&'a str, Expected, String),
    Remove(&'a str),
    Instances,
}

impl Call<'_> {
    fn kind(&self) -> CallKind {
        match self {
            Self::Read(_) | Self::List(_) | Self::Instances => CallKind::Read,
            Self::Watch(..) => CallKind::Watch,
            Self::Update(..) | Self::Remove(_) => CallKind::Write,
        }
    }
}

/// Handles one request.
pub(super) async fn handle(platform: &Arc<Platform>, request: Request) -> Reply {
    if let Some(reply) = handle_instance_change(platform, &request) {
        return reply;
    }
    let call = match parse_call(&request) {
        Ok(call) => call,
        Err(reply) => return reply,
    };
    if let Err(reply) = admit(platform, &request, call.kind()) {
        return reply;
    }
    delay(platform).await;
    let is_write = matches!(call, Call::Update(..) | Call::Remove(_));
    let reply = match call {
        Call::Watch(name, after) => watch(platform, name, after).await,
        call => execute(platform, call),
    };
    if is_write && reply.status == Status::Ok {
        record_effect(platform, &request);
    }
    reply
}

/// Handles a change to the instance list. Such changes are made by the platform itself: they
/// aren't counted as calls and work during an outage.
fn handle_instance_change(platform: &Platform, request: &Request) -> Option<Reply> {
    let [path, name] = request.segments.as_slice() else {
        return None;
    };
    match (request.method, path.as_str()) {
        (Method::Put, "instances") => Some(put_instance(platform, request, name)),
        (Method::Delete, "instances") => {
            platform.remove_instance(name);
            Some(Reply::empty(Status::NoContent))
        }
        _ => None,
    }
}

fn put_instance(platform: &Platform, request: &Request, name: &str) -> Reply {
    match request.json::<InstanceStatus>() {
        Ok(status) if status.name == name => {
            platform.put_instance(status);
            Reply::empty(Status::NoContent)
        }
        Ok(_) => Reply::text(Status::BadRequest, "the names differ"),
        Err(reply) => reply,
    }
}

fn parse_call(request: &Request) -> Result<Call<'_>, Reply> {
    let segments: Vec<&str> = request.segments.iter().map(String::as_str).collect();
    let after = request.query.contains_key("after");
    match (request.method, segments.as_slice()) {
        (Method::Get, ["objects"]) => Ok(Call::List(
            request.query.get("prefix").map_or("", String::as_str),
        )),
        (Method::Get, ["objects", name]) if after => {
            Ok(Call::Watch(name, Version(request.number("after"))))
        }
        (Method::Get, ["objects", name]) => Ok(Call::Read(name)),
        (Method::Put, ["objects", name]) => parse_update(request, name),
        (Method::Delete, ["objects", name]) => Ok(Call::Remove(name)),
        (Method::Get, ["instances"]) => Ok(Call::Instances),
        _ => Err(Reply::empty(Status::NotFound)),
    }
}

fn parse_update<'a>(request: &Request, name: &'a str) -> Result<Call<'a>, Reply> {
    let bad_request = |text: &str| Err(Reply::text(Status::BadRequest, text));
    if request.body.len() > MAX_VALUE_BYTES {
        return Err(Reply::text(
            Status::PayloadTooLarge,
            "the value is too large",
        ));
    }
    let Ok(value) = String::from_utf8(request.body.clone()) else {
        return bad_request("the value is not text");
    };
    let if_match = request.headers.get_str(KnownHeaderName::IfMatch);
    let if_none_match = request.headers.get_str(KnownHeaderName::IfNoneMatch);
    let expected = match (if_match.map(str::parse), if_none_match) {
        (Some(Ok(version)), None) => Expected::Version(Version(version)),
        (None, Some("*")) => Expected::Absent,
        _ => return bad_request("the condition is missing or malformed"),
    };
    Ok(Call::Update(name, expected, value))
}

/// Counts a call and refuses it if it is over the rate limit or falls into an outage.
fn admit(platform: &Platform, request: &Request, kind: CallKind) -> Result<(), Reply> {
    let now_ms = platform.now_ms();
    let mut state = platform.state();
    let outage = state.faults.outage;
    let allowed = state.rates.admit(now_ms, kind, outage.is_some());
    match outage {
        Some(Outage::Unavailable) => Err(Reply::empty(Status::ServiceUnavailable)),
        Some(Outage::Closed) => {
            request.link.close();
            Err(Reply::empty(Status::ServiceUnavailable))
        }
        None if !allowed => Err(Reply::empty(Status::TooManyRequests)),
        None => Ok(()),
    }
}

async fn delay(platform: &Platform) {
    let delay_ms = platform.options.delay_ms + platform.state().faults.delay_ms;
    if delay_ms > 0 {
        Timer::after(Duration::from_millis(delay_ms)).await;
    }
}

fn execute(platform: &Platform, call: Call<'_>) -> Reply {
    let now_ms = platform.now_ms();
    let mut state = platform.state();
    match call {
        Call::Read(name) | Call::Watch(name, _) => object_reply(state.store.read(name)),
        Call::List(prefix) => Reply::json(Status::Ok, &state.store.names(prefix)),
        Call::Update(name, expected, value) => {
            let version = state.store.update(name, expected, value);
            change_reply(version, Status::PreconditionFailed)
        }
        Call::Remove(name) => change_reply(state.store.remove(name), Status::NotFound),
        Call::Instances => {
            let lag_ms = state.faults.instance_lag_ms;
            Reply::json(Status::Ok, &state.instances.visible(now_ms, lag_ms))
        }
    }
}

fn object_reply(object: Option<&Object>) -> Reply {
    object.map_or_else(
        || Reply::empty(Status::NotFound),
        |object| Reply::json(Status::Ok, object),
    )
}

fn change_reply(version: Option<Version>, failure_status: Status) -> Reply {
    version.map_or_else(
        || Reply::empty(failure_status),
        |version| Reply::json(Status::Ok, &ChangeResponse { version }),
    )
}

/// Waits until the version of an object exceeds `after`. If the watch times out, the response has
/// status 404, whether or not the object exists.
async fn watch(platform: &Platform, name: &str, after: Version) -> Reply {
    let waiting = WaitingWatch::new(platform);
    let changed_object = async {
        loop {
            let changed = {
                let mut state = platform.state();
                match state.store.read(name) {
                    Some(object) if object.version > after => {
                        return Reply::json(Status::Ok, object);
                    }
                    _ => state.store.watch(name),
                }
            };
            let _ = changed.recv().await;
        }
    };
    let timed_out = async {
        Timer::after(Duration::from_millis(platform.options.watch_wait_ms)).await;
        Reply::empty(Status::NotFound)
    };
    let reply = smol::future::or(changed_object, timed_out).await;
    drop(waiting);
    reply
}

/// Counts a watch as waiting until dropped.
struct WaitingWatch<'a>(&'a Platform);

impl<'a> WaitingWatch<'a> {
    fn new(platform: &'a Platform) -> Self {
        platform.state().waiting_watches += 1;
        Self(platform)
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.0.state().waiting_watches -= 1;
    }
}

/// Counts a change that took effect. Closes its connection without a response while the
/// `LoseAnswers` fault is active.
fn record_effect(platform: &Platform, request: &Request) {
    let mut state = platform.state();
    state.effects += 1;
    if state.faults.responses_to_lose > 0 {
        state.faults.responses_to_lose -= 1;
        state.answers_lost += 1;
        request.link.close();
    }
}
