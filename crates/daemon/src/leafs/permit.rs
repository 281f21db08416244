//! Permits to have a request in flight at a leaf.

use std::sync::Arc;

use medlarpin_core::prelude::*;

use crate::leafs::slot::LeafSlot;

/// The right to have one request in flight at a leaf.
///
/// It counts against the leaf's slots until it ends, also when nobody waits for the answer any more.
#[derive(Debug)]
pub struct Permit {
    slot: Arc<LeafSlot>,
    sent_at: Instant,
    queue_wait: Duration,
    /// True until the request's end was recorded.
    open: bool,
}

impl Permit {
    /// Creates the permit of a request that the slot counts as sent.
    #[must_use]
    pub fn new(slot: Arc<LeafSlot>, sent_at: Instant, queue_wait: Duration) -> Self {
        Self {
            slot,
            sent_at,
            queue_wait,
            open: true,
        }
    }

    /// Returns the time that the request was queued.
    #[must_use]
    pub fn queue_wait(&self) -> Duration {
        self.queue_wait
    }

    /// Ends the request with an answer.
    pub fn answered(mut self) {
        self.slot.end_answered(self.sent_at);
        self.close();
    }

    /// Ends the request, because the leaf shed it.
    pub fn shed(mut self, retry_after: Duration) {
        self.slot.end_shed(self.sent_at, retry_after);
        self.close();
    }

    /// Drops the permit without recording an end; the caller records it.
    pub(super) fn defuse(mut self) {
        self.open = false;
    }

    fn close(&mut self) {
        self.open = false;
        self.slot.dispatch();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.open {
            self.slot.end_released(self.sent_at);
            self.close();
        }
    }
}
