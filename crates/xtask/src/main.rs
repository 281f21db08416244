//! Chores of the project: capacity figures.

mod capacity;

use std::process::ExitCode;

use bpaf::Bpaf;

/// Chores of the project.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Chore {
    /// Measures the slopes behind docs/CAPACITY.md
    #[bpaf(command("capacity"))]
    Capacity(#[bpaf(external(capacity::options))] capacity::Options),
}

fn main() -> ExitCode {
    let result = match chore().run() {
        Chore::Capacity(options) => capacity::run(&options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xtask: {error}");
            ExitCode::FAILURE
        }
    }
}
