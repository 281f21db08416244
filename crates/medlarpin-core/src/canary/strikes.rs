use std::collections::BTreeMap;
use std::time::Instant;

use super::QUARANTINE_DURATION;
use crate::ids::{Fingerprint, LeafId, RequestId};

/// Maximum number of fingerprints with strikes. A flood of queries cannot fill the table, because
/// each entry takes a connection that was lost during a canary.
pub(super) const MAX_FINGERPRINTS: usize = 4_096;

/// Loss of a connection while its leaf ran the canary of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Strike {
    leaf: LeafId,
    request: RequestId,
    at: Instant,
}

/// Strikes of one fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Entry {
    /// Sequence number of the latest insertion.
    sequence: u64,
    /// The two newest strikes at most, oldest first.
    ///
    /// All strikes of an entry have either their leaf or their request in common, because otherwise
    /// the fingerprint would be quarantined. So two are enough: a new strike that differs in leaf
    /// and request from any earlier one also differs in both from one of the two.
    strikes: Vec<Strike>,
}

/// Strikes of fingerprints that are not quarantined.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct StrikeTable {
    entries: BTreeMap<Fingerprint, Entry>,
    /// The same entries by sequence number, to find the oldest one.
    by_sequence: BTreeMap<u64, Fingerprint>,
    next_sequence: u64,
}

impl StrikeTable {
    /// Adds a strike; returns true if it is the second on a distinct leaf and for a distinct
    /// request.
    ///
    /// In that case the entry is removed, because the caller quarantines the fingerprint.
    pub(super) fn add(
        &mut self,
        fingerprint: Fingerprint,
        leaf: &LeafId,
        request: RequestId,
        now: Instant,
    ) -> bool {
        let mut strikes = self.remove(fingerprint);
        strikes.retain(|strike| now < strike.at + QUARANTINE_DURATION);
        let differs_in_both = |strike: &Strike| strike.leaf != *leaf && strike.request != request;
        if strikes.iter().any(differs_in_both) {
            return true;
        }
        let is_duplicate = |strike: &Strike| strike.leaf == *leaf && strike.request == request;
        if !strikes.iter().any(is_duplicate) {
            if strikes.len() == 2 {
                strikes.remove(0);
            }
            strikes.push(Strike {
                leaf: leaf.clone(),
                request,
                at: now,
            });
        }
        self.insert(fingerprint, strikes);
        false
    }

    pub(super) fn clear(&mut self, fingerprint: Fingerprint) {
        self.remove(fingerprint);
    }

    /// Returns the leafs of the strikes that have not expired, sorted.
    pub(super) fn leafs(&self, fingerprint: Fingerprint, now: Instant) -> Vec<LeafId> {
        let mut leafs: Vec<_> = self
            .entries
            .get(&fingerprint)
            .into_iter()
            .flat_map(|entry| &entry.strikes)
            .filter(|strike| now < strike.at + QUARANTINE_DURATION)
            .map(|strike| strike.leaf.clone())
            .collect();
        leafs.sort();
        leafs.dedup();
        leafs
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    fn insert(&mut self, fingerprint: Fingerprint, strikes: Vec<Strike>) {
        if self.entries.len() >= MAX_FINGERPRINTS
            && let Some((_, oldest)) = self.by_sequence.pop_first()
        {
            self.entries.remove(&oldest);
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.by_sequence.insert(sequence, fingerprint);
        self.entries
            .insert(fingerprint, Entry { sequence, strikes });
    }

    fn remove(&mut self, fingerprint: Fingerprint) -> Vec<Strike> {
        let Some(entry) = self.entries.remove(&fingerprint) else {
            return Vec::new();
        };
        self.by_sequence.remove(&entry.sequence);
        entry.strikes
    }
}
