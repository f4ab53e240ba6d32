//! Injects faults into stand-ins that run as processes of their own, and reads their truth.

use std::net::SocketAddr;

use curranttrestle::protocol::platform::InstanceStatus;
use curranttrestle::transport::body::read_whole;
use serde::Serialize;
use serde::de::DeserializeOwned;
use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;

/// The largest truth that is read.
const MAX_TRUTH_BYTES: u64 = 256 * 1024 * 1024;

/// Why a stand-in could not be reached or understood.
#[derive(Debug, thiserror::Error)]
pub enum RemoteError {
    /// The exchange failed.
    #[error("the stand-in did not answer: {0}")]
    Http(#[from] trillium_client::Error),
    /// The answer broke off.
    #[error("the stand-in's answer broke off: {0}")]
    Body(#[from] std::io::Error),
    /// The message could not be written or read.
    #[error("the message is malformed: {0}")]
    Json(#[from] serde_json::Error),
    /// The stand-in refused the fault.
    #[error("the stand-in answered with status {0}")]
    Status(u16),
}

/// Injects a fault into the stand-in with this administration address.
///
/// ```
/// use curranttrestle_standins::platform::{PlatformFault, PlatformOptions, start};
/// use curranttrestle_standins::remote;
///
/// let platform = start(PlatformOptions::default()).unwrap();
/// let fault = PlatformFault::LoseAnswers { count: 1 };
/// smol::block_on(remote::inject(platform.admin_address(), &fault)).unwrap();
/// ```
///
/// # Errors
///
/// Returns an error when the stand-in was not reached or refused the fault.
pub async fn inject(admin: SocketAddr, fault: &impl Serialize) -> Result<(), RemoteError> {
    let body = serde_json::to_string(fault)?;
    let conn = client().post(format!("http://{admin}/faults"));
    exchange(conn.with_body(body)).await?;
    Ok(())
}

/// Puts an instance on the list of the platform stand-in that serves at `platform`.
///
/// # Errors
///
/// Returns an error when the stand-in was not reached.
pub async fn put_instance(
    platform: SocketAddr,
    status: &InstanceStatus,
) -> Result<(), RemoteError> {
    let body = serde_json::to_string(status)?;
    let conn = client().put(format!("http://{platform}/instances/{}", status.name));
    exchange(conn.with_body(body)).await?;
    Ok(())
}

/// Reads the truth of the stand-in with this administration address.
///
/// # Errors
///
/// Returns an error when the stand-in was not reached or is of another kind.
pub async fn truth<T: DeserializeOwned>(admin: SocketAddr) -> Result<T, RemoteError> {
    let body = exchange(client().get(format!("http://{admin}/truth"))).await?;
    Ok(serde_json::from_slice(&body)?)
}

fn client() -> Client {
    Client::new(ClientConfig::new().with_nodelay(true))
}

async fn exchange(conn: Conn) -> Result<Vec<u8>, RemoteError> {
    let mut conn = conn.await?;
    let body = read_whole(conn.response_body(), MAX_TRUTH_BYTES).await?;
    match conn.status() {
        Some(status) if status.is_success() => Ok(body),
        status => Err(RemoteError::Status(
            status.map_or(0, |status| status as u16),
        )),
    }
}
