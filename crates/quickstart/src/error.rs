use std::net::SocketAddr;
use std::time::Duration;

use daemon::StartError;
use displaydoc::Display;
use settings::SettingsError;
use stand_ins::prelude::DeploymentError;
use thiserror::Error;

/// Why the quick start failed.
#[derive(Debug, Display, Error)]
pub(crate) enum QuickstartError {
    /// cannot create the runtime or listen for Ctrl-C: {0}
    Runtime(std::io::Error),
    /// cannot reserve a loopback port: {0}
    Port(std::io::Error),
    /// cannot start the stand-ins: {0}
    Deployment(#[from] DeploymentError),
    /// {0}
    Settings(#[from] SettingsError),
    /// cannot start a daemon: {0}
    Start(#[from] StartError),
    /// the daemons were not ready within {0:?}
    NotReady(Duration),
    /// {address} did not answer {path} with valid JSON in time
    NoAnswer {
        /// Address of a daemon's query endpoint.
        address: SocketAddr,
        /// Path of the request.
        path: &'static str,
    },
    /// {step}: expected {expected}, got {found}
    Unexpected {
        /// The step that failed.
        step: &'static str,
        /// What the step expects.
        expected: String,
        /// What the step found instead.
        found: String,
    },
}
