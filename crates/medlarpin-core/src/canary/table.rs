use std::time::{Duration, Instant};

use super::QUARANTINE_DURATION;
use super::proven::ProvenSet;
use super::quarantines::{Quarantine, QuarantineList};
use super::strikes::StrikeTable;
use crate::ids::{Fingerprint, LeafId, RequestId};

/// Most canaries that run at once on one daemon.
const RUNNING_MAX: usize = 4_096;
/// Time after which a canary whose end was never reported no longer blocks others.
const RUNNING_FOR: Duration = Duration::from_mins(1);

/// What a request with some fingerprint may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Clearance {
    /// The query ran successfully a short time ago: all shards may be sent.
    Proven,
    /// One shard must be sent first, after [`FingerprintTable::start_canary`].
    NeedsCanary,
    /// Another request runs the canary: wait for its end.
    CanaryRunning,
    /// The query must not run.
    Quarantined {
        /// End of the quarantine.
        until: Instant,
    },
}

/// What a daemon knows about the fingerprints of recent queries.
///
/// Each part has its own bound, so a flood of distinct queries displaces proven fingerprints only
/// and never a strike or a quarantine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct FingerprintTable {
    proven: ProvenSet,
    strikes: StrikeTable,
    quarantines: QuarantineList,
    /// Canaries in flight with their start, sorted by fingerprint, at most [`RUNNING_MAX`].
    running: Vec<(Fingerprint, Instant)>,
}

impl FingerprintTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides what a request with the fingerprint may do.
    #[must_use]
    pub fn check(&self, fingerprint: Fingerprint, now: Instant) -> Clearance {
        if let Some(until) = self.quarantines.until(fingerprint, now) {
            Clearance::Quarantined { until }
        } else if self.proven.contains(fingerprint, now) {
            Clearance::Proven
        } else if self.is_running(fingerprint, now) {
            Clearance::CanaryRunning
        } else {
            Clearance::NeedsCanary
        }
    }

    /// Claims the canary of a fingerprint, if [`Self::check`] says that it needs one.
    ///
    /// Returns false if the canary must not start now. The caller must end a claimed canary with
    /// [`Self::canary_succeeded`], [`Self::strike`] or [`Self::canary_inconclusive`].
    pub fn start_canary(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        if self.check(fingerprint, now) != Clearance::NeedsCanary {
            return false;
        }
        if self.running.len() >= RUNNING_MAX {
            self.running.retain(|(_, start)| now < *start + RUNNING_FOR);
        }
        match self.find_running(fingerprint) {
            Ok(index) => self.running[index].1 = now,
            Err(_) if self.running.len() >= RUNNING_MAX => return false,
            Err(index) => self.running.insert(index, (fingerprint, now)),
        }
        true
    }

    /// Records that a canary ran well: the fingerprint is proven and its strikes are cleared.
    ///
    /// A quarantine stays, because another leaf may have crashed at the same time.
    pub fn canary_succeeded(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.canary_inconclusive(fingerprint);
        self.strikes.clear(fingerprint);
        self.proven.insert(fingerprint, now);
    }

    /// Records that a proven query ran well again, which keeps it proven.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.proven.contains(fingerprint, now) {
            self.proven.insert(fingerprint, now);
        }
    }

    /// Records that a canary ended without showing anything, for example refused or too late.
    pub fn canary_inconclusive(&mut self, fingerprint: Fingerprint) {
        if let Ok(index) = self.find_running(fingerprint) {
            self.running.remove(index);
        }
    }

    /// Records that the connection to a leaf was lost while it ran the canary of a request.
    ///
    /// Two strikes on distinct leafs for distinct requests quarantine the fingerprint. One lost
    /// failure domain costs one running request several leafs, and several requests one leaf, so
    /// neither alone shows that the query is at fault.
    pub fn strike(
        &mut self,
        fingerprint: Fingerprint,
        leaf: &LeafId,
        request: RequestId,
        now: Instant,
    ) -> Option<Quarantine> {
        self.canary_inconclusive(fingerprint);
        self.proven.remove(fingerprint);
        if !self.strikes.add(fingerprint, leaf, request, now) {
            return None;
        }
        let quarantine = Quarantine {
            fingerprint,
            until: now + QUARANTINE_DURATION,
        };
        self.quarantines.add(quarantine, now);
        Some(quarantine)
    }

    /// Returns the leafs that the fingerprint's canaries crashed, sorted.
    ///
    /// The next canary must avoid them: another strike on the same leaf would cost that leaf again
    /// and not lead to a quarantine.
    #[must_use]
    pub fn struck_leafs(&self, fingerprint: Fingerprint, now: Instant) -> Vec<LeafId> {
        self.strikes.leafs(fingerprint, now)
    }

    /// Takes over quarantines that peers have found; returns how many changed the table.
    pub fn merge_quarantines(&mut self, quarantines: &[Quarantine], now: Instant) -> usize {
        let mut changed = 0;
        for quarantine in quarantines {
            if self.quarantines.add(*quarantine, now) {
                changed += 1;
                self.proven.remove(quarantine.fingerprint);
                self.strikes.clear(quarantine.fingerprint);
            }
        }
        changed
    }

    /// Returns the quarantines in force, sorted by fingerprint.
    #[must_use]
    pub fn active_quarantines(&self, now: Instant) -> Vec<Quarantine> {
        self.quarantines.active(now).collect()
    }

    /// Returns the number of entries of all kinds.
    #[must_use]
    pub fn len(&self) -> usize {
        self.proven.len() + self.strikes.len() + self.quarantines.len() + self.running.len()
    }

    /// Returns true if there is no entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn is_running(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.find_running(fingerprint)
            .is_ok_and(|index| now < self.running[index].1 + RUNNING_FOR)
    }

    fn find_running(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.running
            .binary_search_by_key(&fingerprint, |(running, _)| *running)
    }
}
