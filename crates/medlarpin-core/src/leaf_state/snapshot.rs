//! Snapshot of a leaf's flow-control state, for traces.

use std::time::Instant;

use super::back_off::BackOff;
use super::drain::Drain;
use super::slow_start::SlowStart;
use super::{LeafState, Phase};

/// State of a leaf without its latencies and its history of requests in flight, which only affect
/// hedge delays and the number of idle connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeafSnapshot {
    /// Number of requests that the leaf processes concurrently.
    pub slots: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Whether the leaf serves, drains or is lost.
    pub phase: PhaseSnapshot,
    /// Slow-start window.
    pub window: u32,
    /// Answers since the window last doubled.
    pub answers: u32,
    /// Time of the last doubling.
    pub doubled_at: Option<Instant>,
    /// True from the leaf's recovery until its first answer.
    pub is_recovering: bool,
    /// Consecutive back-offs without an answer in between.
    pub streak: u32,
    /// End of the latest back-off, which may have passed.
    pub back_off_until: Option<Instant>,
    /// Time of the latest answer.
    pub last_answer: Option<Instant>,
    /// Time of the latest health report if it was suspicious.
    pub suspected_at: Option<Instant>,
    /// Consecutive times that health reports ended a drain although the leaf was still draining.
    pub premature_drain_ends: u32,
}

/// Whether a leaf serves, drains or is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PhaseSnapshot {
    /// The leaf serves.
    Serving,
    /// The leaf is draining.
    Draining {
        /// Time of the latest evidence that the leaf drains; `None` if the leaf was removed from
        /// the settings.
        last_sign: Option<Instant>,
        /// Time of the next health probe; `None` if the leaf is not probed.
        next_probe: Option<Instant>,
        /// Consecutive `ready` reports.
        ready_reports: u32,
    },
    /// The leaf is unreachable.
    Lost {
        /// Time since which the leaf counts as lost.
        since: Instant,
        /// Earliest time of the next trial request.
        next_trial: Instant,
    },
}

impl LeafState {
    /// Returns a snapshot of the flow-control state.
    #[must_use]
    pub fn snapshot(&self) -> LeafSnapshot {
        LeafSnapshot {
            slots: self.slots,
            in_flight: self.in_flight,
            phase: match self.phase {
                Phase::Serving => PhaseSnapshot::Serving,
                Phase::Draining(drain) => PhaseSnapshot::Draining {
                    last_sign: drain.last_sign,
                    next_probe: drain.next_probe,
                    ready_reports: drain.ready_reports,
                },
                Phase::Lost { since, next_trial } => PhaseSnapshot::Lost { since, next_trial },
            },
            window: self.slow_start.window,
            answers: self.slow_start.answers,
            doubled_at: self.slow_start.doubled_at,
            is_recovering: self.slow_start.is_recovering,
            streak: self.back_off.streak,
            back_off_until: self.back_off.until,
            last_answer: self.last_answer,
            suspected_at: self.suspected_at,
            premature_drain_ends: self.premature_drain_ends,
        }
    }

    /// Creates a state that makes the same flow-control decisions as the one in the snapshot.
    #[must_use]
    pub fn restore(snapshot: &LeafSnapshot, now: Instant) -> Self {
        let phase = match snapshot.phase {
            PhaseSnapshot::Serving => Phase::Serving,
            PhaseSnapshot::Draining {
                last_sign,
                next_probe,
                ready_reports,
            } => Phase::Draining(Drain {
                last_sign,
                next_probe,
                ready_reports,
            }),
            PhaseSnapshot::Lost { since, next_trial } => Phase::Lost { since, next_trial },
        };
        Self {
            in_flight: snapshot.in_flight,
            phase,
            slow_start: SlowStart {
                window: snapshot.window,
                answers: snapshot.answers,
                doubled_at: snapshot.doubled_at,
                is_recovering: snapshot.is_recovering,
            },
            back_off: BackOff {
                streak: snapshot.streak,
                until: snapshot.back_off_until,
            },
            last_answer: snapshot.last_answer,
            suspected_at: snapshot.suspected_at,
            premature_drain_ends: snapshot.premature_drain_ends,
            ..Self::new(snapshot.slots, now)
        }
    }
}
