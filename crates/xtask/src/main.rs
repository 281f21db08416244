//! Development tasks of this repository, run as `cargo xtask <task>`.

mod capacity;
mod codegen;
mod measure;

use std::process::ExitCode;

use bpaf::Bpaf;
use displaydoc::Display;
use thiserror::Error;

/// Runs development tasks of this repository.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Task {
    /// Measures the whole system on loopback and prints tables in Markdown
    #[bpaf(command)]
    Measure(#[bpaf(external(measure::measure_options))] measure::MeasureOptions),
    /// Measures how a daemon's costs grow with size, for docs/CAPACITY.md
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity::options))] capacity::Options),
    /// Generates the Rust code of the RPC schema; needs capnp and capnpc-rust
    #[bpaf(command)]
    Codegen,
}

/// Why a task failed.
#[derive(Debug, Display, Error)]
enum TaskError {
    /// measure: {0}
    Measure(#[from] measure::MeasureError),
    /// capacity: {0}
    Capacity(#[from] capacity::CapacityError),
    /// codegen: {0}
    Codegen(#[from] codegen::CodegenError),
}

fn main() -> ExitCode {
    match run(&task().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xtask: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(task: &Task) -> Result<(), TaskError> {
    match task {
        Task::Measure(options) => measure::run(options)?,
        Task::Capacity(options) => capacity::run(options)?,
        Task::Codegen => codegen::run()?,
    }
    Ok(())
}
