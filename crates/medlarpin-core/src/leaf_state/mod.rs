//! Health and flow control of a leaf, as observed by a daemon.

mod back_off;
mod drain;
mod slow_start;
mod snapshot;

use std::time::{Duration, Instant};

use crate::latency_window::LatencyWindow;
use crate::sliding_window::SlidingWindow;
use back_off::BackOff;
use drain::Drain;
use slow_start::SlowStart;

pub use drain::{DRAIN_TIMEOUT, PROBE_INTERVAL};
pub use snapshot::{LeafSnapshot, PhaseSnapshot};

/// Requests in flight beyond the leaf's slots, which hide the network round trip.
pub const PIPELINE_DEPTH: u32 = 1;
/// Time between trial requests to a lost leaf.
pub const TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Reported load from which a leaf is suspected of being overloaded; from 0 to 1.
pub const SUSPECT_LOAD: f64 = 0.95;
/// Time after which a suspicious health report expires.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum age of an answer that overrides a suspicious health report.
pub const ANSWER_FRESHNESS: Duration = Duration::from_secs(1);

/// State that a leaf reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthState {
    /// The leaf is loading its index.
    Starting,
    /// The leaf takes requests.
    Ready,
    /// The leaf is about to stop.
    Draining,
}

/// A leaf's health report; it may be stale or misleading.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HealthReport {
    /// Reported state.
    pub state: HealthState,
    /// Reported load, from 0 to 1.
    pub load: f64,
}

/// Condition of a leaf, as observed by the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeafCondition {
    /// The leaf is new or has recovered; its window grows with each answer (slow start).
    Starting,
    /// The leaf takes requests up to its full window.
    Ready,
    /// The leaf shed a request and gets no requests until the back-off ends.
    BackingOff {
        /// End of the back-off.
        until: Instant,
    },
    /// The leaf is about to stop and gets no new requests.
    Draining,
    /// The leaf is unreachable; it gets one trial request at a time.
    Lost {
        /// Time since which the leaf counts as lost.
        since: Instant,
    },
}

/// Why a request must not be sent now, and what it has to wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// No request may be sent before this time.
    Until(Instant),
    /// The window is full; a request may be sent when one in flight completes.
    InFlight,
    /// The leaf gets no requests until its drain ends.
    Draining,
}

#[derive(Debug, Clone, Copy)]
enum Phase {
    Serving,
    Draining(Drain),
    Lost { since: Instant, next_trial: Instant },
}

/// Decides how many requests a leaf gets and when.
///
/// Each call of [`sent`](Self::sent) must be followed by exactly one call of
/// [`answered`](Self::answered), [`shed`](Self::shed) or [`released`](Self::released), which remove
/// the request from those in flight. The other methods record events of the leaf and do not change
/// the number of requests in flight.
#[derive(Debug, Clone)]
pub struct LeafState {
    slots: u32,
    in_flight: u32,
    phase: Phase,
    slow_start: SlowStart,
    back_off: BackOff,
    /// The number of requests in flight over the last second.
    in_flight_window: SlidingWindow,
    latencies: LatencyWindow,
    last_answer: Option<Instant>,
    suspected_at: Option<Instant>,
    /// Consecutive times that health reports ended a drain although the leaf was still draining.
    premature_drain_ends: u32,
}

impl LeafState {
    /// Creates the state of a leaf without observations.
    #[must_use]
    pub fn new(slots: u32, now: Instant) -> Self {
        let mut in_flight_window = SlidingWindow::new();
        in_flight_window.record(0, now);
        Self {
            slots: slots.max(1),
            in_flight: 0,
            phase: Phase::Serving,
            slow_start: SlowStart::new(),
            back_off: BackOff::default(),
            in_flight_window,
            latencies: LatencyWindow::new(),
            last_answer: None,
            suspected_at: None,
            premature_drain_ends: 0,
        }
    }

    /// Returns the leaf's condition.
    #[must_use]
    pub fn condition(&self, now: Instant) -> LeafCondition {
        match self.phase {
            Phase::Draining(drain) => match drain.timed_out_at(now) {
                Some(since) => LeafCondition::Lost { since },
                None => LeafCondition::Draining,
            },
            Phase::Lost { since, .. } => LeafCondition::Lost { since },
            Phase::Serving => {
                if let Some(until) = self.back_off.until(now) {
                    LeafCondition::BackingOff { until }
                } else if self.slow_start.window() < self.full_window() {
                    LeafCondition::Starting
                } else {
                    LeafCondition::Ready
                }
            }
        }
    }

    /// Returns the maximum number of requests in flight.
    #[must_use]
    pub fn window(&self, now: Instant) -> u32 {
        match self.condition(now) {
            LeafCondition::BackingOff { .. } | LeafCondition::Draining => 0,
            LeafCondition::Lost { .. } => 1,
            LeafCondition::Starting | LeafCondition::Ready => {
                let window = self.slow_start.window().min(self.full_window());
                // After a back-off, a single request tests whether the overload is over.
                if self.back_off.is_half_open() {
                    1
                } else if self.is_suspect(now) {
                    (window / 2).max(1)
                } else {
                    window
                }
            }
        }
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the latencies of the leaf's answers.
    #[must_use]
    pub fn latencies(&self) -> &LatencyWindow {
        &self.latencies
    }

    /// Decides whether a request may be sent now.
    ///
    /// # Errors
    ///
    /// Returns what the request has to wait for.
    pub fn may_send(&self, now: Instant) -> Result<(), Wait> {
        match self.condition(now) {
            LeafCondition::BackingOff { until } => Err(Wait::Until(until)),
            LeafCondition::Draining => Err(Wait::Draining),
            LeafCondition::Lost { .. } => match self.phase {
                Phase::Lost { next_trial, .. } if now < next_trial => Err(Wait::Until(next_trial)),
                _ => Ok(()),
            },
            LeafCondition::Starting | LeafCondition::Ready => {
                if self.in_flight < self.window(now) {
                    Ok(())
                } else {
                    Err(Wait::InFlight)
                }
            }
        }
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, now: Instant) {
        if let LeafCondition::Lost { since } = self.condition(now) {
            let next_trial = now + TRIAL_INTERVAL;
            self.phase = Phase::Lost { since, next_trial };
        }
        self.set_in_flight(self.in_flight + 1, now);
    }

    /// Records that a request was answered successfully.
    pub fn answered(&mut self, latency: Duration, now: Instant) {
        self.set_in_flight(self.in_flight.saturating_sub(1), now);
        self.latencies.record(latency, now);
        self.last_answer = Some(now);
        match self.phase {
            Phase::Draining(_) => {}
            Phase::Lost { .. } => self.restart_slow_start(),
            Phase::Serving => {
                self.premature_drain_ends = 0;
                self.back_off.answered(now);
                self.slow_start.answered(self.full_window(), now);
            }
        }
    }

    /// Records that the leaf shed a request because of overload.
    pub fn shed(&mut self, retry_after: Duration, now: Instant) {
        self.set_in_flight(self.in_flight.saturating_sub(1), now);
        self.back_off.shed(retry_after, now);
        if matches!(self.phase, Phase::Lost { .. }) {
            self.restart_slow_start();
        }
    }

    /// Records that a request completed without an answer: it was cancelled, timed out, lost with
    /// its connection, or refused because the leaf is draining.
    pub fn released(&mut self, now: Instant) {
        self.set_in_flight(self.in_flight.saturating_sub(1), now);
    }

    /// Records that the leaf refused a request because it is draining.
    pub fn draining(&mut self, now: Instant) {
        if matches!(self.phase, Phase::Serving) && self.slow_start.is_recovering() {
            self.premature_drain_ends = self.premature_drain_ends.saturating_add(1);
        }
        self.start_drain(now);
    }

    /// Records that the leaf was removed from the settings; its drain never ends.
    pub fn removed(&mut self) {
        self.phase = Phase::Draining(Drain::removed());
    }

    /// Records that a connection was lost or refused.
    ///
    /// A draining leaf stays draining: it is expected to close its connections, and it must not get
    /// a trial request.
    pub fn connection_lost(&mut self, now: Instant) {
        match &mut self.phase {
            Phase::Draining(_) => {}
            Phase::Lost { next_trial, .. } => *next_trial = (*next_trial).max(now),
            Phase::Serving => {
                self.phase = Phase::Lost {
                    since: now,
                    next_trial: now + TRIAL_INTERVAL,
                };
            }
        }
    }

    /// Applies a health report, which can make the leaf suspect but never overrides observations.
    ///
    /// The exception is the end of a drain, which requests must not test: it takes several
    /// consecutive `ready` reports, and more of them each time that they ended a drain too early.
    pub fn health(&mut self, report: HealthReport, now: Instant) {
        match (report.state, &mut self.phase) {
            (HealthState::Draining, _) => self.start_drain(now),
            (HealthState::Ready, Phase::Draining(drain)) => {
                if drain.ready_reported(self.premature_drain_ends) {
                    self.phase = Phase::Serving;
                    self.restart_slow_start();
                }
            }
            (HealthState::Starting, Phase::Draining(drain)) => drain.not_ready(),
            (state, _) => {
                let suspicious = state == HealthState::Starting || report.load >= SUSPECT_LOAD;
                self.suspected_at = suspicious.then_some(now);
            }
        }
    }

    /// Returns true if a health probe of the draining leaf is due, and schedules the next one.
    pub fn probe_due(&mut self, now: Instant) -> bool {
        match &mut self.phase {
            Phase::Draining(drain) => drain.probe_due(now),
            Phase::Serving | Phase::Lost { .. } => false,
        }
    }

    /// Returns the target number of connections that are idle or being opened.
    ///
    /// For a leaf that serves, it is the difference between the most and the fewest requests in
    /// flight over the last second, at least 1. The caller bounds it by its connection share.
    #[must_use]
    pub fn target_idle_connections(&self, now: Instant) -> u32 {
        match self.condition(now) {
            LeafCondition::Draining => 0,
            LeafCondition::Lost { .. } => u32::from(self.may_send(now).is_ok()),
            _ => {
                let in_flight = u64::from(self.in_flight);
                let lowest = self.in_flight_window.min(now).unwrap_or(in_flight);
                let highest = self.in_flight_window.max(now).unwrap_or(in_flight);
                let growth = highest.max(in_flight) - lowest.min(in_flight);
                u32::try_from(growth).unwrap_or(u32::MAX).max(1)
            }
        }
    }

    fn full_window(&self) -> u32 {
        self.slots.saturating_add(PIPELINE_DEPTH)
    }

    fn is_suspect(&self, now: Instant) -> bool {
        let within = |time: Option<Instant>, age: Duration| {
            time.is_some_and(|time| now.saturating_duration_since(time) <= age)
        };
        within(self.suspected_at, SUSPECT_TIMEOUT) && !within(self.last_answer, ANSWER_FRESHNESS)
    }

    fn set_in_flight(&mut self, in_flight: u32, now: Instant) {
        // The previous value was valid until now, so it is part of the last second as well.
        self.in_flight_window.record(u64::from(self.in_flight), now);
        self.in_flight = in_flight;
        self.in_flight_window.record(u64::from(in_flight), now);
    }

    /// Starts a drain, or records further evidence of the one in progress.
    fn start_drain(&mut self, now: Instant) {
        match &mut self.phase {
            Phase::Draining(drain) => drain.record_evidence(now),
            Phase::Serving | Phase::Lost { .. } => self.phase = Phase::Draining(Drain::new(now)),
        }
    }

    /// Puts the leaf back into service with the smallest window.
    fn restart_slow_start(&mut self) {
        self.phase = Phase::Serving;
        self.slow_start = SlowStart::recovering();
    }
}
