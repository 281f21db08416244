//! Growth of the window of a leaf that is new or came back.

use std::time::{Duration, Instant};

/// Answers after which the window doubles.
const ANSWERS: u32 = 8;
/// Shortest time between doublings; answers from a cache alone must not open the window.
const DOUBLING_INTERVAL: Duration = Duration::from_millis(200);

/// Window that starts at one request and doubles with successful answers.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlowStart {
    pub(super) window: u32,
    /// Answers since the last doubling.
    pub(super) answers: u32,
    pub(super) doubled_at: Option<Instant>,
    /// True until the first answer after the leaf came back.
    pub(super) is_return: bool,
}

impl SlowStart {
    pub(super) fn new() -> Self {
        Self {
            window: 1,
            answers: 0,
            doubled_at: None,
            is_return: false,
        }
    }

    pub(super) fn returned() -> Self {
        Self {
            is_return: true,
            ..Self::new()
        }
    }

    pub(super) fn window(&self) -> u32 {
        self.window
    }

    pub(super) fn is_return(&self) -> bool {
        self.is_return
    }

    pub(super) fn answered(&mut self, full_window: u32, now: Instant) {
        self.is_return = false;
        self.answers = self.answers.saturating_add(1);
        let spaced = self
            .doubled_at
            .is_none_or(|at| now.saturating_duration_since(at) >= DOUBLING_INTERVAL);
        if self.window < full_window && self.answers >= ANSWERS && spaced {
            self.window = self.window.saturating_mul(2);
            self.answers = 0;
            self.doubled_at = Some(now);
        }
    }
}
