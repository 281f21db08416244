use std::time::{Duration, Instant};

use super::QUARANTINE_DURATION;
use crate::ids::Fingerprint;

/// Most quarantines held; each costs two crashed leafs.
pub(super) const QUARANTINES_MAX: usize = 4_096;
/// Tolerance within which two ends of one quarantine count as the same.
///
/// Gossip carries the time left, so each hop moves the end later by the message's delay. Without a
/// tolerance, daemons that exchange a quarantine would extend it for ever.
const SAME_END_WITHIN: Duration = Duration::from_secs(30);

/// A fingerprint that must not run for some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Quarantine {
    /// Fingerprint of the query.
    pub fingerprint: Fingerprint,
    /// End of the quarantine.
    pub until: Instant,
}

/// Quarantines in force, and those that ended less than [`SAME_END_WITHIN`] ago.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct QuarantineList {
    /// Sorted by fingerprint, without duplicates.
    entries: Vec<Quarantine>,
}

impl QuarantineList {
    pub(super) fn until(&self, fingerprint: Fingerprint, now: Instant) -> Option<Instant> {
        let index = self.find(fingerprint).ok()?;
        let until = self.entries[index].until;
        (now < until).then_some(until)
    }

    pub(super) fn active(&self, now: Instant) -> impl Iterator<Item = Quarantine> {
        self.entries
            .iter()
            .copied()
            .filter(move |entry| now < entry.until)
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Adds a quarantine that this daemon or a peer has found; returns false if it changes nothing.
    ///
    /// An end beyond the longest quarantine is cut, so that a faulty peer cannot block a query for
    /// longer.
    pub(super) fn add(&mut self, quarantine: Quarantine, now: Instant) -> bool {
        let until = quarantine.until.min(now + QUARANTINE_DURATION);
        if until <= now {
            return false;
        }
        self.entries
            .retain(|entry| now < entry.until + SAME_END_WITHIN);
        match self.find(quarantine.fingerprint) {
            Ok(index) if until <= self.entries[index].until + SAME_END_WITHIN => return false,
            Ok(index) => self.entries[index].until = until,
            Err(_) => self.insert(Quarantine {
                fingerprint: quarantine.fingerprint,
                until,
            }),
        }
        true
    }

    fn insert(&mut self, quarantine: Quarantine) {
        if self.entries.len() >= QUARANTINES_MAX {
            let first_end = (0..self.entries.len()).min_by_key(|index| self.entries[*index].until);
            if let Some(index) = first_end {
                self.entries.remove(index);
            }
        }
        if let Err(index) = self.find(quarantine.fingerprint) {
            self.entries.insert(index, quarantine);
        }
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |entry| entry.fingerprint)
    }
}
