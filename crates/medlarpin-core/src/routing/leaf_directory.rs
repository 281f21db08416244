use std::time::{Duration, Instant};

use super::{LeafEntry, LeafPhase};
use crate::ids::LeafId;

/// A published leaf and the end of its use.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Listed {
    entry: LeafEntry,
    /// End of new requests to a leaf that is leaving; `None` while it is ready.
    usable_until: Option<Instant>,
    /// True once the entry was withdrawn.
    withdrawn: bool,
}

/// The leafs that are published, and those that were withdrawn a moment ago.
///
/// A leaving leaf still serves for a while. It stays listed for `drain_grace`, as a last resort, so
/// that a shard whose leafs all leave at once is covered until its new leafs are published.
#[derive(Debug, Clone)]
pub struct LeafDirectory {
    /// Sorted by leaf, without duplicates.
    listed: Vec<Listed>,
    drain_grace: Duration,
}

impl LeafDirectory {
    /// Creates an empty directory; `drain_grace` is shorter than a leaving leaf goes on serving.
    #[must_use]
    pub fn new(drain_grace: Duration) -> Self {
        Self {
            listed: Vec::new(),
            drain_grace,
        }
    }

    /// Takes a published entry; returns false if it is older than the known one or repeats it.
    pub fn publish(&mut self, entry: LeafEntry, now: Instant) -> bool {
        let usable_until = (entry.phase == LeafPhase::Draining).then(|| now + self.drain_grace);
        let mut listed = Listed {
            entry,
            usable_until,
            withdrawn: false,
        };
        match self.position(&listed.entry.id) {
            Err(index) => {
                self.listed.insert(index, listed);
                true
            }
            Ok(index) => {
                let known = &mut self.listed[index];
                if !known.withdrawn && listed.entry.is_older_than(&known.entry) {
                    return false;
                }
                let repeats_drain = listed.entry.phase == LeafPhase::Draining
                    && known.entry.phase == LeafPhase::Draining
                    && listed.entry.started_unix_ms == known.entry.started_unix_ms;
                if repeats_drain {
                    listed.usable_until = known.usable_until;
                }
                let changed = *known != listed;
                *known = listed;
                changed
            }
        }
    }

    /// Records that an entry was withdrawn; returns false if the leaf was not listed.
    pub fn withdraw(&mut self, id: &LeafId, now: Instant) -> bool {
        let Ok(index) = self.position(id) else {
            return false;
        };
        let known = &mut self.listed[index];
        known.withdrawn = true;
        known.usable_until.get_or_insert(now + self.drain_grace);
        true
    }

    /// Takes a complete list; leafs that are not in it count as withdrawn.
    pub fn replace_all(&mut self, entries: Vec<LeafEntry>, now: Instant) {
        let mut present: Vec<&LeafId> = entries.iter().map(|entry| &entry.id).collect();
        present.sort_unstable();
        let missing: Vec<LeafId> = self
            .listed
            .iter()
            .filter(|known| present.binary_search(&&known.entry.id).is_err())
            .map(|known| known.entry.id.clone())
            .collect();
        for id in &missing {
            self.withdraw(id, now);
        }
        for entry in entries {
            self.publish(entry, now);
        }
    }

    /// Drops the leafs whose time is over; returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<LeafId> {
        let is_over =
            |known: &Listed| known.withdrawn && known.usable_until.is_some_and(|at| at <= now);
        self.listed
            .extract_if(.., |known| is_over(known))
            .map(|known| known.entry.id)
            .collect()
    }

    /// Returns the listed leafs, sorted by identifier, with the end of their use.
    pub fn leafs(&self) -> impl Iterator<Item = (&LeafEntry, Option<Instant>)> {
        self.listed
            .iter()
            .map(|known| (&known.entry, known.usable_until))
    }

    /// Returns the number of listed leafs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Returns true if no leaf is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    fn position(&self, id: &LeafId) -> Result<usize, usize> {
        self.listed.binary_search_by(|known| known.entry.id.cmp(id))
    }
}
