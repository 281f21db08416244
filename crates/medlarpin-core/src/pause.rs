//! Detection of pauses of this process, for example while its VM is suspended.

use std::time::{Duration, Instant};

use displaydoc::Display;
use thiserror::Error;

/// Time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Default of the gap between ticks above which the process counts as paused.
///
/// It is ten tick intervals, so that delays by a busy scheduler do not count.
pub const DEFAULT_PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// the daemon was paused and has not rejoined the fleet yet
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub struct Paused;

/// Detects that the process was paused, from gaps between its ticks.
///
/// After a pause the daemon's view of the fleet, its leases and its queued work may be out of date.
/// So it refuses work until an exchange that it started after the pause has succeeded.
#[derive(Debug, Clone, Copy)]
pub struct PauseDetector {
    /// Gap between ticks above which the process counts as paused.
    threshold: Duration,
    last_tick: Instant,
    /// When the last pause was detected; `None` after the daemon has rejoined the fleet.
    paused_at: Option<Instant>,
    pauses: u64,
}

impl PauseDetector {
    /// Creates a detector for a process that is not paused.
    #[must_use]
    pub fn new(now: Instant, threshold: Duration) -> Self {
        Self {
            threshold,
            last_tick: now,
            paused_at: None,
            pauses: 0,
        }
    }

    /// Records a tick; returns true if the process was paused before it.
    pub fn tick(&mut self, now: Instant) -> bool {
        let was_paused = self.is_gap(now);
        if was_paused {
            self.paused_at = Some(now);
            self.pauses += 1;
        }
        self.last_tick = now.max(self.last_tick);
        was_paused
    }

    /// Checks that the daemon may do work. Must be called before anything is sent.
    ///
    /// # Errors
    ///
    /// Returns [`Paused`] after a pause, even before the next tick, until the daemon has rejoined.
    pub fn check(&self, now: Instant) -> Result<(), Paused> {
        if self.paused_at.is_some() || self.is_gap(now) {
            Err(Paused)
        } else {
            Ok(())
        }
    }

    /// Records a successful exchange with a peer, or with the platform if there are no peers;
    /// returns true if it ends a pause, so that the daemon has rejoined the fleet.
    ///
    /// An exchange that was started before the pause was detected does not count, because its reply
    /// may have been in a socket buffer during the pause.
    pub fn record_exchange(&mut self, exchange_started: Instant, now: Instant) -> bool {
        self.tick(now);
        let is_after_pause = self.paused_at.is_some_and(|at| exchange_started >= at);
        if is_after_pause {
            self.paused_at = None;
        }
        is_after_pause
    }

    /// Returns the number of pauses detected.
    #[must_use]
    pub fn pauses(&self) -> u64 {
        self.pauses
    }

    fn is_gap(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tick) > self.threshold
    }
}
