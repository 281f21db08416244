//! The command-line tool for operators.
//!
//! It reads settings files, published configurations, logs, the platform's store and a daemon's
//! operator endpoint, and sends queries to a daemon's query endpoint as a caller does. It does not write shared state.

mod args;
mod check;
mod check_config;
mod check_files;
mod config_report;
mod error;
mod exit;
mod explain;
mod history;
mod http;
mod query;
mod reasons;
mod report;
mod router_status;
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
            eprintln!("medlarpin: {}", error.message_with_causes());
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
        Command::Check { format, files } => Ok(check::check(format, &files, json)),
        Command::CheckConfig(request) => {
            runtime.block_on(check_config::check_config(&request, json))
        }
        Command::Defaults { format } => Ok(check::defaults(format, json)),
        Command::History { request, files } => history::history(&request, &files, json),
        Command::Query(request) => runtime.block_on(query::query(&request, json)),
        Command::Status { operator_address } => {
            let state = runtime.block_on(state::fetch_state(operator_address))?;
            Ok(status::status(&state, json))
        }
        Command::Dump { operator_address } => {
            let state = runtime.block_on(state::fetch_state(operator_address))?;
            Ok(Report::from_json(state.value(), Exit::Success))
        }
        Command::Teams { operator_address } => {
            let state = runtime.block_on(state::fetch_state(operator_address))?;
            Ok(teams::teams(&state, json))
        }
        Command::Team {
            operator_address,
            name,
        } => {
            let state = runtime.block_on(state::fetch_state(operator_address))?;
            teams::team(&state, &name, json)
        }
        Command::Explain {
            operator_address,
            tree,
            subject,
        } => {
            let state = runtime.block_on(state::fetch_state(operator_address))?;
            explain::explain(&state, tree.as_deref(), &subject, json)
        }
    }
}

/// Writes the report to stdout. A closed pipe is not an error, since a reader such as `head` may stop
/// early.
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
