//! Exponential back-off for leafs that shed requests.

use std::time::{Duration, Instant};

const BACK_OFF_MIN: Duration = Duration::from_millis(20);
const BACK_OFF_MAX: Duration = Duration::from_secs(2);
/// Upper bound of a leaf's `retry_after_ms`, so that a wrong value does not take the leaf out of
/// service.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);

/// Back-off state of a leaf.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct BackOff {
    /// Consecutive back-offs without an answer in between.
    pub(super) streak: u32,
    /// End of the latest back-off, which may have passed.
    pub(super) until: Option<Instant>,
}

impl BackOff {
    pub(super) fn shed(&mut self, retry_after: Duration, now: Instant) {
        let retry_after = retry_after.min(RETRY_AFTER_MAX);
        if let Some(until) = self.until(now) {
            // The rejected request was sent before the back-off began, so it must not double it.
            self.until = Some(until.max(now + retry_after));
            return;
        }
        let factor = 1_u32 << self.streak.min(7);
        let back_off = (BACK_OFF_MIN * factor).min(BACK_OFF_MAX);
        self.until = Some(now + back_off.max(retry_after));
        self.streak = self.streak.saturating_add(1);
    }

    pub(super) fn answered(&mut self, now: Instant) {
        if self.until(now).is_none() {
            *self = Self::default();
        }
    }

    /// Returns the end of the back-off that is in progress.
    pub(super) fn until(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|until| now < *until)
    }

    /// Returns true if the leaf has not answered since its latest back-off began, so that it gets
    /// one request at a time.
    pub(super) fn is_half_open(&self) -> bool {
        self.streak > 0
    }
}
