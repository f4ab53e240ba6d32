//! A router stand-in with scripted responses, and helpers that run the tool as a process.

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

/// The operators' token that the tests use.
pub const TOKEN: &str = "operator-token";

/// A request that a [`FakeRouter`] received.
#[derive(Clone, Debug)]
pub struct RecordedRequest {
    /// The method and the path with its query.
    pub request_line: String,
    /// The bearer token.
    pub bearer: String,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// The ID of a submission.
    pub submission_id: Option<String>,
    /// The body.
    pub body: String,
}

/// A response that a [`FakeRouter`] sends.
#[derive(Clone, Debug)]
pub struct ScriptedResponse {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: String,
    /// Whether the connection is aborted after the body.
    pub aborts: bool,
}

impl ScriptedResponse {
    /// Returns a response with a status and a body.
    pub fn new(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
            aborts: false,
        }
    }

    /// Returns a streamed response.
    pub fn stream(body: impl Into<String>, aborts: bool) -> Self {
        Self {
            headers: vec![("Content-Type", "text/event-stream".to_owned())],
            aborts,
            ..Self::new(200, body)
        }
    }
}

/// A router's listener that records requests and sends scripted responses.
#[derive(Clone, Debug)]
pub struct FakeRouter {
    /// The address it listens on.
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<RecordedRequest>>>,
}

impl FakeRouter {
    /// Starts a listener on a port assigned by the operating system.
    pub fn start(
        script: impl Fn(&RecordedRequest) -> ScriptedResponse + Send + Sync + 'static,
    ) -> Self {
        let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let recorded = received.clone();
        let script = Arc::new(script);
        let server = trillium_smol::config()
            .without_signals()
            .with_prebound_server(listener)
            .run_async(move |conn: Conn| {
                let (recorded, script) = (recorded.clone(), script.clone());
                async move {
                    let (conn, request) = receive(conn).await;
                    recorded.lock().unwrap().push(request.clone());
                    respond(conn, script(&request))
                }
            });
        smol::spawn(server).detach();
        Self { address, received }
    }

    /// Returns the requests received so far.
    pub fn received(&self) -> Vec<RecordedRequest> {
        self.received.lock().unwrap().clone()
    }
}

async fn receive(mut conn: Conn) -> (Conn, RecordedRequest) {
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
    let request = RecordedRequest {
        request_line: format!("{} {}{query}", conn.method(), conn.path()),
        bearer: bearer.unwrap_or_default().to_owned(),
        idempotency_key: headers.get_str("Idempotency-Key").map(str::to_owned),
        submission_id: headers.get_str("Attempt-Id").map(str::to_owned),
        body,
    };
    (conn, request)
}

fn respond(mut conn: Conn, response: ScriptedResponse) -> Conn {
    for (name, value) in response.headers {
        conn = conn.with_response_header(name, value);
    }
    let body = if response.aborts {
        let content = Cursor::new(response.body.into_bytes());
        Body::new_streaming(content.chain(AbortingBody), None)
    } else {
        Body::from(response.body)
    };
    conn.with_status(response.status).with_body(body).halt()
}

/// A body that fails on the first read, which aborts the connection.
struct AbortingBody;

impl AsyncRead for AbortingBody {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()))
    }
}

/// The exit code and output of a run of the tool.
#[derive(Debug)]
pub struct ToolOutput {
    /// The exit code.
    pub code: i32,
    /// The standard output.
    pub stdout: String,
    /// The standard error.
    pub stderr: String,
}

/// Runs the tool with `arguments` and waits for it.
pub fn run_tool(arguments: &[&str]) -> ToolOutput {
    let output = Command::new(env!("CARGO_BIN_EXE_curranttrestle"))
        .args(arguments)
        .env_remove("CURRANTTRESTLE_FLEET")
        .env_remove("CURRANTTRESTLE_TOKEN")
        .env_remove("CURRANTTRESTLE_KEY")
        .stdin(Stdio::null())
        .output()
        .unwrap();
    ToolOutput {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Runs the tool with the operators' listeners of `routers` and the token.
pub fn run_with_routers(arguments: &[&str], routers: &[SocketAddr]) -> ToolOutput {
    let mut arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
    for router in routers {
        arguments.extend(["--operator".to_owned(), router.to_string()]);
    }
    arguments.extend(["--token".to_owned(), TOKEN.to_owned()]);
    run_tool(&arguments.iter().map(String::as_str).collect::<Vec<_>>())
}

/// Returns an address that nothing listens on.
pub fn unused_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Returns the path of an example file.
pub fn example(name: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    folder.join(name).display().to_string()
}

/// Writes `text` to a temporary file and returns its path.
pub fn temp_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}
