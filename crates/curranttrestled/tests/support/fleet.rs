//! Runs a fleet as separate processes: the platform, and endpoints and routers in three data
//! centres.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use curranttrestle::state::sheet::KeyDigest;

use curranttrestle_standins::relay::{self, RelayFault, RelayHandle, RelayOptions};
use indexmap::IndexMap;

use super::client::{get_json, post};
use super::process::Process;

/// The operators' token of test fleets.
pub const TOKEN: &str = "operator-token";
/// The data centres of test fleets.
pub const DATA_CENTRES: [&str; 3] = ["rennes", "brest", "vannes"];
/// Timeout of [`wait_for`].
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// The size and configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Routers in each data centre.
    pub routers: usize,
    /// Model engines in each data centre.
    pub engines: usize,
    /// Plain services in each data centre.
    pub services: usize,
    /// Slots of each engine.
    pub slots: u32,
    /// Customers with their shares.
    pub customers: Vec<(&'static str, u32)>,
    /// Additional command-line arguments of the engines.
    pub engine_arguments: Vec<&'static str>,
    /// Additional command-line arguments of the services.
    pub service_arguments: Vec<&'static str>,
    /// Additional lines of the routers' settings file.
    pub settings: &'static str,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            routers: 2,
            engines: 1,
            services: 1,
            slots: 4,
            customers: vec![("roofer", 3), ("auditor", 1)],
            engine_arguments: Vec::new(),
            service_arguments: Vec::new(),
            settings: "",
        }
    }
}

/// An endpoint of a fleet.
pub struct Endpoint {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: &'static str,
    /// Its process.
    pub process: Process,
}

/// A router of a fleet.
pub struct Router {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: &'static str,
    /// Its process.
    pub process: Process,
}

impl Router {
    /// Returns the address of the callers' listener.
    pub fn callers(&self) -> SocketAddr {
        self.process.address("callers")
    }

    /// Returns the address of the operators' listener.
    pub fn operators(&self) -> SocketAddr {
        self.process.address("operators")
    }
}

/// Relays between data centres and to the platform, which can inject network faults.
#[derive(Default)]
pub struct Relays {
    /// Keyed by the sending data centre and the receiving router.
    peers: IndexMap<(&'static str, String), RelayHandle>,
    /// Keyed by the calling data centre.
    platform: IndexMap<&'static str, RelayHandle>,
}

/// A running fleet. All processes end when it is dropped.
pub struct Fleet {
    /// The plan it was started from.
    pub plan: FleetPlan,
    /// The platform.
    pub platform: Process,
    /// The model engines.
    pub engines: Vec<Endpoint>,
    /// The plain services.
    pub services: Vec<Endpoint>,
    /// The routers.
    pub routers: Vec<Router>,
    relays: Relays,
    folder: PathBuf,
}

impl Fleet {
    /// Starts all processes without a sheet in force.
    pub fn start(test: &str, plan: FleetPlan) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        std::fs::create_dir_all(&folder).expect("the settings folder can be created");
        let platform = Process::start("curranttrestle-standin", &["platform"]);
        let mut engines = Vec::new();
        let mut services = Vec::new();
        for data_centre in DATA_CENTRES {
            for number in 0..plan.engines {
                let name = format!("engine-{data_centre}-{number}");
                let slots = plan.slots.to_string();
                let mut arguments = vec!["engine", "--name", &name, "--slots", &slots];
                arguments.extend(["--data-centre", data_centre]);
                arguments.extend(&plan.engine_arguments);
                let process = Process::start("curranttrestle-standin", &arguments);
                engines.push(Endpoint {
                    name,
                    data_centre,
                    process,
                });
            }
            for number in 0..plan.services {
                let name = format!("desk-{data_centre}-{number}");
                let mut arguments = vec!["service", "--name", &name];
                arguments.extend(["--data-centre", data_centre]);
                arguments.extend(&plan.service_arguments);
                let process = Process::start("curranttrestle-standin", &arguments);
                services.push(Endpoint {
                    name,
                    data_centre,
                    process,
                });
            }
        }
        let mut fleet = Self {
            plan,
            platform,
            engines,
            services,
            routers: Vec::new(),
            relays: Relays::default(),
            folder,
        };
        fleet.start_relays();
        for data_centre in DATA_CENTRES {
            for number in 0..fleet.plan.routers {
                let router = fleet.start_router(&format!("{data_centre}-{number}"), data_centre);
                fleet.routers.push(router);
            }
        }
        fleet
    }

    /// Starts a fleet, submits its sheet and waits until all routers use it.
    pub fn start_with_sheet(test: &str, plan: FleetPlan) -> Self {
        let fleet = Self::start(test, plan);
        let reply = fleet.submit(&fleet.sheet());
        assert_eq!(reply.status, 200, "the sheet was refused: {}", reply.body);
        fleet.wait_for_sheet(1);
        fleet
    }

    fn start_relays(&mut self) {
        for data_centre in DATA_CENTRES {
            let to_platform = relay::start(RelayOptions {
                target: self.platform.address("address"),
                ..RelayOptions::default()
            });
            let to_platform = to_platform.expect("a relay can be started");
            self.relays.platform.insert(data_centre, to_platform);
            for other in DATA_CENTRES.iter().filter(|other| **other != data_centre) {
                for number in 0..self.plan.routers {
                    let relay = relay::start(RelayOptions::default());
                    let relay = relay.expect("a relay can be started");
                    self.relays
                        .peers
                        .insert((data_centre, format!("{other}-{number}")), relay);
                }
            }
        }
    }

    /// Injects a fault into all relays between two data centres, in both directions.
    pub fn inject_between(&self, one: &str, other: &str, fault: RelayFault) {
        for ((from, to), relay) in &self.relays.peers {
            let outbound = *from == one && to.starts_with(other);
            let inbound = *from == other && to.starts_with(one);
            if outbound || inbound {
                relay.inject(fault);
            }
        }
    }

    /// Injects a fault into the relays that carry traffic from one data centre to another.
    pub fn inject_one_way(&self, from_centre: &str, to_centre: &str, fault: RelayFault) {
        for ((from, to), relay) in &self.relays.peers {
            if *from == from_centre && to.starts_with(to_centre) {
                relay.inject(fault);
            }
        }
    }

    /// Injects a fault into the relay from a data centre to the platform.
    pub fn inject_platform(&self, data_centre: &str, fault: RelayFault) {
        self.relays.platform[data_centre].inject(fault);
    }

    /// Kills the router at `index` if it still runs, and starts it again.
    pub fn restart_router(&mut self, index: usize) {
        let name = self.routers[index].name.clone();
        let data_centre = self.routers[index].data_centre;
        self.routers[index].process.kill();
        let router = self.start_router(&name, data_centre);
        self.routers[index] = router;
    }

    /// Writes a router's settings file and starts its process.
    pub fn start_router(&self, name: &str, data_centre: &'static str) -> Router {
        let seeds: Vec<String> = self
            .routers
            .iter()
            .map(|router| format!("\"{}\"", self.address_from(data_centre, router)))
            .collect();
        let relays: Vec<String> = self
            .relays
            .peers
            .iter()
            .filter(|((from, _), _)| *from == data_centre)
            .map(|((_, to), relay)| format!("\"{to}\" = \"{}\"", relay.address()))
            .collect();
        let settings = format!(
            "[instance]\nname = \"{name}\"\ndata_centre = \"{data_centre}\"\n\
             [listen]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             [platform]\naddress = \"{}\"\n\
             [fleet]\nkey = \"test-fleet-key-0123\"\nseeds = [{}]\nvia = {{ {} }}\n\
             [operators]\ntoken_digest = \"{}\"\n{}",
            self.relays.platform[data_centre].address(),
            seeds.join(", "),
            relays.join(", "),
            digest(TOKEN),
            self.plan.settings,
        );
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings).expect("the settings can be written");
        let path = path.display().to_string();
        let process = Process::start("curranttrestled", &["--settings", &path]);
        for ((_, to), relay) in &self.relays.peers {
            if to == name {
                relay.set_target(process.address("peers"));
            }
        }
        Router {
            name: name.to_owned(),
            data_centre,
            process,
        }
    }

    /// Returns the address at which a data centre reaches a router.
    fn address_from(&self, data_centre: &'static str, router: &Router) -> SocketAddr {
        let relay = self.relays.peers.get(&(data_centre, router.name.clone()));
        relay.map_or_else(|| router.process.address("peers"), RelayHandle::address)
    }

    /// Builds the sheet with all customers, operations and endpoints.
    pub fn sheet(&self) -> String {
        let mut sheet = String::new();
        for (customer, share) in &self.plan.customers {
            let digest = digest(&key_of(customer));
            writeln!(sheet, "customer,{customer},{share},{digest},").unwrap();
        }
        sheet.push_str("operation,draft-report,model,yes,0,40\n");
        if !self.services.is_empty() {
            sheet.push_str("operation,book-camera,desk,no,1,20\n");
            sheet.push_str("operation,stock-lookup,desk,yes,1,20\n");
        }
        for endpoint in &self.engines {
            sheet.push_str(&row(endpoint, "model", "model", self.plan.slots));
        }
        for endpoint in &self.services {
            sheet.push_str(&row(endpoint, "desk", "service", self.plan.slots));
        }
        sheet
    }

    /// Submits a sheet to the first router.
    pub fn submit(&self, sheet: &str) -> super::client::Reply {
        let operators = self.routers[0].operators();
        smol::block_on(post(operators, "/v1/sheets", TOKEN, sheet))
    }

    /// Waits until all routers use sheet `number` or a later one.
    pub fn wait_for_sheet(&self, number: u64) {
        for router in &self.routers {
            wait_for(&format!("{} to use sheet {number}", router.name), || {
                status(router)["sheet_number"].as_u64() >= Some(number)
            });
        }
    }
}

/// Fetches a router's status.
pub fn status(router: &Router) -> serde_json::Value {
    smol::block_on(get_json(router.operators(), "/v1/status", TOKEN))
}

/// Fetches the counts that a stand-in recorded.
pub fn truth(process: &Process) -> serde_json::Value {
    smol::block_on(get_json(process.address("admin"), "/truth", ""))
}

/// Injects a fault into a stand-in.
pub fn inject_fault(process: &Process, fault: &serde_json::Value) {
    let reply = smol::block_on(post(
        process.address("admin"),
        "/faults",
        "",
        &fault.to_string(),
    ));
    assert_eq!(
        reply.status / 100,
        2,
        "the stand-in refused the fault: {}",
        reply.body
    );
}

/// Returns the API key of a customer of a test fleet.
pub fn key_of(customer: &str) -> String {
    format!("key-of-{customer}")
}

/// Polls a condition until it is true. Panics after [`WAIT_TIMEOUT`].
pub fn wait_for(what: &str, mut is_true: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !is_true() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn row(endpoint: &Endpoint, pool: &str, kind: &str, slots: u32) -> String {
    format!(
        "endpoint,{},{pool},{kind},{},{},{slots},yes,no\n",
        endpoint.name,
        endpoint.data_centre,
        endpoint.process.address("address"),
    )
}

fn digest(key: &str) -> String {
    hex::encode(KeyDigest::of(key).0)
}

impl Fleet {
    /// Returns how often a booking ran, over all services.
    pub fn runs(&self, booking: &str) -> u64 {
        self.services
            .iter()
            .map(|service| truth(&service.process)["runs_by_key"][booking].as_u64())
            .map(Option::unwrap_or_default)
            .sum()
    }

    /// Returns how many calls the services ran, with and without an idempotency key.
    pub fn service_runs(&self) -> u64 {
        self.services
            .iter()
            .map(|service| truth(&service.process)["started"].as_u64())
            .map(Option::unwrap_or_default)
            .sum()
    }
}
