use std::time::Instant;

use medlarpin_core::pause::{DEFAULT_PAUSE_THRESHOLD, PauseDetector};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::timeline::{Millis, Timeline};

/// Events of a pause detector.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum PauseEvent {
    New,
    /// The periodic tick; a long gap since the previous one shows that the process was paused.
    Tick,
    /// Checks whether work may be sent.
    Check,
    /// An exchange with a peer, started at this time, succeeded.
    Rejoined {
        started_ms: Millis,
    },
}

pub(crate) fn apply(
    subject: &mut Option<PauseDetector>,
    event: &PauseEvent,
    now: Instant,
    time: Timeline,
) -> Option<Value> {
    if matches!(event, PauseEvent::New) {
        *subject = Some(PauseDetector::new(now, DEFAULT_PAUSE_THRESHOLD));
    }
    let detector = subject.as_mut()?;
    let result = match event {
        PauseEvent::Tick if detector.tick(now) => json!("pause_ended"),
        PauseEvent::New | PauseEvent::Tick => json!("running"),
        PauseEvent::Check if detector.check(now).is_ok() => json!("may_work"),
        PauseEvent::Check => json!("refuse_work"),
        PauseEvent::Rejoined { started_ms } => {
            json!({"rejoined": detector.record_exchange(time.instant(*started_ms), now)})
        }
    };
    Some(result)
}
