//! The part of HTTP/1.1 that the stand-ins need.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The head and body of a request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub target: String,
    /// Names in lowercase; values as they came.
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a header as text; empty if there is none.
    pub fn header(&self, name: &str) -> String {
        String::from_utf8_lossy(find(&self.headers, name).unwrap_or_default()).into_owned()
    }

    /// A number in the query.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }

    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

type Headers = Vec<(String, Vec<u8>)>;

/// Reads a start line and headers; `None` at the end of the connection.
fn read_head(stream: &mut impl BufRead) -> Option<(String, Headers)> {
    let mut start = Vec::new();
    loop {
        start.clear();
        if stream.read_until(b'\n', &mut start).ok()? == 0 {
            return None;
        }
        if !start.trim_ascii().is_empty() {
            break;
        }
    }
    let mut headers = Vec::new();
    loop {
        let mut line = Vec::new();
        if stream.read_until(b'\n', &mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_ascii();
        if line.is_empty() {
            let start = String::from_utf8_lossy(start.trim_ascii()).into_owned();
            return Some((start, headers));
        }
        let colon = line.iter().position(|byte| *byte == b':')?;
        let name = String::from_utf8_lossy(&line[..colon]).to_ascii_lowercase();
        headers.push((name, line[colon + 1..].trim_ascii().to_vec()));
    }
}

fn find<'a>(headers: &'a Headers, name: &str) -> Option<&'a [u8]> {
    headers.iter().find(|(other, _)| other == name).map(|(_, value)| &value[..])
}

fn number(value: Option<&[u8]>) -> Option<usize> {
    std::str::from_utf8(value?).ok()?.parse().ok()
}

/// Reads the size of the next chunk.
fn chunk_size(stream: &mut impl BufRead) -> Option<usize> {
    let mut line = String::new();
    stream.read_line(&mut line).ok()?;
    usize::from_str_radix(line.trim().split(';').next()?, 16).ok()
}

/// Answers a request on the stream and returns whether the connection stays open.
pub type Handle = Arc<dyn Fn(&Request, &mut TcpStream) -> bool + Send + Sync>;

/// Serves connections, each on a thread. While `is_down`, connections are refused.
pub fn serve(
    listener: TcpListener,
    is_down: impl Fn() -> bool + Send + 'static,
    handle: Handle,
) {
    let address = listener.local_addr();
    thread::spawn(move || {
        let mut listening = Some(listener);
        loop {
            if is_down() {
                listening = None;
            } else if listening.is_none() {
                listening = address.as_ref().ok().and_then(|address| TcpListener::bind(address).ok());
            }
            let Some(listener) = &listening else {
                thread::sleep(POLL);
                continue;
            };
            let accepted = listener.set_nonblocking(true).and_then(|()| listener.accept());
            let Ok((stream, _)) = accepted else {
                thread::sleep(POLL);
                continue;
            };
            let handle = Arc::clone(&handle);
            thread::spawn(move || serve_connection(stream, &handle));
        }
    });
}

/// How often a listener is asked for a connection.
const POLL: Duration = Duration::from_millis(1);

fn serve_connection(mut stream: TcpStream, handle: &Handle) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reading);
    while let Some(request) = read_request(&mut reader) {
        if !handle(&request, &mut stream) {
            return;
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (start, headers) = read_head(reader)?;
    let mut words = start.split(' ');
    let target = words.nth(1)?.to_owned();
    let mut body = Vec::new();
    if let Some(length) = number(find(&headers, "content-length")) {
        body.resize(length, 0);
        reader.read_exact(&mut body).ok()?;
    } else if find(&headers, "transfer-encoding").is_some() {
        loop {
            let size = chunk_size(reader)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    Some(Request { target, headers, body })
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// How a client's request ended.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status; zero if no head of a response came.
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the response is whole.
    pub is_complete: bool,
}

impl Answer {
    /// One line for the record.
    pub fn describe(&self) -> String {
        let whole = if self.is_complete { "whole" } else { "not whole" };
        let text = String::from_utf8_lossy(&self.body);
        let reason = if self.status >= 400 { text.trim().to_owned() } else { String::new() };
        format!("status {} {whole}, {} bytes {reason}", self.status, self.body.len())
    }
}

/// A connection of a client.
pub struct Client(TcpStream);

impl Client {
    pub fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Self(stream))
    }

    /// Sends a request and waits for its response.
    pub fn send(&mut self, request: &[u8], timeout_ms: u64) -> Answer {
        let _ = self.0.set_read_timeout(Some(Duration::from_millis(timeout_ms)));
        let mut answer = Answer::default();
        if self.0.write_all(request).is_err() {
            return answer;
        }
        let Ok(reading) = self.0.try_clone() else { return answer };
        let mut reader = BufReader::new(reading);
        let Some((start, headers)) = read_head(&mut reader) else { return answer };
        answer.status = number(start.split(' ').nth(1).map(str::as_bytes)).unwrap_or(0) as u16;
        answer.headers = headers;
        if let Some(length) = number(find(&answer.headers, "content-length")) {
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_ok() {
                answer.body = body;
                answer.is_complete = true;
            }
        } else if find(&answer.headers, "transfer-encoding").is_some() {
            while let Some(size) = chunk_size(&mut reader) {
                let mut chunk = vec![0; size + 2];
                if reader.read_exact(&mut chunk).is_err() {
                    break;
                }
                if size == 0 {
                    answer.is_complete = true;
                    break;
                }
                answer.body.extend_from_slice(&chunk[..size]);
            }
        }
        answer
    }
}

/// Sends a request over a new connection.
pub fn call(address: SocketAddr, request: &[u8], timeout_ms: u64) -> Answer {
    Client::connect(address).map_or_else(Answer::default, |mut client| client.send(request, timeout_ms))
}
