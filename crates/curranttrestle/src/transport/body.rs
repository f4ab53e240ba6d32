//! Reads whole HTTP bodies.

use std::io;

use futures_lite::{AsyncRead, AsyncReadExt};

/// How many bytes are read at a time.
///
/// `trillium-http` 0.3 garbles a chunked body when it is read into a buffer that is shorter
/// than what came together with the head, as its own `read_bytes` may do. It keeps at most
/// eight kilobytes of those.
pub const READ_BYTES: usize = 16 * 1024;

/// Reads a body to its end.
///
/// ```
/// use curranttrestle::transport::body::read_whole;
/// let body = smol::io::Cursor::new("abc");
/// assert_eq!(smol::block_on(read_whole(body, 3)).unwrap(), b"abc");
/// let body = smol::io::Cursor::new("abc");
/// assert!(smol::block_on(read_whole(body, 2)).is_err());
/// ```
///
/// # Errors
///
/// Returns an error when the connection breaks, and one of the kind `FileTooLarge` when the
/// body is longer than `max_bytes`.
pub async fn read_whole(mut body: impl AsyncRead + Unpin, max_bytes: u64) -> io::Result<Vec<u8>> {
    let mut whole = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let length = body.read(&mut buffer).await?;
        if length == 0 {
            return Ok(whole);
        }
        if (whole.len() + length) as u64 > max_bytes {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        whole.extend_from_slice(&buffer[..length]);
    }
}
