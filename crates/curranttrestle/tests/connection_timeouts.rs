//! Tests that connections of callers that send nothing or read nothing time out.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use curranttrestle::transport::connection_timeouts::ConnectionTimeouts;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, FutureExt};
use trillium_server_common::{Acceptor, Transport};

/// The maximum time to wait for the timeouts below to take effect.
const DEADLINE: Duration = Duration::from_secs(20);

/// A connection whose peer neither sends nor reads.
#[derive(Debug)]
struct StalledTransport;

impl AsyncRead for StalledTransport {
    fn poll_read(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        _buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Pending
    }
}

impl AsyncWrite for StalledTransport {
    fn poll_write(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        _buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Pending
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl Transport for StalledTransport {
    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        Ok(None)
    }
}

const TIMEOUTS: ConnectionTimeouts = ConnectionTimeouts {
    idle_timeout_ms: 50,
    request_timeout_ms: 100,
    write_stall_timeout_ms: 50,
};

async fn error_within_deadline<T>(
    exchange: impl Future<Output = io::Result<T>>,
) -> Option<io::ErrorKind> {
    let finished = async { exchange.await.err().map(|error| error.kind()) };
    let timed_out = async {
        smol::Timer::after(DEADLINE).await;
        None
    };
    finished.or(timed_out).await
}

#[test]
fn a_write_to_a_caller_that_reads_nothing_times_out() {
    smol::block_on(async {
        let mut connection = TIMEOUTS.accept(StalledTransport).await.unwrap();
        let error = error_within_deadline(connection.write_all(b"a response")).await;
        assert_eq!(error, Some(io::ErrorKind::TimedOut));
    });
}

#[test]
fn a_read_from_a_caller_that_sends_nothing_times_out() {
    smol::block_on(async {
        let mut connection = TIMEOUTS.accept(StalledTransport).await.unwrap();
        let mut buffer = [0; 8];
        let error = error_within_deadline(connection.read(&mut buffer)).await;
        assert_eq!(error, Some(io::ErrorKind::TimedOut));
    });
}
