//! Permits for requests in flight at a leaf.

use std::sync::Arc;

use medlarpin_core::prelude::*;

use crate::leafs::slot::LeafSlot;

/// Permission to have one request in flight at a leaf.
///
/// It occupies one of the leaf's slots until its outcome is recorded, even if the caller has
/// stopped waiting for the answer. Dropping it releases the slot as a request without an answer.
#[derive(Debug)]
pub struct Permit {
    slot: Arc<LeafSlot>,
    sent_at: Instant,
    queue_wait: Duration,
    /// True until the request's outcome is recorded.
    is_open: bool,
}

impl Permit {
    /// Creates the permit of a request that the slot counts as sent.
    #[must_use]
    pub fn new(slot: Arc<LeafSlot>, sent_at: Instant, queue_wait: Duration) -> Self {
        Self {
            slot,
            sent_at,
            queue_wait,
            is_open: true,
        }
    }

    /// Returns how long the request waited in the queue.
    #[must_use]
    pub fn queue_wait(&self) -> Duration {
        self.queue_wait
    }

    /// Records that the leaf answered.
    pub fn answered(mut self) {
        self.slot.record_answered(self.sent_at);
        self.close();
    }

    /// Records that the leaf shed the request.
    pub fn shed(mut self, retry_after: Duration) {
        self.slot.record_shed(self.sent_at, retry_after);
        self.close();
    }

    /// Drops the permit without recording an outcome; the caller records it.
    pub(super) fn disarm(mut self) {
        self.is_open = false;
    }

    fn close(&mut self) {
        self.is_open = false;
        self.slot.dispatch();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.is_open {
            self.slot.record_released(self.sent_at);
            self.close();
        }
    }
}
