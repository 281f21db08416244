use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{FailureDomain, LeafId, ServiceName};

/// What a leaf has published about its readiness.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeafPhase {
    /// The leaf takes requests.
    Ready,
    /// The leaf is about to stop.
    Draining,
}

/// A leaf as it has published itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeafEntry {
    /// Identifier of the leaf.
    pub id: LeafId,
    /// Service that the leaf serves.
    pub service: ServiceName,
    /// Address of the leaf; another leaf may get it later.
    pub address: SocketAddr,
    /// Failure domain of the leaf's VM.
    pub failure_domain: FailureDomain,
    /// Requests that the leaf runs at the same time; at least 1.
    pub slots: u32,
    /// Whether the leaf takes requests.
    pub phase: LeafPhase,
    /// Time for which the leaf stays slow after its start.
    pub warm_up_left: Duration,
    /// Start of the process, in milliseconds since the Unix epoch, if it is known.
    pub started_unix_ms: Option<u64>,
    /// Number of the publication within one run of the process.
    pub sequence: u64,
}

impl LeafEntry {
    /// Returns true if this entry was published before the other one of the same leaf.
    #[must_use]
    pub fn is_older_than(&self, other: &Self) -> bool {
        match (self.started_unix_ms, other.started_unix_ms) {
            (Some(own), Some(others)) if own != others => own < others,
            (Some(_), Some(_)) => self.sequence < other.sequence,
            // Without both starts, a low sequence may be that of a restarted leaf.
            _ => false,
        }
    }
}
