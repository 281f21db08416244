//! Budget of leaf requests beyond the first ones: hedges and retries.

use std::time::{Duration, Instant};

use crate::sliding_window::{SlidingWindow, as_micros};

/// First requests that earn one extra request; keeps the extra load at or under 5%.
pub const FIRST_PER_EXTRA: u64 = 20;
/// Extra requests that a budget can hold.
pub const BURST: u64 = 20;
/// Mean queue wait above which nothing is granted; a tenth of the 300 ms target.
pub const QUEUE_WAIT_MAX: Duration = Duration::from_millis(30);
/// Refusals in a hundred results above which nothing is granted.
pub const REFUSED_PERCENT_MAX: u64 = 10;

/// Token bucket of extra requests that closes under overload.
#[derive(Debug, Clone, Default)]
pub struct ExtraBudget {
    /// In first requests; one extra request costs `FIRST_PER_EXTRA`. Starts at zero.
    earned: u64,
    /// 1 for each refused result, otherwise 0.
    refusals: SlidingWindow,
    queue_waits_us: SlidingWindow,
}

impl ExtraBudget {
    /// Creates an empty budget.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a first request.
    pub fn earn(&mut self) {
        self.earned = (self.earned + 1).min(BURST * FIRST_PER_EXTRA);
    }

    /// Takes one extra request, if there is one and the budget is open.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        let granted = self.can_spend(now);
        if granted {
            self.earned -= FIRST_PER_EXTRA;
        }
        granted
    }

    /// Records the result of a leaf request: whether it was refused and how long it was queued.
    pub fn record_result(&mut self, refused: bool, queue_wait: Duration, now: Instant) {
        self.refusals.record(u64::from(refused), now);
        self.queue_waits_us.record(as_micros(queue_wait), now);
    }

    /// Returns false while the last second's results show overload.
    #[must_use]
    pub fn is_open(&self, now: Instant) -> bool {
        let results = self.refusals.count(now);
        let refused = self.refusals.sum(now);
        let total_wait_us = self.queue_waits_us.sum(now);
        refused * 100 <= results * REFUSED_PERCENT_MAX
            && total_wait_us <= results.saturating_mul(as_micros(QUEUE_WAIT_MAX))
    }

    /// Returns the whole extra requests that are earned.
    #[must_use]
    pub fn extra_requests(&self) -> u64 {
        self.earned / FIRST_PER_EXTRA
    }

    fn can_spend(&self, now: Instant) -> bool {
        self.extra_requests() > 0 && self.is_open(now)
    }
}

/// Takes one extra request from the team's and from the service's budget, or from neither.
pub fn try_spend_both(team: &mut ExtraBudget, service: &mut ExtraBudget, now: Instant) -> bool {
    team.can_spend(now) && service.can_spend(now) && team.try_spend(now) && service.try_spend(now)
}
