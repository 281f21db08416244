//! The newest revision of a published value.

use crate::ids::Revision;

/// A value at a revision, as offered by the platform or by a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer<T> {
    /// Revision of the value.
    pub revision: Revision,
    /// Digest of what was published, equal on all daemons that hold the same texts.
    pub digest: u64,
    /// The value.
    pub value: T,
}

/// What became of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The offer is newer and now current.
    Accepted,
    /// The store already holds this revision with this digest.
    Same,
    /// The store holds a higher revision.
    Stale,
    /// The store holds this revision with another digest and keeps its own value.
    Conflict,
}

/// Keeps the value with the highest revision; an accepted value never reverts.
#[derive(Debug)]
pub struct RevisionStore<T> {
    current: Option<Offer<T>>,
    conflicts: u64,
}

impl<T> RevisionStore<T> {
    /// Creates a store without a value.
    #[must_use]
    pub fn new() -> Self {
        Self {
            current: None,
            conflicts: 0,
        }
    }

    /// Takes the offered value if its revision is higher than the current one.
    pub fn offer(&mut self, offer: Offer<T>) -> OfferOutcome {
        let outcome = self.classify(offer.revision, offer.digest);
        match outcome {
            OfferOutcome::Accepted => self.current = Some(offer),
            OfferOutcome::Conflict => self.conflicts += 1,
            OfferOutcome::Same | OfferOutcome::Stale => {}
        }
        outcome
    }

    /// Returns what would become of an offer, without its value.
    ///
    /// A heartbeat names a peer's revision and digest; only `Accepted` is worth a fetch.
    #[must_use]
    pub fn classify(&self, revision: Revision, digest: u64) -> OfferOutcome {
        let Some(current) = &self.current else {
            return OfferOutcome::Accepted;
        };
        match revision.cmp(&current.revision) {
            std::cmp::Ordering::Greater => OfferOutcome::Accepted,
            std::cmp::Ordering::Less => OfferOutcome::Stale,
            std::cmp::Ordering::Equal if digest == current.digest => OfferOutcome::Same,
            std::cmp::Ordering::Equal => OfferOutcome::Conflict,
        }
    }

    /// Replaces the current value by an equivalent one of the same revision and digest.
    ///
    /// Returns false, and changes nothing, if the revision or the digest differs.
    pub fn replace_equivalent(&mut self, offer: Offer<T>) -> bool {
        let same = self.current.is_some()
            && self.classify(offer.revision, offer.digest) == OfferOutcome::Same;
        if same {
            self.current = Some(offer);
        }
        same
    }

    /// Returns the current value with its revision and digest.
    #[must_use]
    pub fn current(&self) -> Option<&Offer<T>> {
        self.current.as_ref()
    }

    /// Returns the number of offers that conflicted with the value held.
    #[must_use]
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }
}

impl<T> Default for RevisionStore<T> {
    fn default() -> Self {
        Self::new()
    }
}
