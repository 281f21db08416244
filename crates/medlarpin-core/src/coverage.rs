//! Merges the shard answers of a query into one outcome.

mod shard_state;
mod summary;

use displaydoc::Display;
use thiserror::Error;

use crate::answer::{Outcome, ShardOutcome, UncoveredReason};
use crate::ids::{IndexVersion, RequestId, ShardId};
use shard_state::ShardState;

/// Why a shard answer was rejected.
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

/// Number of an attempt at one shard; the first attempt has 0.
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

/// State of a query while its shard answers are collected.
///
/// The outcome is conservative: an attempt counts as possibly run until an answer rules it out, and
/// once an attempt may have run, the query's outcome can no longer be "not run".
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Merge {
    request: RequestId,
    version: IndexVersion,
    /// One entry for each requested shard, sorted by shard, without duplicates.
    shards: Vec<(ShardId, ShardState)>,
    /// True if a leaf may have run the query at an index version before the last restart.
    may_have_run_before: bool,
}

impl Merge {
    /// Creates the state of a query that is pinned to an index version.
    ///
    /// The first attempt of each shard counts as sent. For a shard that is never sent, the caller
    /// must accept an `Uncovered` outcome with `may_have_run: false`.
    #[must_use]
    pub fn new(request: RequestId, version: IndexVersion, shards: &[ShardId]) -> Self {
        let mut requested = shards.to_vec();
        requested.sort_unstable();
        requested.dedup();
        let shards = requested
            .into_iter()
            .map(|shard| (shard, ShardState::new()));
        Self {
            request,
            version,
            shards: shards.collect(),
            may_have_run_before: false,
        }
    }

    /// Discards all answers and restarts at another index version, which may have other shards.
    ///
    /// Keeps the information whether the query may have run before.
    #[must_use]
    pub fn restart(self, version: IndexVersion, shards: &[ShardId]) -> Self {
        let may_have_run_before = self.may_have_run();
        Self {
            may_have_run_before,
            ..Self::new(self.request, version, shards)
        }
    }

    /// Merges the answer to the first attempt at a shard.
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

    /// Merges the answer to one attempt at a shard; a covered answer replaces an uncovered one.
    ///
    /// # Errors
    ///
    /// Rejects an answer to another request, at another version, for a shard that was not requested
    /// or an attempt that was not begun, and any answer for a covered shard. A rejected answer has
    /// no effect.
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

    /// Begins another attempt at a shard; must be called before the attempt is sent.
    ///
    /// Otherwise, the answer to an earlier attempt could mark the shard as not run while a later
    /// one is running. Returns `None` if the shard was not requested, is covered, or has had 32
    /// attempts.
    #[must_use]
    pub fn begin_attempt(&mut self, shard: ShardId) -> Option<Attempt> {
        self.state_mut(shard)?.begin_attempt()
    }

    /// Returns the identifier of the query.
    #[must_use]
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Returns the index version that the query is pinned to.
    #[must_use]
    pub fn version(&self) -> IndexVersion {
        self.version
    }

    /// Returns the outcome of the query if no further answer arrives.
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

    /// Returns the uncovered shards, sorted; those without an answer have the reason
    /// `DeadlinePassed`.
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

    /// Returns the rows as [`Self::rows`] does, without copying them.
    pub fn into_rows(self) -> impl Iterator<Item = (ShardId, String)> {
        self.shards.into_iter().flat_map(|(shard, state)| {
            let rows = state.into_rows();
            rows.into_iter().map(move |row| (shard, row))
        })
    }

    /// Returns the number of requested shards.
    #[must_use]
    pub fn requested_count(&self) -> usize {
        self.shards.len()
    }

    /// Returns the share of the requested shards that are covered, from 0 to 1.
    #[must_use]
    pub fn covered_share(&self) -> f64 {
        let covered = self
            .shards
            .iter()
            .filter(|(_, state)| state.rows().is_some());
        covered.count() as f64 / self.shards.len().max(1) as f64
    }

    /// Returns true if each shard is covered or has no unanswered attempts.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.shards.iter().all(|(_, state)| state.is_settled())
    }

    /// Returns true if a leaf may have run the query, at the current version or before a restart.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.may_have_run_before || self.shards.iter().any(|(_, state)| state.may_have_run())
    }

    fn state_mut(&mut self, shard: ShardId) -> Option<&mut ShardState> {
        let index = self
            .shards
            .binary_search_by_key(&shard, |(id, _)| *id)
            .ok()?;
        self.shards.get_mut(index).map(|(_, state)| state)
    }
}
