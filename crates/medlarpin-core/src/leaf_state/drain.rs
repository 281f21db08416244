//! Tracking of a leaf's drain and detection of its end.

use std::time::{Duration, Instant};

/// Time between health probes of a draining leaf.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without evidence of draining after which the leaf gets trial requests.
///
/// Otherwise, a leaf with a broken health endpoint would never get requests again.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Consecutive `ready` reports that end a drain. One is not enough, because health reports lag by
/// about 2 s; the number doubles with each drain that the reports ended too early.
const READY_REPORTS: u32 = 3;
/// Upper bound of the number of `ready` reports that end a drain.
const READY_REPORTS_MAX: u32 = 60;

/// A drain in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct Drain {
    /// Time of the latest evidence that the leaf drains; `None` if the leaf was removed from the
    /// settings, in which case the drain never ends.
    pub(super) last_sign: Option<Instant>,
    /// Time of the next health probe; `None` if the leaf is not probed.
    pub(super) next_probe: Option<Instant>,
    /// Consecutive `ready` reports.
    pub(super) ready_reports: u32,
}

impl Drain {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            last_sign: Some(now),
            next_probe: Some(now + PROBE_INTERVAL),
            ready_reports: 0,
        }
    }

    pub(super) fn removed() -> Self {
        Self {
            last_sign: None,
            next_probe: None,
            ready_reports: 0,
        }
    }

    pub(super) fn record_evidence(&mut self, now: Instant) {
        self.last_sign = self.last_sign.map(|_| now);
        self.ready_reports = 0;
    }

    pub(super) fn not_ready(&mut self) {
        self.ready_reports = 0;
    }

    /// Counts a `ready` report; returns true if the drain is over.
    pub(super) fn ready_reported(&mut self, premature_drain_ends: u32) -> bool {
        self.ready_reports = self.ready_reports.saturating_add(1);
        let needed = (READY_REPORTS << premature_drain_ends.min(5)).min(READY_REPORTS_MAX);
        self.last_sign.is_some() && self.ready_reports >= needed
    }

    pub(super) fn probe_due(&mut self, now: Instant) -> bool {
        let due = self.next_probe.is_some_and(|at| now >= at);
        if due {
            self.next_probe = Some(now + PROBE_INTERVAL);
        }
        due
    }

    /// Returns the time at which the drain timed out, if it did.
    pub(super) fn timed_out_at(&self, now: Instant) -> Option<Instant> {
        let at = self.last_sign? + DRAIN_TIMEOUT;
        (now >= at).then_some(at)
    }
}
