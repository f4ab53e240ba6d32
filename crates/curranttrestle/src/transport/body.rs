//! Reads complete HTTP bodies.

use std::io;

use futures_lite::{AsyncRead, AsyncReadExt};

/// The size of the read buffer in bytes.
///
/// `trillium-http` 0.3 corrupts a chunked body that is read into a buffer shorter than the body
/// bytes received together with the head, as its own `read_bytes` may do. It buffers at most
/// 8 kB of them.
pub const READ_BYTES: usize = 16 * 1024;

/// Reads a body to its end.
///
/// ```
/// use curranttrestle::transport::body::read_to_end;
/// let body = smol::io::Cursor::new("abc");
/// assert_eq!(smol::block_on(read_to_end(body, 3)).unwrap(), b"abc");
/// let body = smol::io::Cursor::new("abc");
/// assert!(smol::block_on(read_to_end(body, 2)).is_err());
/// ```
///
/// # Errors
///
/// Returns an error if the connection fails, and [`io::ErrorKind::FileTooLarge`] if the body is
/// longer than `max_bytes`.
pub async fn read_to_end(mut body: impl AsyncRead + Unpin, max_bytes: u64) -> io::Result<Vec<u8>> {
    let mut content = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let length = body.read(&mut buffer).await?;
        if length == 0 {
            return Ok(content);
        }
        if (content.len() + length) as u64 > max_bytes {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        content.extend_from_slice(&buffer[..length]);
    }
}
