use std::collections::BTreeMap;
use std::time::Instant;

use super::PROVEN_TTL;
use crate::ids::Fingerprint;

/// Maximum number of proven fingerprints; the eviction of one only costs another canary.
pub(super) const MAX_PROVEN: usize = 65_536;

/// A successful run of a fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ProvenRun {
    sequence: u64,
    at: Instant,
    /// Parts of the query that did not succeed, each with its latest success before; sorted, without
    /// duplicates.
    missing: Vec<(Fingerprint, Option<Instant>)>,
}

impl ProvenRun {
    /// Returns the latest success of a part.
    fn succeeded_at(&self, part: Fingerprint) -> Option<Instant> {
        let index = self.missing.binary_search_by_key(&part, |(part, _)| *part);
        index.map_or(Some(self.at), |index| self.missing[index].1)
    }
}

/// Fingerprints of queries that ran successfully within [`PROVEN_TTL`], at least in part.
///
/// Uses B-trees instead of sorted vectors, because every query of a busy daemon inserts a random
/// key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct ProvenSet {
    /// The latest successful run of each fingerprint.
    runs: BTreeMap<Fingerprint, ProvenRun>,
    /// The same entries by sequence number, to find the oldest one.
    by_sequence: BTreeMap<u64, Fingerprint>,
    next_sequence: u64,
}

impl ProvenSet {
    /// Returns true if a query ran successfully, at least in part.
    pub(super) fn contains(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.find(fingerprint, now).is_some()
    }

    /// Returns true if a part of a query succeeded.
    pub(super) fn contains_part(
        &self,
        fingerprint: Fingerprint,
        part: Fingerprint,
        now: Instant,
    ) -> bool {
        let run = self.find(fingerprint, now);
        let succeeded_at = run.and_then(|run| run.succeeded_at(part));
        succeeded_at.is_some_and(|at| now < at + PROVEN_TTL)
    }

    pub(super) fn len(&self) -> usize {
        self.runs.len()
    }

    pub(super) fn insert(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.insert_in_part(fingerprint, Vec::new(), now);
    }

    /// Adds a run of which some parts did not succeed.
    pub(super) fn insert_in_part(
        &mut self,
        fingerprint: Fingerprint,
        mut missing: Vec<Fingerprint>,
        now: Instant,
    ) {
        missing.sort_unstable();
        missing.dedup();
        let known = self.find(fingerprint, now);
        let missing = missing
            .into_iter()
            .map(|part| (part, known.and_then(|run| run.succeeded_at(part))))
            .collect();
        self.remove(fingerprint);
        if self.runs.len() >= MAX_PROVEN
            && let Some((_, oldest)) = self.by_sequence.pop_first()
        {
            self.runs.remove(&oldest);
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let run = ProvenRun {
            sequence,
            at: now,
            missing,
        };
        self.runs.insert(fingerprint, run);
        self.by_sequence.insert(sequence, fingerprint);
    }

    pub(super) fn remove(&mut self, fingerprint: Fingerprint) {
        if let Some(run) = self.runs.remove(&fingerprint) {
            self.by_sequence.remove(&run.sequence);
        }
    }

    fn find(&self, fingerprint: Fingerprint, now: Instant) -> Option<&ProvenRun> {
        let run = self.runs.get(&fingerprint)?;
        (now < run.at + PROVEN_TTL).then_some(run)
    }
}
