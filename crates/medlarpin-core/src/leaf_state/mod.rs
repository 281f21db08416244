//! What a daemon knows about a leaf's ability to take requests.

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

/// Requests beyond the leaf's slots that are kept in flight to hide the round trip.
pub const PIPELINE_DEPTH: u32 = 1;
/// Time between trial requests to a lost leaf.
pub const TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Reported load from which a leaf is suspected to be overloaded.
pub const SUSPECT_LOAD: f64 = 0.95;
/// Time after which a suspicious health report no longer counts.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(2);
/// An answer of this age or younger takes precedence over a suspicious health report.
pub const ANSWER_FRESHNESS: Duration = Duration::from_secs(1);

/// State in a leaf's health report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthState {
    /// The leaf loads its index.
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

/// Condition of a leaf as the daemon observes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeafCondition {
    /// The leaf is new or came back; its window grows with its answers.
    Starting,
    /// The leaf takes requests up to its window.
    Ready,
    /// The leaf shed a request and gets none until this time.
    BackingOff {
        /// End of the back-off.
        until: Instant,
    },
    /// The leaf is about to stop and gets no new work.
    Draining,
    /// The leaf cannot be reached; it gets one trial request at a time.
    Lost {
        /// Time of the first connection loss.
        since: Instant,
    },
}

/// Why a request may not be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// A request may be sent at this time at the earliest.
    Until(Instant),
    /// A request may be sent when one in flight ends.
    InFlight,
    /// The leaf gets no new work until its state changes.
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
/// Each [`sent`](Self::sent) is followed by exactly one of [`answered`](Self::answered),
/// [`shed`](Self::shed) and [`released`](Self::released), which end the request. The other methods
/// report events of the leaf and end no request.
#[derive(Debug, Clone)]
pub struct LeafState {
    slots: u32,
    in_flight: u32,
    phase: Phase,
    slow_start: SlowStart,
    back_off: BackOff,
    /// Numbers of requests in flight after each change.
    in_flight_window: SlidingWindow,
    latencies: LatencyWindow,
    last_answer: Option<Instant>,
    suspected_at: Option<Instant>,
    /// Times in a row that the leaf was still draining after health reports ended a drain.
    false_returns: u32,
}

impl LeafState {
    /// Creates the state of a leaf of which nothing is known.
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
            false_returns: 0,
        }
    }

    /// Returns the leaf's condition.
    #[must_use]
    pub fn condition(&self, now: Instant) -> LeafCondition {
        match self.phase {
            Phase::Draining(drain) => match drain.forgotten_at(now) {
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

    /// Returns the number of requests that may be in flight.
    #[must_use]
    pub fn window(&self, now: Instant) -> u32 {
        match self.condition(now) {
            LeafCondition::BackingOff { .. } | LeafCondition::Draining => 0,
            LeafCondition::Lost { .. } => 1,
            LeafCondition::Starting | LeafCondition::Ready => {
                let window = self.slow_start.window().min(self.full_window());
                // The first request after a back-off tests whether the overload is over.
                if self.back_off.is_unproven() {
                    1
                } else if self.is_suspected(now) {
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

    /// Records a successful answer, which ends its request.
    pub fn answered(&mut self, latency: Duration, now: Instant) {
        self.set_in_flight(self.in_flight.saturating_sub(1), now);
        self.latencies.record(latency, now);
        self.last_answer = Some(now);
        match self.phase {
            Phase::Draining(_) => {}
            Phase::Lost { .. } => self.start_again(),
            Phase::Serving => {
                self.false_returns = 0;
                self.back_off.answered(now);
                self.slow_start.answered(self.full_window(), now);
            }
        }
    }

    /// Records that the leaf shed a request, which ends it.
    pub fn shed(&mut self, retry_after: Duration, now: Instant) {
        self.set_in_flight(self.in_flight.saturating_sub(1), now);
        self.back_off.shed(retry_after, now);
        if matches!(self.phase, Phase::Lost { .. }) {
            self.start_again();
        }
    }

    /// Records that a request ended without an answer: it was cancelled, timed out, lost with its
    /// connection, or refused because the leaf drains.
    pub fn released(&mut self, now: Instant) {
        self.set_in_flight(self.in_flight.saturating_sub(1), now);
    }

    /// Records that the leaf refused work because it drains.
    pub fn draining(&mut self, now: Instant) {
        if matches!(self.phase, Phase::Serving) && self.slow_start.is_return() {
            self.false_returns = self.false_returns.saturating_add(1);
        }
        self.drain(now);
    }

    /// Records that the settings no longer name the leaf; it drains for good.
    pub fn removed(&mut self) {
        self.phase = Phase::Draining(Drain::removed());
    }

    /// Records that a connection was lost or refused.
    ///
    /// A draining leaf stays draining: leafs that drain close their connections, and a trial
    /// request would be new work.
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

    /// Takes in a health report, which may only add suspicion.
    ///
    /// The exception is the end of a drain, which no request may test: it takes several `ready`
    /// reports in a row, and more of them after each time that they proved wrong.
    pub fn health(&mut self, report: HealthReport, now: Instant) {
        match (report.state, &mut self.phase) {
            (HealthState::Draining, _) => self.drain(now),
            (HealthState::Ready, Phase::Draining(drain)) => {
                if drain.ready_reported(self.false_returns) {
                    self.phase = Phase::Serving;
                    self.start_again();
                }
            }
            (HealthState::Starting, Phase::Draining(drain)) => drain.not_ready(),
            (state, _) => {
                let suspicious = state == HealthState::Starting || report.load >= SUSPECT_LOAD;
                self.suspected_at = suspicious.then_some(now);
            }
        }
    }

    /// Returns true when a draining leaf's health is to be asked for; counts as asked then.
    pub fn probe_due(&mut self, now: Instant) -> bool {
        match &mut self.phase {
            Phase::Draining(drain) => drain.probe_due(now),
            Phase::Serving | Phase::Lost { .. } => false,
        }
    }

    /// Returns how many connections should be idle or opening, ahead of need.
    ///
    /// This is the growth of requests in flight over the last second, at least one; the caller
    /// bounds it by its connection share.
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

    fn is_suspected(&self, now: Instant) -> bool {
        let within = |time: Option<Instant>, age: Duration| {
            time.is_some_and(|time| now.saturating_duration_since(time) <= age)
        };
        within(self.suspected_at, SUSPECT_TIMEOUT) && !within(self.last_answer, ANSWER_FRESHNESS)
    }

    fn set_in_flight(&mut self, in_flight: u32, now: Instant) {
        // The level before the change held until now, so it belongs to the last second as well.
        self.in_flight_window.record(u64::from(self.in_flight), now);
        self.in_flight = in_flight;
        self.in_flight_window.record(u64::from(in_flight), now);
    }

    fn drain(&mut self, now: Instant) {
        match &mut self.phase {
            Phase::Draining(drain) => drain.sign(now),
            Phase::Serving | Phase::Lost { .. } => self.phase = Phase::Draining(Drain::new(now)),
        }
    }

    fn start_again(&mut self) {
        self.phase = Phase::Serving;
        self.slow_start = SlowStart::returned();
    }
}
