//! Heartbeats, which two daemons send each other in an exchange.

use std::time::Duration;

use crate::ids::{Fingerprint, Revision};
use crate::membership::MemberUpdate;

/// Message of one side of an exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender's claim about itself.
    pub sender: MemberUpdate,
    /// Newest VM list that the sender has adopted; the receiver records it as an acknowledgement.
    pub vm_list_revision: Revision,
    /// Revision of the sender's settings tree.
    pub settings_revision: Revision,
    /// Digest of that tree.
    pub settings_digest: u64,
    /// Claims about members; a claim about the receiver comes first.
    pub updates: Vec<MemberUpdate>,
    /// Quarantined fingerprints and the time left of each quarantine.
    pub quarantines: Vec<(Fingerprint, Duration)>,
}

/// The parts of a heartbeat that come from other modules of the daemon.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HeartbeatContent {
    /// Newest VM list for which this daemon has closed its connections to the groups that it no
    /// longer holds.
    pub vm_list_revision: Revision,
    /// Revision of the settings tree in force.
    pub settings_revision: Revision,
    /// Digest of that tree.
    pub settings_digest: u64,
    /// Quarantined fingerprints and the time left of each quarantine.
    pub quarantines: Vec<(Fingerprint, Duration)>,
}
