//! Stand-ins for the platform's store, replicas and clients, for the cases of this review. Only the
//! standard library is used. Every address is a loopback address.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Milliseconds since the first call.
pub fn now_ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    u64::try_from(START.get_or_init(Instant::now).elapsed().as_millis()).unwrap_or(u64::MAX)
}

pub fn sleep_ms(duration_ms: u64) {
    thread::sleep(Duration::from_millis(duration_ms));
}

pub fn sleep_until(at_ms: u64) {
    sleep_ms(at_ms.saturating_sub(now_ms()));
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<fs::File>>);

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self(Arc::new(Mutex::new(fs::File::create(path)?))))
    }

    pub fn line(&self, text: &str) {
        let mut file = self.0.lock().expect("not poisoned");
        writeln!(file, "{:>7} ms  {text}", now_ms()).expect("the record can be written");
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP

/// A message head with its headers in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.header("content-length")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0)
    }

    /// The second word of the first line: the target of a request or the status of a response.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        let line = String::from_utf8_lossy(&line);
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        if head.first_line.is_empty() {
            head.first_line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free loopback port")
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Default)]
struct Objects {
    revision: u64,
    config: (u64, Vec<u8>),
    servers: BTreeMap<String, (u64, Vec<u8>)>,
    history: Vec<(u64, String, Option<Vec<u8>>)>,
}

/// The platform's store with the kinds `config` and `servers`.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    objects: Arc<(Mutex<Objects>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = listen();
        let store = Self {
            address: listener.local_addr().expect("bound"),
            objects: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes `config/main`. Returns when it is acknowledged.
    pub fn set_config(&self, spec: &str) -> u64 {
        let mut objects = self.objects.0.lock().expect("not poisoned");
        objects.revision += 1;
        objects.config = (objects.revision, spec.as_bytes().to_vec());
        now_ms()
    }

    /// Writes an entry of the kind `servers`. Returns when it is acknowledged.
    pub fn set_server(&self, name: &str, spec: &[u8]) -> u64 {
        let mut objects = self.objects.0.lock().expect("not poisoned");
        objects.revision += 1;
        let revision = objects.revision;
        objects
            .servers
            .insert(name.to_owned(), (revision, spec.to_vec()));
        objects
            .history
            .push((revision, name.to_owned(), Some(spec.to_vec())));
        self.objects.1.notify_all();
        now_ms()
    }

    /// Removes an entry of the kind `servers`. Returns when it is acknowledged.
    pub fn remove_server(&self, name: &str) -> u64 {
        let mut objects = self.objects.0.lock().expect("not poisoned");
        objects.revision += 1;
        let revision = objects.revision;
        objects.servers.remove(name);
        objects.history.push((revision, name.to_owned(), None));
        self.objects.1.notify_all();
        now_ms()
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(writing) = stream.try_clone() else {
            return;
        };
        let mut writing = writing;
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let (status, body) = self.respond(head.second_word());
            let response = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let bytes = [response.as_bytes(), &body].concat();
            if writing.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn respond(&self, target: &str) -> (&'static str, Vec<u8>) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .and_then(|(_, value)| value.parse::<u64>().ok())
        };
        match path {
            "/objects/config/main" => {
                let objects = self.objects.0.lock().expect("not poisoned");
                (
                    "200 OK",
                    object("main", objects.config.0, Some(&objects.config.1)),
                )
            }
            "/objects/servers" => match number("watchRevision") {
                Some(revision) => (
                    "200 OK",
                    self.watch(revision, number("waitMs").unwrap_or(0)),
                ),
                None => ("200 OK", self.list()),
            },
            _ => ("404 Not Found", b"{\"error\":\"no such object\"}".to_vec()),
        }
    }

    fn list(&self) -> Vec<u8> {
        let objects = self.objects.0.lock().expect("not poisoned");
        let entries: Vec<Vec<u8>> = objects
            .servers
            .iter()
            .map(|(name, (revision, spec))| object(name, *revision, Some(spec)))
            .collect();
        let mut body = b"{\"entries\":[".to_vec();
        body.extend(entries.join(&b","[..]));
        body.extend(
            format!(
                "],\"hasMore\":false,\"readRevision\":{}}}",
                objects.revision
            )
            .bytes(),
        );
        body
    }

    fn watch(&self, revision: u64, wait_ms: u64) -> Vec<u8> {
        let until_ms = now_ms() + wait_ms;
        let mut objects = self.objects.0.lock().expect("not poisoned");
        loop {
            let events: Vec<Vec<u8>> = objects
                .history
                .iter()
                .filter(|(at, ..)| *at > revision)
                .map(|(at, name, spec)| {
                    let mut event = b"{\"object\":".to_vec();
                    event.extend(object(name, *at, spec.as_deref()));
                    event.extend(format!(",\"isDeleted\":{}}}", spec.is_none()).bytes());
                    event
                })
                .collect();
            let left_ms = until_ms.saturating_sub(now_ms());
            if !events.is_empty() || left_ms == 0 {
                let mut body = b"{\"events\":[".to_vec();
                body.extend(events.join(&b","[..]));
                body.extend(format!("],\"readRevision\":{}}}", objects.revision).bytes());
                return body;
            }
            let wait = Duration::from_millis(left_ms);
            objects = self
                .objects
                .1
                .wait_timeout(objects, wait)
                .expect("not poisoned")
                .0;
        }
    }
}

fn object(name: &str, revision: u64, spec: Option<&[u8]>) -> Vec<u8> {
    let mut body = format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"creationRevision\":{revision},\
         \"finalizerList\":[],\"deletionPending\":false}},\"spec\":"
    )
    .into_bytes();
    body.extend(spec.unwrap_or(b"null"));
    body.extend(b",\"status\":null}");
    body
}

/// A configuration with one route, one plain service and these tenants (JSON, or nothing).
pub fn config(version: u32, route: &str, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{route}],"services":[{{"name":"guichet","maxConnections":110}},{{"name":"atelier-modele","maxConnections":370}}],{tenants}"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":20000}}}}"#
    )
}

/// A route to the plain service.
pub fn route(
    prefix: &str,
    kind: &str,
    timeout_ms: u64,
    attempts: u32,
    is_anonymous: bool,
) -> String {
    format!(
        r#"{{"name":"r","host":"ficu95.example","pathPrefix":"{prefix}","service":"guichet","routeType":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":150,"priority":2,"maxAttempts":{attempts},"anonymous":{is_anonymous}}}"#
    )
}

/// The entry of a replica.
pub fn server_spec(service: &str, address: SocketAddr, state: &str, born: u64) -> Vec<u8> {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"rennes\",\"version\":\"v1\",\
         \"slots\":64,\"state\":\"{state}\",\"warmupLeftMs\":0,\"sequence\":1,\"born\":{born}}}"
    )
    .into_bytes()
}

// ---------------------------------------------------------------------------------------------
// Replicas

/// A request that a replica received.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub id: String,
    /// The tenant that the gateway names.
    pub tenant: Option<String>,
    /// It reached the replica that it was meant for, which ran it.
    pub has_run: bool,
}

/// A replica that answers each request after some work with a body of a certain length.
#[derive(Clone)]
pub struct Replica {
    pub name: String,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Before each so many-th answer, sends the answer before it on this connection once more, without
    /// an id.
    pub extra_every: Option<usize>,
    body_bytes: usize,
    work_ms: u64,
    listener: Arc<Mutex<Option<TcpListener>>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Replica {
    pub fn start(name: &str, body_bytes: usize, work_ms: u64, record: &Record) -> Self {
        Self::new(name, body_bytes, work_ms).run(record)
    }

    /// A replica that does not accept connections yet.
    pub fn new(name: &str, body_bytes: usize, work_ms: u64) -> Self {
        let listener = listen();
        listener
            .set_nonblocking(true)
            .expect("the listener can be changed");
        Self {
            name: name.to_owned(),
            address: listener.local_addr().expect("bound"),
            arrivals: Arc::default(),
            extra_every: None,
            body_bytes,
            work_ms,
            listener: Arc::new(Mutex::new(Some(listener))),
            connections: Arc::default(),
        }
    }

    pub fn run(self, record: &Record) -> Self {
        let (serving, record) = (self.clone(), record.clone());
        thread::spawn(move || {
            while let Some(accepted) = serving.accept() {
                if let Some(stream) = accepted {
                    let (replica, record) = (serving.clone(), record.clone());
                    thread::spawn(move || replica.serve(stream, &record));
                } else {
                    sleep_ms(2);
                }
            }
        });
        self
    }

    /// Accepts a connection if one waits; `None` once the replica has exited.
    fn accept(&self) -> Option<Option<TcpStream>> {
        let listener = self.listener.lock().expect("not poisoned");
        let stream = listener.as_ref()?.accept().ok().map(|(stream, _)| stream);
        if let Some(copy) = stream.as_ref().and_then(|stream| stream.try_clone().ok()) {
            self.connections.lock().expect("not poisoned").push(copy);
        }
        Some(stream)
    }

    /// Exits: refuses new connections and closes the open ones.
    pub fn exit(&self) {
        *self.listener.lock().expect("not poisoned") = None;
        for connection in self.connections.lock().expect("not poisoned").drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream, record: &Record) {
        let _ = stream.set_nonblocking(false);
        let Ok(mut writing) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let mut last_answer: Option<Vec<u8>> = None;
        while let Ok(Some(head)) = read_head(&mut reader) {
            let mut body = vec![0; head.length()];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            let id = head
                .header("x-curranttrestle-attempt-id")
                .unwrap_or_default()
                .to_owned();
            let has_run = head.header("x-curranttrestle-expect-replica") == Some(&self.name);
            let tenant = head
                .header("x-curranttrestle-tenant-name")
                .map(ToOwned::to_owned);
            let arrival = Arrival {
                at_ms: now_ms(),
                id: id.clone(),
                tenant: tenant.clone(),
                has_run,
            };
            self.arrivals.lock().expect("not poisoned").push(arrival);
            record.line(&format!(
                "replica {} receives {id}, tenant {tenant:?}, runs it: {has_run}",
                self.name
            ));
            if !has_run {
                let response = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Curranttrestle-Attempt-Id: {id}\r\n\
                     X-Curranttrestle-Replica-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.name
                );
                if writing.write_all(response.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            sleep_ms(self.work_ms);
            let count = self.arrivals.lock().expect("not poisoned").len();
            if let Some(last_answer) = last_answer.take()
                && self.extra_every.is_some_and(|every| count % every == 0)
            {
                record.line(&format!(
                    "replica {} sends its last answer again first",
                    self.name
                ));
                if writing.write_all(&last_answer).is_err() {
                    return;
                }
                sleep_ms(5);
            }
            let mut body = vec![b'x'; self.body_bytes];
            // The body begins with the id of the request.
            let text = format!("{id} ");
            body[..text.len()].copy_from_slice(text.as_bytes());
            let id_line = format!("X-Curranttrestle-Attempt-Id: {id}\r\n");
            let rest = format!(
                "X-Curranttrestle-Replica-Signature: {}.{id}\r\nContent-Length: {}\r\n\r\n",
                self.name, self.body_bytes
            );
            let bytes = |id_line: &str| {
                [
                    b"HTTP/1.1 200 OK\r\n",
                    id_line.as_bytes(),
                    rest.as_bytes(),
                    &body,
                ]
                .concat()
            };
            if writing.write_all(&bytes(&id_line)).is_err() {
                record.line(&format!(
                    "replica {} cannot send its answer to {id}",
                    self.name
                ));
                return;
            }
            last_answer = Some(bytes(""));
            record.line(&format!(
                "replica {} has sent its answer to {id}",
                self.name
            ));
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Links

/// A call whose connection was opened while a link was cut. It never gets an answer: the packet that
/// opens the connection is lost, and is sent again after a second, when the caller has given up.
#[derive(Clone, Debug)]
pub struct LostCall {
    pub at_ms: u64,
    pub path: String,
}

/// A link that can be cut. Bytes of open connections wait meanwhile.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    pub lost_calls: Arc<Mutex<Vec<LostCall>>>,
    is_cut: Arc<(Mutex<bool>, Condvar)>,
}

impl Link {
    pub fn start(to: SocketAddr) -> Self {
        let listener = listen();
        let link = Self {
            address: listener.local_addr().expect("bound"),
            lost_calls: Arc::default(),
            is_cut: Arc::default(),
        };
        let serving = link.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let link = serving.clone();
                thread::spawn(move || {
                    if *link.is_cut.0.lock().expect("not poisoned") {
                        link.lose(near);
                        return;
                    }
                    let Ok(far) = TcpStream::connect(to) else {
                        return;
                    };
                    let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
                        return;
                    };
                    let back = link.clone();
                    thread::spawn(move || back.forward(far_copy, near_copy));
                    link.forward(near, far);
                });
            }
        });
        link
    }

    pub fn cut(&self) {
        *self.is_cut.0.lock().expect("not poisoned") = true;
    }

    pub fn heal(&self) {
        *self.is_cut.0.lock().expect("not poisoned") = false;
        self.is_cut.1.notify_all();
    }

    /// How long ago the last lost call of this path began; `None` if there was none.
    pub fn lost_call_age_ms(&self, path: &str) -> Option<u64> {
        let calls = self.lost_calls.lock().expect("not poisoned");
        let mut calls = calls.iter().rev();
        let last = calls.find(|call| call.path.starts_with(path))?;
        Some(now_ms() - last.at_ms)
    }

    /// Waits until the caller gives up.
    fn lose(&self, near: TcpStream) {
        let at_ms = now_ms();
        let mut reader = BufReader::new(near);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let path = head.second_word().to_owned();
            let mut calls = self.lost_calls.lock().expect("not poisoned");
            calls.push(LostCall { at_ms, path });
        }
    }

    fn wait_until_healed(&self) {
        let mut is_cut = self.is_cut.0.lock().expect("not poisoned");
        while *is_cut {
            is_cut = self.is_cut.1.wait(is_cut).expect("not poisoned");
        }
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; 65_536];
        while let Ok(count) = from.read(&mut buffer) {
            self.wait_until_healed();
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
        let _ = from.shutdown(std::net::Shutdown::Both);
    }
}

// ---------------------------------------------------------------------------------------------
// The gateway

/// Ports and limits of a gateway.
pub struct GatewaySettings {
    pub clients: SocketAddr,
    pub readiness: SocketAddr,
    pub text: String,
}

/// Returns a port that is free for TCP and UDP, as is the next one.
fn free_port_pair() -> u16 {
    loop {
        let probe = listen();
        let port = probe.local_addr().expect("bound").port();
        if port < 10_000 || port > 60_000 {
            continue;
        }
        let is_free = UdpSocket::bind(("127.0.0.1", port)).is_ok()
            && TcpListener::bind(("127.0.0.1", port + 1)).is_ok()
            && UdpSocket::bind(("127.0.0.1", port + 1)).is_ok();
        if is_free {
            return port;
        }
    }
}

impl GatewaySettings {
    /// The settings that the pages show for a small deployment, with one machine.
    pub fn new(store: SocketAddr) -> Self {
        let (clients, readiness, control) = (listen(), listen(), listen());
        let address = |listener: &TcpListener| listener.local_addr().expect("bound");
        let (clients, readiness, control) =
            (address(&clients), address(&readiness), address(&control));
        let first = free_port_pair();
        let last = first + 1;
        let text = format!(
            r#"nodeName = "edge-rennes-1"
role = "gateway"
machineClass = "edge"
serves = ["edge","control"]
ip = "127.0.0.1"
zone = "rennes"
region = "bretagne"
internalPortRange = [{first},{last}]
seedNodes = ["{control}"]
bootstrap = true
inTolerance = false
discovery = "platform"
ingress = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
rennes = "bretagne"
[listen]
frontend = "{clients}"
readiness = "{readiness}"
controlPlane = "{control}"
[limits]
cpuQuota = 0.25
cpuCores = 1
memoryMb = 110
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machineCount = 2
zones = 1
regionCount = 0
[bounds]
seedLagS = 3
reuseDelayS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerBoundMs = 5000
strictRevocation = true
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
budgetSlack = 58
recoveryS = 12
deliveryLagMs = 120
reuseWindowS = 6.9
quotaWindowS = 4
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#
        );
        Self {
            clients,
            readiness,
            text,
        }
    }
}

/// A gateway, started with the command of the deploy file in the root of the repository. It is killed
/// on drop.
pub struct Gateway {
    pub settings: GatewaySettings,
    folder: PathBuf,
    child: Child,
}

impl Gateway {
    pub fn start(settings: GatewaySettings) -> io::Result<Self> {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("review-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let path = folder.join("settings.toml");
        fs::write(&path, &settings.text)?;
        let log = fs::File::create(folder.join("log"))?;
        let child = Command::new("target/release/curranttrestle-platform")
            .env("CURRANTTRESTLE_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        PROCESSES.lock().expect("not poisoned").push(child.id());
        Ok(Self {
            settings,
            folder,
            child,
        })
    }

    /// Copies the warnings of the gateway's log into the record.
    pub fn record_warnings(&self, record: &Record) {
        let log = fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        for line in log
            .lines()
            .filter(|line| !line.contains("level=INFO"))
            .take(20)
        {
            record.line(&format!("log of the gateway: {line}"));
        }
    }

    /// Replaces the settings file, as the platform does.
    pub fn replace_settings(&self, text: &str) {
        let new = self.folder.join("settings.new");
        fs::write(&new, text).expect("the folder can be written");
        fs::rename(&new, self.folder.join("settings.toml")).expect("the folder can be written");
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether the readiness check passes now.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.settings.readiness) else {
            return false;
        };
        let request = "GET /readyz HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n";
        if stream.write_all(request.as_bytes()).is_err() {
            return false;
        }
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let head = read_head(&mut BufReader::new(stream));
        matches!(head, Ok(Some(head)) if head.second_word() == "200")
    }

    pub fn wait_until_ready(&self, limit_ms: u64) -> bool {
        let until_ms = now_ms() + limit_ms;
        while now_ms() < until_ms {
            if self.is_ready() {
                return true;
            }
            sleep_ms(50);
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Sends a signal to a process that the case started. Returns whether it was sent.
pub fn send_signal(signal: &str, process: u32) -> bool {
    let command = format!("kill -{signal} {process}");
    let status = Command::new("sh").args(["-c", &command]).status();
    status.is_ok_and(|status| status.success())
}

/// The processes that were started.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the started processes and this one if the case takes too long.
pub fn start_watchdog(limit_ms: u64) {
    thread::spawn(move || {
        sleep_ms(limit_ms);
        for process in PROCESSES.lock().expect("not poisoned").iter() {
            send_signal("KILL", *process);
        }
        std::process::exit(2);
    });
}

// ---------------------------------------------------------------------------------------------
// Clients

/// The result of a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Zero if no head arrived.
    pub status: u16,
    pub is_signed: bool,
    pub body_bytes: usize,
    /// The first bytes of the body.
    pub body: Vec<u8>,
    pub expected_bytes: usize,
}

impl Answer {
    pub fn is_whole(&self) -> bool {
        self.status != 0 && self.body_bytes == self.expected_bytes
    }
}

/// A client connection.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(gateway: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn send(&mut self, method: &str, path: &str, id: &str, deadline_ms: u64) -> io::Result<()> {
        self.send_with(method, path, id, deadline_ms, "")
    }

    /// Sends a request with more header lines.
    pub fn send_with(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
        headers: &str,
    ) -> io::Result<()> {
        let length = if method == "GET" {
            ""
        } else {
            "Content-Length: 0\r\n"
        };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Curranttrestle-Attempt-Id: {id}\r\n\
             X-Curranttrestle-Deadline-Ms: {deadline_ms}\r\n{headers}{length}\r\n"
        );
        self.reader.get_mut().write_all(request.as_bytes())
    }

    /// Reads the answer to the last request until `deadline_ms` after now, as far as it comes.
    pub fn receive(&mut self, deadline_ms: u64) -> Answer {
        let until_ms = now_ms() + deadline_ms;
        let mut answer = Answer::default();
        let timeout = Some(Duration::from_millis(deadline_ms));
        let _ = self.reader.get_ref().set_read_timeout(timeout);
        let Ok(Some(head)) = read_head(&mut self.reader) else {
            return answer;
        };
        answer.status = head.second_word().parse().unwrap_or(0);
        answer.is_signed = head.header("x-curranttrestle-replica-signature").is_some();
        answer.expected_bytes = head.length();
        let mut buffer = vec![0; 65_536];
        while answer.body_bytes < answer.expected_bytes && now_ms() < until_ms {
            let wanted = buffer.len().min(answer.expected_bytes - answer.body_bytes);
            let Ok(count @ 1..) = self.reader.read(&mut buffer[..wanted]) else {
                break;
            };
            let room = 64_usize.saturating_sub(answer.body.len()).min(count);
            answer.body.extend_from_slice(&buffer[..room]);
            answer.body_bytes += count;
        }
        answer
    }
}

/// Whether the disruption is left out.
pub fn is_without_trouble() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// Opens the record in the folder of the case, which is the first argument, and starts the watchdog.
pub fn open_case() -> Record {
    start_watchdog(110_000);
    now_ms();
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    Record::create(&folder.join("record.txt")).expect("the record can be written")
}

/// A gateway that is ready, with the store at `store`. Another process may take a port first, so it is
/// tried again.
pub fn ready_gateway(store: SocketAddr, record: &Record) -> Option<Gateway> {
    for _ in 0..3 {
        let gateway = Gateway::start(GatewaySettings::new(store)).ok()?;
        if gateway.wait_until_ready(8_000) {
            return Some(gateway);
        }
        gateway.record_warnings(record);
        record.line("the gateway is not ready");
    }
    None
}
