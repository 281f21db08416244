//! Runs three daemons with embedded stand-ins for the platform and the leafs, sends queries and checks
//! their outcomes.

mod client;
mod error;
mod fleet;
mod show;
mod steps;

use std::process::ExitCode;

use bpaf::Bpaf;
use tokio::runtime::Runtime;

use crate::error::QuickstartError;
use crate::fleet::Fleet;

/// Starts three daemons and stand-ins for the platform and the leafs on loopback ports, sends queries
/// and prints the answers.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Keep everything running until Ctrl-C and print commands to try
    keep: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> Result<(), QuickstartError> {
    let runtime = Runtime::new().map_err(QuickstartError::Runtime)?;
    runtime.block_on(async {
        let fleet = Fleet::start().await?;
        show::fleet(&fleet);
        let result = steps::run_all(&fleet).await;
        if options.keep && result.is_ok() {
            show::commands(&fleet);
            tokio::signal::ctrl_c()
                .await
                .map_err(QuickstartError::Runtime)?;
        }
        fleet.shutdown().await;
        result
    })
}
