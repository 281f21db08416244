use std::net::SocketAddr;

use displaydoc::Display;
use thiserror::Error;

/// Why the daemon could not start.
#[derive(Debug, Display, Error)]
pub enum RouterError {
    /// cannot listen for {clients} on {address}: {source}
    Listen {
        /// Who connects at this address, as the message names them.
        clients: &'static str,
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// cannot register the metrics: {0}
    Metrics(#[from] prometheus::Error),
}
