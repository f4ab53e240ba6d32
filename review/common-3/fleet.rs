//! A small deployment: the platform's store, replicas, and gateways as processes of their own.

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of a run, with the time since its start.
pub struct Record {
    file: Mutex<fs::File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(fs::File::create(path)?);
        Ok(Self { file, started: Instant::now() })
    }

    pub fn ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn line(&self, text: &str) {
        let ms = self.ms();
        let mut file = lock(&self.file);
        let _ = writeln!(file, "{:3}.{:03} s  {text}", ms / 1_000, ms % 1_000);
    }

    /// Waits until a time of the record.
    pub fn wait_until(&self, ms: u64) {
        sleep_ms(ms.saturating_sub(self.ms()));
    }
}

#[derive(Default)]
struct Objects {
    revision: u64,
    config: (u64, String),
    /// Name, revision and content of each entry of kind `servers`, in the order of names.
    servers: std::collections::BTreeMap<String, (u64, Vec<u8>)>,
    /// Revision, name and content of each change; no content stands for a removal.
    history: Vec<(u64, String, Option<Vec<u8>>)>,
}

/// The platform's store.
#[derive(Default)]
pub struct Store(Mutex<Objects>);

fn object(name: &str, revision: u64, spec: &[u8]) -> Vec<u8> {
    let mut text = format!("{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision}}},\"spec\":")
        .into_bytes();
    text.extend_from_slice(spec);
    text.extend_from_slice(b",\"status\":null}");
    text
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let served = Arc::clone(&store);
        http::serve(
            listener,
            || false,
            Arc::new(move |request, stream| {
                let (status, body) = served.answer(request);
                http::respond(stream, status, "Content-Type: application/json\r\n", &body)
            }),
        );
        (store, address)
    }

    pub fn set_config(&self, spec: &str) {
        let mut objects = lock(&self.0);
        objects.revision += 1;
        objects.config = (objects.revision, spec.to_owned());
    }

    pub fn set_server(&self, name: &str, spec: &[u8]) {
        let mut objects = lock(&self.0);
        objects.revision += 1;
        let revision = objects.revision;
        objects.servers.insert(name.to_owned(), (revision, spec.to_vec()));
        objects.history.push((revision, name.to_owned(), Some(spec.to_vec())));
    }

    fn answer(&self, request: &Request) -> (u16, Vec<u8>) {
        match request.path() {
            "/objects/config/main" => {
                let objects = lock(&self.0);
                let (revision, spec) = &objects.config;
                (200, object("main", *revision, spec.as_bytes()))
            }
            "/objects/servers" => match request.query_number("watchRevision") {
                Some(revision) => self.watch(revision, request.query_number("waitMs").unwrap_or(0)),
                None => self.list(),
            },
            _ => (404, b"{}".to_vec()),
        }
    }

    fn list(&self) -> (u16, Vec<u8>) {
        let objects = lock(&self.0);
        let entries = objects.servers.iter().map(|(name, (at, spec))| object(name, *at, spec));
        let entries: Vec<Vec<u8>> = entries.collect();
        let mut body = b"{\"entries\":[".to_vec();
        body.extend(entries.join(&b','));
        body.extend(format!("],\"hasMore\":false,\"readRevision\":{}}}", objects.revision).bytes());
        (200, body)
    }

    fn watch(&self, revision: u64, wait_ms: u64) -> (u16, Vec<u8>) {
        let started = Instant::now();
        loop {
            let objects = lock(&self.0);
            let news = objects.history.iter().filter(|(at, ..)| *at > revision);
            let events: Vec<Vec<u8>> = news
                .map(|(at, name, spec)| {
                    let mut event = format!("{{\"isDeleted\":{},\"object\":", spec.is_none()).into_bytes();
                    event.extend(object(name, *at, spec.as_deref().unwrap_or(b"null")));
                    event.push(b'}');
                    event
                })
                .collect();
            let read_revision = objects.revision;
            drop(objects);
            if !events.is_empty() || started.elapsed().as_millis() >= u128::from(wait_ms) {
                let mut body = b"{\"events\":[".to_vec();
                body.extend(events.join(&b','));
                body.extend(format!("],\"readRevision\":{read_revision}}}").bytes());
                return (200, body);
            }
            sleep_ms(5);
        }
    }
}

/// A request that a replica received.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub attempt: String,
    /// Whether the replica ran it.
    pub has_run: bool,
}

/// What a replica does with a request that it runs.
pub type Behaviour = Arc<dyn Fn(&Request, &mut TcpStream, &str) -> bool + Send + Sync>;

/// A replica, which registers itself in the store.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub arrivals: Mutex<Vec<Arrival>>,
    born: AtomicU64,
    sequence: AtomicU64,
    state: Mutex<&'static str>,
    down_until_ms: AtomicU64,
    crashes: Mutex<Vec<u64>>,
    record: Arc<Record>,
    store: Arc<Store>,
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

impl Replica {
    pub fn start(
        id: &str,
        service: &str,
        store: &Arc<Store>,
        record: &Arc<Record>,
        behaviour: Behaviour,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let replica = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("the listener has an address"),
            arrivals: Mutex::default(),
            born: AtomicU64::new(unix_ms()),
            sequence: AtomicU64::new(1),
            state: Mutex::new("ready"),
            down_until_ms: AtomicU64::new(0),
            crashes: Mutex::default(),
            record: Arc::clone(record),
            store: Arc::clone(store),
        });
        replica.write_entry();
        let (served, listening) = (Arc::clone(&replica), Arc::clone(&replica));
        http::serve(
            listener,
            move || listening.is_down(),
            Arc::new(move |request, stream| served.handle(request, stream, &behaviour)),
        );
        let beating = Arc::clone(&replica);
        thread::spawn(move || {
            loop {
                sleep_ms(1_200);
                if !beating.is_down() {
                    beating.sequence.fetch_add(1, Ordering::Relaxed);
                    beating.write_entry();
                }
            }
        });
        replica
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream, behaviour: &Behaviour) -> bool {
        if self.is_down() {
            return false;
        }
        let attempt = request.header("x-curranttrestle-attempt-id");
        let is_expected = request.header("x-curranttrestle-expect-replica") == self.id;
        lock(&self.arrivals).push(Arrival {
            at_ms: self.record.ms(),
            attempt: attempt.clone(),
            has_run: is_expected,
        });
        self.record.line(&format!("replica {} receives {attempt}", self.id));
        let echo = format!("X-Curranttrestle-Attempt-Id: {attempt}\r\n");
        if !is_expected {
            return http::respond(stream, 421, &echo, b"");
        }
        let signed = format!("{echo}X-Curranttrestle-Replica-Signature: {}.{attempt}\r\n", self.id);
        behaviour(request, stream, &signed)
    }

    fn is_down(&self) -> bool {
        self.record.ms() < self.down_until_ms.load(Ordering::Relaxed)
    }

    /// Writes the entry with its present state.
    fn write_entry(&self) {
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"rennes\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"{}\",\"warmupLeftMs\":0,\"born\":{},\"sequence\":{}}}",
            self.service,
            self.address,
            lock(&self.state),
            self.born.load(Ordering::Relaxed),
            self.sequence.load(Ordering::Relaxed)
        );
        self.store.set_server(&self.id, spec.as_bytes());
    }

    /// Reports that the replica leaves. Returns the time of the store's acknowledgement.
    pub fn drain(&self) -> u64 {
        *lock(&self.state) = "draining";
        self.write_entry();
        self.record.ms()
    }

    /// Ends all that the replica does; it is back after `down_ms`, as a new run.
    pub fn crash(&self, down_ms: u64) {
        let now_ms = self.record.ms();
        lock(&self.crashes).push(now_ms);
        self.down_until_ms.store(now_ms + down_ms, Ordering::Relaxed);
        self.born.store(unix_ms() + down_ms, Ordering::Relaxed);
        self.sequence.store(1, Ordering::Relaxed);
    }

    /// When the replica crashed.
    pub fn crashes(&self) -> Vec<u64> {
        lock(&self.crashes).clone()
    }
}

/// A stream of events, one every `pause_ms`.
pub fn stream_events(stream: &mut TcpStream, signed: &str, first: u64, last: u64, pause_ms: u64) -> bool {
    stream_paced(stream, signed, first, last, || pause_ms)
}

/// A stream of events, each after a pause. The head is sent half a pause before the first one.
pub fn stream_paced(
    stream: &mut TcpStream,
    signed: &str,
    first: u64,
    last: u64,
    pause_ms: impl Fn() -> u64,
) -> bool {
    sleep_ms(pause_ms() / 2);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for id in first..=last {
        sleep_ms(pause_ms() / if id == first { 2 } else { 1 });
        let event = format!("id: {id}\ndata: piece {id}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// The bounds in the settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    pub grace_s: u64,
    pub seeds: Vec<String>,
}

/// The processes that were started, to end them when the run ends.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_children() {
    for child in lock(&CHILDREN).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A gateway, at a loopback address of its own.
pub struct Gateway {
    pub client: SocketAddr,
    readiness: SocketAddr,
    settings_path: PathBuf,
    pid: u32,
}

/// Starts gateways on one set of ports.
pub struct Launcher {
    directory: PathBuf,
    port: u16,
    network: u8,
    store: SocketAddr,
    record: Arc<Record>,
}

impl Launcher {
    pub fn new(directory: &Path, store: SocketAddr, record: &Arc<Record>) -> Self {
        let [.., network] = std::process::id().to_be_bytes();
        let network = network.max(1);
        let is_free = |port: u16| {
            (1..=16).all(|host| {
                let ip = format!("127.{network}.9.{host}");
                let tcp = (1..4).all(|offset| TcpListener::bind((ip.as_str(), port + offset)).is_ok());
                tcp && UdpSocket::bind((ip.as_str(), port)).is_ok()
            })
        };
        let candidates = (0..200).map(|step| 20_000 + (network as u16) * 37 + step * 8);
        let port = candidates.into_iter().find(|port| is_free(*port)).unwrap_or(20_000);
        Self {
            directory: directory.to_owned(),
            port,
            network,
            store,
            record: Arc::clone(record),
        }
    }

    pub fn ip(&self, index: usize) -> String {
        format!("127.{}.9.{}", self.network, index + 1)
    }

    /// The address of a gateway as a seed.
    pub fn seed(&self, index: usize) -> String {
        format!("{}:8785", self.ip(index))
    }

    /// An address at which nothing runs, as a seed.
    pub fn stale_seed(&self, index: usize) -> String {
        format!("127.{}.10.{}:8785", self.network, index + 1)
    }

    fn settings_text(&self, index: usize, settings: &Settings) -> String {
        let (ip, port) = (self.ip(index), self.port);
        let seeds: Vec<String> = settings.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        format!(
            "nodeName = \"edge-rennes-{}\"\nrole = \"gateway\"\nmachineClass = \"edge\"\n\
             serves = [\"edge\",\"control\"]\nip = \"{ip}\"\nzone = \"rennes\"\nregion = \"bretagne\"\n\
             internalPortRange = [{port},{}]\nseedNodes = [{}]\nbootstrap = true\ninTolerance = false\n\
             discovery = \"platform\"\ningress = \"vip\"\nheartbeatMs = 1200\n\
             [zones]\nrennes = \"bretagne\"\n\
             [listen]\nfrontend = \"{ip}:{}\"\nreadiness = \"{ip}:{}\"\n\
             [limits]\ncpuQuota = 0.25\ncpuCores = 1\nmemoryMb = 110\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n\
             [bounds]\nseedLagS = 3\nreuseDelayS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\n\
             drainMs = 2000\ngraceS = {}\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n\
             outerBoundMs = 5000\nstrictRevocation = true\nrevokeMs = 5000\nretryBudgetRatio = 0.2\n\
             retryWindowS = 10\nbudgetSlack = 58\nrecoveryS = 12\ndeliveryLagMs = 120\nquotaWindowS = 4\n\
             [platform]\naddress = \"{}\"\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\n\
             historyS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n",
            index + 1,
            port + 1,
            seeds.join(","),
            port + 2,
            port + 3,
            settings.grace_s,
            self.store
        )
    }

    /// Starts a gateway with the command of the deploy file.
    pub fn start(&self, index: usize, settings: &Settings) -> Result<Gateway, String> {
        let settings_path = self.directory.join(format!("settings-{index}.toml"));
        fs::write(&settings_path, self.settings_text(index, settings)).map_err(|error| error.to_string())?;
        let log = fs::File::create(self.directory.join(format!("gateway-{index}.log")));
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new("target/release/curranttrestle-platform")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("CURRANTTRESTLE_BOOT", &settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("the gateway does not start: {error}"))?;
        let pid = child.id();
        lock(&CHILDREN).push(child);
        let address = |offset: u16| {
            let text = format!("{}:{}", self.ip(index), self.port + offset);
            text.parse().map_err(|_error| "invalid address".to_owned())
        };
        let gateway = Gateway { client: address(2)?, readiness: address(3)?, settings_path, pid };
        self.record.line(&format!("gateway {index} starts at {}", gateway.client));
        Ok(gateway)
    }

    /// Writes the settings file of a running gateway anew and sends SIGHUP.
    pub fn reload(&self, index: usize, gateway: &Gateway, settings: &Settings) -> Result<(), String> {
        fs::write(&gateway.settings_path, self.settings_text(index, settings))
            .map_err(|error| error.to_string())?;
        gateway.signal("HUP")
    }
}

impl Gateway {
    pub fn is_ready(&self) -> bool {
        let request = b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
        http::call(self.readiness, request, 500).status == 200
    }

    pub fn wait_ready(&self, timeout_ms: u64) -> bool {
        let started = Instant::now();
        while started.elapsed().as_millis() < u128::from(timeout_ms) {
            if self.is_ready() {
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    /// Sends a signal to the process, unless it has ended.
    pub fn signal(&self, name: &str) -> Result<(), String> {
        if self.has_ended() {
            return Ok(());
        }
        let command = format!("kill -{name} {}", self.pid);
        let status = Command::new("sh").args(["-c", &command]).status();
        status.map(|_status| ()).map_err(|error| error.to_string())
    }

    pub fn has_ended(&self) -> bool {
        let mut children = lock(&CHILDREN);
        let child = children.iter_mut().find(|child| child.id() == self.pid);
        child.is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }
}
