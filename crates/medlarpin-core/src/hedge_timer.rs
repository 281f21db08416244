//! When a request to a leaf that does not answer is hedged.

use std::time::{Duration, Instant};

/// Minimum delay until a denied hedge is tried again. A budget opens within a second, and the
/// answer may come at any moment.
const DENIED_DELAY_MIN: Duration = Duration::from_millis(20);

/// Time of the next hedge of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgeTimer {
    delay: Duration,
    /// `None` if the request is not hedged any more.
    due_at: Option<Instant>,
}

impl HedgeTimer {
    /// Creates the timer of a request that is sent now and hedged after `delay`.
    #[must_use]
    pub fn new(delay: Duration, now: Instant) -> Self {
        Self {
            delay,
            due_at: Some(now + delay),
        }
    }

    /// Creates the timer of a request that must not be hedged.
    #[must_use]
    pub fn never() -> Self {
        Self {
            delay: Duration::ZERO,
            due_at: None,
        }
    }

    /// Returns the time of the next hedge; `None` if there is none.
    #[must_use]
    pub fn due_at(&self) -> Option<Instant> {
        self.due_at
    }

    /// Returns true if a hedge is to be sent now.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        self.due_at.is_some_and(|at| now >= at)
    }

    /// Records that a hedge was sent and that another one may follow.
    pub fn sent(&mut self, now: Instant) {
        self.due_at = Some(now + self.delay);
    }

    /// Records that the budget denied a hedge. It is tried again, since the budget may be closed
    /// only for a moment, and without a hedge the request waits for its deadline.
    pub fn denied(&mut self, now: Instant) {
        self.due_at = Some(now + self.delay.max(DENIED_DELAY_MIN));
    }

    /// Records that no further hedge is possible.
    pub fn stop(&mut self) {
        self.due_at = None;
    }
}
