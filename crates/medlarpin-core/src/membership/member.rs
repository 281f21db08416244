//! One VM as seen by this daemon.

use std::time::Instant;

use crate::ids::{Incarnation, Revision, VmName};

/// State of a member; of two claims about one refutation the later variant wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// The member answers.
    Alive,
    /// A probe of the member failed; it is dead unless it refutes this in time.
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
    /// Incarnation of the daemon that the claim is about; 0 if it is not known.
    pub incarnation: Incarnation,
    /// Counter that the member raises to refute a suspicion.
    pub refutation: u32,
    /// Claimed state.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Returns true if the claim replaces the other one about the same VM.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.refutation, self.state)
    }
}

/// A listed VM other than the daemon's own.
#[derive(Debug, Clone)]
pub struct Member {
    pub(super) claim: MemberUpdate,
    /// When the member became suspect; set exactly while its state is `Suspect`.
    pub(super) suspect_since: Option<Instant>,
    /// Last failure of an RPC to the member; `None` after a later successful exchange.
    pub(super) failed_at: Option<Instant>,
    /// Newest VM list that this incarnation has acknowledged.
    pub(super) acknowledged: Revision,
    /// True if the VM list says that the VM is leaving.
    pub(super) leaving_by_list: bool,
}

impl Member {
    /// Creates a member that has not been heard of; it counts as alive until a probe fails.
    pub(super) fn unheard(vm: VmName) -> Self {
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

    /// Returns the winning claim about the member.
    #[must_use]
    pub fn claim(&self) -> &MemberUpdate {
        &self.claim
    }

    /// Returns the member's state by gossip.
    #[must_use]
    pub fn state(&self) -> MemberState {
        self.claim.state
    }

    /// Returns the known incarnation; `None` before the first sign of the member.
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
    /// A suspect member stays usable: another daemon's failed probe says little about the path from
    /// this one.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        let state_allows = matches!(self.state(), MemberState::Alive | MemberState::Suspect);
        state_allows && self.failed_at.is_none() && !self.leaving_by_list
    }

    /// Adopts a claim if it supersedes the current one; returns true if it did.
    pub(super) fn adopt(&mut self, claim: &MemberUpdate, now: Instant) -> bool {
        if !claim.supersedes(&self.claim) {
            return false;
        }
        if claim.incarnation > self.claim.incarnation {
            // A new process has acknowledged nothing yet, and the old one's failures are not its.
            self.acknowledged = Revision::default();
            self.failed_at = None;
        }
        // A newer suspicion follows a refutation of the older one, so its time starts anew.
        self.suspect_since = (claim.state == MemberState::Suspect).then_some(now);
        self.claim = claim.clone();
        true
    }
}
