use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use crate::ids::Fingerprint;

/// State of one issued ticket.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum RecordState {
    /// Not redeemed yet, or released after a run that reached no leaf.
    Usable,
    /// The request that redeemed the ticket is running.
    Running,
    /// The run has completed and its outcome is stored under this number.
    Finished(u64),
    /// The run has completed and its outcome is not stored.
    OutcomeDropped,
}

/// The issuer's record of one ticket.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Record {
    pub(super) expires: Instant,
    pub(super) state: RecordState,
    /// Fingerprint of the first request that redeemed the ticket.
    pub(super) bound_to: Option<Fingerprint>,
}

/// The tickets and outcomes of one team.
///
/// Uses B-trees instead of sorted vectors: a busy issuer holds 100,000 tickets with random keys,
/// and an insertion into the middle of a vector would move megabytes while the lock is held.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct TeamRecords {
    records: BTreeMap<u128, Record>,
    /// The keys of `records`, ordered by expiry.
    by_expiry: BTreeSet<(Instant, u128)>,
    /// Stored outcomes in the order of completion; each belongs to one `Finished` record.
    outcomes: BTreeMap<u64, (u128, Arc<[u8]>)>,
    /// Sum of the lengths of `outcomes`.
    outcome_bytes: usize,
}

impl TeamRecords {
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn outcome_bytes(&self) -> usize {
        self.outcome_bytes
    }

    pub(super) fn get_mut(&mut self, random: u128) -> Option<&mut Record> {
        self.records.get_mut(&random)
    }

    pub(super) fn insert(&mut self, random: u128, expires: Instant) {
        self.by_expiry.insert((expires, random));
        let record = Record {
            expires,
            state: RecordState::Usable,
            bound_to: None,
        };
        self.records.insert(random, record);
    }

    pub(super) fn outcome(&self, number: u64) -> Option<&Arc<[u8]>> {
        self.outcomes.get(&number).map(|(_, outcome)| outcome)
    }

    /// Returns the earliest expiry of all records.
    pub(super) fn earliest_expiry(&self) -> Option<Instant> {
        self.by_expiry.first().map(|(expires, _)| *expires)
    }

    /// Removes the record that expired first among those that are not running, if there is one.
    pub(super) fn evict_one_expired(&mut self, now: Instant) -> Option<u128> {
        let random = self
            .by_expiry
            .iter()
            .take_while(|(expires, _)| *expires <= now)
            .map(|(_, random)| *random)
            .find(|random| !self.is_running(*random))?;
        self.remove(random);
        Some(random)
    }

    /// Removes every record that expired at or before `cutoff`, including running ones.
    pub(super) fn remove_expired_until(&mut self, cutoff: Instant) -> Vec<u128> {
        let mut removed = Vec::new();
        while let Some((expires, random)) = self.by_expiry.first().copied() {
            if expires > cutoff {
                break;
            }
            self.remove(random);
            removed.push(random);
        }
        removed
    }

    /// Stores the outcome of a record and marks the record as finished.
    pub(super) fn store_outcome(&mut self, random: u128, number: u64, outcome: Arc<[u8]>) {
        if let Some(record) = self.records.get_mut(&random) {
            record.state = RecordState::Finished(number);
            self.outcome_bytes += outcome.len();
            self.outcomes.insert(number, (random, outcome));
        }
    }

    /// Evicts the outcome of the run that completed first; returns false if there is none.
    pub(super) fn evict_oldest_outcome(&mut self) -> bool {
        let Some((_, (random, outcome))) = self.outcomes.pop_first() else {
            return false;
        };
        self.outcome_bytes -= outcome.len();
        if let Some(record) = self.records.get_mut(&random) {
            record.state = RecordState::OutcomeDropped;
        }
        true
    }

    fn is_running(&self, random: u128) -> bool {
        self.records
            .get(&random)
            .is_some_and(|record| record.state == RecordState::Running)
    }

    fn remove(&mut self, random: u128) {
        let Some(record) = self.records.remove(&random) else {
            return;
        };
        self.by_expiry.remove(&(record.expires, random));
        if let RecordState::Finished(number) = record.state
            && let Some((_, outcome)) = self.outcomes.remove(&number)
        {
            self.outcome_bytes -= outcome.len();
        }
    }
}
