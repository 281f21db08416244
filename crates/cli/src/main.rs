//! The operators' command-line tool.
//!
//! It reads settings files, a daemon's operators' endpoints and, as a caller, its query endpoint. It
//! writes no shared state.

mod args;
mod check;
mod check_files;
mod error;
mod exit;
mod explain;
mod history;
mod http;
mod query;
mod reasons;
mod report;
mod state;
mod status;
mod teams;

use std::io::{ErrorKind, Write};
use std::process::ExitCode;

use bpaf::Args;

use crate::args::{Command, Options};
use crate::error::CliError;
use crate::exit::Exit;
use crate::report::Report;

fn main() -> ExitCode {
    let options = match args::options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(100);
            let code = failure.exit_code();
            return if code == 0 {
                Exit::Success
            } else {
                Exit::Usage
            }
            .into();
        }
    };
    match run(options) {
        Ok(report) => print(&report).into(),
        Err(error) => {
            eprintln!("medlarpin: {}", error.full_text());
            error.exit().into()
        }
    }
}

fn run(options: Options) -> Result<Report, CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| CliError::Runtime { source })?;
    let json = options.json;
    match options.command {
        Command::Check { as_kind, files } => Ok(check::check(as_kind, &files, json)),
        Command::Defaults { as_kind } => Ok(check::defaults(as_kind, json)),
        Command::History { request, files } => history::history(&request, &files, json),
        Command::Query(request) => runtime.block_on(query::query(&request, json)),
        Command::Status { operator } => {
            let state = runtime.block_on(state::fetch(operator))?;
            Ok(status::status(&state, json))
        }
        Command::Dump { operator } => {
            let state = runtime.block_on(state::fetch(operator))?;
            Ok(Report::json(state.value(), Exit::Success))
        }
        Command::Teams { operator } => {
            let state = runtime.block_on(state::fetch(operator))?;
            Ok(teams::teams(&state, json))
        }
        Command::Team { operator, name } => {
            let state = runtime.block_on(state::fetch(operator))?;
            teams::team(&state, &name, json)
        }
        Command::Explain {
            operator,
            tree,
            subject,
        } => {
            let state = runtime.block_on(state::fetch(operator))?;
            explain::explain(&state, tree.as_deref(), &subject, json)
        }
    }
}

/// Writes the report; a reader that closes the pipe early is no failure.
fn print(report: &Report) -> Exit {
    let mut stdout = std::io::stdout().lock();
    let written = stdout
        .write_all(report.text().as_bytes())
        .and_then(|()| stdout.flush());
    match written {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            eprintln!("medlarpin: cannot write the output: {error}");
            Exit::Unreachable
        }
        _ => report.exit(),
    }
}
