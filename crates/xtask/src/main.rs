//! Chores of this repository.

mod measure;

use std::process::ExitCode;

use bpaf::Bpaf;

use crate::measure::MeasureOptions;

/// Runs chores of this repository.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Measures the whole system on loopback and prints tables in Markdown
    #[bpaf(command)]
    Measure(#[bpaf(external(measure::measure_options))] MeasureOptions),
}

fn main() -> ExitCode {
    match command().run() {
        Command::Measure(options) => match measure::run(&options) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("measure: {error}");
                ExitCode::FAILURE
            }
        },
    }
}
