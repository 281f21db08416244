use std::collections::BTreeMap;
use std::time::Instant;

use super::PROVEN_TTL;
use crate::ids::Fingerprint;

/// Most proven fingerprints remembered; a forgotten one only costs another canary.
pub(super) const PROVEN_MAX: usize = 65_536;

/// Fingerprints that ran successfully a short time ago.
///
/// Trees and not sorted vectors: every query of a busy daemon inserts here with a random key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct ProvenSet {
    /// Number and time of the newest successful run.
    runs: BTreeMap<Fingerprint, (u64, Instant)>,
    /// The same entries by number, so that the oldest can be found.
    by_number: BTreeMap<u64, Fingerprint>,
    next_number: u64,
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
        if self.runs.len() >= PROVEN_MAX
            && let Some((_, oldest)) = self.by_number.pop_first()
        {
            self.runs.remove(&oldest);
        }
        self.runs.insert(fingerprint, (self.next_number, now));
        self.by_number.insert(self.next_number, fingerprint);
        self.next_number += 1;
    }

    pub(super) fn remove(&mut self, fingerprint: Fingerprint) {
        if let Some((number, _)) = self.runs.remove(&fingerprint) {
            self.by_number.remove(&number);
        }
    }
}
