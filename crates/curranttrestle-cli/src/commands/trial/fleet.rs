//! The fleet that a trial runs.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use curranttrestle::state::settings::{Fleet, Instance, Listen, Operators, Platform};
use curranttrestle::state::settings::{Secret, Settings};
use curranttrestle::state::sheet::KeyDigest;
use curranttrestle_standins::engine::{self, EngineHandle, EngineOptions};
use curranttrestle_standins::platform::{self, PlatformHandle, PlatformOptions};
use curranttrestle_standins::service::{self, ServiceHandle, ServiceOptions};
use curranttrestled::Daemon;

use crate::client::OperatorClient;
use crate::error::CliError;

/// The API key of the trial customer.
pub const CUSTOMER_KEY: &str = "trial-key";
/// The operators' token of the trial fleet.
pub const OPERATORS_TOKEN: &str = "trial-token";

const FLEET_KEY: &str = "trial-fleet-key-0";
const DATA_CENTRES: [&str; 3] = ["rennes", "brest", "vannes"];
const ROUTERS_PER_DATA_CENTRE: usize = 2;
const ENGINES_PER_DATA_CENTRE: usize = 2;
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const REQUEST_TIMEOUT_MS: u64 = 5_000;

/// A fleet of routers and stand-ins in this process.
pub struct TrialFleet {
    platform: PlatformHandle,
    engines: Vec<(&'static str, String, EngineHandle)>,
    services: Vec<(&'static str, String, ServiceHandle)>,
    routers: Vec<Daemon>,
}

impl TrialFleet {
    /// Starts all stand-ins and routers on ports assigned by the operating system.
    pub fn start() -> Result<Self, CliError> {
        let mut fleet = Self {
            platform: platform::start(PlatformOptions::default()).map_err(to_cli_error)?,
            engines: Vec::new(),
            services: Vec::new(),
            routers: Vec::new(),
        };
        for data_centre in DATA_CENTRES {
            fleet.start_endpoints(data_centre)?;
        }
        for data_centre in DATA_CENTRES {
            for number in 1..=ROUTERS_PER_DATA_CENTRE {
                fleet.start_router(data_centre, number)?;
            }
        }
        Ok(fleet)
    }

    fn start_endpoints(&mut self, data_centre: &'static str) -> Result<(), CliError> {
        for number in 1..=ENGINES_PER_DATA_CENTRE {
            let name = format!("engine-{data_centre}-{number}");
            let engine = engine::start(EngineOptions {
                name: name.clone(),
                data_centre: data_centre.to_owned(),
                ..EngineOptions::default()
            });
            self.engines
                .push((data_centre, name, engine.map_err(to_cli_error)?));
        }
        let name = format!("desk-{data_centre}");
        let service = service::start(ServiceOptions {
            name: name.clone(),
            data_centre: data_centre.to_owned(),
            ..ServiceOptions::default()
        });
        self.services
            .push((data_centre, name, service.map_err(to_cli_error)?));
        Ok(())
    }

    fn start_router(&mut self, data_centre: &str, number: usize) -> Result<(), CliError> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Settings {
            instance: Instance {
                name: format!("{data_centre}-{number}").as_str().into(),
                data_centre: data_centre.into(),
            },
            listen: Listen {
                callers: any_port,
                operators: any_port,
                peers: any_port,
            },
            platform: Platform {
                address: self.platform.address(),
                ..Platform::default()
            },
            fleet: Fleet {
                key: Secret::new(FLEET_KEY),
                seeds: self.routers.iter().map(Daemon::peers_addr).collect(),
                ..Fleet::default()
            },
            operators: Operators {
                token_digest: KeyDigest::of(OPERATORS_TOKEN),
            },
            ..Settings::default()
        };
        self.routers
            .push(Daemon::start(&settings).map_err(to_cli_error)?);
        Ok(())
    }

    /// Returns a sheet with the trial customer, its operations and all endpoints.
    fn sheet(&self) -> String {
        let digest = hex::encode(KeyDigest::of(CUSTOMER_KEY).0);
        let mut sheet = format!("customer,trial,1,{digest},\n");
        sheet.push_str("operation,draft-report,model,yes,0,40\n");
        sheet.push_str("operation,stock-lookup,desk,yes,1,20\n");
        sheet.push_str("operation,book-camera,desk,no,1,20\n");
        let engines = self.engines.iter().map(|(data_centre, name, handle)| {
            (data_centre, name, handle.address(), "model", "model")
        });
        let services = self.services.iter().map(|(data_centre, name, handle)| {
            (data_centre, name, handle.address(), "desk", "service")
        });
        for (data_centre, name, address, pool, kind) in engines.chain(services) {
            // Writing to a string cannot fail.
            let _ = writeln!(
                sheet,
                "endpoint,{name},{pool},{kind},{data_centre},{address},8,yes,no"
            );
        }
        sheet
    }

    /// Submits the sheet through the first router.
    pub async fn submit_sheet(&self) -> Result<(), CliError> {
        let sheet = self.sheet().into_bytes();
        let client = self.client(0);
        let response = client.post("/v1/sheets", sheet, REQUEST_TIMEOUT_MS).await?;
        if response.status == 200 {
            return Ok(());
        }
        Err(CliError::Failed(
            String::from_utf8_lossy(&response.body).into_owned(),
        ))
    }

    /// Waits until every router is ready, which requires a sheet in force.
    pub async fn wait_until_ready(&self) -> Result<(), CliError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for index in 0..self.routers.len() {
            while !self.client(index).status().await?.ready {
                if Instant::now() > deadline {
                    let message =
                        "some routers were not ready in time; each needs a sheet in force";
                    return Err(CliError::Failed(message.to_owned()));
                }
                smol::Timer::after(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Writes the fleet file with the routers' operators' addresses and the token.
    pub fn write_fleet_file(&self, path: &Path) -> Result<(), CliError> {
        let operators: Vec<String> = self
            .routers
            .iter()
            .map(|router| format!("\"{}\"", router.operators_addr()))
            .collect();
        let text = format!(
            "operators = [{}]\ntoken = \"{OPERATORS_TOKEN}\"\n",
            operators.join(", ")
        );
        std::fs::write(path, text).map_err(|error| CliError::File {
            path: path.to_owned(),
            error,
        })
    }

    /// Returns the address of each router's callers' listener.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(Daemon::callers_addr).collect()
    }

    /// Stops the routers gracefully, then the stand-ins.
    pub fn stop(self) {
        for router in &self.routers {
            router.stop();
        }
        for router in self.routers {
            router.join();
        }
        for (_, _, engine) in self.engines {
            engine.stop();
        }
        for (_, _, service) in self.services {
            service.stop();
        }
        self.platform.stop();
    }

    fn client(&self, index: usize) -> OperatorClient {
        OperatorClient {
            address: self.routers[index].operators_addr(),
            token: OPERATORS_TOKEN.to_owned(),
            operator_name: "trial".to_owned(),
            timeout_ms: REQUEST_TIMEOUT_MS,
        }
    }
}

fn to_cli_error(error: impl std::fmt::Display) -> CliError {
    CliError::Failed(error.to_string())
}
