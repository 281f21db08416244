//! What two daemons tell each other in an exchange.

use std::time::Duration;

use crate::ids::{Fingerprint, Revision};
use crate::membership::MemberUpdate;

/// One side of an exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender's claim about itself.
    pub sender: MemberUpdate,
    /// Newest VM list that the sender has adopted; a receiver takes it as an acknowledgement.
    pub vm_list_revision: Revision,
    /// Revision of the settings tree that the sender holds.
    pub settings_revision: Revision,
    /// Digest of that tree.
    pub settings_digest: u64,
    /// Claims about members, those that concern the receiver first.
    pub updates: Vec<MemberUpdate>,
    /// Quarantined fingerprints with the time left.
    pub quarantines: Vec<(Fingerprint, Duration)>,
}

/// The parts of a heartbeat that other modules of the daemon know.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HeartbeatContent {
    /// Newest VM list whose displaced groups this daemon has closed.
    pub vm_list_revision: Revision,
    /// Revision of the settings tree in force.
    pub settings_revision: Revision,
    /// Digest of that tree.
    pub settings_digest: u64,
    /// Quarantined fingerprints with the time left.
    pub quarantines: Vec<(Fingerprint, Duration)>,
}
