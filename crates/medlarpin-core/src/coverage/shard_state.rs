use super::Attempt;
use crate::answer::{ShardOutcome, UncoveredReason};

/// Collected answers of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct ShardState {
    /// The covered answer if there is one, otherwise the latest answer.
    outcome: Option<ShardOutcome>,
    /// Number of attempts, at most 32.
    attempts: u8,
    /// Bit `n` is set while attempt `n` is unanswered. A bit for each attempt, instead of a
    /// counter, makes duplicate answers harmless.
    pending: u32,
    /// True if an answered attempt may have run.
    answered_may_have_run: bool,
}

impl ShardState {
    /// Creates the state of a shard whose first attempt is unanswered.
    pub(super) fn new() -> Self {
        Self {
            outcome: None,
            attempts: 1,
            pending: 1,
            answered_may_have_run: false,
        }
    }

    pub(super) fn has_attempt(&self, attempt: Attempt) -> bool {
        attempt.0 < self.attempts
    }

    pub(super) fn begin_attempt(&mut self) -> Option<Attempt> {
        if self.rows().is_some() || u32::from(self.attempts) >= u32::BITS {
            return None;
        }
        let attempt = Attempt(self.attempts);
        self.pending |= 1 << self.attempts;
        self.attempts += 1;
        Some(attempt)
    }

    /// Applies the answer to an attempt that was begun; the shard must not be covered yet.
    pub(super) fn apply(&mut self, attempt: Attempt, outcome: ShardOutcome) {
        self.pending &= !(1 << attempt.0);
        self.answered_may_have_run |= !outcome.did_not_run();
        self.outcome = Some(outcome);
    }

    pub(super) fn rows(&self) -> Option<&[String]> {
        match &self.outcome {
            Some(ShardOutcome::Covered { rows }) => Some(rows),
            _ => None,
        }
    }

    pub(super) fn into_rows(self) -> Vec<String> {
        match self.outcome {
            Some(ShardOutcome::Covered { rows }) => rows,
            _ => Vec::new(),
        }
    }

    pub(super) fn uncovered_reason(&self) -> Option<UncoveredReason> {
        match &self.outcome {
            Some(ShardOutcome::Covered { .. }) => None,
            Some(ShardOutcome::Uncovered { reason, .. }) => Some(*reason),
            None => Some(UncoveredReason::DeadlinePassed),
        }
    }

    pub(super) fn is_settled(&self) -> bool {
        self.pending == 0 || self.rows().is_some()
    }

    pub(super) fn may_have_run(&self) -> bool {
        self.answered_may_have_run || self.pending != 0
    }
}
