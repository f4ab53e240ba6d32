//! The cases.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::fleet::{
    Behaviour, Gateway, Launcher, Record, Replica, Settings, Store, lock, sleep_ms,
    stream_events, stream_paced,
};
use crate::http::{Answer, call, respond};

/// What a case runs with.
pub struct Case {
    pub directory: PathBuf,
    pub record: Arc<Record>,
    pub has_trouble: bool,
}

/// Runs a case. Returns whether the rule was broken.
///
/// # Errors
///
/// Why the case could not run.
pub fn run(name: &str, case: &Case) -> Result<bool, String> {
    match name {
        "foreign" => foreign(case),
        "grace" => grace(case),
        "seeds" => seeds(case),
        "attempts" => attempts(case),
        _ => Err(format!("unknown case {name}")),
    }
}

const HOST: &str = "ficu95.example";
const KEY: &str = "asnmgkcuyj8pjbvk9m68";

fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, attempts: u64, resume: bool) -> String {
    format!(
        "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"routeType\":\"{kind}\",\
         \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":500,\"priority\":1,\"service\":\"{service}\",\
         \"maxAttempts\":{attempts},\"anonymous\":false,\"sessionAffinity\":{},\"streamResume\":{resume},\
         \"itlTargetMs\":200}}",
        service == "atelier-modele"
    )
}

/// The configuration of all cases, with a model service, a plain one and one tenant.
fn config() -> String {
    let routes = [
        route("chat", "streaming", "atelier-modele", 15_000, 2, true),
        route("draft", "streaming", "atelier-modele", 15_000, 1, false),
        route("stock", "idempotent", "guichet", 1_500, 2, false),
        route("book", "non_idempotent", "guichet", 1_500, 1, false),
        route("watch", "streaming", "guichet", 15_000, 2, true),
    ];
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[\
         {{\"name\":\"atelier-modele\",\"healthPath\":\"/healthz\",\"maxConnections\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"inferenceEngine\":{{\"slots\":64,\"kvCapacityTokens\":304154}}}},\
         {{\"name\":\"guichet\",\"healthPath\":\"/healthz\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000,\"tokensPerS\":360000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// A client's request.
struct Call<'a> {
    method: &'a str,
    path: &'a str,
    attempt: &'a str,
    key: &'a str,
    deadline_ms: u64,
    /// Further headers, each with its line end.
    headers: &'a str,
    body: &'a str,
}

impl Call<'_> {
    fn bytes(&self) -> Vec<u8> {
        let Self { method, path, attempt, key, deadline_ms, headers, body } = self;
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Curranttrestle-Attempt-Id: {attempt}\r\n\
             X-Curranttrestle-Deadline-Ms: {deadline_ms}\r\nX-Curranttrestle-Credential: {key}\r\n\
             {headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }
}

/// Answers a request of a plain service after some work.
fn plain(work_ms: u64) -> Behaviour {
    Arc::new(move |_request, stream, signed| {
        sleep_ms(work_ms);
        respond(stream, 200, signed, b"done")
    })
}

/// Streams so many events, one every `pause_ms`.
fn streaming(events: u64, pause_ms: u64) -> Behaviour {
    Arc::new(move |request, stream, signed| {
        let first = request.header("last-event-id").parse().map_or(1, |last: u64| last + 1);
        stream_events(stream, signed, first, events, pause_ms)
    })
}

const PROMPT: &str = "X-Curranttrestle-Model-Name: m\r\nX-Curranttrestle-Token-Count: 1460,80\r\n";

/// Starts `count` gateways and waits until they are ready.
fn start_gateways(
    case: &Case,
    launcher: &Launcher,
    count: usize,
    settings: &Settings,
) -> Result<Vec<Gateway>, String> {
    let gateways: Result<Vec<Gateway>, String> =
        (0..count).map(|index| launcher.start(index, settings)).collect();
    let gateways = gateways?;
    for (index, gateway) in gateways.iter().enumerate() {
        if !gateway.wait_ready(8_000) {
            return Err(format!("gateway {index} is not ready after 8 s"));
        }
    }
    case.record.line("all gateways are ready");
    Ok(gateways)
}

fn settings(launcher: &Launcher) -> Settings {
    Settings { grace_s: 8, seeds: vec![launcher.seed(0)] }
}

/// An entry from another writer contains a byte that cannot be read. A replica leaves afterwards.
fn foreign(case: &Case) -> Result<bool, String> {
    const DRAIN_MS: u64 = 2_000;
    const CONTACT_MS: u64 = 3_000;
    let record = &case.record;
    let (store, store_address) = Store::start();
    store.set_config(&config());
    let replicas: Vec<Arc<Replica>> = (0..3)
        .map(|n| Replica::start(&format!("i-desk{n}"), "guichet", &store, record, plain(30)))
        .collect();
    let launcher = Launcher::new(&case.directory, store_address, record);
    let gateways = start_gateways(case, &launcher, 2, &settings(&launcher))?;
    let is_done = Arc::new(AtomicBool::new(false));
    let clients = look_up_all_the_time(case, &gateways, &is_done, 50);
    sleep_ms(2_000);
    if case.has_trouble {
        let spec = b"{\"service\":\"guichet\",\"address\":\"127.0.0.1:9\",\"state\":\"\x00\x1b\xe9\"}";
        store.set_server("i-other", spec);
        record.line("another writer writes the entry i-other, with the bytes 00 1B E9 in its state");
    }
    // Longer than the store's disruption could excuse.
    sleep_ms(CONTACT_MS + 2_000);
    let left_ms = replicas[0].drain();
    record.line("the store acknowledges that i-desk0 is draining; it continues to serve");
    sleep_ms(DRAIN_MS + 6_000);
    let arrivals = lock(&replicas[0].arrivals).clone();
    let late = arrivals.iter().filter(|arrival| arrival.has_run && arrival.at_ms > left_ms + DRAIN_MS);
    let late = late.count();
    record.line(&format!("i-desk0 received {late} requests later than drainMs after the acknowledgement"));
    let started = launcher.start(2, &settings(&launcher))?;
    let is_ready = started.wait_ready(10_000);
    record.line(&format!("a gateway started now is ready within 10 s: {is_ready}"));
    is_done.store(true, Ordering::Relaxed);
    clients.join().map_err(|_panic| "a client failed")?;
    Ok(late > 0)
}

/// Sends a lookup every `interval_ms`, to the gateways in turn, until `is_done`.
fn look_up_all_the_time(
    case: &Case,
    gateways: &[Gateway],
    is_done: &Arc<AtomicBool>,
    interval_ms: u64,
) -> thread::JoinHandle<()> {
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.client).collect();
    let (record, is_done) = (Arc::clone(&case.record), Arc::clone(is_done));
    thread::spawn(move || {
        let mut number = 0;
        while !is_done.load(Ordering::Relaxed) {
            let attempt = format!("look-{number}");
            let call_text = Call {
                method: "GET",
                path: &format!("/stock/item?number={number}"),
                attempt: &attempt,
                key: KEY,
                deadline_ms: 1_500,
                headers: "",
                body: "",
            };
            let address = addresses[number % addresses.len()];
            let bytes = call_text.bytes();
            let record = Arc::clone(&record);
            thread::spawn(move || {
                let answer = call(address, &bytes, 2_000);
                record.line(&format!("{attempt} ends: {}", answer.describe()));
            });
            number += 1;
            sleep_ms(interval_ms);
        }
        sleep_ms(2_000);
    })
}

/// The settings file gives a longer grace period. Later the gateway is stopped.
fn grace(case: &Case) -> Result<bool, String> {
    const STREAMS: usize = 5;
    const GRACE_S: u64 = 16;
    let record = &case.record;
    let (store, store_address) = Store::start();
    store.set_config(&config());
    // 11 s of work.
    for n in 0..2 {
        Replica::start(&format!("i-model{n}"), "atelier-modele", &store, record, streaming(55, 200));
    }
    let launcher = Launcher::new(&case.directory, store_address, record);
    let later = Settings { grace_s: GRACE_S, ..settings(&launcher) };
    let first = if case.has_trouble { settings(&launcher) } else { later.clone() };
    let gateways = start_gateways(case, &launcher, 2, &first)?;
    let gateway = &gateways[0];
    if case.has_trouble {
        launcher.reload(0, gateway, &later)?;
        record.line("the settings file of gateway 0 says graceS = 16 instead of 8; SIGHUP");
    }
    sleep_ms(4_000);
    let ends: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, address) = (Arc::clone(record), gateway.client);
            thread::spawn(move || {
                let attempt = format!("grace-{number}");
                let request = Call {
                    method: "POST",
                    path: "/draft/a",
                    attempt: &attempt,
                    key: KEY,
                    deadline_ms: 15_000,
                    headers: PROMPT,
                    body: "draft",
                };
                record.line(&format!("{attempt} is sent"));
                let answer = call(address, &request.bytes(), 16_000);
                record.line(&format!("{attempt} ends: {}", answer.describe()));
                answer
            })
        })
        .collect();
    sleep_ms(500);
    let stopped_ms = record.ms();
    gateway.signal("TERM")?;
    record.line("gateway 0 gets SIGTERM; SIGKILL follows after graceS");
    record.wait_until(stopped_ms + GRACE_S * 1_000);
    if !gateway.has_ended() {
        record.line("gateway 0 gets SIGKILL");
        gateway.signal("KILL")?;
    }
    let mut cut = 0;
    for end in ends {
        let answer: Answer = end.join().map_err(|_panic| "a client failed")?;
        cut += usize::from(!answer.is_complete);
    }
    record.line(&format!("{cut} of {STREAMS} streams were cut"));
    Ok(cut > 0)
}

/// A request crashes each replica that runs it, and its caller sends it again.
fn seeds(case: &Case) -> Result<bool, String> {
    const GATEWAYS: usize = 6;
    const CONTACT_MS: u64 = 3_000;
    const SENDS: usize = 40;
    let record = &case.record;
    let (store, store_address) = Store::start();
    store.set_config(&config());
    let replicas: Arc<Mutex<Vec<Arc<Replica>>>> = Arc::default();
    for n in 0..4 {
        let all = Arc::clone(&replicas);
        let id = format!("i-desk{n}");
        let own_id = id.clone();
        let behaviour: Behaviour = Arc::new(move |request, stream, signed| {
            if request.body == b"crash" {
                let replica = lock(&all).iter().find(|replica| replica.id == own_id).cloned();
                if let Some(replica) = replica {
                    replica.crash(2_000);
                }
                return false;
            }
            sleep_ms(30);
            respond(stream, 200, signed, b"done")
        });
        let replica = Replica::start(&id, "guichet", &store, record, behaviour);
        lock(&replicas).push(replica);
    }
    let launcher = Launcher::new(&case.directory, store_address, record);
    let seeds = (0..3).map(|index| {
        if case.has_trouble { launcher.stale_seed(index) } else { launcher.seed(index) }
    });
    let settings = Settings { grace_s: 8, seeds: seeds.collect() };
    record.line(&format!("seedNodes = {:?}", settings.seeds));
    let gateways = start_gateways(case, &launcher, GATEWAYS, &settings)?;
    sleep_ms(8_000);
    let mut sent_ms: BTreeMap<String, u64> = BTreeMap::new();
    for number in 0..SENDS {
        let attempt = format!("crash-{number}");
        sent_ms.insert(attempt.clone(), record.ms());
        let request = Call {
            method: "POST",
            path: "/stock/item",
            attempt: &attempt,
            key: KEY,
            deadline_ms: 1_500,
            headers: "",
            body: "crash",
        };
        let answer = call(gateways[number % GATEWAYS].client, &request.bytes(), 2_000);
        record.line(&format!("{attempt} at gateway {} ends: {}", number % GATEWAYS, answer.describe()));
        sleep_ms(1_000);
    }
    let replicas = lock(&replicas).clone();
    let mut crashes: Vec<u64> = replicas.iter().flat_map(|replica| replica.crashes()).collect();
    crashes.sort_unstable();
    let Some(third_ms) = crashes.get(2) else {
        return Ok(false);
    };
    let arrivals = replicas.iter().flat_map(|replica| lock(&replica.arrivals).clone());
    let late = arrivals.filter(|arrival| {
        let sent = sent_ms.get(&arrival.attempt).copied().unwrap_or(0);
        arrival.has_run && sent > third_ms + CONTACT_MS
    });
    let late: BTreeSet<String> = late.map(|arrival| arrival.attempt).collect();
    let late = late.len();
    record.line(&format!(
        "{} crashes; {late} retries sent later than contactMs after the third one reached replicas",
        crashes.len()
    ));
    Ok(late > 3)
}

/// One of eight replicas takes eight times as long for a while.
fn attempts(case: &Case) -> Result<bool, String> {
    const REPLICAS: usize = 8;
    const STREAMS: usize = 220;
    const START_INTERVAL_MS: u64 = 50;
    const STARTS_BEFORE: usize = 100;
    const PAUSE_MS: u64 = 131;
    const SLOW_FACTOR: u64 = 8;
    const SLOW_MS: u64 = 6_500;
    const MAX_ATTEMPTS: usize = 2;
    let record = &case.record;
    let (store, store_address) = Store::start();
    store.set_config(&config());
    let is_slow = Arc::new(AtomicBool::new(false));
    let replicas: Vec<Arc<Replica>> = (0..REPLICAS)
        .map(|n| {
            let is_slow = Arc::clone(&is_slow);
            let behaviour: Behaviour = Arc::new(move |request, stream, signed| {
                if request.path().starts_with("/stock/") {
                    sleep_ms(30);
                    return respond(stream, 200, signed, b"done");
                }
                let first = request.header("last-event-id").parse().map_or(1, |last: u64| last + 1);
                let pause_ms = || {
                    let factor = if n == 0 && is_slow.load(Ordering::Relaxed) { SLOW_FACTOR } else { 1 };
                    factor * PAUSE_MS
                };
                // Streams have 20 to 60 events.
                let number: u64 = String::from_utf8_lossy(&request.body[6..]).parse().unwrap_or(0);
                stream_paced(stream, signed, first, 20 + number * 7 % 41, pause_ms)
            });
            Replica::start(&format!("i-desk{n}"), "guichet", &store, record, behaviour)
        })
        .collect();
    let launcher = Launcher::new(&case.directory, store_address, record);
    let gateways = start_gateways(case, &launcher, 2, &settings(&launcher))?;
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.client).collect();
    sleep_ms(2_000);
    let is_done = Arc::new(AtomicBool::new(false));
    let lookups = look_up_all_the_time(case, &gateways, &is_done, 10);
    let (begun_ms, has_trouble) = (record.ms(), case.has_trouble);
    let senders: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, address) = (Arc::clone(record), addresses[number % 2]);
            record.wait_until(begun_ms + START_INTERVAL_MS * number as u64);
            if number == STARTS_BEFORE && has_trouble {
                is_slow.store(true, Ordering::Relaxed);
                record.line("i-desk0 takes eight times as long from now on");
            }
            thread::spawn(move || {
                let attempt = format!("watch-{number}");
                let bytes = Call {
                    method: "POST",
                    path: "/watch/a",
                    attempt: &attempt,
                    key: KEY,
                    deadline_ms: 15_000,
                    headers: "",
                    body: &attempt,
                }
                .bytes();
                let answer = call(address, &bytes, 16_000);
                record.line(&format!("{attempt} ends: {}", answer.describe()));
            })
        })
        .collect();
    record.wait_until(begun_ms + START_INTERVAL_MS * STARTS_BEFORE as u64 + SLOW_MS);
    is_slow.store(false, Ordering::Relaxed);
    record.line("all replicas have their usual speed from now on");
    for sender in senders {
        sender.join().map_err(|_panic| "a client failed")?;
    }
    is_done.store(true, Ordering::Relaxed);
    lookups.join().map_err(|_panic| "a client failed")?;
    let mut over = 0;
    for number in 0..STREAMS {
        let attempt = format!("watch-{number}");
        let ran = replicas.iter().filter(|replica| {
            lock(&replica.arrivals).iter().any(|arrival| arrival.attempt == attempt && arrival.has_run)
        });
        let ran: Vec<&str> = ran.map(|replica| &replica.id[..]).collect();
        if ran.len() > MAX_ATTEMPTS {
            record.line(&format!("{attempt} ran at {ran:?}"));
            over += 1;
        }
    }
    record.line(&format!("{over} requests ran on more than {MAX_ATTEMPTS} replicas"));
    Ok(over > 3)
}
