//! Merge of the shard answers of one query into one outcome.

mod shard_state;
mod summary;

use displaydoc::Display;
use thiserror::Error;

use crate::answer::{Outcome, ShardOutcome, UncoveredReason};
use crate::ids::{IndexVersion, RequestId, ShardId};
use shard_state::ShardState;

/// Why an answer was not merged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum MergeError {
    /// the answer belongs to request {0}
    ForeignRequest(RequestId),
    /// the answer belongs to another index version
    OtherVersion(IndexVersion),
    /// the query did not ask for the answer's shard
    ShardNotAsked(ShardId),
    /// the shard is already covered
    AlreadyCovered(ShardId),
    /// the shard has no such attempt
    NoSuchAttempt(Attempt),
}

/// Number of an attempt to get one shard's answer; the first is 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u8);

/// A shard that is not part of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UncoveredShard {
    /// The shard.
    pub shard: ShardId,
    /// Why it is not covered.
    pub reason: UncoveredReason,
}

/// The answer to one query while it is being collected.
///
/// It errs on the side of `unknown`: a shard counts as possibly run until an answer says otherwise,
/// and an attempt that may have run is never forgotten.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Merge {
    request: RequestId,
    version: IndexVersion,
    /// One entry for each shard asked, sorted by shard, without duplicates.
    shards: Vec<(ShardId, ShardState)>,
    /// True if a leaf may have run the query at a version that was given up.
    ran_earlier: bool,
}

impl Merge {
    /// Creates the merge of a query that is pinned to a version.
    ///
    /// The first attempt of each shard counts as sent. For a shard that is never sent, accept an
    /// `Uncovered` outcome with `may_have_run: false`.
    #[must_use]
    pub fn new(request: RequestId, version: IndexVersion, shards: &[ShardId]) -> Self {
        let mut asked = shards.to_vec();
        asked.sort_unstable();
        asked.dedup();
        let shards = asked.into_iter().map(|shard| (shard, ShardState::new()));
        Self {
            request,
            version,
            shards: shards.collect(),
            ran_earlier: false,
        }
    }

    /// Drops all answers and starts again at another version, which may have other shards.
    ///
    /// That the given-up version may have run is remembered.
    #[must_use]
    pub fn restart(self, version: IndexVersion, shards: &[ShardId]) -> Self {
        let ran_earlier = self.may_have_run();
        Self {
            ran_earlier,
            ..Self::new(self.request, version, shards)
        }
    }

    /// Merges the answer to the first attempt of a shard.
    ///
    /// # Errors
    ///
    /// See [`Self::accept_attempt`].
    pub fn accept(
        &mut self,
        shard: ShardId,
        version: IndexVersion,
        request: RequestId,
        outcome: ShardOutcome,
    ) -> Result<(), MergeError> {
        self.accept_attempt(shard, Attempt(0), version, request, outcome)
    }

    /// Merges the answer to one attempt of a shard; a covered answer replaces an uncovered one.
    ///
    /// # Errors
    ///
    /// Refuses an answer to another request, of another version, of a shard or an attempt that was
    /// not asked for, and any answer for a covered shard. A refused answer changes nothing.
    pub fn accept_attempt(
        &mut self,
        shard: ShardId,
        attempt: Attempt,
        version: IndexVersion,
        request: RequestId,
        outcome: ShardOutcome,
    ) -> Result<(), MergeError> {
        if request != self.request {
            return Err(MergeError::ForeignRequest(request));
        }
        if version != self.version {
            return Err(MergeError::OtherVersion(version));
        }
        let state = self
            .state_mut(shard)
            .ok_or(MergeError::ShardNotAsked(shard))?;
        if state.rows().is_some() {
            return Err(MergeError::AlreadyCovered(shard));
        }
        if !state.has_attempt(attempt) {
            return Err(MergeError::NoSuchAttempt(attempt));
        }
        state.apply(attempt, outcome);
        Ok(())
    }

    /// Opens a further attempt of a shard; must be called before the attempt is sent.
    ///
    /// Without it, the answer to an earlier attempt could show the shard as not run while the later
    /// one runs. Returns `None` if the shard was not asked for, is covered, or has had 32 attempts.
    #[must_use]
    pub fn begin_attempt(&mut self, shard: ShardId) -> Option<Attempt> {
        self.state_mut(shard)?.begin_attempt()
    }

    /// Returns the request.
    #[must_use]
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Returns the index version that all covered shards have.
    #[must_use]
    pub fn version(&self) -> IndexVersion {
        self.version
    }

    /// Returns the outcome if no further answer arrives.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        summary::outcome(self)
    }

    /// Returns the covered shards, sorted.
    #[must_use]
    pub fn covered(&self) -> Vec<ShardId> {
        self.shards
            .iter()
            .filter(|(_, state)| state.rows().is_some())
            .map(|(shard, _)| *shard)
            .collect()
    }

    /// Returns the other shards, sorted; one without an answer has the reason `DeadlinePassed`.
    #[must_use]
    pub fn uncovered(&self) -> Vec<UncoveredShard> {
        self.shards
            .iter()
            .filter_map(|(shard, state)| {
                let reason = state.uncovered_reason()?;
                Some(UncoveredShard {
                    shard: *shard,
                    reason,
                })
            })
            .collect()
    }

    /// Returns the rows, sorted by shard and then in the order in which the leaf returned them.
    pub fn rows(&self) -> impl Iterator<Item = (ShardId, &str)> {
        self.shards.iter().flat_map(|(shard, state)| {
            let rows = state.rows().unwrap_or_default();
            rows.iter().map(|row| (*shard, row.as_str()))
        })
    }

    /// Returns the number of shards asked.
    #[must_use]
    pub fn asked_count(&self) -> usize {
        self.shards.len()
    }

    /// Returns the covered part of the shards asked, from 0 to 1.
    #[must_use]
    pub fn covered_share(&self) -> f64 {
        let covered = self
            .shards
            .iter()
            .filter(|(_, state)| state.rows().is_some());
        covered.count() as f64 / self.shards.len().max(1) as f64
    }

    /// Returns true if every attempt of every shard has been answered or the shard is covered.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.shards.iter().all(|(_, state)| state.is_settled())
    }

    /// Returns true if a leaf may have run the query, at this version or an earlier one.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.ran_earlier || self.shards.iter().any(|(_, state)| state.may_have_run())
    }

    fn state_mut(&mut self, shard: ShardId) -> Option<&mut ShardState> {
        let index = self
            .shards
            .binary_search_by_key(&shard, |(asked, _)| *asked)
            .ok()?;
        self.shards.get_mut(index).map(|(_, state)| state)
    }
}
