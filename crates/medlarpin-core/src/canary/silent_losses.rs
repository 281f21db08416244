use std::time::{Duration, Instant};

use super::Strike;
use crate::ids::{Fingerprint, LeafId, RequestId};

/// Time for which a leaf counts as silent after it was last asked in vain.
pub const SILENCE_TTL: Duration = Duration::from_secs(4);
/// Time after which a loss is told again whose leaf is still silent. Two reports fit into [`SILENCE_TTL`].
pub const SILENCE_RENEWAL: Duration = Duration::from_millis(1_500);
/// Maximum number of losses; beyond it, the one that lapses first is dropped.
const LOSSES_MAX: usize = 1_024;
/// Maximum number of losses of one fingerprint, which bounds the comparison of pairs.
const LOSSES_PER_FINGERPRINT: usize = 16;
/// Maximum number of losses of one leaf under one fingerprint: with two, a loss under another request can be
/// independent of one of them.
const LOSSES_PER_LEAF: usize = 2;

/// Loss of a leaf that has been silent since, although it is still listed: it has ended, or it hangs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SilentLoss {
    /// The loss, which counts as a strike once the leaf is known to have ended.
    pub strike: Strike,
    /// Latest time at which the leaf was found to be silent; at or after the loss.
    pub silent_at: Instant,
}

impl SilentLoss {
    /// Returns the time at which the loss lapses unless the leaf is found to be silent again.
    #[must_use]
    pub fn counts_until(&self) -> Instant {
        self.silent_at + SILENCE_TTL
    }
}

/// Silent losses of all daemons, by the fingerprints of the requests.
///
/// A loss lapses unless the daemon that noticed it finds the leaf silent again and again, so that nothing has to
/// be withdrawn when a leaf that hung answers.
#[derive(Debug, Clone, Default)]
pub struct SilentLossTable {
    /// Sorted by fingerprint, leaf and request, without duplicates; at most [`LOSSES_MAX`].
    losses: Vec<(Fingerprint, SilentLoss)>,
}

impl SilentLossTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a loss, or records that its leaf is still silent; returns true if that is worth telling.
    pub fn record(&mut self, fingerprint: Fingerprint, mut loss: SilentLoss, now: Instant) -> bool {
        loss.silent_at = loss.silent_at.min(now);
        if loss.counts_until() <= now {
            return false;
        }
        self.expire(now);
        if let Ok(index) = self.position(fingerprint, &loss.strike.leaf, loss.strike.request) {
            let known = &mut self.losses[index].1;
            let progress = loss.silent_at.saturating_duration_since(known.silent_at);
            if progress < SILENCE_RENEWAL {
                return false;
            }
            known.silent_at = loss.silent_at;
            return true;
        }
        let range = self.range(fingerprint);
        let of_fingerprint = &self.losses[range.clone()];
        let is_same_leaf = |(_, known): &&(_, SilentLoss)| known.strike.leaf == loss.strike.leaf;
        if of_fingerprint.iter().filter(is_same_leaf).count() >= LOSSES_PER_LEAF {
            return false;
        }
        if range.len() >= LOSSES_PER_FINGERPRINT {
            self.remove_first_to_lapse(range);
        } else if self.losses.len() >= LOSSES_MAX {
            self.remove_first_to_lapse(0..self.losses.len());
        }
        let position = self.position(fingerprint, &loss.strike.leaf, loss.strike.request);
        if let Err(index) = position {
            self.losses.insert(index, (fingerprint, loss));
        }
        true
    }

    /// Removes the loss of a leaf under a request: the leaf is known to live, or to have ended.
    pub fn remove(&mut self, fingerprint: Fingerprint, leaf: &LeafId, request: RequestId) {
        if let Ok(index) = self.position(fingerprint, leaf, request) {
            self.losses.remove(index);
        }
    }

    /// Removes the losses of one origin, because a leaf of that service answered such a request.
    pub fn clear_origin(&mut self, fingerprint: Fingerprint, origin: Fingerprint) {
        self.losses
            .retain(|(known, loss)| *known != fingerprint || loss.strike.origin != origin);
    }

    /// Returns the losses of a fingerprint that count, ordered by leaf.
    pub fn losses(
        &self,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> impl Iterator<Item = &SilentLoss> + Clone {
        let losses = self.losses[self.range(fingerprint)].iter();
        let losses = losses.map(|(_, loss)| loss);
        losses.filter(move |loss| now < loss.counts_until())
    }

    /// Returns the time until which requests of the fingerprint must not run; `None` if they may.
    ///
    /// They must not run while a silent loss and another loss, one of `strikes` or a silent one, are independent:
    /// together they would start a quarantine if their leafs were known to have ended.
    #[must_use]
    pub fn withheld_until(
        &self,
        fingerprint: Fingerprint,
        strikes: &[&Strike],
        now: Instant,
    ) -> Option<Instant> {
        let losses = self.losses(fingerprint, now);
        let pairs = losses.clone().flat_map(|loss| {
            let ended = strikes.iter();
            let with_ended = ended.filter(|strike| loss.strike.is_independent_of(strike));
            let with_ended = with_ended.map(|_| loss.counts_until());
            let silent = losses.clone();
            let with_silent = silent.filter(|other| loss.strike.is_independent_of(&other.strike));
            let with_silent =
                with_silent.map(|other| loss.counts_until().min(other.counts_until()));
            with_ended.chain(with_silent)
        });
        pairs.max()
    }

    /// Returns the number of losses, including those that have lapsed since the latest change.
    #[must_use]
    pub fn len(&self) -> usize {
        self.losses.len()
    }

    /// Returns true if the table has no losses.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty()
    }

    /// Removes the losses that have lapsed.
    pub fn expire(&mut self, now: Instant) {
        self.losses.retain(|(_, loss)| now < loss.counts_until());
    }

    fn remove_first_to_lapse(&mut self, range: std::ops::Range<usize>) {
        let first = range.min_by_key(|index| self.losses[*index].1.silent_at);
        if let Some(index) = first {
            self.losses.remove(index);
        }
    }

    fn range(&self, fingerprint: Fingerprint) -> std::ops::Range<usize> {
        let start = self
            .losses
            .partition_point(|(known, _)| *known < fingerprint);
        let end = self
            .losses
            .partition_point(|(known, _)| *known <= fingerprint);
        start..end
    }

    fn position(
        &self,
        fingerprint: Fingerprint,
        leaf: &LeafId,
        request: RequestId,
    ) -> Result<usize, usize> {
        self.losses.binary_search_by(|(known, loss)| {
            let strike = &loss.strike;
            (known, &strike.leaf, strike.request).cmp(&(&fingerprint, leaf, request))
        })
    }
}
