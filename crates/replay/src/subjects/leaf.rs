use std::time::Instant;

use medlarpin_core::leaf_state::{
    HealthReport, HealthState, LeafCondition, LeafSnapshot, LeafState, PhaseSnapshot, Wait,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::timeline::{Millis, SignedMillis, Timeline};

/// Events of a leaf's flow-control state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum LeafEvent {
    /// The daemon starts to use the leaf.
    New {
        /// Number of requests that the leaf processes concurrently.
        slots: u32,
    },
    /// Restores a recorded state, so that a replay can start in the middle of a leaf's history.
    Restore(Box<RecordedLeafState>),
    /// A request was sent.
    Sent,
    /// A request was answered.
    Answered {
        /// Time from sending the request to its answer.
        latency_ms: Millis,
    },
    /// The leaf shed a request.
    Shed {
        /// Back-off that the leaf asked for.
        retry_after_ms: Millis,
    },
    /// A request completed without an answer.
    Released,
    /// The leaf refused a request because it is draining.
    Draining,
    /// The leaf was removed from the settings.
    Removed,
    /// A connection was lost or refused.
    ConnectionLost,
    /// A health report arrived.
    Health {
        /// Reported state.
        state: LeafHealth,
        /// Reported load, from 0 to 1.
        load: f64,
    },
    /// Compares the outcome without changing the state.
    #[serde(rename = "look")]
    Observe,
}

/// State that a health report gives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeafHealth {
    /// The leaf is loading its index.
    Starting,
    /// The leaf accepts requests.
    Ready,
    /// The leaf is draining before it stops.
    Draining,
}

/// State of a leaf at one point of a recording; see [`LeafSnapshot`] for the fields.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedLeafState {
    slots: u32,
    in_flight: u32,
    phase: RecordedPhase,
    window: u32,
    answers: u32,
    doubled_at: Option<SignedMillis>,
    is_return: bool,
    streak: u32,
    back_off_until: Option<SignedMillis>,
    last_answer: Option<SignedMillis>,
    suspected_at: Option<SignedMillis>,
    false_returns: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum RecordedPhase {
    Serving,
    Draining {
        last_sign: Option<SignedMillis>,
        next_probe: Option<SignedMillis>,
        ready_reports: u32,
    },
    Lost {
        since: SignedMillis,
        next_trial: SignedMillis,
    },
}

impl RecordedLeafState {
    /// Converts a snapshot; its instants become times of the trace.
    #[must_use]
    pub fn from_snapshot(leaf: &LeafSnapshot, time: Timeline) -> Self {
        let at = |instant: Option<Instant>| instant.map(|instant| time.signed_millis(instant));
        Self {
            slots: leaf.slots,
            in_flight: leaf.in_flight,
            phase: match leaf.phase {
                PhaseSnapshot::Serving => RecordedPhase::Serving,
                PhaseSnapshot::Draining {
                    last_sign,
                    next_probe,
                    ready_reports,
                } => RecordedPhase::Draining {
                    last_sign: at(last_sign),
                    next_probe: at(next_probe),
                    ready_reports,
                },
                PhaseSnapshot::Lost { since, next_trial } => RecordedPhase::Lost {
                    since: time.signed_millis(since),
                    next_trial: time.signed_millis(next_trial),
                },
            },
            window: leaf.window,
            answers: leaf.answers,
            doubled_at: at(leaf.doubled_at),
            is_return: leaf.is_recovering,
            streak: leaf.streak,
            back_off_until: at(leaf.back_off_until),
            last_answer: at(leaf.last_answer),
            suspected_at: at(leaf.suspected_at),
            false_returns: leaf.premature_drain_ends,
        }
    }

    fn to_snapshot(&self, time: Timeline) -> LeafSnapshot {
        let at = |signed: Option<SignedMillis>| signed.map(|signed| time.instant_at_signed(signed));
        LeafSnapshot {
            slots: self.slots,
            in_flight: self.in_flight,
            phase: match self.phase {
                RecordedPhase::Serving => PhaseSnapshot::Serving,
                RecordedPhase::Draining {
                    last_sign,
                    next_probe,
                    ready_reports,
                } => PhaseSnapshot::Draining {
                    last_sign: at(last_sign),
                    next_probe: at(next_probe),
                    ready_reports,
                },
                RecordedPhase::Lost { since, next_trial } => PhaseSnapshot::Lost {
                    since: time.instant_at_signed(since),
                    next_trial: time.instant_at_signed(next_trial),
                },
            },
            window: self.window,
            answers: self.answers,
            doubled_at: at(self.doubled_at),
            is_recovering: self.is_return,
            streak: self.streak,
            back_off_until: at(self.back_off_until),
            last_answer: at(self.last_answer),
            suspected_at: at(self.suspected_at),
            premature_drain_ends: self.false_returns,
        }
    }
}

impl LeafEvent {
    /// Applies the event to a leaf's state. `New` and `Restore`, which create the state, and
    /// `Observe` have no effect.
    pub fn apply_to(&self, leaf: &mut LeafState, now: Instant) {
        match self {
            Self::New { .. } | Self::Restore(_) | Self::Observe => {}
            Self::Sent => leaf.sent(now),
            Self::Answered { latency_ms } => leaf.answered(latency_ms.0, now),
            Self::Shed { retry_after_ms } => leaf.shed(retry_after_ms.0, now),
            Self::Released => leaf.released(now),
            Self::Draining => leaf.draining(now),
            Self::Removed => leaf.removed(),
            Self::ConnectionLost => leaf.connection_lost(now),
            Self::Health { state, load } => {
                let state = HealthState::from(*state);
                leaf.health(HealthReport { state, load: *load }, now);
            }
        }
    }
}

impl From<HealthState> for LeafHealth {
    fn from(state: HealthState) -> Self {
        match state {
            HealthState::Starting => Self::Starting,
            HealthState::Ready => Self::Ready,
            HealthState::Draining => Self::Draining,
        }
    }
}

impl From<LeafHealth> for HealthState {
    fn from(state: LeafHealth) -> Self {
        match state {
            LeafHealth::Starting => Self::Starting,
            LeafHealth::Ready => Self::Ready,
            LeafHealth::Draining => Self::Draining,
        }
    }
}

pub(crate) fn apply(
    subject: &mut Option<LeafState>,
    event: &LeafEvent,
    now: Instant,
    time: Timeline,
) -> Option<Value> {
    match event {
        LeafEvent::New { slots } => *subject = Some(LeafState::new(*slots, now)),
        LeafEvent::Restore(start) => {
            *subject = Some(LeafState::restore(&start.to_snapshot(time), now));
        }
        _ => {}
    }
    let leaf = subject.as_mut()?;
    event.apply_to(leaf, now);
    Some(outcome(leaf, now, time))
}

/// Returns the decisions that follow from a leaf's state, as recorded in traces.
#[must_use]
pub fn outcome(leaf: &LeafState, now: Instant, time: Timeline) -> Value {
    let condition = match leaf.condition(now) {
        LeafCondition::Starting => "starting",
        LeafCondition::Ready => "ready",
        LeafCondition::BackingOff { .. } => "backing_off",
        LeafCondition::Draining => "draining",
        LeafCondition::Lost { .. } => "lost",
    };
    let may_send = match leaf.may_send(now) {
        Ok(()) => json!("now"),
        Err(Wait::Until(at)) => json!({"from_ms": time.whole_ms(at)}),
        Err(Wait::InFlight) => json!("after_an_answer"),
        Err(Wait::Draining) => json!("never"),
    };
    json!({
        "condition": condition,
        "window": leaf.window(now),
        "in_flight": leaf.in_flight(),
        "may_send": may_send,
    })
}
