use std::time::{Duration, Instant};

use super::{LeafEntry, LeafPhase, ObservationTime};
use crate::ids::LeafId;

/// Time after an outage of the store within which the entries of live leafs that expired meanwhile
/// are published again. An entry that is still missing then belongs to a leaf that is gone.
pub const LAPSED_ENTRY_RETURN_TIME: Duration = Duration::from_secs(2);

/// Time for which a leaf that has left is remembered. A store that is restored from a copy may list
/// it again until its entry expires; the copy is some seconds old.
pub const DEPARTED_MEMORY: Duration = Duration::from_secs(30);

/// Time after a restore of the store from a copy for which it may still list leafs that have left.
/// Their entries expire after three missed heartbeats.
pub const RESTORED_ENTRY_LIFETIME: Duration = Duration::from_secs(10);

/// A leaf that is published or was withdrawn recently.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Listing {
    entry: LeafEntry,
    /// Time until which a draining or withdrawn leaf gets requests; `None` for a ready leaf.
    usable_until: Option<Instant>,
    /// True if the entry was withdrawn and not published again.
    withdrawn: bool,
}

/// The published leafs, including those that are draining or were withdrawn recently.
///
/// A draining leaf still serves for a while. It stays usable for `drain_grace` as a last resort, so
/// that a shard whose leafs all drain at once stays covered until its new leafs are published. The
/// grace period runs from the earliest time at which the leaf may have begun to drain: the leaf
/// counts its drain time from there, however late the change becomes known.
#[derive(Debug, Clone)]
pub struct LeafDirectory {
    /// Sorted by leaf, without duplicates.
    listings: Vec<Listing>,
    /// Last entries of the leafs that have left, each with the time until which it is remembered;
    /// sorted by leaf, without duplicates. A restored store lists such a leaf again only with a
    /// newer entry.
    departed: Vec<(LeafEntry, Instant)>,
    /// Time at which the last restore of the store was observed.
    restored_at: Option<Instant>,
    drain_grace: Duration,
}

impl LeafDirectory {
    /// Creates an empty directory; `drain_grace` must be shorter than the time that a draining leaf
    /// continues to serve.
    #[must_use]
    pub fn new(drain_grace: Duration) -> Self {
        Self {
            listings: Vec::new(),
            departed: Vec::new(),
            restored_at: None,
            drain_grace,
        }
    }

    /// Applies a published entry; returns false if it is stale or changes nothing.
    ///
    /// Repeated draining entries of one run of a leaf do not extend its grace period.
    pub fn publish(&mut self, entry: LeafEntry, observed: ObservationTime) -> bool {
        let may_be_old = self.may_list_departed(observed);
        let usable_until =
            (entry.phase == LeafPhase::Draining).then(|| self.drain_grace_end(observed));
        let mut listing = Listing {
            entry,
            usable_until,
            withdrawn: false,
        };
        match self.position(&listing.entry.id) {
            Err(_) if may_be_old && self.has_departed(&listing.entry, observed.now) => false,
            Err(index) => {
                self.listings.insert(index, listing);
                true
            }
            Ok(index) => {
                let known = &mut self.listings[index];
                // An entry that expired while the store was away is published again as it was. One
                // that a restored store lists may be that of a leaf that has left.
                let is_stale = match (known.withdrawn, may_be_old) {
                    (true, true) => !listing.entry.is_newer_than(&known.entry),
                    (true, false) => false,
                    (false, _) => listing.entry.is_older_than(&known.entry),
                };
                if is_stale {
                    return false;
                }
                let is_same_drain = listing.entry.phase == LeafPhase::Draining
                    && known.entry.phase == LeafPhase::Draining
                    && listing.entry.started_unix_ms == known.entry.started_unix_ms;
                if is_same_drain {
                    listing.usable_until = known.usable_until;
                }
                let changed = *known != listing;
                *known = listing;
                changed
            }
        }
    }

    /// Marks an entry as withdrawn, which starts its grace period unless it already drains.
    ///
    /// Returns false if the leaf is not listed.
    pub fn withdraw(&mut self, id: &LeafId, observed: ObservationTime) -> bool {
        let usable_until = if observed.is_after_outage() {
            observed.now + LAPSED_ENTRY_RETURN_TIME
        } else {
            self.drain_grace_end(observed)
        };
        let Ok(index) = self.position(id) else {
            return false;
        };
        let known = &mut self.listings[index];
        known.withdrawn = true;
        known.usable_until.get_or_insert(usable_until);
        true
    }

    /// Applies a snapshot of all entries; leafs that are not in it are marked as withdrawn.
    pub fn replace_all(&mut self, entries: Vec<LeafEntry>, observed: ObservationTime) {
        let mut present: Vec<&LeafId> = entries.iter().map(|entry| &entry.id).collect();
        present.sort_unstable();
        let missing: Vec<LeafId> = self
            .listings
            .iter()
            .filter(|known| present.binary_search(&&known.entry.id).is_err())
            .map(|known| known.entry.id.clone())
            .collect();
        for id in &missing {
            self.withdraw(id, observed);
        }
        for entry in entries {
            self.publish(entry, observed);
        }
    }

    /// Removes the withdrawn leafs whose grace period is over and returns their identifiers.
    pub fn expire(&mut self, now: Instant) -> Vec<LeafId> {
        let is_expired =
            |known: &Listing| known.withdrawn && known.usable_until.is_some_and(|at| at <= now);
        let expired: Vec<LeafEntry> = self
            .listings
            .extract_if(.., |known| is_expired(known))
            .map(|known| known.entry)
            .collect();
        self.departed.retain(|(_, until)| now < *until);
        let mut ids = Vec::with_capacity(expired.len());
        for entry in expired {
            ids.push(entry.id.clone());
            let departed = (entry, now + DEPARTED_MEMORY);
            match self.departed_position(&departed.0.id) {
                Ok(index) => self.departed[index] = departed,
                Err(index) => self.departed.insert(index, departed),
            }
        }
        ids
    }

    /// Returns the listed leafs, sorted by identifier, each with the time until which it gets
    /// requests (`None` if unlimited).
    pub fn leafs(&self) -> impl Iterator<Item = (&LeafEntry, Option<Instant>)> {
        self.listings
            .iter()
            .map(|known| (&known.entry, known.usable_until))
    }

    /// Returns the number of listed leafs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.listings.len()
    }

    /// Returns true if no leaf is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.listings.is_empty()
    }

    /// Returns the end of the grace period of a leaf that has begun to leave.
    fn drain_grace_end(&self, observed: ObservationTime) -> Instant {
        observed
            .known_until
            .map_or(observed.now, |at| at + self.drain_grace)
    }

    /// Returns true if the store was restored from a copy so recently that it may list leafs that
    /// have left.
    fn may_list_departed(&mut self, observed: ObservationTime) -> bool {
        if observed.is_restored {
            self.restored_at = Some(observed.now);
        }
        self.restored_at
            .is_some_and(|at| observed.now.saturating_duration_since(at) < RESTORED_ENTRY_LIFETIME)
    }

    /// Returns true if an entry is not newer than the last one of a leaf that has left.
    fn has_departed(&self, entry: &LeafEntry, now: Instant) -> bool {
        self.departed_position(&entry.id).is_ok_and(|index| {
            let (last, until) = &self.departed[index];
            now < *until && !entry.is_newer_than(last)
        })
    }

    fn departed_position(&self, id: &LeafId) -> Result<usize, usize> {
        self.departed
            .binary_search_by(|(entry, _)| entry.id.cmp(id))
    }

    fn position(&self, id: &LeafId) -> Result<usize, usize> {
        self.listings
            .binary_search_by(|known| known.entry.id.cmp(id))
    }
}
