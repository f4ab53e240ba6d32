//! Options that select the routers a command connects to.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::Args;
use serde::Deserialize;

use crate::client::OperatorClient;
use crate::error::CliError;

/// The routers to connect to and the credentials for them.
#[derive(Clone, Debug, Args)]
pub struct FleetOptions {
    /// The address of a router's operators' listener; may be given several times.
    #[arg(long = "operator", value_name = "IP:PORT")]
    operators: Vec<SocketAddr>,
    /// The operators' token.
    #[arg(
        long,
        value_name = "TOKEN",
        env = "CURRANTTRESTLE_TOKEN",
        hide_env_values = true
    )]
    token: Option<String>,
    /// A TOML file with the keys `operators` (a list of IP:port) and `token`.
    #[arg(long, value_name = "FILE", env = "CURRANTTRESTLE_FLEET")]
    fleet: Option<PathBuf>,
    /// The timeout of a request to a router.
    #[arg(long, value_name = "MS", default_value_t = 5_000)]
    timeout_ms: u64,
    /// The name under which changes are recorded.
    #[arg(
        long = "as",
        value_name = "NAME",
        env = "USER",
        default_value = "operator"
    )]
    operator_name: String,
}

/// The contents of a fleet file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetFile {
    #[serde(default)]
    operators: Vec<SocketAddr>,
    token: Option<String>,
}

impl FleetOptions {
    /// Returns a client for each router. Command-line options take precedence over the file.
    pub fn clients(&self) -> Result<Vec<OperatorClient>, CliError> {
        let file = match &self.fleet {
            Some(path) => read_fleet_file(path)?,
            None => FleetFile::default(),
        };
        let addresses = if self.operators.is_empty() {
            file.operators
        } else {
            self.operators.clone()
        };
        if addresses.is_empty() {
            let message = "no router given; use --operator IP:PORT or --fleet FILE";
            return Err(CliError::Usage(message.to_owned()));
        }
        let token = self.token.clone().or(file.token).ok_or_else(|| {
            let message = "no token given; use --token, CURRANTTRESTLE_TOKEN or --fleet FILE";
            CliError::Usage(message.to_owned())
        })?;
        let client = |address| OperatorClient {
            address,
            token: token.clone(),
            operator_name: self.operator_name.clone(),
            timeout_ms: self.timeout_ms,
        };
        Ok(addresses.into_iter().map(client).collect())
    }
}

fn read_fleet_file(path: &Path) -> Result<FleetFile, CliError> {
    let text = std::fs::read_to_string(path).map_err(|error| CliError::File {
        path: path.to_owned(),
        error,
    })?;
    toml::from_str(&text).map_err(|error| CliError::Failed(format!("{}: {error}", path.display())))
}
