use std::collections::BTreeMap;
use std::time::Instant;

use super::PROVEN_TTL;
use crate::ids::Fingerprint;

/// Maximum number of proven fingerprints; the eviction of one only costs another canary.
pub(super) const MAX_PROVEN: usize = 65_536;

/// Fingerprints of queries that ran successfully within [`PROVEN_TTL`].
///
/// Uses B-trees instead of sorted vectors, because every query of a busy daemon inserts a random
/// key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct ProvenSet {
    /// Sequence number and time of the latest successful run of each fingerprint.
    runs: BTreeMap<Fingerprint, (u64, Instant)>,
    /// The same entries by sequence number, to find the oldest one.
    by_sequence: BTreeMap<u64, Fingerprint>,
    next_sequence: u64,
}

impl ProvenSet {
    pub(super) fn contains(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.runs
            .get(&fingerprint)
            .is_some_and(|(_, ran_at)| now < *ran_at + PROVEN_TTL)
    }

    pub(super) fn len(&self) -> usize {
        self.runs.len()
    }

    pub(super) fn insert(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.remove(fingerprint);
        if self.runs.len() >= MAX_PROVEN
            && let Some((_, oldest)) = self.by_sequence.pop_first()
        {
            self.runs.remove(&oldest);
        }
        self.runs.insert(fingerprint, (self.next_sequence, now));
        self.by_sequence.insert(self.next_sequence, fingerprint);
        self.next_sequence += 1;
    }

    pub(super) fn remove(&mut self, fingerprint: Fingerprint) {
        if let Some((sequence, _)) = self.runs.remove(&fingerprint) {
            self.by_sequence.remove(&sequence);
        }
    }
}
