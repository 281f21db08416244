use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{FailureDomain, LeafId, ServiceName};

/// Lifecycle phase that a leaf publishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeafPhase {
    /// The leaf takes requests.
    Ready,
    /// The leaf is about to stop; new requests go to other leafs.
    Draining,
}

/// A leaf's published entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeafEntry {
    /// Identifier of the leaf.
    pub id: LeafId,
    /// Service that the leaf serves.
    pub service: ServiceName,
    /// Address of the leaf's HTTP listener; it may be reused by another leaf later.
    pub address: SocketAddr,
    /// Failure domain of the leaf's VM.
    pub failure_domain: FailureDomain,
    /// Number of requests that the leaf runs concurrently; at least 1.
    pub slots: u32,
    /// Lifecycle phase.
    pub phase: LeafPhase,
    /// Remaining warm-up time, during which the leaf answers slowly.
    pub warm_up_left: Duration,
    /// Start time of the leaf process, in milliseconds since the Unix epoch, if known.
    pub started_unix_ms: Option<u64>,
    /// Sequence number of the entry; increases within one run of the leaf process.
    pub sequence: u64,
}

impl LeafEntry {
    /// Identifies the process of the leaf: a leaf that starts again may keep its identifier.
    #[must_use]
    pub fn run_id(&self) -> LeafId {
        match self.started_unix_ms {
            Some(started_unix_ms) => LeafId::new(&format!("{}@{started_unix_ms}", self.id)),
            None => self.id.clone(),
        }
    }

    /// Returns true if both entries are of one run of a leaf, at the same address.
    #[must_use]
    pub fn is_of_same_process(&self, other: &Self) -> bool {
        self.id == other.id
            && self.address == other.address
            && self.service == other.service
            && self.started_unix_ms == other.started_unix_ms
    }

    /// Returns true if this entry was written after another entry of the same leaf.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        match (self.started_unix_ms, other.started_unix_ms) {
            (Some(start), Some(other_start)) if start != other_start => start > other_start,
            (Some(_), Some(_)) => self.sequence > other.sequence,
            // If a start time is unknown, the entry may be that of a restarted leaf.
            _ => true,
        }
    }

    /// Returns true if this entry is older than another entry of the same leaf.
    #[must_use]
    pub fn is_older_than(&self, other: &Self) -> bool {
        match (self.started_unix_ms, other.started_unix_ms) {
            (Some(start), Some(other_start)) if start != other_start => start < other_start,
            (Some(_), Some(_)) => self.sequence < other.sequence,
            // If a start time is unknown, a lower sequence may be that of a restarted leaf.
            _ => false,
        }
    }
}
