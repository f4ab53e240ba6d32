//! The routers of a fleet.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use curranttrestled::daemon::Daemon;

use super::metrics::{Metrics, read_metrics};
use super::{FleetPlan, OPERATORS_TOKEN, settings};
use crate::load::exchange;
use crate::{Error, Result};

/// Timeout for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two readiness checks.
const READY_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which slot owners that have just taken over their endpoints grant leases.
const NEW_OWNER_DELAY: Duration = Duration::from_millis(2_500);
/// Timeout for the routers to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// The routers of a fleet.
pub struct Routers {
    daemons: Vec<Daemon>,
}

impl Routers {
    /// Starts the routers. Each has all routers started before it as seed peers.
    pub fn start(plan: &FleetPlan, platform: SocketAddr) -> Result<Self> {
        let mut daemons: Vec<Daemon> = Vec::new();
        for data_centre in plan.data_centres() {
            for number in 0..plan.routers {
                let name = format!("router-{data_centre}-{number}");
                let mut settings = settings(plan, &name, &data_centre, platform);
                settings.fleet.seeds = daemons.iter().map(Daemon::peers_addr).collect();
                daemons.push(Daemon::start(&settings)?);
            }
        }
        Ok(Self { daemons })
    }

    /// The caller-facing address of each router.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(Daemon::callers_addr).collect()
    }

    /// The metrics of all routers.
    pub fn metrics(&self) -> Vec<Metrics> {
        let read = |daemon: &Daemon| read_metrics(daemon.operators_addr(), OPERATORS_TOKEN);
        self.daemons.iter().map(read).collect()
    }

    /// Submits a sheet to the first router.
    pub fn submit(&self, sheet: &str) -> Result<()> {
        let Some(first) = self.daemons.first() else {
            return Ok(());
        };
        let url = format!("http://{}/v1/sheets", first.operators_addr());
        let conn = trillium_client::Client::new(trillium_smol::ClientConfig::default())
            .post(url.as_str())
            .with_request_header("Authorization", format!("Bearer {OPERATORS_TOKEN}"))
            .with_body(sheet.to_owned());
        let (status, detail) = smol::block_on(exchange(conn));
        if status == 200 {
            return Ok(());
        }
        Err(Error::Sheet { status, detail })
    }

    /// Waits until all routers know each other and have the sheet, and slot owners grant leases.
    pub fn wait_ready(&self) -> Result<()> {
        let started = Instant::now();
        let others = crate::statistics::float(self.daemons.len() as u64 - 1);
        loop {
            let ready = self.metrics().iter().all(|metrics| {
                metrics.value("curranttrestle_sheet_number", "") >= 1.0
                    && metrics.value("curranttrestle_state", "members") >= others
            });
            if ready {
                std::thread::sleep(NEW_OWNER_DELAY);
                return Ok(());
            }
            if started.elapsed() > READY_TIMEOUT {
                let waited_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
                return Err(Error::NotReady { waited_ms });
            }
            std::thread::sleep(READY_INTERVAL);
        }
    }

    /// Stops all routers and waits for them, up to `STOP_TIMEOUT`.
    pub fn stop(self) {
        let (sender, receiver) = async_channel::bounded::<()>(self.daemons.len().max(1));
        let count = self.daemons.len();
        for daemon in self.daemons {
            daemon.stop();
            let sender = sender.clone();
            let join = move || {
                daemon.join();
                let _ = sender.send_blocking(());
            };
            let _ = std::thread::Builder::new().name("join".into()).spawn(join);
        }
        let wait = async {
            for _ in 0..count {
                let _ = receiver.recv().await;
            }
        };
        let expired = async {
            smol::Timer::after(STOP_TIMEOUT).await;
            log::warn!("event=routers-still-stopping");
        };
        smol::block_on(futures_lite::FutureExt::or(wait, expired));
    }
}
