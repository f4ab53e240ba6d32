//! The handle of a running stand-in.

use std::net::SocketAddr;
use std::sync::Arc;

use trillium_http::{Method, Status};

use super::{Port, Reply, Request, Result, Runtime, ServerControl, StandIn};

/// A running stand-in. It stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle<S: StandIn> {
    address: SocketAddr,
    admin_address: SocketAddr,
    stand_in: Arc<S>,
    controls: [Arc<ServerControl>; 2],
    runtime: Runtime,
}

/// The thread name and the addresses of a stand-in.
#[derive(Clone, Debug)]
pub(crate) struct ListenOptions<'a> {
    /// Name of the stand-in's thread.
    pub(crate) name: &'a str,
    /// Address to serve on.
    pub(crate) address: SocketAddr,
    /// Address for fault injection and the ground truth.
    pub(crate) admin_address: SocketAddr,
}

/// Lets a stand-in reopen its listener after a crash.
#[derive(Debug)]
pub(crate) struct Reopener {
    control: Arc<ServerControl>,
    port: Port,
}

impl Reopener {
    /// Accepts connections on the stand-in's address again.
    pub(crate) async fn open<S: StandIn>(&self, stand_in: Arc<S>) {
        let listener = self.port.relisten().await;
        listen(&self.control, listener, stand_in);
    }
}

impl<S: StandIn> Handle<S> {
    /// Starts a stand-in. `build` creates it from the control of its connections and the reopener
    /// of its listener.
    pub(crate) fn start(
        listen_at: &ListenOptions<'_>,
        build: impl FnOnce(Arc<ServerControl>, Reopener) -> S,
    ) -> Result<Self> {
        let runtime = Runtime::start(listen_at.name)?;
        let port = Port::reserve(listen_at.address)?;
        let admin_port = Port::reserve(listen_at.admin_address)?;
        let (address, admin_address) = (port.address(), admin_port.address());
        let listener = port.listen()?;
        let admin_listener = admin_port.listen()?;
        let control = Arc::new(ServerControl::new(runtime.spawner()));
        let reopen = Reopener {
            control: Arc::clone(&control),
            port,
        };
        let stand_in = Arc::new(build(Arc::clone(&control), reopen));
        listen(&control, listener, Arc::clone(&stand_in));
        let admin_stand_in = Arc::clone(&stand_in);
        let admin_control = Arc::new(ServerControl::new(runtime.spawner()));
        admin_control.listen(admin_listener, move |request| {
            let reply = handle_admin(&admin_stand_in, &request);
            async move { reply }
        });
        Ok(Self {
            address,
            admin_address,
            stand_in,
            controls: [control, admin_control],
            runtime,
        })
    }

    /// Address the stand-in serves on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Admin address: `POST /faults` injects faults, `GET /truth` returns the ground truth.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Injects a fault, or ends one.
    pub fn inject(&self, fault: S::Fault) {
        self.stand_in.inject(fault);
    }

    /// Returns the ground truth.
    #[must_use]
    pub fn truth(&self) -> S::Truth {
        self.stand_in.truth()
    }

    /// The stand-in itself.
    #[must_use]
    pub fn stand_in(&self) -> &Arc<S> {
        &self.stand_in
    }

    /// Stops the stand-in and closes its connections.
    pub fn stop(self) {
        drop(self);
    }
}

impl<S: StandIn> Drop for Handle<S> {
    fn drop(&mut self) {
        for control in &self.controls {
            control.stop_listening();
        }
        self.runtime.stop();
    }
}

fn listen<S: StandIn>(
    control: &Arc<ServerControl>,
    listener: smol::net::TcpListener,
    stand_in: Arc<S>,
) {
    control.listen(listener, move |request| {
        let stand_in = Arc::clone(&stand_in);
        async move { stand_in.handle(request).await }
    });
}

fn handle_admin<S: StandIn>(stand_in: &Arc<S>, request: &Request) -> Reply {
    let segments: Vec<&str> = request.segments.iter().map(String::as_str).collect();
    match (request.method, segments.as_slice()) {
        (Method::Get, ["truth"]) => Reply::json(Status::Ok, &stand_in.truth()),
        (Method::Post, ["faults"]) => match request.json() {
            Ok(fault) => {
                stand_in.inject(fault);
                Reply::empty(Status::NoContent)
            }
            Err(reply) => reply,
        },
        _ => Reply::empty(Status::NotFound),
    }
}
