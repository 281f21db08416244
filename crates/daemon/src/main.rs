//! The `medlarpind` program.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;
use daemon::logging::LoggingError;
use daemon::{Daemon, StartError, logging};
use displaydoc::Display;
use medlarpin_core::prelude::*;
use settings::SettingsError;
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

/// Exit code for a failure at the start.
const EXIT_START: u8 = 1;

/// Searches many shards on behalf of teams.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings file in JSON with comments
    #[bpaf(long, argument("FILE"))]
    settings: PathBuf,
}

/// Why the program ended with an error.
#[derive(Debug, Display, Error)]
enum RunError {
    /// cannot read {path}: {source}
    Read {
        /// Path of the settings file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// {0}
    Settings(#[from] SettingsError),
    /// {0}
    Logging(#[from] LoggingError),
    /// cannot create the runtime or watch signals: {0}
    Runtime(std::io::Error),
    /// {0}
    Start(#[from] StartError),
}

fn main() -> ExitCode {
    let options = options().run();
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("medlarpind: {error}");
            ExitCode::from(match error {
                RunError::Read { .. } | RunError::Settings(_) => EXIT_SETTINGS,
                RunError::Logging(_) | RunError::Runtime(_) | RunError::Start(_) => EXIT_START,
            })
        }
    }
}

fn run(options: &Options) -> Result<(), RunError> {
    let path = options.settings.display().to_string();
    let text = std::fs::read_to_string(&options.settings).map_err(|source| RunError::Read {
        path: path.clone(),
        source,
    })?;
    let settings = settings::parse_daemon(&text, &path)?;
    logging::install(&settings.logs)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(RunError::Runtime)?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(RunError::Runtime)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(RunError::Runtime)?;
        let daemon = Daemon::start(settings, Arc::new(SystemClock)).await?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        daemon.shutdown().await;
        Ok(())
    })
}
