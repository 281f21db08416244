//! Start-up and shutdown state of the daemon, and its requests in flight.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Tracks whether the daemon has joined or is stopping, and counts its requests in flight.
#[derive(Debug, Default)]
pub struct Lifecycle {
    /// True once the first settings were received from peers or the platform.
    joined: AtomicBool,
    /// True after the shutdown signal.
    stopping: AtomicBool,
    /// True once the last request has finished and the process is about to exit.
    drained: AtomicBool,
    in_flight: AtomicUsize,
    idle: Notify,
}

impl Lifecycle {
    /// Records that the daemon has joined the fleet.
    pub fn set_joined(&self) {
        self.joined.store(true, Ordering::Release);
    }

    /// Returns true once the daemon has joined the fleet.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.joined.load(Ordering::Acquire)
    }

    /// Records that shutdown has begun.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Returns true once shutdown has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Records that the last request has finished. From now on, batches and ticketed queries are
    /// refused, because the exit of the process would cut them off.
    pub fn set_drained(&self) {
        self.drained.store(true, Ordering::Release);
    }

    /// Returns true once the last request has finished; batches and ticketed queries are then
    /// refused.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.drained.load(Ordering::Acquire)
    }

    /// Counts a request as in flight until the guard is dropped.
    #[must_use]
    pub fn track_request(&self) -> InFlightGuard<'_> {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard { lifecycle: self }
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Waits until no request is in flight.
    pub async fn wait_idle(&self) {
        loop {
            let notified = self.idle.notified();
            tokio::pin!(notified);
            // Registers before the check, so that a request that finishes in between is not missed.
            notified.as_mut().enable();
            if self.in_flight() == 0 {
                return;
            }
            notified.await;
        }
    }
}

/// Keeps a request counted as in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard<'a> {
    lifecycle: &'a Lifecycle,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        if self.lifecycle.in_flight.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.lifecycle.idle.notify_waiters();
        }
    }
}
