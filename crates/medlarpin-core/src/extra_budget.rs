//! Retry budget: limits hedges and retries, the leaf requests beyond the first one per shard.

use std::time::{Duration, Instant};

use crate::sliding_window::{SlidingWindow, as_micros};

/// Number of first requests that earn one extra request; limits the extra load to 5%.
pub const FIRST_PER_EXTRA: u64 = 20;
/// Maximum number of extra requests that a budget can accumulate.
pub const BURST: u64 = 20;
/// Extra requests that early hedges leave to late ones and to retries. Hedges at the 95th percentile of
/// the latency would use up the whole budget by themselves.
pub const RESERVE: u64 = 5;
/// Mean queue wait above which the budget is closed; a tenth of the 300 ms latency target.
pub const QUEUE_WAIT_MAX: Duration = Duration::from_millis(30);
/// Percentage of refused requests above which the budget is closed.
pub const REFUSED_PERCENT_MAX: u64 = 10;

/// How urgent an extra request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// A hedge of a request that would probably be answered in time without it.
    Early,
    /// A retry, or a hedge of a request that has waited for half of its time.
    Late,
}

impl Urgency {
    /// Returns the urgency of a hedge of a request that had `time` until its deadline when it was
    /// sent, and has `time_left` now.
    #[must_use]
    pub fn of_hedge(time: Duration, time_left: Duration) -> Self {
        if time_left <= time / 2 {
            Self::Late
        } else {
            Self::Early
        }
    }
}

/// Token bucket of extra requests. It is closed, so that it grants nothing, under overload.
#[derive(Debug, Clone, Default)]
pub struct ExtraBudget {
    /// Tokens: a first request earns 1, and an extra request costs [`FIRST_PER_EXTRA`].
    earned: u64,
    /// 1 for each refused request, 0 for the others.
    refusals: SlidingWindow,
    queue_waits_us: SlidingWindow,
}

impl ExtraBudget {
    /// Creates an empty budget.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a first request, which earns part of an extra request.
    pub fn earn(&mut self) {
        self.earned = (self.earned + 1).min(BURST * FIRST_PER_EXTRA);
    }

    /// Takes one extra request; returns false if none is earned, only the [`RESERVE`] is left for an
    /// early one, or the budget is closed.
    pub fn try_spend(&mut self, urgency: Urgency, now: Instant) -> bool {
        let granted = self.can_spend(urgency, now);
        if granted {
            self.earned -= FIRST_PER_EXTRA;
        }
        granted
    }

    /// Records the result of a leaf request: whether it was refused, and its time in the queue.
    pub fn record_result(&mut self, refused: bool, queue_wait: Duration, now: Instant) {
        self.refusals.record(u64::from(refused), now);
        self.queue_waits_us.record(as_micros(queue_wait), now);
    }

    /// Returns false if the results of the last second show overload.
    #[must_use]
    pub fn is_open(&self, now: Instant) -> bool {
        let results = self.refusals.count(now);
        let refused = self.refusals.sum(now);
        let total_wait_us = self.queue_waits_us.sum(now);
        refused * 100 <= results * REFUSED_PERCENT_MAX
            && total_wait_us <= results.saturating_mul(as_micros(QUEUE_WAIT_MAX))
    }

    /// Returns the number of extra requests that are earned.
    #[must_use]
    pub fn extra_requests(&self) -> u64 {
        self.earned / FIRST_PER_EXTRA
    }

    fn can_spend(&self, urgency: Urgency, now: Instant) -> bool {
        let reserved = match urgency {
            Urgency::Early => RESERVE,
            Urgency::Late => 0,
        };
        self.extra_requests() > reserved && self.is_open(now)
    }
}

/// Takes one extra request from both budgets, or from neither and returns false.
pub fn try_spend_both(
    team: &mut ExtraBudget,
    service: &mut ExtraBudget,
    urgency: Urgency,
    now: Instant,
) -> bool {
    team.can_spend(urgency, now)
        && service.can_spend(urgency, now)
        && team.try_spend(urgency, now)
        && service.try_spend(urgency, now)
}
