//! Runs one router process.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use curranttrestle::state::settings::Settings;
use curranttrestled::Daemon;
use flexi_logger::{DeferredNow, LogSpecification, Logger};
use log::LevelFilter;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Exit code for invalid command line arguments or settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Runs one router of a curranttrestle fleet.
///
/// SIGTERM and SIGINT start a graceful shutdown: the router accepts no new requests, finishes
/// those in flight and exits with code 0. Exit code 1: the router could not start, for example
/// because a listener could not be bound. Exit code 2: the settings are invalid.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Example: curranttrestled --settings examples/router.toml"
)]
struct Arguments {
    /// The settings file.
    #[arg(long, value_name = "FILE", required_unless_present = "check_settings")]
    settings: Option<PathBuf>,
    /// Check a settings file, print all findings and exit.
    #[arg(long, value_name = "FILE")]
    check_settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let check_only = arguments.check_settings.is_some();
    let Some(path) = arguments.check_settings.or(arguments.settings) else {
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    };
    let settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if check_only {
        println!("{}: no findings", path.display());
        return ExitCode::SUCCESS;
    }
    run(&settings)
}

fn read_settings(path: &std::path::Path) -> Result<Settings, String> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    Settings::parse(&path.display().to_string(), &text).map_err(|findings| findings.to_string())
}

fn run(settings: &Settings) -> ExitCode {
    // Libraries log warnings and errors only.
    let specification = LogSpecification::builder()
        .default(LevelFilter::Warn)
        .module("curranttrestle", settings.log.level)
        .module("curranttrestled", settings.log.level)
        .build();
    let logger = Logger::with(specification)
        .format(write_line)
        .log_to_stderr()
        .start();
    if let Err(error) = logger {
        eprintln!("cannot start the logger: {error}");
        return ExitCode::FAILURE;
    }
    set_traffic_threads(settings);
    let daemon = match Daemon::start(settings) {
        Ok(daemon) => daemon,
        Err(error) => {
            log::error!("kind=start-failed error={:?}", error.to_string());
            return ExitCode::FAILURE;
        }
    };
    println!(
        "callers={} operators={} peers={}",
        daemon.callers_addr(),
        daemon.operators_addr(),
        daemon.peers_addr()
    );
    match Signals::new([SIGTERM, SIGINT]) {
        Ok(mut signals) => {
            signals.forever().next();
            daemon.stop();
        }
        Err(error) => log::error!("kind=signals-failed error={:?}", error.to_string()),
    }
    daemon.join();
    ExitCode::SUCCESS
}

/// Sizes the global executor, which runs all traffic tasks, to the thread count in the settings.
fn set_traffic_threads(settings: &Settings) {
    let threads = settings.threads.traffic.max(1) as usize;
    let config = trillium_smol::async_global_executor::GlobalExecutorConfig::default()
        .with_min_threads(threads)
        .with_max_threads(threads);
    trillium_smol::async_global_executor::init_with_config(config);
}

/// Formats a log record as one line of `key=value` pairs.
fn write_line(
    writer: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &log::Record,
) -> std::io::Result<()> {
    write!(
        writer,
        "at={} level={} {}",
        now.format("%Y-%m-%dT%H:%M:%S%.3f"),
        record.level(),
        record.args()
    )
}
