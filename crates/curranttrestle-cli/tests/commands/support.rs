//! A stand-in for the listeners of a router, and the tool as a process.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use smol::io::{AsyncRead, AsyncReadExt, Cursor};
use smol::net::TcpListener;
use trillium::{Body, Conn, KnownHeaderName};

/// The operators' token of the stand-ins.
pub const TOKEN: &str = "operator-token";

/// A request that a stand-in received.
#[derive(Clone, Debug)]
pub struct Received {
    /// The method and the path with its query.
    pub line: String,
    /// The bearer token.
    pub bearer: String,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// The identifier of a submission.
    pub attempt_id: Option<String>,
    /// The body.
    pub body: String,
}

/// What a stand-in answers.
#[derive(Clone, Debug)]
pub struct Scripted {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: String,
    /// Whether the connection breaks after the body.
    pub breaks: bool,
}

impl Scripted {
    /// An answer with a status and a body.
    pub fn new(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
            breaks: false,
        }
    }

    /// A streamed answer.
    pub fn stream(body: impl Into<String>, breaks: bool) -> Self {
        Self {
            headers: vec![("Content-Type", "text/event-stream".to_owned())],
            breaks,
            ..Self::new(200, body)
        }
    }
}

/// A router's listener that answers as a test scripts it.
#[derive(Clone, Debug)]
pub struct FakeRouter {
    /// Where it listens.
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
}

impl FakeRouter {
    /// Starts a listener on a port that the system chooses.
    pub fn start(script: impl Fn(&Received) -> Scripted + Send + Sync + 'static) -> Self {
        let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let log = received.clone();
        let script = Arc::new(script);
        let server = trillium_smol::config()
            .without_signals()
            .with_prebound_server(listener)
            .run_async(move |conn: Conn| {
                let (log, script) = (log.clone(), script.clone());
                async move {
                    let (conn, request) = receive(conn).await;
                    log.lock().unwrap().push(request.clone());
                    answer(conn, script(&request))
                }
            });
        smol::spawn(server).detach();
        Self { address, received }
    }

    /// The requests so far.
    pub fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }
}

async fn receive(mut conn: Conn) -> (Conn, Received) {
    let body = conn.request_body_string().await.unwrap_or_default();
    let query = conn.querystring();
    let query = if query.is_empty() {
        String::new()
    } else {
        format!("?{query}")
    };
    let headers = conn.request_headers();
    let bearer = headers.get_str(KnownHeaderName::Authorization);
    let bearer = bearer.and_then(|value| value.strip_prefix("Bearer "));
    let request = Received {
        line: format!("{} {}{query}", conn.method(), conn.path()),
        bearer: bearer.unwrap_or_default().to_owned(),
        idempotency_key: headers.get_str("Idempotency-Key").map(str::to_owned),
        attempt_id: headers.get_str("Attempt-Id").map(str::to_owned),
        body,
    };
    (conn, request)
}

fn answer(mut conn: Conn, scripted: Scripted) -> Conn {
    for (name, value) in scripted.headers {
        conn = conn.with_response_header(name, value);
    }
    let body = if scripted.breaks {
        let whole = Cursor::new(scripted.body.into_bytes());
        Body::new_streaming(whole.chain(Breaks), None)
    } else {
        Body::from(scripted.body)
    };
    conn.with_status(scripted.status).with_body(body).halt()
}

/// A body that breaks the connection.
struct Breaks;

impl AsyncRead for Breaks {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()))
    }
}

/// How the tool ended.
#[derive(Debug)]
pub struct Ended {
    /// The exit code.
    pub code: i32,
    /// The standard output.
    pub stdout: String,
    /// The standard error.
    pub stderr: String,
}

/// Runs the tool.
pub fn tool(arguments: &[&str]) -> Ended {
    let output = Command::new(env!("CARGO_BIN_EXE_curranttrestle"))
        .args(arguments)
        .env_remove("CURRANTTRESTLE_FLEET")
        .env_remove("CURRANTTRESTLE_TOKEN")
        .env_remove("CURRANTTRESTLE_KEY")
        .stdin(Stdio::null())
        .output()
        .unwrap();
    Ended {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Runs the tool against the operators' listeners of `routers`.
pub fn operate(arguments: &[&str], routers: &[SocketAddr]) -> Ended {
    let mut arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
    for router in routers {
        arguments.extend(["--operator".to_owned(), router.to_string()]);
    }
    arguments.extend(["--token".to_owned(), TOKEN.to_owned()]);
    tool(&arguments.iter().map(String::as_str).collect::<Vec<_>>())
}

/// An address that nobody listens on.
pub fn dead_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// A file of the examples.
pub fn example(name: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    folder.join(name).display().to_string()
}

/// A file with `text` for one test.
pub fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}
