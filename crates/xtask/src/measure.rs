//! Measures the whole system on loopback.
//!
//! The fakes and the load generator run in this process, each daemon in a child process. This keeps
//! the daemons' processor time separate from that of the fakes and the generator, and a restart
//! closes connections as it does in production.

mod cost;
mod daemon_process;
mod error;
mod fleet;
mod load;
mod report;
mod steady;
mod transient;
mod usage;

#[cfg(test)]
mod tests;

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

use bpaf::Bpaf;
use tokio::runtime::{Builder, Handle, Runtime};

pub(crate) use self::error::MeasureError;
use self::report::Report;

/// Options of a measurement.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct MeasureOptions {
    /// Seed of all arrival schedules
    #[bpaf(long, argument("NUMBER"), fallback(1), display_fallback)]
    seed: u64,
    /// Runs only the scenario of this name
    #[bpaf(long, argument("NAME"))]
    only: Option<String>,
}

/// Inputs shared by all scenarios.
#[derive(Debug)]
struct Context {
    seed: u64,
    /// Runtime of the fakes; separate, so that the generator's work does not delay their replies.
    fakes: Handle,
    /// The `medlarpind` program.
    program: PathBuf,
    /// Directory of the daemons' settings and logs.
    directory: PathBuf,
}

/// Runs the scenarios and prints their tables to standard output.
pub(crate) fn run(options: &MeasureOptions) -> Result<(), MeasureError> {
    let target = target_directory()?;
    build_daemon()?;
    let directory = target.join("measure");
    std::fs::create_dir_all(&directory)?;
    let fakes = runtime("fakes")?;
    let generator = runtime("load")?;
    let context = Context {
        seed: options.seed,
        fakes: fakes.handle().clone(),
        program: target.join("release").join("medlarpind"),
        directory,
    };
    let started_at = Instant::now();
    println!("{}", report::preamble(options.seed));
    let result = generator.block_on(run_scenarios(&context, options.only.as_deref()));
    println!(
        "Total time: {:.0} s.",
        started_at.elapsed().as_secs_f64().round()
    );
    result
}

async fn run_scenarios(context: &Context, only: Option<&str>) -> Result<(), MeasureError> {
    macro_rules! scenarios {
        ($($name:literal => $run:path),+ $(,)?) => {
            $(
                if only.is_none_or(|only| only == $name) {
                    eprintln!("measure: {}", $name);
                    let report: Report = $run(context).await?;
                    println!("{report}");
                }
            )+
        };
    }
    scenarios! {
        "steady" => steady::steady,
        "straggler" => steady::straggler,
        "loud-neighbour" => steady::loud_neighbour,
        "canary" => steady::canary,
        "overload" => transient::overload,
        "rolling-restart" => transient::rolling_restart,
        "cost" => cost::cost,
    }
    Ok(())
}

fn runtime(name: &str) -> Result<Runtime, MeasureError> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(3).thread_name(name).enable_all();
    Ok(builder.build()?)
}

/// Builds the daemon in release mode, since `cargo run` builds only this crate's programs.
fn build_daemon() -> Result<(), MeasureError> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let status = Command::new(cargo)
        .args(["build", "--release", "-j", "3", "--package", "daemon"])
        .args(["--bin", "medlarpind"])
        .status()?;
    if status.success() {
        Ok(())
    } else {
        Err(MeasureError::Build(status))
    }
}

/// Returns the directory that holds `release/xtask`.
fn target_directory() -> Result<PathBuf, MeasureError> {
    let program = std::env::current_exe()?;
    let target = program.ancestors().nth(2).map(Path::to_path_buf);
    target.ok_or(MeasureError::TargetDirectory(program))
}
