use std::time::{Duration, Instant};

use super::QUARANTINE_DURATION;
use super::proven::ProvenSet;
use super::quarantines::{Quarantine, QuarantineList};
use super::strikes::{Strike, StrikeTable};
use crate::ids::{Fingerprint, LeafId, RequestId};

/// Maximum number of concurrent canaries of one daemon.
const MAX_RUNNING: usize = 4_096;
/// Time after which a canary without a reported outcome no longer blocks another one.
const CANARY_TIMEOUT: Duration = Duration::from_mins(1);

/// Decision on a request, based on its fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Clearance {
    /// The query ran successfully within [`PROVEN_TTL`](super::PROVEN_TTL): all shards may be sent.
    Proven,
    /// One shard must be sent first, after [`FingerprintTable::start_canary`].
    NeedsCanary,
    /// Another request runs the canary; wait for its outcome.
    CanaryRunning,
    /// The query must not run.
    Quarantined {
        /// Time at which the quarantine expires.
        until: Instant,
    },
}

/// State of the fingerprints of recent queries on one daemon.
///
/// Proven fingerprints, strikes, quarantines and running canaries have separate limits, so a flood
/// of distinct queries evicts proven fingerprints only and never a strike or a quarantine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct FingerprintTable {
    proven: ProvenSet,
    strikes: StrikeTable,
    quarantines: QuarantineList,
    /// Canaries in flight with their start times, sorted by fingerprint, at most [`MAX_RUNNING`].
    running: Vec<(Fingerprint, Instant)>,
}

impl FingerprintTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides whether a request with the fingerprint may run and whether it needs a canary.
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

    /// Starts a canary of the fingerprint if [`Self::check`] returns [`Clearance::NeedsCanary`].
    ///
    /// Returns false if the canary must not start now. The caller must report the outcome of a
    /// started canary by [`Self::canary_succeeded`], [`Self::strike`] or
    /// [`Self::canary_inconclusive`].
    pub fn start_canary(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        if self.check(fingerprint, now) != Clearance::NeedsCanary {
            return false;
        }
        if self.running.len() >= MAX_RUNNING {
            self.running
                .retain(|(_, start)| now < *start + CANARY_TIMEOUT);
        }
        match self.find_running(fingerprint) {
            Ok(index) => self.running[index].1 = now,
            Err(_) if self.running.len() >= MAX_RUNNING => return false,
            Err(index) => self.running.insert(index, (fingerprint, now)),
        }
        true
    }

    /// Records the success of a canary: marks the fingerprint as proven and clears its strikes.
    ///
    /// A quarantine stays in force, because another leaf may have crashed at the same time.
    pub fn canary_succeeded(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.canary_inconclusive(fingerprint);
        self.strikes.clear(fingerprint);
        self.proven.insert(fingerprint, now);
    }

    /// Returns true if a query with the fingerprint ran successfully within
    /// [`PROVEN_TTL`](super::PROVEN_TTL).
    #[must_use]
    pub fn is_proven(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.proven.contains(fingerprint, now)
    }

    /// Records that a query ran successfully but for some of its parts, which are named by fingerprints of
    /// their own.
    pub fn succeeded_in_part(
        &mut self,
        fingerprint: Fingerprint,
        missing: Vec<Fingerprint>,
        now: Instant,
    ) {
        self.proven.insert_in_part(fingerprint, missing, now);
    }

    /// Returns true if the part of a query ran successfully within [`PROVEN_TTL`](super::PROVEN_TTL).
    #[must_use]
    pub fn is_part_proven(
        &self,
        fingerprint: Fingerprint,
        part: Fingerprint,
        now: Instant,
    ) -> bool {
        self.proven.contains_part(fingerprint, part, now)
    }

    /// Records another successful run of a proven query, which renews its proof.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.proven.contains(fingerprint, now) {
            self.proven.insert(fingerprint, now);
        }
    }

    /// Records a canary that neither succeeded nor lost its connection, for example a refused or
    /// late one.
    pub fn canary_inconclusive(&mut self, fingerprint: Fingerprint) {
        if let Ok(index) = self.find_running(fingerprint) {
            self.running.remove(index);
        }
    }

    /// Records the loss of the connection to a leaf that was running the canary of a request;
    /// returns the quarantine if this starts one.
    ///
    /// Two strikes on distinct leafs and for distinct requests quarantine the fingerprint. Strikes
    /// with the same leaf or the same request do not show that the query is at fault: the failure
    /// of a failure domain takes several leafs from one request, or one leaf from several requests.
    pub fn strike(
        &mut self,
        fingerprint: Fingerprint,
        leaf: &LeafId,
        request: RequestId,
        now: Instant,
    ) -> Option<Quarantine> {
        let strike = Strike {
            leaf: leaf.clone(),
            request,
            origin: fingerprint,
            intact_at: now,
            lost_at: now,
        };
        self.add_strike(fingerprint, strike, now)
    }

    /// Records a strike of which more is known than of a lost canary; returns the quarantine if this starts
    /// one. See [`Strike::is_independent_of`].
    pub fn add_strike(
        &mut self,
        fingerprint: Fingerprint,
        strike: Strike,
        now: Instant,
    ) -> Option<Quarantine> {
        self.canary_inconclusive(fingerprint);
        self.proven.remove(fingerprint);
        if !self.strikes.add(fingerprint, strike, now) {
            return None;
        }
        let quarantine = Quarantine {
            fingerprint,
            until: now + QUARANTINE_DURATION,
        };
        self.quarantines.add(quarantine, now);
        Some(quarantine)
    }

    /// Forgets the strikes of a fingerprint, because a leaf answered such a query.
    pub fn clear_strikes(&mut self, fingerprint: Fingerprint) {
        self.strikes.clear(fingerprint);
    }

    /// Forgets the strikes of a fingerprint that have the origin, because a leaf of that service answered.
    pub fn clear_strikes_of(&mut self, fingerprint: Fingerprint, origin: Fingerprint) {
        self.strikes.clear_origin(fingerprint, origin);
    }

    /// Returns the strikes of a fingerprint, oldest first.
    pub fn strikes(&self, fingerprint: Fingerprint, now: Instant) -> impl Iterator<Item = &Strike> {
        self.strikes.strikes(fingerprint, now)
    }

    /// Returns the leafs that were lost while they ran canaries of the fingerprint, sorted.
    ///
    /// The next canary must avoid them: another strike on the same leaf could crash that leaf again
    /// without leading to a quarantine.
    #[must_use]
    pub fn leafs_with_strikes(&self, fingerprint: Fingerprint, now: Instant) -> Vec<LeafId> {
        let strikes = self.strikes.strikes(fingerprint, now);
        let mut leafs: Vec<LeafId> = strikes.map(|strike| strike.leaf.clone()).collect();
        leafs.sort();
        leafs.dedup();
        leafs
    }

    /// Merges quarantines received from peers; returns how many changed the table.
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

    /// Returns the number of proven fingerprints, fingerprints with strikes, quarantines and
    /// running canaries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.proven.len() + self.strikes.len() + self.quarantines.len() + self.running.len()
    }

    /// Returns true if no fingerprint has strikes or is quarantined.
    #[must_use]
    pub fn is_free_of_suspects(&self) -> bool {
        self.strikes.len() + self.quarantines.len() == 0
    }

    /// Returns true if the table has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn is_running(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.find_running(fingerprint)
            .is_ok_and(|index| now < self.running[index].1 + CANARY_TIMEOUT)
    }

    fn find_running(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.running
            .binary_search_by_key(&fingerprint, |(running, _)| *running)
    }
}
