//! A fleet of processes: platform, endpoints and routers of three data centres.

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
/// The longest that anything expected may take to come true.
pub const PATIENCE: Duration = Duration::from_secs(40);

/// What a fleet consists of.
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
    /// Further arguments of the engines.
    pub engine_arguments: Vec<&'static str>,
    /// Further arguments of the services.
    pub service_arguments: Vec<&'static str>,
    /// Further lines of the routers' settings.
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
    /// Where callers are served.
    pub fn callers(&self) -> SocketAddr {
        self.process.address("callers")
    }

    /// Where operators are served.
    pub fn operators(&self) -> SocketAddr {
        self.process.address("operators")
    }
}

/// Ways between data centres and to the platform, which can be cut.
#[derive(Default)]
pub struct Ways {
    /// By the data centre that sends and the router that receives.
    peers: IndexMap<(&'static str, String), RelayHandle>,
    /// By the data centre that calls.
    platform: IndexMap<&'static str, RelayHandle>,
}

/// A running fleet. All processes end when it is dropped.
pub struct Fleet {
    /// What it consists of.
    pub plan: FleetPlan,
    /// The platform.
    pub platform: Process,
    /// The model engines.
    pub engines: Vec<Endpoint>,
    /// The plain services.
    pub services: Vec<Endpoint>,
    /// The routers.
    pub routers: Vec<Router>,
    ways: Ways,
    folder: PathBuf,
}

impl Fleet {
    /// Starts all processes. No sheet is in force yet.
    pub fn start(test: &str, plan: FleetPlan) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        std::fs::create_dir_all(&folder).expect("the folder for settings can be made");
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
            ways: Ways::default(),
            folder,
        };
        fleet.start_ways();
        for data_centre in DATA_CENTRES {
            for number in 0..fleet.plan.routers {
                let router = fleet.start_router(&format!("{data_centre}-{number}"), data_centre);
                fleet.routers.push(router);
            }
        }
        fleet
    }

    /// Starts a fleet and puts its sheet in force everywhere.
    pub fn start_with_sheet(test: &str, plan: FleetPlan) -> Self {
        let fleet = Self::start(test, plan);
        let reply = fleet.submit(&fleet.sheet());
        assert_eq!(reply.status, 200, "the sheet was refused: {}", reply.body);
        fleet.wait_in_force(1);
        fleet
    }

    fn start_ways(&mut self) {
        for data_centre in DATA_CENTRES {
            let to_platform = relay::start(RelayOptions {
                target: self.platform.address("address"),
                ..RelayOptions::default()
            });
            let to_platform = to_platform.expect("a relay can be started");
            self.ways.platform.insert(data_centre, to_platform);
            for other in DATA_CENTRES.iter().filter(|other| **other != data_centre) {
                for number in 0..self.plan.routers {
                    let way = relay::start(RelayOptions::default());
                    let way = way.expect("a relay can be started");
                    self.ways
                        .peers
                        .insert((data_centre, format!("{other}-{number}")), way);
                }
            }
        }
    }

    /// Cuts the routers of two data centres off from each other, or heals the cut.
    pub fn cut(&self, one: &str, other: &str, fault: RelayFault) {
        for ((from, to), way) in &self.ways.peers {
            let forth = *from == one && to.starts_with(other);
            let back = *from == other && to.starts_with(one);
            if forth || back {
                way.inject(fault);
            }
        }
    }

    /// Cuts what the routers of one data centre send to those of another, or heals the cut.
    pub fn cut_one_way(&self, from_centre: &str, to_centre: &str, fault: RelayFault) {
        for ((from, to), way) in &self.ways.peers {
            if *from == from_centre && to.starts_with(to_centre) {
                way.inject(fault);
            }
        }
    }

    /// Cuts the routers of a data centre off from the platform, or heals the cut.
    pub fn cut_platform(&self, data_centre: &str, fault: RelayFault) {
        self.ways.platform[data_centre].inject(fault);
    }

    /// Starts the router of a place anew after it ended.
    pub fn restart_router(&mut self, index: usize) {
        let name = self.routers[index].name.clone();
        let data_centre = self.routers[index].data_centre;
        self.routers[index].process.kill();
        let router = self.start_router(&name, data_centre);
        self.routers[index] = router;
    }

    /// Starts one router process.
    pub fn start_router(&self, name: &str, data_centre: &'static str) -> Router {
        let seeds: Vec<String> = self
            .routers
            .iter()
            .map(|router| format!("\"{}\"", self.address_from(data_centre, router)))
            .collect();
        let ways: Vec<String> = self
            .ways
            .peers
            .iter()
            .filter(|((from, _), _)| *from == data_centre)
            .map(|((_, to), way)| format!("\"{to}\" = \"{}\"", way.address()))
            .collect();
        let settings = format!(
            "[instance]\nname = \"{name}\"\ndata_centre = \"{data_centre}\"\n\
             [listen]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             [platform]\naddress = \"{}\"\n\
             [fleet]\nkey = \"test-fleet-key-0123\"\nseeds = [{}]\nvia = {{ {} }}\n\
             [operators]\ntoken_digest = \"{}\"\n{}",
            self.ways.platform[data_centre].address(),
            seeds.join(", "),
            ways.join(", "),
            digest(TOKEN),
            self.plan.settings,
        );
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings).expect("the settings can be written");
        let path = path.display().to_string();
        let process = Process::start("curranttrestled", &["--settings", &path]);
        for ((_, to), way) in &self.ways.peers {
            if to == name {
                way.set_target(process.address("peers"));
            }
        }
        Router {
            name: name.to_owned(),
            data_centre,
            process,
        }
    }

    /// The address at which a data centre reaches a router.
    fn address_from(&self, data_centre: &'static str, router: &Router) -> SocketAddr {
        let way = self.ways.peers.get(&(data_centre, router.name.clone()));
        way.map_or_else(|| router.process.address("peers"), RelayHandle::address)
    }

    /// The sheet that names all customers, operations and endpoints.
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

    /// Submits a sheet at the first router.
    pub fn submit(&self, sheet: &str) -> super::client::Reply {
        let operators = self.routers[0].operators();
        smol::block_on(post(operators, "/v1/sheets", TOKEN, sheet))
    }

    /// Waits until a sheet is in force at all routers.
    pub fn wait_in_force(&self, number: u64) {
        for router in &self.routers {
            wait_for(&format!("sheet {number} at {}", router.name), || {
                status(router)["sheet_number"].as_u64() >= Some(number)
            });
        }
    }
}

/// The status of a router.
pub fn status(router: &Router) -> serde_json::Value {
    smol::block_on(get_json(router.operators(), "/v1/status", TOKEN))
}

/// What a stand-in counted.
pub fn truth(process: &Process) -> serde_json::Value {
    smol::block_on(get_json(process.address("admin"), "/truth", ""))
}

/// Switches a fault of a stand-in.
pub fn fault(process: &Process, fault: &serde_json::Value) {
    let reply = smol::block_on(post(
        process.address("admin"),
        "/faults",
        "",
        &fault.to_string(),
    ));
    assert_eq!(
        reply.status / 100,
        2,
        "the fault was refused: {}",
        reply.body
    );
}

/// The key of a customer of a test fleet.
pub fn key_of(customer: &str) -> String {
    format!("key-of-{customer}")
}

/// Waits until something comes true.
pub fn wait_for(what: &str, mut is_true: impl FnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !is_true() {
        assert!(Instant::now() < deadline, "waited in vain for {what}");
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
    /// How often a booking ran, over all services.
    pub fn runs(&self, booking: &str) -> u64 {
        self.services
            .iter()
            .map(|service| truth(&service.process)["runs_by_key"][booking].as_u64())
            .map(Option::unwrap_or_default)
            .sum()
    }

    /// How many calls ran at services, over all keys and without.
    pub fn service_runs(&self) -> u64 {
        self.services
            .iter()
            .map(|service| truth(&service.process)["started"].as_u64())
            .map(Option::unwrap_or_default)
            .sum()
    }
}
