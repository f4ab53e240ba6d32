//! `trial`: runs a complete fleet in one process.

mod fleet;

use std::path::PathBuf;
use std::time::Duration;

use clap::Args;

use crate::error::CliError;
use fleet::{CUSTOMER_KEY, OPERATORS_TOKEN, TrialFleet};

/// Runs a complete fleet with stand-ins in this process, to try it out.
#[derive(Debug, Args)]
#[command(after_help = "Example: curranttrestle trial --seconds 600")]
pub struct Arguments {
    /// How long the fleet runs; if not given, it runs until it is interrupted.
    #[arg(long, value_name = "S")]
    seconds: Option<u64>,
    /// Where to write the fleet file for the other commands.
    #[arg(long, value_name = "FILE", default_value = "trial-fleet.toml")]
    fleet_file: PathBuf,
}

/// Starts a fleet of stand-ins and routers and prints how to call it.
pub async fn run(arguments: &Arguments) -> Result<(), CliError> {
    let fleet = TrialFleet::start()?;
    fleet.submit_sheet().await?;
    fleet.wait_until_ready().await?;
    fleet.write_fleet_file(&arguments.fleet_file)?;
    print_instructions(&fleet, &arguments.fleet_file);
    match arguments.seconds {
        Some(seconds) => {
            smol::Timer::after(Duration::from_secs(seconds)).await;
        }
        None => std::future::pending().await,
    }
    fleet.stop();
    Ok(())
}

fn print_instructions(fleet: &TrialFleet, fleet_file: &std::path::Path) {
    let callers = fleet.callers();
    println!("a fleet of three data centres is running in this process; press Ctrl-C to stop it");
    println!();
    println!("call a model through any router:");
    for address in &callers {
        println!("  http://{address}");
    }
    println!();
    println!(
        "curl -N -H 'Authorization: Bearer {CUSTOMER_KEY}' \
         -d '{{\"prompt\": \"the roof in Brest\", \"max_tokens\": 40}}' \
         http://{}/v1/operations/draft-report",
        callers[0]
    );
    println!();
    println!("show the events (the operators' token is {OPERATORS_TOKEN}):");
    println!("curranttrestle timeline --fleet {}", fleet_file.display());
}
