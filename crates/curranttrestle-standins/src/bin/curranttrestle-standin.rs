//! Runs one stand-in as a separate process.
//!
//! Prints one line, `kind=... name=... address=... admin=...`, and serves until it is killed.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use curranttrestle_standins::engine::{self, EngineOptions};
use curranttrestle_standins::platform::{self, PlatformOptions};
use curranttrestle_standins::server::StandIn;
use curranttrestle_standins::service::{self, ServiceOptions};
use curranttrestle_standins::{Handle, Result};

/// Runs a stand-in for the platform, a model engine or a plain service.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Example: curranttrestle-standin engine --listen 127.0.0.1:7101 --name engine-1"
)]
struct Arguments {
    #[command(subcommand)]
    kind: Kind,
}

#[derive(Debug, Subcommand)]
enum Kind {
    /// The platform's object API and instance list.
    Platform(PlatformArguments),
    /// A model engine.
    Engine(EngineArguments),
    /// A plain service.
    Service(ServiceArguments),
}

#[derive(Debug, Args)]
struct CommonArguments {
    /// Address to serve on; port 0 lets the system choose.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Admin address: POST /faults injects faults, GET /truth returns the ground truth.
    #[arg(long, default_value = "127.0.0.1:0")]
    admin_listen: SocketAddr,
    /// Name of the stand-in.
    #[arg(long, default_value = "standin")]
    name: String,
    /// Data centre the stand-in is located in.
    #[arg(long, default_value = "dc")]
    data_centre: String,
}

#[derive(Debug, Args)]
struct PlatformArguments {
    #[command(flatten)]
    common: CommonArguments,
    /// Delay before a change to the instance list becomes visible, in milliseconds.
    #[arg(long, default_value_t = PlatformOptions::default().instance_lag_ms)]
    instance_lag_ms: u64,
    /// Maximum number of writes per second.
    #[arg(long, default_value_t = PlatformOptions::default().writes_per_s)]
    writes_per_s: u32,
    /// Maximum number of reads per second.
    #[arg(long, default_value_t = PlatformOptions::default().reads_per_s)]
    reads_per_s: u32,
    /// Latency added to each call, in milliseconds.
    #[arg(long, default_value_t = PlatformOptions::default().delay_ms)]
    delay_ms: u64,
}

#[derive(Debug, Args)]
struct EngineArguments {
    #[command(flatten)]
    common: CommonArguments,
    /// Model that is loaded at start.
    #[arg(long, default_value = "model")]
    model: String,
    /// Number of requests the engine is designed to run concurrently.
    #[arg(long, default_value_t = EngineOptions::default().slots)]
    slots: u32,
    /// Time per token with a single running stream, in milliseconds.
    #[arg(long, default_value_t = EngineOptions::default().token_interval_ms)]
    token_interval_ms: f64,
    /// Increase of the time per token for each additional stream, as a fraction.
    #[arg(long, default_value_t = EngineOptions::default().batch_slowdown)]
    batch_slowdown: f64,
    /// Age of the state shown in load reports, in milliseconds.
    #[arg(long, default_value_t = EngineOptions::default().load_lag_ms)]
    load_lag_ms: u64,
    /// Downtime after a crash, in milliseconds.
    #[arg(long, default_value_t = EngineOptions::default().restart_ms)]
    restart_ms: u64,
    /// Accept orders with a stale fencing number.
    #[arg(long)]
    ignores_fencing: bool,
}

#[derive(Debug, Args)]
struct ServiceArguments {
    #[command(flatten)]
    common: CommonArguments,
    /// Number of calls the service is designed to run concurrently.
    #[arg(long, default_value_t = ServiceOptions::default().slots)]
    slots: u32,
    /// Run time of a call, in milliseconds.
    #[arg(long, default_value_t = ServiceOptions::default().work_ms)]
    work_ms: u64,
    /// Age of the state shown in load reports, in milliseconds.
    #[arg(long, default_value_t = ServiceOptions::default().load_lag_ms)]
    load_lag_ms: u64,
    /// Accept orders with a stale fencing number.
    #[arg(long)]
    ignores_fencing: bool,
}

fn main() -> ExitCode {
    match run(Arguments::parse().kind) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(kind: Kind) -> Result<()> {
    match kind {
        Kind::Platform(arguments) => run_platform(&arguments),
        Kind::Engine(arguments) => run_engine(&arguments),
        Kind::Service(arguments) => run_service(&arguments),
    }
}

fn run_platform(arguments: &PlatformArguments) -> Result<()> {
    let common = &arguments.common;
    let handle = platform::start(PlatformOptions {
        address: common.listen,
        admin_address: common.admin_listen,
        instance_lag_ms: arguments.instance_lag_ms,
        writes_per_s: arguments.writes_per_s,
        reads_per_s: arguments.reads_per_s,
        delay_ms: arguments.delay_ms,
        ..PlatformOptions::default()
    })?;
    serve("platform", common, &handle)
}

fn run_engine(arguments: &EngineArguments) -> Result<()> {
    let common = &arguments.common;
    let handle = engine::start(EngineOptions {
        name: common.name.clone(),
        data_centre: common.data_centre.clone(),
        model: arguments.model.clone(),
        address: common.listen,
        admin_address: common.admin_listen,
        slots: arguments.slots,
        token_interval_ms: arguments.token_interval_ms,
        batch_slowdown: arguments.batch_slowdown,
        load_lag_ms: arguments.load_lag_ms,
        restart_ms: arguments.restart_ms,
        checks_fencing: !arguments.ignores_fencing,
        ..EngineOptions::default()
    })?;
    serve("engine", common, &handle)
}

fn run_service(arguments: &ServiceArguments) -> Result<()> {
    let common = &arguments.common;
    let handle = service::start(ServiceOptions {
        name: common.name.clone(),
        data_centre: common.data_centre.clone(),
        address: common.listen,
        admin_address: common.admin_listen,
        slots: arguments.slots,
        work_ms: arguments.work_ms,
        load_lag_ms: arguments.load_lag_ms,
        checks_fencing: !arguments.ignores_fencing,
        ..ServiceOptions::default()
    })?;
    serve("service", common, &handle)
}

/// Prints the addresses of the stand-in and blocks until the process is killed.
fn serve<S: StandIn>(kind: &str, common: &CommonArguments, handle: &Handle<S>) -> Result<()> {
    let mut output = std::io::stdout();
    let line = format!(
        "kind={kind} name={} address={} admin={}",
        common.name,
        handle.address(),
        handle.admin_address()
    );
    let written = writeln!(output, "{line}").and_then(|()| output.flush());
    if let Err(error) = written {
        eprintln!("cannot write the addresses to standard output: {error}");
    }
    loop {
        std::thread::park();
    }
}
