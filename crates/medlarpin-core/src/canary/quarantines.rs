use std::time::{Duration, Instant};

use super::QUARANTINE_DURATION;
use crate::ids::Fingerprint;

/// Maximum number of quarantines. A flood of queries cannot fill the list, because each quarantine
/// takes two lost connections to leafs.
pub(super) const MAX_QUARANTINES: usize = 4_096;
/// Maximum difference at which two expiry times of one quarantine count as equal.
///
/// Gossip carries the time left, so each hop delays the expiry by the latency of the message.
/// Without a tolerance, daemons that exchange a quarantine would extend it for ever.
const EXPIRY_TOLERANCE: Duration = Duration::from_secs(30);

/// A fingerprint whose queries must not run until the quarantine expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Quarantine {
    /// Fingerprint of the query.
    pub fingerprint: Fingerprint,
    /// Time at which the quarantine expires.
    pub until: Instant,
}

/// Quarantines in force, and those that expired less than [`EXPIRY_TOLERANCE`] ago.
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

    /// Adds a quarantine from this daemon or a peer; returns false if it changes nothing.
    ///
    /// The expiry is limited to [`QUARANTINE_DURATION`] from now, so that a faulty peer cannot
    /// block a query for longer.
    pub(super) fn add(&mut self, quarantine: Quarantine, now: Instant) -> bool {
        let until = quarantine.until.min(now + QUARANTINE_DURATION);
        if until <= now {
            return false;
        }
        self.entries
            .retain(|entry| now < entry.until + EXPIRY_TOLERANCE);
        match self.find(quarantine.fingerprint) {
            Ok(index) if until <= self.entries[index].until + EXPIRY_TOLERANCE => return false,
            Ok(index) => self.entries[index].until = until,
            Err(_) => self.insert(Quarantine {
                fingerprint: quarantine.fingerprint,
                until,
            }),
        }
        true
    }

    fn insert(&mut self, quarantine: Quarantine) {
        if self.entries.len() >= MAX_QUARANTINES {
            let earliest = (0..self.entries.len()).min_by_key(|index| self.entries[*index].until);
            if let Some(index) = earliest {
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
