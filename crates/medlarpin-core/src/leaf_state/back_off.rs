//! Exponential back-off after a leaf shed a request.

use std::time::{Duration, Instant};

const BACK_OFF_MIN: Duration = Duration::from_millis(20);
const BACK_OFF_MAX: Duration = Duration::from_secs(2);
/// Longest `retry_after_ms` that is followed; a leaf must not disable itself by a wrong figure.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);

/// Times at which a leaf that sheds load gets requests again.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct BackOff {
    /// Back-offs without an answer in between.
    pub(super) streak: u32,
    pub(super) until: Option<Instant>,
}

impl BackOff {
    pub(super) fn shed(&mut self, retry_after: Duration, now: Instant) {
        let retry_after = retry_after.min(RETRY_AFTER_MAX);
        if let Some(until) = self.until(now) {
            // Requests sent before the back-off began say nothing about its end.
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

    /// Returns the end of the present back-off.
    pub(super) fn until(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|until| now < *until)
    }

    /// Returns true if the leaf has not answered since its last back-off began.
    pub(super) fn is_unproven(&self) -> bool {
        self.streak > 0
    }
}
