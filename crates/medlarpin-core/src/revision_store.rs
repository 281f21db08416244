//! Store for the newest revision of a published value.

use crate::ids::Revision;

/// A value at a revision, received from the platform or from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer<T> {
    /// Revision of the value.
    pub revision: Revision,
    /// Digest of the published texts; equal on all daemons that have the same texts.
    pub digest: u64,
    /// The value.
    pub value: T,
}

/// Result of comparing an offer with the current value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The offer is newer and replaces the current value.
    Accepted,
    /// The current value has the same revision and digest.
    Same,
    /// The current value has a higher revision.
    Stale,
    /// The current value has the same revision with another digest, and is kept.
    Conflict,
}

/// Keeps the value with the highest revision; it never returns to a lower one.
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

    /// Replaces the current value by the offered one if that has a higher revision.
    pub fn offer(&mut self, offer: Offer<T>) -> OfferOutcome {
        let outcome = self.classify(offer.revision, offer.digest);
        match outcome {
            OfferOutcome::Accepted => self.current = Some(offer),
            OfferOutcome::Conflict => self.conflicts += 1,
            OfferOutcome::Same | OfferOutcome::Stale => {}
        }
        outcome
    }

    /// Returns the outcome that an offer with the revision and digest would have.
    ///
    /// A heartbeat has only the revision and digest of a peer's value, which needs to be fetched
    /// only if the outcome is `Accepted`.
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

    /// Replaces the current value by an equivalent one with the same revision and digest.
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

    /// Returns the number of offers that had [`OfferOutcome::Conflict`].
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
