//! A stand-in for a plain request/response service that counts how often each call ran.

mod fault;
mod handlers;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::endpoint::{LeavingLog, LeavingTruth, LoadLog, OrderLog, OrderTruth};
use crate::server::{
    Handle, ListenOptions, Reply, Request, Result, ServerControl, StandIn, unix_ms,
};
use fault::Faults;
pub use fault::ServiceFault;
pub use handlers::expected_response;

/// Options of a service stand-in.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// The name of the endpoint.
    pub name: String,
    /// The data centre of the endpoint.
    pub data_centre: String,
    /// Address to serve on; port 0 lets the system choose.
    pub address: SocketAddr,
    /// Address for fault injection and the ground truth.
    pub admin_address: SocketAddr,
    /// Number of calls the service is designed to run concurrently.
    pub slots: u32,
    /// Run time of a call.
    pub work_ms: u64,
    /// Age of the state shown in load reports.
    pub load_lag_ms: u64,
    /// Whether to refuse orders with a stale fencing number.
    pub checks_fencing: bool,
    /// Whether to refuse orders for another incarnation.
    pub checks_incarnation: bool,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: String::from("service"),
            data_centre: String::from("dc"),
            address: any_port,
            admin_address: any_port,
            slots: 8,
            work_ms: 20,
            load_lag_ms: 300,
            checks_fencing: true,
            checks_incarnation: true,
        }
    }
}

/// Ground truth of a service stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTruth {
    /// The current incarnation.
    pub incarnation: u64,
    /// Number of calls running now.
    pub running: u64,
    /// Calls that arrived completely.
    pub arrived: u64,
    /// Calls refused before they started.
    pub refused: u64,
    /// Calls that started.
    pub started: u64,
    /// Calls that finished.
    pub finished: u64,
    /// Calls that started while all slots were busy.
    pub over_admitted: u64,
    /// Number of starts by idempotency key.
    pub runs_by_key: IndexMap<String, u64>,
    /// Number of starts by attempt.
    pub runs_by_attempt: IndexMap<String, u64>,
    /// Number of starts by operation.
    pub runs_by_operation: IndexMap<String, u64>,
    /// Ground truth about orders.
    pub orders: OrderTruth,
    /// Calls that started after the service was marked as leaving.
    pub leaving: LeavingTruth,
}

/// A running service stand-in.
pub type ServiceHandle = Handle<Service>;

/// A service stand-in.
#[derive(Debug)]
pub struct Service {
    options: ServiceOptions,
    control: Arc<ServerControl>,
    incarnation: u64,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    load: LoadLog,
    orders: OrderLog,
    leaving: LeavingLog,
    faults: Faults,
    truth: ServiceTruth,
}

/// Starts a service stand-in.
///
/// ```
/// use curranttrestle_standins::service::{ServiceOptions, start};
/// let service = start(ServiceOptions::default()).unwrap();
/// assert_eq!(service.truth().started, 0);
/// service.stop();
/// ```
///
/// # Errors
///
/// Returns an error when an address cannot be bound or a thread cannot be started.
pub fn start(options: ServiceOptions) -> Result<ServiceHandle> {
    let name = options.name.clone();
    let listen = ListenOptions {
        name: &name,
        address: options.address,
        admin_address: options.admin_address,
    };
    let handle = Handle::start(&listen, |control, _reopen| Service::new(options, control))?;
    let options = &handle.stand_in().options;
    log::info!(
        "event=service-start endpoint={} data_centre={} address={}",
        options.name,
        options.data_centre,
        handle.address()
    );
    Ok(handle)
}

impl Service {
    fn new(options: ServiceOptions, control: Arc<ServerControl>) -> Self {
        // A service has no model; its load reports show its name as the model.
        let orders = OrderLog::new(
            options.checks_fencing,
            options.checks_incarnation,
            &options.name,
        );
        let state = State {
            load: LoadLog::default(),
            orders,
            leaving: LeavingLog::default(),
            faults: Faults::new(options.load_lag_ms),
            truth: ServiceTruth::default(),
        };
        Self {
            options,
            control,
            incarnation: unix_ms(),
            state: Mutex::new(state),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Executes a stop order: aborts the running calls and refuses connections from then on.
    fn stop(&self, state: &mut State) {
        let unix_ms = unix_ms();
        let aborted = state.load.len() as u64;
        state.orders.record_stop(unix_ms, aborted);
        log::info!(
            "event=service-stop endpoint={} cut_calls={aborted}",
            self.options.name
        );
        self.control.close_after_delay();
    }
}

impl StandIn for Service {
    type Fault = ServiceFault;
    type Truth = ServiceTruth;

    async fn handle(self: &Arc<Self>, request: Request) -> Reply {
        handlers::handle(self, request).await
    }

    fn inject(self: &Arc<Self>, fault: ServiceFault) {
        log::info!(
            "event=service-fault endpoint={} fault={fault:?}",
            self.options.name
        );
        let mut state = self.state();
        match fault {
            ServiceFault::Freeze => self.control.set_frozen(true),
            ServiceFault::SilenceConnections => self.control.silence_connections(),
            ServiceFault::CloseBeforeReading { count } => {
                self.control.close_next_connections(count);
            }
            ServiceFault::Leaving => state.leaving.mark(unix_ms()),
            ServiceFault::Heal => {
                state.faults = Faults::new(self.options.load_lag_ms);
                self.control.close_next_connections(0);
                self.control.set_frozen(false);
            }
            setting => state.faults.set(&setting),
        }
    }

    fn truth(&self) -> ServiceTruth {
        let state = self.state();
        ServiceTruth {
            incarnation: self.incarnation,
            running: state.load.len() as u64,
            orders: state.orders.truth.clone(),
            leaving: state.leaving.truth.clone(),
            ..state.truth.clone()
        }
    }
}
