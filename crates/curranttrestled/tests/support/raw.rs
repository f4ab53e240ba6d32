//! A caller that reads its answer piece by piece, and can go away in between.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use super::client::{StreamAnswer, read_events};

/// How long one read may wait.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// The longest that an answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(40);

/// An exchange in progress.
pub struct RawCaller {
    stream: TcpStream,
    received: Vec<u8>,
    ended: bool,
}

impl RawCaller {
    /// Sends bytes over a connection of its own.
    pub fn send(router: SocketAddr, bytes: &[u8]) -> Self {
        let mut stream = TcpStream::connect(router).expect("the router accepts connections");
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        // A server that refuses early may close while this is sent.
        let _ = stream.write_all(bytes);
        Self {
            stream,
            received: Vec::new(),
            ended: false,
        }
    }

    /// Asks the model.
    pub fn ask(router: SocketAddr, key: &str, prompt: &str, max_tokens: u32) -> Self {
        let body = serde_json::json!({ "prompt": prompt, "max_tokens": max_tokens }).to_string();
        let request = format!(
            "POST /v1/operations/draft-report HTTP/1.1\r\nHost: router\r\n\
             Authorization: Bearer {key}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        Self::send(router, request.as_bytes())
    }

    /// Resumes an answer at a byte offset.
    pub fn resume(router: SocketAddr, key: &str, token: &str, offset: usize) -> Self {
        let request = format!(
            "GET /v1/streams/{token}?offset={offset} HTTP/1.1\r\nHost: router\r\n\
             Authorization: Bearer {key}\r\nConnection: close\r\n\r\n"
        );
        Self::send(router, request.as_bytes())
    }

    /// Sends more bytes; false when the connection is closed.
    pub fn send_more(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads once; false when the connection has ended.
    pub fn read_some(&mut self) -> bool {
        let mut buffer = [0; 16 * 1024];
        match self.stream.read(&mut buffer) {
            Ok(0) => self.ended = true,
            Ok(length) => self.received.extend_from_slice(&buffer[..length]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => self.ended = true,
        }
        !self.ended
    }

    /// The status; zero before it came.
    pub fn status(&self) -> u16 {
        let text = String::from_utf8_lossy(&self.received);
        let code = text.split_whitespace().nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or_default()
    }

    /// All that came, undecoded.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.received).into_owned()
    }

    /// The whole events received so far.
    pub fn answer(&self) -> StreamAnswer {
        let body = self.body();
        let whole = body.rfind("\n\n").map_or("", |end| &body[..end]);
        read_events(whole)
    }

    /// The text of all parts, which need not begin at offset zero.
    pub fn rest(&self) -> String {
        let body = self.body();
        let events = body
            .split("\n\n")
            .filter_map(|event| event.strip_prefix("data: "));
        events
            .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
            .filter_map(|part| part["text"].as_str().map(str::to_owned))
            .collect()
    }

    /// Reads until at least `bytes` of the answer came.
    pub fn read_until(&mut self, bytes: usize) -> StreamAnswer {
        self.read_while(|answer| answer.text.len() < bytes)
    }

    /// Reads until the answer or the connection ends.
    pub fn read_to_end(&mut self) -> StreamAnswer {
        self.read_while(|answer| !answer.done && answer.error.is_none())
    }

    fn read_while(&mut self, goes_on: impl Fn(&StreamAnswer) -> bool) -> StreamAnswer {
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        loop {
            let answer = self.answer();
            if self.ended || !goes_on(&answer) || Instant::now() > deadline {
                return answer;
            }
            self.read_some();
        }
    }

    /// The body without the framing of its chunks.
    fn body(&self) -> String {
        let Some(head) = find(&self.received, b"\r\n\r\n") else {
            return String::new();
        };
        let mut rest = &self.received[head + 4..];
        let mut body = Vec::new();
        while let Some(line) = find(rest, b"\r\n") {
            let size = std::str::from_utf8(&rest[..line]).ok();
            let Some(size) = size.and_then(|size| usize::from_str_radix(size.trim(), 16).ok())
            else {
                break;
            };
            let begin = line + 2;
            let end = (begin + size).min(rest.len());
            body.extend_from_slice(&rest[begin..end]);
            if size == 0 || begin + size + 2 > rest.len() {
                break;
            }
            rest = &rest[begin + size + 2..];
        }
        String::from_utf8_lossy(&body).into_owned()
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
