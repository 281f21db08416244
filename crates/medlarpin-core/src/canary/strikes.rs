use std::collections::BTreeMap;
use std::time::Instant;

use super::QUARANTINE_DURATION;
use crate::ids::{Fingerprint, LeafId, RequestId};

/// Maximum number of fingerprints with strikes. A flood of queries cannot fill the table, because
/// each entry takes a connection that was lost during a canary.
pub(super) const MAX_FINGERPRINTS: usize = 4_096;

/// Maximum number of strikes of one fingerprint; of further ones the oldest is dropped.
const STRIKES_MAX: usize = 8;

/// Loss of a leaf while it was running a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Strike {
    /// Run of the leaf.
    pub leaf: LeafId,
    /// The request, which is one attempt of its caller.
    pub request: RequestId,
    /// Fingerprint of the request at the service of the leaf. An answer of that service clears the strike.
    pub origin: Fingerprint,
    /// Latest time at which the leaf is known to have lived before the request could end it: the request was
    /// sent later, or nothing was heard of the leaf later.
    pub intact_at: Instant,
    /// Time at which the loss was noticed; at or after `intact_at`.
    pub lost_at: Instant,
}

impl Strike {
    /// Returns true if the two strikes show that the requests are at fault: both their leafs and requests
    /// differ, and one leaf lived on after the other one was lost. Something else may end several leafs at one
    /// time, and with them all that they run.
    #[must_use]
    pub fn is_independent_of(&self, other: &Self) -> bool {
        let is_distinct = self.leaf != other.leaf && self.request != other.request;
        is_distinct && (self.intact_at >= other.lost_at || other.intact_at >= self.lost_at)
    }

    fn counts_at(&self, now: Instant) -> bool {
        now < self.lost_at + QUARANTINE_DURATION
    }
}

/// Strikes of one fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Entry {
    /// Sequence number of the latest insertion.
    sequence: u64,
    /// The newest strikes, oldest first; at most [`STRIKES_MAX`]. No two of them are independent, because
    /// otherwise the fingerprint would be quarantined.
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
    /// Adds a strike; returns true if it is independent of another one.
    ///
    /// In that case the entry is removed, because the caller quarantines the fingerprint.
    pub(super) fn add(&mut self, fingerprint: Fingerprint, strike: Strike, now: Instant) -> bool {
        let mut strikes = self.remove(fingerprint);
        strikes.retain(|known| known.counts_at(now));
        if strikes.iter().any(|known| strike.is_independent_of(known)) {
            return true;
        }
        let is_duplicate =
            |known: &Strike| known.leaf == strike.leaf && known.request == strike.request;
        if !strikes.iter().any(is_duplicate) {
            if strikes.len() >= STRIKES_MAX {
                strikes.remove(0);
            }
            strikes.push(strike);
        }
        self.insert(fingerprint, strikes);
        false
    }

    /// Removes the strikes of one origin.
    pub(super) fn clear_origin(&mut self, fingerprint: Fingerprint, origin: Fingerprint) {
        let mut strikes = self.remove(fingerprint);
        strikes.retain(|strike| strike.origin != origin);
        if !strikes.is_empty() {
            self.insert(fingerprint, strikes);
        }
    }

    pub(super) fn clear(&mut self, fingerprint: Fingerprint) {
        self.remove(fingerprint);
    }

    /// Returns the strikes that have not expired, oldest first.
    pub(super) fn strikes(
        &self,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> impl Iterator<Item = &Strike> {
        let entry = self.entries.get(&fingerprint).into_iter();
        let strikes = entry.flat_map(|entry| &entry.strikes);
        strikes.filter(move |strike| strike.counts_at(now))
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
