//! Callers that neither send nor read lose their connections.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use curranttrestle::transport::sender_limit::SenderLimit;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, FutureExt};
use trillium_server_common::{Acceptor, Transport};

/// A time within which the limits below must have taken effect.
const PATIENCE: Duration = Duration::from_secs(20);

/// A connection whose other end neither sends nor reads.
#[derive(Debug)]
struct Unmoving;

impl AsyncRead for Unmoving {
    fn poll_read(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        _buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Pending
    }
}

impl AsyncWrite for Unmoving {
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

impl Transport for Unmoving {
    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        Ok(None)
    }
}

const LIMIT: SenderLimit = SenderLimit {
    idle_timeout_ms: 50,
    request_timeout_ms: 100,
    read_timeout_ms: 50,
};

async fn within_patience<T>(
    exchange: impl Future<Output = io::Result<T>>,
) -> Option<io::ErrorKind> {
    let ended = async { exchange.await.err().map(|error| error.kind()) };
    let expired = async {
        smol::Timer::after(PATIENCE).await;
        None
    };
    ended.or(expired).await
}

#[test]
fn a_caller_that_reads_nothing_is_cut_off() {
    smol::block_on(async {
        let mut connection = LIMIT.accept(Unmoving).await.unwrap();
        let error = within_patience(connection.write_all(b"an answer")).await;
        assert_eq!(error, Some(io::ErrorKind::TimedOut));
    });
}

#[test]
fn a_caller_that_sends_nothing_is_cut_off() {
    smol::block_on(async {
        let mut connection = LIMIT.accept(Unmoving).await.unwrap();
        let mut buffer = [0; 8];
        let error = within_patience(connection.read(&mut buffer)).await;
        assert_eq!(error, Some(io::ErrorKind::TimedOut));
    });
}
