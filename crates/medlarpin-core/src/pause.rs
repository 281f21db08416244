//! Detection of pauses of the daemon's own process.

use std::time::{Duration, Instant};

use displaydoc::Display;
use thiserror::Error;

/// Time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Usual longest gap between ticks that is no pause; ten ticks, so that a busy scheduler does not count.
pub const DEFAULT_PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// the daemon was paused and has not rejoined the fleet yet
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub struct Paused;

/// Notices that the process did not run for a while.
///
/// After a pause the daemon's view of the fleet, its leases and its queued work may be out of date,
/// so it refuses work until one exchange that it started after the pause has succeeded.
#[derive(Debug, Clone, Copy)]
pub struct PauseDetector {
    /// Longest gap between ticks that is no pause.
    gap: Duration,
    last_tick: Instant,
    /// When the last pause was noticed; `None` once the daemon has rejoined.
    paused_at: Option<Instant>,
    pauses: u64,
}

impl PauseDetector {
    /// Creates a detector of a process that runs.
    #[must_use]
    pub fn new(now: Instant, gap: Duration) -> Self {
        Self {
            gap,
            last_tick: now,
            paused_at: None,
            pauses: 0,
        }
    }

    /// Records a tick of the ticker; returns true if a pause ended with it.
    pub fn tick(&mut self, now: Instant) -> bool {
        let paused = self.is_gap(now);
        if paused {
            self.paused_at = Some(now);
            self.pauses += 1;
        }
        self.last_tick = now.max(self.last_tick);
        paused
    }

    /// Refuses work after a pause; called before anything is sent.
    ///
    /// # Errors
    ///
    /// Returns [`Paused`] from the first look at the clock after a pause until the daemon rejoins.
    pub fn check(&self, now: Instant) -> Result<(), Paused> {
        if self.paused_at.is_some() || self.is_gap(now) {
            Err(Paused)
        } else {
            Ok(())
        }
    }

    /// Records a successful exchange with a peer; returns true if it ended the refusal of work.
    ///
    /// An exchange that was started before the pause was noticed proves nothing: its reply may have
    /// waited in a socket buffer.
    pub fn rejoined(&mut self, exchange_started: Instant, now: Instant) -> bool {
        self.tick(now);
        let fresh = self.paused_at.is_some_and(|at| exchange_started >= at);
        if fresh {
            self.paused_at = None;
        }
        fresh
    }

    /// Returns the number of pauses noticed.
    #[must_use]
    pub fn pauses(&self) -> u64 {
        self.pauses
    }

    fn is_gap(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tick) > self.gap
    }
}
