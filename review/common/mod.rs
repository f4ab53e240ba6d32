//! Stand-ins for the platform's store, replicas and clients, and the gateway processes.
//!
//! Only the standard library is used. All addresses are loopback addresses, the clock is the real
//! one, and each case is one process that starts the gateways as processes of their own.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Bounds of the settings, as in the small deployments (DEPLOY.md).
pub const CONTACT_MS: u64 = 3_000;
pub const DRAIN_MS: u64 = 2_000;
pub const GRACE_MS: u64 = 8_000;
pub const REVOKE_MS: u64 = 5_000;

/// The name of the tenant and its key.
pub const TENANT: &str = "hule930";
pub const KEY: &str = "asnmgkcuyj8pjbvk9m68";
pub const HOST: &str = "ficu95.example";

// ---------------------------------------------------------------------------------------------
// Record and clock

struct Record {
    started: Instant,
    file: Mutex<std::fs::File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Opens `record.txt` in the folder of the case. The watchdog ends the case after `limit_s`.
pub fn start_record(folder: &Path, limit_s: u64) {
    let file = std::fs::File::create(folder.join("record.txt")).unwrap_or_else(|error| {
        eprintln!("cannot write record.txt: {error}");
        std::process::exit(2);
    });
    let record = Record {
        started: Instant::now(),
        file: Mutex::new(file),
    };
    assert!(RECORD.set(record).is_ok(), "one record for each process");
    // No gateway outlives a case that fails.
    std::panic::set_hook(Box::new(|panic| {
        say(&format!("cannot run: {panic}"));
        finish(2);
    }));
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(limit_s));
        log(&format!("the case did not end within {limit_s} s"));
        finish(2);
    });
}

/// Milliseconds since the start of the case.
pub fn now_ms() -> u64 {
    let record = RECORD.get().expect("the record is open");
    u64::try_from(record.started.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// The time of day in Unix milliseconds, as replicas state the time of their start.
fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Writes one line of the record.
pub fn log(text: &str) {
    let record = RECORD.get().expect("the record is open");
    let line = format!("{:>7} {text}\n", now_ms());
    if let Ok(mut file) = record.file.lock() {
        let _ = file.write_all(line.as_bytes());
    }
}

/// Writes a line of the record that is also printed.
pub fn say(text: &str) {
    println!("{text}");
    log(text);
}

pub fn sleep_ms(duration_ms: u64) {
    thread::sleep(Duration::from_millis(duration_ms));
}

/// Waits until a time of the record.
pub fn sleep_until(at_ms: u64) {
    sleep_ms(at_ms.saturating_sub(now_ms()));
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends all processes that were started, then this one. 0: the rule held, 1: it was broken, 2: the
/// case could not run.
pub fn finish(code: i32) -> ! {
    let mut started = PROCESSES.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    for process in started.iter_mut() {
        let _ = process.kill();
        let _ = process.wait();
    }
    if let Some(folder) = TEMPORARY.get() {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code);
}

/// Ends the case with code 2.
pub fn cannot_run(reason: &str) -> ! {
    say(&format!("cannot run: {reason}"));
    finish(2);
}

// ---------------------------------------------------------------------------------------------
// HTTP

/// A message of HTTP/1.1: its first line, its headers with names in lowercase, its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body arrived completely.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn attempt_id(&self) -> &str {
        self.header("x-curranttrestle-attempt-id").unwrap_or("-")
    }
}

/// Reads the head of a message; `None` if the connection ended before it.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Some(message);
        }
        let (name, value) = text.split_once(':')?;
        let name = name.trim().to_ascii_lowercase();
        message.headers.insert(name, value.trim().to_owned());
    }
}

/// Reads the body of a message whose head was read. `each` gets the bytes as they arrive.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message, mut each: impl FnMut(&[u8])) {
    let is_chunked = message.header("transfer-encoding") == Some("chunked");
    if is_chunked {
        loop {
            let mut line = String::new();
            if !matches!(reader.read_line(&mut line), Ok(length) if length > 0) {
                return;
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return;
            };
            let mut chunk = vec![0; length + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return;
            }
            if length == 0 {
                message.is_complete = true;
                return;
            }
            each(&chunk[..length]);
            message.body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = message.header("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    if reader.read_exact(&mut body).is_ok() {
        each(&body);
        message.body = body;
        message.is_complete = true;
    }
}

fn json_response(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Accepts connections at a free port and serves each in a thread of its own.
fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((own_ip(9), 0)).unwrap_or_else(|error| {
        cannot_run(&format!("no free port: {error}"));
    });
    let address = listener.local_addr().expect("the listener has an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// A loopback address of this process.
pub fn own_ip(last: u8) -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 | (high & 63), low.max(1), last))
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Default)]
struct Objects {
    revision: u64,
    config: Option<(u64, String)>,
    servers: BTreeMap<String, (u64, String)>,
    /// Each change: its revision, the name, and the content or `None` if it was removed.
    history: Vec<(u64, String, Option<String>)>,
}

/// The store: objects by kind and name, lists and watches, as PROTOCOL.md describes them.
pub struct Store {
    objects: Mutex<Objects>,
    changed: Condvar,
    /// Connections opened in an earlier generation are silent.
    generation: AtomicU64,
    pub address: OnceLock<SocketAddr>,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self {
            objects: Mutex::default(),
            changed: Condvar::new(),
            generation: AtomicU64::new(0),
            address: OnceLock::new(),
        });
        let serving = Arc::clone(&store);
        let address = listen(move |stream| serving.serve(stream));
        let _ = store.address.set(address);
        store
    }

    /// Writes the configuration; returns the time of the acknowledgement.
    pub fn put_config(&self, spec: &str) -> u64 {
        let mut objects = self.objects.lock().unwrap();
        objects.revision += 1;
        objects.config = Some((objects.revision, spec.to_owned()));
        let revision = objects.revision;
        drop(objects);
        log(&format!("store: config/main revision={revision} {spec}"));
        now_ms()
    }

    /// Writes the entry of a replica; returns the time of the acknowledgement.
    pub fn put_server(&self, name: &str, spec: &str) -> u64 {
        let mut objects = self.objects.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        objects
            .servers
            .insert(name.to_owned(), (revision, spec.to_owned()));
        objects
            .history
            .push((revision, name.to_owned(), Some(spec.to_owned())));
        drop(objects);
        self.changed.notify_all();
        log(&format!("store: servers/{name} revision={revision} {spec}"));
        now_ms()
    }

    /// Removes the entry of a replica; returns the time of the acknowledgement.
    pub fn remove_server(&self, name: &str) -> u64 {
        let mut objects = self.objects.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        objects.servers.remove(name);
        objects.history.push((revision, name.to_owned(), None));
        drop(objects);
        self.changed.notify_all();
        log(&format!("store: servers/{name} removed revision={revision}"));
        now_ms()
    }

    /// All open connections go silent for good, without a reset; new ones work.
    pub fn silence_open_connections(&self) -> u64 {
        self.generation.fetch_add(1, Ordering::SeqCst);
        self.changed.notify_all();
        log("store: all open connections are silent from now on, new ones work");
        now_ms()
    }

    fn serve(&self, stream: TcpStream) {
        let generation = self.generation.load(Ordering::SeqCst);
        let is_silent = || self.generation.load(Ordering::SeqCst) != generation;
        let mut reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
        let mut writer = stream;
        while let Some(mut request) = read_head(&mut reader) {
            read_body(&mut reader, &mut request, |_| ());
            let response = if is_silent() {
                None
            } else {
                self.respond(&request, &is_silent)
            };
            let Some(response) = response.filter(|_| !is_silent()) else {
                // The connection stays open, but nothing comes any more.
                let mut rest = Vec::new();
                let _ = reader.read_to_end(&mut rest);
                return;
            };
            if writer.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message, is_silent: &dyn Fn() -> bool) -> Option<String> {
        let target = request.first.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let object = |name: &str, revision: u64, spec: &str| {
            format!(
                "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"creationRevision\":1,\"finalizerList\":[],\"deletionPending\":false}},\"spec\":{spec},\"status\":null}}"
            )
        };
        match path {
            "/objects/config/main" => {
                let objects = self.objects.lock().unwrap();
                Some(match &objects.config {
                    Some((revision, spec)) => {
                        json_response("200 OK", &object("main", *revision, spec))
                    }
                    None => json_response("404 Not Found", "{}"),
                })
            }
            "/objects/servers" => {
                let mut objects = self.objects.lock().unwrap();
                let Some(since) = parameter("watchRevision").and_then(|text| text.parse().ok())
                else {
                    let entries: Vec<String> = objects
                        .servers
                        .iter()
                        .map(|(name, (revision, spec))| object(name, *revision, spec))
                        .collect();
                    let body = format!(
                        "{{\"entries\":[{}],\"hasMore\":false,\"readRevision\":{}}}",
                        entries.join(","),
                        objects.revision
                    );
                    return Some(json_response("200 OK", &body));
                };
                let since: u64 = since;
                let wait_ms = parameter("waitMs").and_then(|text| text.parse().ok());
                let until = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
                while !objects.history.iter().any(|change| change.0 > since) {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    objects = self.changed.wait_timeout(objects, left).unwrap().0;
                    if is_silent() {
                        return None;
                    }
                }
                let mut events = Vec::new();
                for (revision, name, spec) in &objects.history {
                    if *revision > since {
                        let is_deleted = spec.is_none();
                        let spec = spec.as_deref().unwrap_or("null");
                        events.push(format!(
                            "{{\"object\":{},\"isDeleted\":{is_deleted}}}",
                            object(name, *revision, spec)
                        ));
                    }
                }
                let body = format!(
                    "{{\"events\":[{}],\"readRevision\":{}}}",
                    events.join(","),
                    objects.revision
                );
                Some(json_response("200 OK", &body))
            }
            _ => Some(json_response("404 Not Found", "{}")),
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Replicas

/// How a replica answers a request that it runs.
#[derive(Clone, Debug)]
pub enum Work {
    /// Works this long and answers with a whole body.
    Answer { work_ms: u64 },
    /// The request crashes the replica as it begins to run it.
    Crash,
    /// Sends so many events with this gap. Before event `pause_before`, if any, there is a pause.
    Stream {
        events: u64,
        gap_ms: u64,
        pause_before: Option<(u64, u64)>,
    },
}

/// What a replica did with a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub replica: String,
    pub at_ms: u64,
}

type Decide = dyn Fn(&Replica, &Message) -> Option<Work> + Send + Sync;

/// A replica. `decide` returns `None` if the replica is full and rejects the request.
pub struct Replica {
    pub id: String,
    pub address: OnceLock<SocketAddr>,
    decide: Box<Decide>,
    runs: Mutex<Vec<Run>>,
    open: Mutex<Vec<TcpStream>>,
    has_exited: AtomicBool,
    /// The time of the start that the replica states.
    born_ms: AtomicU64,
}

impl Replica {
    pub fn start(
        id: &str,
        decide: impl Fn(&Self, &Message) -> Option<Work> + Send + Sync + 'static,
    ) -> Arc<Self> {
        let replica = Arc::new(Self {
            id: id.to_owned(),
            address: OnceLock::new(),
            decide: Box::new(decide),
            runs: Mutex::default(),
            open: Mutex::default(),
            has_exited: AtomicBool::new(false),
            born_ms: AtomicU64::new(unix_ms()),
        });
        replica.listen();
        replica
    }

    /// The entry in the store, as the replica writes it.
    pub fn entry(&self, service: &str, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"rennes\",\"version\":\"v1\",\"slots\":64,\"state\":\"{state}\",\"warmupLeftMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.address.get().expect("the replica listens"),
            self.born_ms.load(Ordering::SeqCst)
        )
    }

    /// All requests that the replica ran so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Ends the replica: its connections are closed, new ones are refused at once.
    pub fn exit(&self) -> u64 {
        self.has_exited.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        log(&format!("replica {}: ends", self.id));
        now_ms()
    }

    /// Starts a replica that ended once more, at the same address and under the same id.
    pub fn start_again(&self) {
        self.born_ms.store(unix_ms(), Ordering::SeqCst);
        self.has_exited.store(false, Ordering::SeqCst);
        log(&format!("replica {}: starts again", self.id));
    }

    pub fn has_exited(&self) -> bool {
        self.has_exited.load(Ordering::SeqCst)
    }

    /// Accepts connections while the replica runs; its port has no listener while it does not.
    fn listen(self: &Arc<Self>) {
        let mut listener = TcpListener::bind((own_ip(9), 0)).ok();
        let address = listener.as_ref().and_then(|listener| listener.local_addr().ok());
        let Some(address) = address else {
            cannot_run("no free port");
        };
        let _ = self.address.set(address);
        let replica = Arc::clone(self);
        thread::spawn(move || {
            loop {
                sleep_ms(1);
                if replica.has_exited() {
                    listener = None;
                    continue;
                }
                if listener.is_none() {
                    listener = TcpListener::bind(address).ok();
                }
                let Some(open) = &listener else { continue };
                let _ = open.set_nonblocking(true);
                while let Ok((stream, _)) = open.accept() {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let serving = Arc::clone(&replica);
                    thread::spawn(move || serving.serve(stream));
                }
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        if self.has_exited.load(Ordering::SeqCst) {
            return;
        }
        let clone = stream.try_clone().expect("the socket can be cloned");
        self.open.lock().unwrap().push(clone);
        let mut reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
        let mut writer = stream;
        while let Some(mut request) = read_head(&mut reader) {
            read_body(&mut reader, &mut request, |_| ());
            if !request.is_complete || self.has_exited.load(Ordering::SeqCst) {
                return;
            }
            if self.respond(&request, &mut writer).is_err() {
                log(&format!(
                    "replica {}: connection of id={} ended before the answer was complete",
                    self.id,
                    request.attempt_id()
                ));
                return;
            }
        }
    }

    fn respond(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let id = request.attempt_id().to_owned();
        let expected = request.header("x-curranttrestle-expect-replica");
        if expected.is_some_and(|expected| expected != self.id) {
            log(&format!("replica {}: 421 for id={id}", self.id));
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Curranttrestle-Attempt-Id: {id}\r\nX-Curranttrestle-Not-Executed: 1\r\nX-Curranttrestle-Replica-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return writer.write_all(head.as_bytes());
        }
        let last_event = request.header("last-event-id").unwrap_or("-").to_owned();
        let Some(work) = (self.decide)(self, request) else {
            log(&format!(
                "replica {}: full, 503 and not run, id={id} last-event-id={last_event}",
                self.id
            ));
            let head = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Curranttrestle-Attempt-Id: {id}\r\nX-Curranttrestle-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return writer.write_all(head.as_bytes());
        };
        let tenant = request.header("x-curranttrestle-tenant-name");
        log(&format!(
            "replica {}: runs id={id} last-event-id={last_event} tenant={}",
            self.id,
            tenant.unwrap_or("-")
        ));
        self.runs.lock().unwrap().push(Run {
            id: id.clone(),
            replica: self.id.clone(),
            at_ms: now_ms(),
        });
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Curranttrestle-Attempt-Id: {id}\r\nX-Curranttrestle-Replica-Signature: sig.{}.{id}\r\n",
            self.id
        );
        match work {
            Work::Crash => {
                log(&format!("replica {}: crashes with id={id}", self.id));
                self.exit();
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            Work::Answer { work_ms } => {
                sleep_ms(work_ms);
                if self.has_exited() {
                    return Err(std::io::ErrorKind::ConnectionReset.into());
                }
                let body = format!("answer to {id} by {}\n", self.id);
                let length = body.len();
                writer.write_all(
                    format!("{head}Content-Length: {length}\r\n\r\n{body}").as_bytes(),
                )?;
            }
            Work::Stream {
                events,
                gap_ms,
                pause_before,
            } => {
                writer.write_all(
                    format!(
                        "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                    )
                    .as_bytes(),
                )?;
                let first: u64 = last_event.parse().map_or(1, |last: u64| last + 1);
                for number in first..=events {
                    let pause = pause_before.filter(|(before, _)| *before == number);
                    if let Some((_, pause_ms)) = pause {
                        log(&format!(
                            "replica {}: id={id} is preempted before event {number}",
                            self.id
                        ));
                        sleep_ms(pause_ms);
                    }
                    sleep_ms(gap_ms);
                    let event = format!("id: {number}\ndata: token {number}\n\n");
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    writer.write_all(chunk.as_bytes())?;
                }
                writer.write_all(b"0\r\n\r\n")?;
            }
        }
        log(&format!("replica {}: finished id={id}", self.id));
        Ok(())
    }
}

// ---------------------------------------------------------------------------------------------
// Configuration

/// A route of a configuration: its name, kind, service, time-out and whether it needs no key.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, anonymous: bool) -> String {
    let is_stream = kind == "streaming";
    let attempts = if kind == "non_idempotent" { 1 } else { 2 };
    format!(
        "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"routeType\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":300,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":{attempts},\"anonymous\":{anonymous},\"sessionAffinity\":{is_stream},\"streamResume\":{is_stream},\"itlTargetMs\":200}}"
    )
}

/// A configuration with a service of engines, a plain one, and these routes and tenants.
pub fn config(version: u64, routes: &[String], tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"atelier\",\"healthPath\":\"/healthz\",\"maxConnections\":370,\"protocol\":\"h1\",\"tls\":false,\"inferenceEngine\":{{\"slots\":64,\"kvCapacityTokens\":304154}}}},{{\"name\":\"guichet\",\"healthPath\":\"/healthz\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"tokensPerS\":360000}},\"tenants\":{tenants}}}",
        routes.join(",")
    )
}

/// One tenant with one key.
pub fn one_tenant() -> String {
    format!("[{{\"name\":\"{TENANT}\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]")
}

// ---------------------------------------------------------------------------------------------
// Gateways

static PROCESSES: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static TEMPORARY: OnceLock<PathBuf> = OnceLock::new();

/// The process of one gateway.
#[derive(Clone, Debug)]
pub struct Gateway {
    pub number: u8,
    pub process: u32,
    pub clients: SocketAddr,
    pub readiness: SocketAddr,
}

/// Starts gateways with the command of the deploy file and waits until all are ready.
pub fn start_gateways(count: u8, store: &Store) -> Vec<Gateway> {
    let program = PathBuf::from("target/release/curranttrestle-platform");
    if !program.exists() {
        cannot_run("target/release/curranttrestle-platform is missing, build it first");
    }
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        cannot_run("no temporary folder");
    }
    let _ = TEMPORARY.set(folder.clone());
    let free = TcpListener::bind((own_ip(1), 0)).expect("a port is free");
    let port = free.local_addr().expect("it has an address").port();
    drop(free);
    let port = port.min(65_000);
    let gateways: Vec<Gateway> = (1..=count)
        .map(|number| start_gateway(&program, &folder, number, port, store))
        .collect();
    for gateway in &gateways {
        let until = now_ms() + 8_000;
        while ask_ready(gateway) != 200 {
            if now_ms() > until {
                cannot_run("a gateway is not ready after 8 s");
            }
            sleep_ms(50);
        }
        log(&format!("gateway {}: ready", gateway.number));
    }
    gateways
}

fn start_gateway(program: &Path, folder: &Path, number: u8, port: u16, store: &Store) -> Gateway {
    let ip = own_ip(number);
    let seed = own_ip(1);
    let (last, clients, readiness) = (port + 1, port + 2, port + 3);
    let store = store.address.get().expect("the store listens");
    let mut text = String::new();
    let _ = write!(
        text,
        "nodeName = \"edge-rennes-{number}\"\nrole = \"gateway\"\nmachineClass = \"edge\"\n\
         serves = [\"edge\",\"control\"]\nip = \"{ip}\"\nzone = \"rennes\"\nregion = \"bretagne\"\n\
         internalPortRange = [{port},{last}]\nseedNodes = [\"{seed}:{clients}\"]\n\
         bootstrap = true\ninTolerance = false\ndiscovery = \"platform\"\ningress = \"vip\"\n\
         heartbeatMs = 1200\n\
         [zones]\nrennes = \"bretagne\"\n\
         [listen]\nfrontend = \"{ip}:{clients}\"\nreadiness = \"{ip}:{readiness}\"\n\
         controlPlane = \"{ip}:{}\"\n\
         [limits]\ncpuQuota = 0.25\ncpuCores = 1\nmemoryMb = 110\nmaxFds = 4100\n\
         [bounds]\nseedLagS = 3\nreuseDelayS = 2\ncontactMs = {CONTACT_MS}\nackMs = 4000\n\
         catchUpS = 4\ndrainMs = {DRAIN_MS}\ngraceS = {}\nlossSlackMs = 200\n\
         configApplyMs = 2000\nrollbackSlackMs = 250\nouterBoundMs = 5000\n\
         strictRevocation = true\nrevokeMs = {REVOKE_MS}\nretryBudgetRatio = 0.2\n\
         retryWindowS = 10\nbudgetSlack = 58\nrecoveryS = 12\n\
         [platform]\naddress = \"{store}\"\nform = \"objects\"\nwritesPerS = 400\n\
         readsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n",
        port + 4,
        GRACE_MS / 1_000,
    );
    let settings = folder.join(format!("settings-{number}.toml"));
    let output = folder.join(format!("gateway-{number}.log"));
    let written = std::fs::write(&settings, text);
    let output = std::fs::File::create(output);
    let (Ok(()), Ok(output)) = (written, output) else {
        cannot_run("the settings cannot be written");
    };
    let child = Command::new(program)
        .env("CURRANTTRESTLE_BOOT", &settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(Stdio::null())
        .spawn();
    let child = child.unwrap_or_else(|error| cannot_run(&format!("no gateway: {error}")));
    let process = child.id();
    PROCESSES.lock().unwrap().push(child);
    log(&format!("gateway {number}: started at {ip}:{clients}"));
    Gateway {
        number,
        process,
        clients: SocketAddr::new(ip, clients),
        readiness: SocketAddr::new(ip, readiness),
    }
}

impl Gateway {
    /// Sends a signal to the process; returns the time.
    pub fn signal(&self, name: &str) -> u64 {
        log(&format!("gateway {}: SIG{name}", self.number));
        let at_ms = now_ms();
        let command = format!("kill -{name} {}", self.process);
        let status = Command::new("sh").args(["-c", &command]).status();
        if !status.is_ok_and(|status| status.success()) {
            cannot_run("the signal cannot be sent");
        }
        at_ms
    }

    /// The lines of the gateway's log that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let folder = TEMPORARY.get().expect("a gateway was started");
        let path = folder.join(format!("gateway-{}.log", self.number));
        let lines = std::fs::read_to_string(path).unwrap_or_default();
        let lines = lines.lines().filter(|line| line.contains(text));
        lines.map(ToOwned::to_owned).collect()
    }
}

/// Copies the lines of a gateway's log that contain one of `words` to the record.
pub fn copy_log(gateway: &Gateway, words: &[&str]) {
    for word in words {
        for line in gateway.log_lines(word) {
            log(&format!("log of gateway {}: {line}", gateway.number));
        }
    }
}

/// The status of the readiness check; 0 without a response.
pub fn ask_ready(gateway: &Gateway) -> u16 {
    let Ok(mut stream) = TcpStream::connect(gateway.readiness) else {
        return 0;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    if stream
        .write_all(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
        .is_err()
    {
        return 0;
    }
    read_head(&mut BufReader::new(stream)).map_or(0, |head| head.status())
}

// ---------------------------------------------------------------------------------------------
// Clients

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    pub headers: String,
    pub body: String,
}

impl Call {
    pub fn new(method: &'static str, path: &str, id: &str, deadline_ms: u64) -> Self {
        Self {
            method,
            path: path.to_owned(),
            id: id.to_owned(),
            deadline_ms,
            headers: String::new(),
            body: String::new(),
        }
    }

    fn bytes(&self) -> String {
        let length = match self.method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", self.body.len()),
        };
        format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Curranttrestle-Attempt-Id: {}\r\nX-Curranttrestle-Deadline-Ms: {}\r\n{}{length}\r\n{}",
            self.method, self.path, self.id, self.deadline_ms, self.headers, self.body
        )
    }
}

/// How a request ended for its client.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub id: String,
    pub sent_ms: u64,
    pub ended_ms: u64,
    /// The status; 0 if the connection ended before the head of a response.
    pub status: u16,
    /// Whether the whole response arrived.
    pub is_complete: bool,
    /// The events that arrived.
    pub events: usize,
    /// Whether the client's own time-out ended the wait.
    pub is_timed_out: bool,
}

impl Outcome {
    pub fn text(&self) -> String {
        format!(
            "id={} sent={} ended={} status={} complete={} events={}",
            self.id, self.sent_ms, self.ended_ms, self.status, self.is_complete, self.events
        )
    }
}

/// A client's connection, which it keeps open.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Self { stream, reader })
    }

    /// Sends a request and reads the response until its end or the client's deadline.
    pub fn send(&mut self, call: &Call) -> Outcome {
        let mut outcome = Outcome {
            id: call.id.clone(),
            sent_ms: now_ms(),
            ..Outcome::default()
        };
        let limit = Duration::from_millis(call.deadline_ms + 500);
        let _ = self.stream.set_read_timeout(Some(limit));
        if self.stream.write_all(call.bytes().as_bytes()).is_ok()
            && let Some(mut response) = read_head(&mut self.reader)
        {
            outcome.status = response.status();
            let mut events = 0;
            read_body(&mut self.reader, &mut response, |bytes| {
                events += bytes.windows(2).filter(|pair| *pair == b"\n\n").count();
            });
            outcome.events = events;
            outcome.is_complete = response.is_complete;
        }
        outcome.ended_ms = now_ms();
        outcome.is_timed_out = outcome.ended_ms - outcome.sent_ms >= call.deadline_ms;
        log(&format!("client: {}", outcome.text()));
        outcome
    }
}

/// Sends a request on a new connection.
pub fn send_once(address: SocketAddr, call: &Call) -> Outcome {
    match Connection::open(address) {
        Some(mut connection) => connection.send(call),
        None => Outcome {
            id: call.id.clone(),
            sent_ms: now_ms(),
            ended_ms: now_ms(),
            ..Outcome::default()
        },
    }
}
