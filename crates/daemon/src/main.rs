//! The `medlarpind` program.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;
use daemon::logging::LoggingError;
use daemon::{Daemon, StartError, logging};
use displaydoc::Display;
use medlarpin_core::prelude::*;
use router::{LogError, Router, RouterError};
use settings::{RouterSettings, SettingsError};
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for a settings file that is unreadable or invalid.
const EXIT_SETTINGS: u8 = 2;

/// Exit code for a failure at start-up.
const EXIT_START: u8 = 1;

/// Searches many shards on behalf of teams.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version(router::BUILD))]
enum Options {
    /// Serve the teams of the configuration service
    Teams {
        /// Settings file in JSON with comments
        #[bpaf(long, argument("FILE"))]
        settings: PathBuf,
    },
    /// Serve the routes that the platform publishes
    Routes {
        /// Settings file in JSON with comments, of the kind `router`
        #[bpaf(long, argument("FILE"))]
        platform: PathBuf,
    },
}

/// Why the program failed.
#[derive(Debug, Display, Error)]
enum RunError {
    /// cannot read {path}: {source}
    Read {
        /// Path of the settings file.
        path: String,
        /// Error from the operating system.
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
    /// {0}
    RouterLog(#[from] LogError),
    /// {0}
    Router(#[from] RouterError),
}

fn main() -> ExitCode {
    let options = options().run();
    let result = match &options {
        Options::Teams { settings } => serve_teams(settings),
        Options::Routes { platform } => serve_routes(platform),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("medlarpind: {error}");
            ExitCode::from(match error {
                RunError::Read { .. } | RunError::Settings(_) => EXIT_SETTINGS,
                RunError::Logging(_)
                | RunError::Runtime(_)
                | RunError::Start(_)
                | RunError::RouterLog(_)
                | RunError::Router(_) => EXIT_START,
            })
        }
    }
}

fn read_file(file: &Path) -> Result<(String, String), RunError> {
    let path = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|source| RunError::Read {
        path: path.clone(),
        source,
    })?;
    Ok((text, path))
}

fn serve_teams(file: &Path) -> Result<(), RunError> {
    let (text, path) = read_file(file)?;
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

fn read_router_settings(file: &Path) -> Result<RouterSettings, RunError> {
    let (text, path) = read_file(file)?;
    Ok(settings::parse_router(&text, &path)?)
}

/// Serves published routes on one thread, because each VM has only a share of one core.
fn serve_routes(file: &Path) -> Result<(), RunError> {
    let settings = read_router_settings(file)?;
    router::install_log(settings.log_lines_per_s)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let mut terminate = signal(SignalKind::terminate()).map_err(RunError::Runtime)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(RunError::Runtime)?;
        let mut reload = signal(SignalKind::hangup()).map_err(RunError::Runtime)?;
        let daemon = Router::start(settings, Arc::new(SystemClock)).await?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = reload.recv() => match read_router_settings(file) {
                    Ok(settings) => daemon.reload(settings),
                    Err(error) => daemon.reload_failed(&error),
                },
            }
        }
        daemon.shutdown().await;
        Ok(())
    })
}
