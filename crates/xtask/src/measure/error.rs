//! Errors of the measurement.

use std::path::PathBuf;
use std::process::ExitStatus;

use displaydoc::Display;
use stand_ins::prelude::DeploymentError;
use thiserror::Error;
use tokio::task::JoinError;

/// Why a measurement failed.
#[derive(Debug, Display, Error)]
pub(crate) enum MeasureError {
    /// {0}
    Io(#[from] std::io::Error),
    /// building the daemon failed with {0}
    Build(ExitStatus),
    /// cannot derive the target directory from the path of this program: {0}
    TargetDirectory(PathBuf),
    /// cannot start the fakes: {0}
    Deployment(#[from] DeploymentError),
    /// a background task did not complete: {0}
    Task(#[from] JoinError),
    /// {daemon} was not {state} within {timeout_s} s
    Timeout {
        /// Name of the daemon.
        daemon: String,
        /// State that was awaited, as an adjective.
        state: &'static str,
        /// Longest wait in seconds.
        timeout_s: u64,
    },
    /// cannot parse the processor time of process {0}
    ProcessorTime(u32),
    /// {0} is not running or does not answer on its operator address
    Operator(String),
    /// cannot send SIGTERM to process {0}
    Signal(u32),
    /// cannot create the latency histogram: {0}
    Histogram(#[from] hdrhistogram::CreationError),
}
