//! The part of a leaf's state that decides about requests, for recordings.

use std::time::Instant;

use super::back_off::BackOff;
use super::drain::Drain;
use super::slow_start::SlowStart;
use super::{LeafState, Phase};

/// State of a leaf without its measurements, which only affect hedge delays and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeafSnapshot {
    /// Slots of the leaf.
    pub slots: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Whether the leaf serves.
    pub phase: PhaseSnapshot,
    /// Window of the slow start.
    pub window: u32,
    /// Answers since the window last doubled.
    pub answers: u32,
    /// When the window last doubled.
    pub doubled_at: Option<Instant>,
    /// True until the first answer after the leaf came back.
    pub is_return: bool,
    /// Back-offs without an answer in between.
    pub streak: u32,
    /// End of the newest back-off.
    pub back_off_until: Option<Instant>,
    /// Time of the newest answer.
    pub last_answer: Option<Instant>,
    /// Time of the newest health report, if it was suspicious.
    pub suspected_at: Option<Instant>,
    /// Times in a row that health reports ended a drain wrongly.
    pub false_returns: u32,
}

/// Whether a leaf serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PhaseSnapshot {
    /// The leaf serves.
    Serving,
    /// The leaf drains.
    Draining {
        /// Time of the last sign; `None` if the leaf was removed from the settings.
        last_sign: Option<Instant>,
        /// When the leaf's health is asked for next.
        next_probe: Option<Instant>,
        /// `ready` reports in a row.
        ready_reports: u32,
    },
    /// The leaf cannot be reached.
    Lost {
        /// Time of the first connection loss.
        since: Instant,
        /// When a trial request may be sent.
        next_trial: Instant,
    },
}

impl LeafState {
    /// Returns the state without its measurements.
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
            is_return: self.slow_start.is_return,
            streak: self.back_off.streak,
            back_off_until: self.back_off.until,
            last_answer: self.last_answer,
            suspected_at: self.suspected_at,
            false_returns: self.false_returns,
        }
    }

    /// Creates a state that decides about requests as the one that the snapshot was taken of.
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
                is_return: snapshot.is_return,
            },
            back_off: BackOff {
                streak: snapshot.streak,
                until: snapshot.back_off_until,
            },
            last_answer: snapshot.last_answer,
            suspected_at: snapshot.suspected_at,
            false_returns: snapshot.false_returns,
            ..Self::new(snapshot.slots, now)
        }
    }
}
