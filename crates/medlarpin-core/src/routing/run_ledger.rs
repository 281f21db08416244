use std::sync::atomic::{AtomicU32, Ordering};

use super::{Dispatch, NotRun, Repeatability};

/// Set once no further dispatch is allowed.
const SEALED: u32 = 1 << 31;

/// Whether a request may have run: all its dispatches to leafs and other daemons, and which of them cannot have
/// led to a run.
///
/// A request counts as run unless each dispatch was disproved, so that a forgotten, cancelled or unexpected result
/// never looks like a rejection.
#[derive(Debug)]
pub struct RunLedger {
    repeatability: Repeatability,
    /// Number of dispatches that are not disproved; at most 1 if the request may run at most once. Equal to
    /// [`SEALED`] once it is certain that the request has not run and never will.
    state: AtomicU32,
}

impl RunLedger {
    /// Creates the ledger of a request that was not dispatched.
    #[must_use]
    pub fn new(repeatability: Repeatability) -> Self {
        Self {
            repeatability,
            state: AtomicU32::new(0),
        }
    }

    /// Records that the request is about to be sent; returns `None` if it must not be: its caller was told that it
    /// never runs, or it may run at most once and an earlier dispatch may lead to that run.
    pub fn dispatch(&self) -> Option<Dispatch<'_>> {
        let next = |state: u32| {
            let is_allowed = match self.repeatability {
                Repeatability::Idempotent => state & SEALED == 0,
                Repeatability::AtMostOnce => state == 0,
            };
            is_allowed.then(|| state + 1)
        };
        let (set, fetch) = (Ordering::AcqRel, Ordering::Acquire);
        self.state.fetch_update(set, fetch, next).ok()?;
        Some(Dispatch::new(self))
    }

    /// Allows no further dispatch and returns the proof that the request has not run; `None` if it may have run,
    /// which changes nothing.
    pub fn seal(&self) -> Option<NotRun> {
        let (set, fetch) = (Ordering::AcqRel, Ordering::Acquire);
        match self.state.compare_exchange(0, SEALED, set, fetch) {
            Ok(_) | Err(SEALED) => Some(NotRun::sealed()),
            Err(_) => None,
        }
    }

    pub(super) fn disproved(&self) {
        self.state.fetch_sub(1, Ordering::AcqRel);
    }
}
