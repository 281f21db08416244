//! Slow start of a leaf that is new or has recovered.

use std::time::{Duration, Instant};

/// Answers after which the window doubles.
const ANSWERS_PER_DOUBLING: u32 = 8;
/// Minimum time between doublings, so that a burst of fast cached answers does not open the window.
const DOUBLING_INTERVAL: Duration = Duration::from_millis(200);

/// Window of requests in flight that starts at 1 and doubles with successful answers.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlowStart {
    /// Maximum number of requests in flight.
    pub(super) window: u32,
    /// Answers since the last doubling.
    pub(super) answers: u32,
    /// Time of the last doubling.
    pub(super) doubled_at: Option<Instant>,
    /// True from the leaf's recovery until its first answer.
    pub(super) is_recovering: bool,
}

impl SlowStart {
    pub(super) fn new() -> Self {
        Self {
            window: 1,
            answers: 0,
            doubled_at: None,
            is_recovering: false,
        }
    }

    pub(super) fn recovering() -> Self {
        Self {
            is_recovering: true,
            ..Self::new()
        }
    }

    pub(super) fn window(&self) -> u32 {
        self.window
    }

    pub(super) fn is_recovering(&self) -> bool {
        self.is_recovering
    }

    pub(super) fn answered(&mut self, full_window: u32, now: Instant) {
        self.is_recovering = false;
        self.answers = self.answers.saturating_add(1);
        let is_interval_over = self
            .doubled_at
            .is_none_or(|at| now.saturating_duration_since(at) >= DOUBLING_INTERVAL);
        if self.window < full_window && self.answers >= ANSWERS_PER_DOUBLING && is_interval_over {
            self.window = self.window.saturating_mul(2);
            self.answers = 0;
            self.doubled_at = Some(now);
        }
    }
}
