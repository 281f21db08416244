//! This daemon's view of one VM.

use std::time::Instant;

use crate::ids::{Incarnation, Revision, VmName};

/// State of a member.
///
/// Of two claims with the same incarnation and refutation counter, the later variant wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// The member responds to probes.
    Alive,
    /// A probe of the member failed; it is declared dead unless it refutes the suspicion in time.
    Suspect,
    /// The member has announced its shutdown.
    Leaving,
    /// The member did not refute a suspicion in time.
    Dead,
}

/// A claim about a member, spread by gossip.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberUpdate {
    /// Name of the VM.
    pub vm: VmName,
    /// Incarnation of the daemon that the claim is about; 0 if unknown.
    pub incarnation: Incarnation,
    /// Counter that the member increments to refute a suspicion.
    pub refutation: u32,
    /// Claimed state.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Returns true if the claim takes precedence over another one about the same VM.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.refutation, self.state)
    }
}

/// A VM of the VM list other than this daemon's own.
#[derive(Debug, Clone)]
pub struct Member {
    pub(super) claim: MemberUpdate,
    /// When the member became suspect; `Some` if and only if its state is `Suspect`.
    pub(super) suspect_since: Option<Instant>,
    /// Time of the first failed RPC to the member since the last successful exchange, or of the
    /// latest extra probe; `None` if no RPC failed since.
    pub(super) failed_at: Option<Instant>,
    /// Newest VM list that the known incarnation has acknowledged.
    pub(super) acknowledged: Revision,
    /// True if the VM list marks the VM as leaving.
    pub(super) leaving_by_list: bool,
}

impl Member {
    /// Creates a member about which there is no claim yet; it counts as alive until a probe fails.
    pub(super) fn new(vm: VmName) -> Self {
        Self {
            claim: MemberUpdate {
                vm,
                incarnation: Incarnation(0),
                refutation: 0,
                state: MemberState::Alive,
            },
            suspect_since: None,
            failed_at: None,
            acknowledged: Revision::default(),
            leaving_by_list: false,
        }
    }

    /// Returns the name of the VM.
    #[must_use]
    pub fn vm(&self) -> &VmName {
        &self.claim.vm
    }

    /// Returns the claim about the member that takes precedence over all others received.
    #[must_use]
    pub fn claim(&self) -> &MemberUpdate {
        &self.claim
    }

    /// Returns the member's state according to gossip.
    #[must_use]
    pub fn state(&self) -> MemberState {
        self.claim.state
    }

    /// Returns the incarnation, or `None` if no claim from the member has been received yet.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        Some(self.claim.incarnation).filter(|incarnation| incarnation.0 > 0)
    }

    /// Returns the newest VM list that the member has acknowledged.
    #[must_use]
    pub fn acknowledged(&self) -> Revision {
        self.acknowledged
    }

    /// Returns true if work may be routed to the member.
    ///
    /// A suspect member stays usable, because the failed probe of another daemon says little about
    /// the path from this one.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        let is_up = matches!(self.state(), MemberState::Alive | MemberState::Suspect);
        is_up && self.failed_at.is_none() && !self.leaving_by_list
    }

    /// Replaces the current claim by one that supersedes it; returns true if it was replaced.
    pub(super) fn adopt(&mut self, claim: &MemberUpdate, now: Instant) -> bool {
        if !claim.supersedes(&self.claim) {
            return false;
        }
        if claim.incarnation > self.claim.incarnation {
            // The claim is about a new process, which has acknowledged no list and failed no RPC.
            self.acknowledged = Revision::default();
            self.failed_at = None;
        }
        // A newer suspicion follows a refutation of the older one, so its timeout starts again.
        self.suspect_since = (claim.state == MemberState::Suspect).then_some(now);
        self.claim = claim.clone();
        true
    }
}
