//! Start and stop of the daemon, as seen by requests and probes.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Counts requests in flight and tells whether new ones are welcome.
#[derive(Debug, Default)]
pub struct Lifecycle {
    /// True once the first settings were taken over with peers or the platform.
    joined: AtomicBool,
    /// True from the shutdown signal on.
    stopping: AtomicBool,
    /// True once the last request has ended and the process is about to end.
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

    /// Records the shutdown signal.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Returns true from the shutdown signal on.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Refuses work of peers from now on; what arrives later would be cut off.
    pub fn set_drained(&self) {
        self.drained.store(true, Ordering::Release);
    }

    /// Returns true if work of peers is refused.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.drained.load(Ordering::Acquire)
    }

    /// Counts a request until the guard is dropped.
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
            // Registers before the check, so that a request that ends in between is not missed.
            notified.as_mut().enable();
            if self.in_flight() == 0 {
                return;
            }
            notified.await;
        }
    }
}

/// A request in flight.
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
