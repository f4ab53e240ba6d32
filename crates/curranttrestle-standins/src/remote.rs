//! Client for the admin API of stand-ins that run in separate processes.

use std::net::SocketAddr;

use curranttrestle::protocol::platform::InstanceStatus;
use curranttrestle::transport::body::read_to_end;
use serde::Serialize;
use serde::de::DeserializeOwned;
use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: u64 = 256 * 1024 * 1024;

/// Error of a call to a stand-in.
#[derive(Debug, thiserror::Error)]
pub enum RemoteError {
    /// The HTTP request failed.
    #[error("HTTP request to the stand-in failed: {0}")]
    Http(#[from] trillium_client::Error),
    /// The response body could not be read completely.
    #[error("failed to read the stand-in's response: {0}")]
    Body(#[from] std::io::Error),
    /// JSON could not be encoded or decoded.
    #[error("invalid JSON in an exchange with the stand-in: {0}")]
    Json(#[from] serde_json::Error),
    /// The stand-in responded with this error status, or without a status if it is 0.
    #[error("the stand-in responded with status {0}")]
    Status(u16),
}

/// Injects a fault into the stand-in with this admin address.
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
/// Returns an error if the stand-in cannot be reached or refuses the fault.
pub async fn inject(admin: SocketAddr, fault: &impl Serialize) -> Result<(), RemoteError> {
    let body = serde_json::to_string(fault)?;
    let conn = client().post(format!("http://{admin}/faults"));
    exchange(conn.with_body(body)).await?;
    Ok(())
}

/// Adds or replaces an instance at the platform stand-in that serves on `platform`.
///
/// # Errors
///
/// Returns an error if the stand-in cannot be reached or refuses the instance.
pub async fn put_instance(
    platform: SocketAddr,
    status: &InstanceStatus,
) -> Result<(), RemoteError> {
    let body = serde_json::to_string(status)?;
    let conn = client().put(format!("http://{platform}/instances/{}", status.name));
    exchange(conn.with_body(body)).await?;
    Ok(())
}

/// Reads the ground truth of the stand-in with this admin address.
///
/// # Errors
///
/// Returns an error if the stand-in cannot be reached or its ground truth is not a valid `T`.
pub async fn truth<T: DeserializeOwned>(admin: SocketAddr) -> Result<T, RemoteError> {
    let body = exchange(client().get(format!("http://{admin}/truth"))).await?;
    Ok(serde_json::from_slice(&body)?)
}

fn client() -> Client {
    Client::new(ClientConfig::new().with_nodelay(true))
}

async fn exchange(conn: Conn) -> Result<Vec<u8>, RemoteError> {
    let mut conn = conn.await?;
    let body = read_to_end(conn.response_body(), MAX_RESPONSE_BYTES).await?;
    match conn.status() {
        Some(status) if status.is_success() => Ok(body),
        status => Err(RemoteError::Status(
            status.map_or(0, |status| status as u16),
        )),
    }
}
