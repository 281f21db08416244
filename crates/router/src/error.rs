use std::net::SocketAddr;

use displaydoc::Display;
use thiserror::Error;

/// Why the daemon could not start.
#[derive(Debug, Display, Error)]
pub enum RouterError {
    /// cannot listen to {what} at {address}: {source}
    Listen {
        /// Who would connect.
        what: &'static str,
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// cannot register the metrics: {0}
    Metrics(#[from] prometheus::Error),
}
