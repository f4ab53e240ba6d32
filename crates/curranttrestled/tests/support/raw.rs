//! A caller that reads its response in pieces and can disconnect at any point.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use super::client::{StreamedResponse, read_events};

/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of a complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(40);

/// An exchange in progress.
pub struct RawCaller {
    stream: TcpStream,
    received: Vec<u8>,
    ended: bool,
}

impl RawCaller {
    /// Opens a new connection and sends bytes over it.
    pub fn send(router: SocketAddr, bytes: &[u8]) -> Self {
        let mut stream = TcpStream::connect(router).expect("the router accepts connections");
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        // The server may refuse the request and close the connection before all bytes are sent.
        let _ = stream.write_all(bytes);
        Self {
            stream,
            received: Vec::new(),
            ended: false,
        }
    }

    /// Sends a prompt.
    pub fn ask(router: SocketAddr, key: &str, prompt: &str, max_tokens: u32) -> Self {
        let body = serde_json::json!({ "prompt": prompt, "max_tokens": max_tokens }).to_string();
        let request = format!(
            "POST /v1/operations/draft-report HTTP/1.1\r\nHost: router\r\n\
             Authorization: Bearer {key}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        Self::send(router, request.as_bytes())
    }

    /// Resumes a response at a byte offset.
    pub fn resume(router: SocketAddr, key: &str, token: &str, offset: usize) -> Self {
        let request = format!(
            "GET /v1/streams/{token}?offset={offset} HTTP/1.1\r\nHost: router\r\n\
             Authorization: Bearer {key}\r\nConnection: close\r\n\r\n"
        );
        Self::send(router, request.as_bytes())
    }

    /// Sends more bytes; returns false if the connection is closed.
    pub fn send_more(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads once; returns false if the connection has ended.
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

    /// Returns the status code; zero until it is received.
    pub fn status(&self) -> u16 {
        let text = String::from_utf8_lossy(&self.received);
        let code = text.split_whitespace().nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or_default()
    }

    /// Returns all bytes received as text, with HTTP framing.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.received).into_owned()
    }

    /// Parses the complete events received so far.
    pub fn response(&self) -> StreamedResponse {
        let body = self.body();
        let complete = body.rfind("\n\n").map_or("", |end| &body[..end]);
        read_events(complete)
    }

    /// Returns the text of all parts, which need not start at offset zero.
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

    /// Reads until at least `bytes` bytes of the response's text are received.
    pub fn read_until(&mut self, bytes: usize) -> StreamedResponse {
        self.read_while(|response| response.text.len() < bytes)
    }

    /// Reads until the response or the connection ends.
    pub fn read_to_end(&mut self) -> StreamedResponse {
        self.read_while(|response| !response.done && response.error.is_none())
    }

    fn read_while(
        &mut self,
        should_continue: impl Fn(&StreamedResponse) -> bool,
    ) -> StreamedResponse {
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        loop {
            let response = self.response();
            if self.ended || !should_continue(&response) || Instant::now() > deadline {
                return response;
            }
            self.read_some();
        }
    }

    /// Returns the body without its chunked transfer encoding.
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
