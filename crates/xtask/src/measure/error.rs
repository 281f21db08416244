//! Why a measurement cannot be made.

use std::path::PathBuf;
use std::process::ExitStatus;

use displaydoc::Display;
use stand_ins::prelude::DeploymentError;
use thiserror::Error;
use tokio::task::JoinError;

/// Why a measurement cannot be made.
#[derive(Debug, Display, Error)]
pub(crate) enum MeasureError {
    /// {0}
    Io(#[from] std::io::Error),
    /// building the daemon ended with {0}
    Build(ExitStatus),
    /// no target directory above {0}
    TargetDirectory(PathBuf),
    /// cannot start the fakes: {0}
    Deployment(#[from] DeploymentError),
    /// a task ended early: {0}
    Task(#[from] JoinError),
    /// {daemon} did not reach this state within {bound_s} s: {state}
    Timeout {
        /// Name of the daemon.
        daemon: String,
        /// State awaited.
        state: &'static str,
        /// Longest wait.
        bound_s: u64,
    },
    /// cannot read the processor time of process {0}
    ProcessorTime(u32),
    /// {0} does not answer to operators
    Operator(String),
    /// cannot signal process {0}
    Signal(u32),
    /// the latency is out of the histogram's range
    Histogram(#[from] hdrhistogram::CreationError),
}
