//! Chores of this repository.

mod capacity;
mod codegen;
mod measure;

use std::process::ExitCode;

use bpaf::Bpaf;
use displaydoc::Display;
use thiserror::Error;

/// Runs chores of this repository.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Chore {
    /// Measures the whole system on loopback and prints tables in Markdown
    #[bpaf(command)]
    Measure(#[bpaf(external(measure::measure_options))] measure::MeasureOptions),
    /// Measures the slopes behind docs/CAPACITY.md
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity::options))] capacity::Options),
    /// Generates the code of the RPC schema; needs capnp and capnpc-rust
    #[bpaf(command)]
    Codegen,
}

/// Why a chore failed.
#[derive(Debug, Display, Error)]
enum ChoreError {
    /// measure: {0}
    Measure(#[from] measure::MeasureError),
    /// capacity: {0}
    Capacity(#[from] capacity::CapacityError),
    /// codegen: {0}
    Codegen(#[from] codegen::CodegenError),
}

fn main() -> ExitCode {
    match run(&chore().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xtask: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(chore: &Chore) -> Result<(), ChoreError> {
    match chore {
        Chore::Measure(options) => measure::run(options)?,
        Chore::Capacity(options) => capacity::run(options)?,
        Chore::Codegen => codegen::run()?,
    }
    Ok(())
}
