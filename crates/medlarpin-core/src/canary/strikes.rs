use std::collections::BTreeMap;
use std::time::Instant;

use super::QUARANTINE_DURATION;
use crate::ids::{Fingerprint, LeafId, RequestId};

/// Most fingerprints with strikes; only canaries cause strikes, so an attacker needs a crash each.
pub(super) const STRUCK_MAX: usize = 4_096;

/// A connection that was lost while its leaf ran the canary of one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Strike {
    leaf: LeafId,
    request: RequestId,
    at: Instant,
}

/// Strikes of one fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Entry {
    /// Key in the order of insertion.
    number: u64,
    /// The newest strikes, at most two, oldest first. The strikes of an entry share either their
    /// leaf or their request, else it would be quarantined. Two represent all: a further strike that
    /// differs in leaf and request from any of them also does so from one of the two.
    strikes: Vec<Strike>,
}

/// Strikes of fingerprints that are not quarantined.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct StrikeTable {
    entries: BTreeMap<Fingerprint, Entry>,
    /// The same entries by the number of their newest strike, so that the oldest can be found.
    by_number: BTreeMap<u64, Fingerprint>,
    next_number: u64,
}

impl StrikeTable {
    /// Adds a strike; returns true if it completes two on distinct leafs for distinct requests.
    pub(super) fn add(
        &mut self,
        fingerprint: Fingerprint,
        leaf: &LeafId,
        request: RequestId,
        now: Instant,
    ) -> bool {
        let mut strikes = self.remove(fingerprint);
        strikes.retain(|strike| now < strike.at + QUARANTINE_DURATION);
        let completes = |strike: &Strike| strike.leaf != *leaf && strike.request != request;
        if strikes.iter().any(completes) {
            return true;
        }
        let is_known = |strike: &Strike| strike.leaf == *leaf && strike.request == request;
        if !strikes.iter().any(is_known) {
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

    /// Returns the leafs of the strikes that still count.
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
        if self.entries.len() >= STRUCK_MAX
            && let Some((_, oldest)) = self.by_number.pop_first()
        {
            self.entries.remove(&oldest);
        }
        let number = self.next_number;
        self.next_number += 1;
        self.by_number.insert(number, fingerprint);
        self.entries.insert(fingerprint, Entry { number, strikes });
    }

    fn remove(&mut self, fingerprint: Fingerprint) -> Vec<Strike> {
        let Some(entry) = self.entries.remove(&fingerprint) else {
            return Vec::new();
        };
        self.by_number.remove(&entry.number);
        entry.strikes
    }
}
