use std::time::Instant;

use medlarpin_core::fair_queue::{Discipline, FairQueue, Popped, QueueRefusal};
use medlarpin_core::ids::TeamName;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::timeline::{Millis, Timeline};

/// Events of the fair queue in front of a leaf.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum QueueEvent {
    New,
    /// Queues a request; `deadline_ms` is a time of the trace.
    Push {
        team: String,
        weight: u32,
        deadline_ms: Millis,
        item: String,
    },
    Pop,
    /// The leaf took this time to serve a request.
    Served {
        service_ms: Millis,
    },
}

pub(crate) fn apply(
    subject: &mut Option<FairQueue<String>>,
    event: &QueueEvent,
    now: Instant,
    time: Timeline,
) -> Option<Value> {
    if matches!(event, QueueEvent::New) {
        *subject = Some(FairQueue::new(Discipline::FairShare));
    }
    let queue = subject.as_mut()?;
    let result = match event {
        QueueEvent::New => json!({"queued": 0}),
        QueueEvent::Push {
            team,
            weight,
            deadline_ms,
            item,
        } => {
            let deadline = time.instant(*deadline_ms);
            match queue.push(&TeamName::new(team), *weight, deadline, item.clone(), now) {
                Ok(()) => json!({"queued": queue.len()}),
                Err((_item, refusal)) => json!({"refused": refusal_name(refusal)}),
            }
        }
        QueueEvent::Pop => match queue.pop(now) {
            Popped::Ready(item) => json!({"ready": item}),
            Popped::Expired(item) => json!({"expired": item}),
            Popped::Empty => json!("empty"),
        },
        QueueEvent::Served { service_ms } => {
            queue.record_service_time(service_ms.0);
            json!({"queued": queue.len()})
        }
    };
    Some(result)
}

fn refusal_name(refusal: QueueRefusal) -> &'static str {
    match refusal {
        QueueRefusal::TeamFull => "team_full",
        QueueRefusal::WaitTooLong { .. } => "wait_too_long",
        QueueRefusal::DeadlinePassed => "deadline_passed",
    }
}
