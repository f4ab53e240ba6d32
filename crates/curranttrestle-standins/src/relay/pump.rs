//! Forwards the bytes of one direction of a connection.

use std::net::Shutdown;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::Timer;
use smol::net::TcpStream;

use crate::server::Gate;

/// Size of the read buffer.
const READ_BYTES: usize = 16 * 1024;

/// Maximum number of chunks in flight in one direction of a connection.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;

/// The state of one direction of a relay.
#[derive(Debug)]
pub(super) struct Flow {
    pub(super) gate: Gate,
    delay_ms: AtomicU64,
}

impl Flow {
    pub(super) fn new(delay_ms: u64) -> Self {
        Self {
            gate: Gate::default(),
            delay_ms: AtomicU64::new(delay_ms),
        }
    }

    pub(super) fn set_delay(&self, delay_ms: u64) {
        self.delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms.load(Ordering::SeqCst))
    }
}

/// Bytes in flight and the time at which they are delivered.
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// Forwards bytes from one stream to the other until either is closed.
pub(super) async fn pump(from: TcpStream, to: TcpStream, flow: &Flow, connection_gate: &Gate) {
    let (sender, receiver) = async_channel::bounded(MAX_CHUNKS_IN_FLIGHT);
    let reading = read_chunks(from.clone(), sender, flow, connection_gate);
    let writing = write_chunks(to.clone(), receiver, flow, connection_gate);
    smol::future::zip(reading, writing).await;
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}

async fn read_chunks(
    mut from: TcpStream,
    chunks: Sender<Chunk>,
    flow: &Flow,
    connection_gate: &Gate,
) {
    let mut buffer = vec![0; READ_BYTES];
    loop {
        connection_gate.wait_unfrozen().await;
        flow.gate.wait_unfrozen().await;
        let Ok(length @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        let chunk = Chunk {
            due: Instant::now() + flow.delay(),
            bytes: buffer[..length].to_vec(),
        };
        if chunks.send(chunk).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    mut to: TcpStream,
    chunks: Receiver<Chunk>,
    flow: &Flow,
    connection_gate: &Gate,
) {
    while let Ok(chunk) = chunks.recv().await {
        if chunk.due > Instant::now() {
            Timer::at(chunk.due).await;
        }
        connection_gate.wait_unfrozen().await;
        flow.gate.wait_unfrozen().await;
        if to.write_all(&chunk.bytes).await.is_err() {
            return;
        }
    }
}
