use super::Attempt;
use crate::answer::{ShardOutcome, UncoveredReason};

/// What is known about one shard.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct ShardState {
    /// The newest answer, or the covered one.
    outcome: Option<ShardOutcome>,
    /// Attempts made, at most 32.
    attempts: u8,
    /// Bit `n` is set while attempt `n` has no answer. A duplicate of an answer closes its own
    /// attempt again and no other.
    open: u32,
    /// True once an answer said that its attempt may have run.
    ran: bool,
}

impl ShardState {
    /// Creates the state of a shard whose first attempt is open.
    pub(super) fn new() -> Self {
        Self {
            outcome: None,
            attempts: 1,
            open: 1,
            ran: false,
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
        self.open |= 1 << self.attempts;
        self.attempts += 1;
        Some(attempt)
    }

    /// Applies the answer to an attempt that exists; the shard is not covered yet.
    pub(super) fn apply(&mut self, attempt: Attempt, outcome: ShardOutcome) {
        self.open &= !(1 << attempt.0);
        self.ran |= !outcome.did_not_run();
        self.outcome = Some(outcome);
    }

    pub(super) fn rows(&self) -> Option<&[String]> {
        match &self.outcome {
            Some(ShardOutcome::Covered { rows }) => Some(rows),
            _ => None,
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
        self.open == 0 || self.rows().is_some()
    }

    pub(super) fn may_have_run(&self) -> bool {
        self.ran || self.open != 0
    }
}
