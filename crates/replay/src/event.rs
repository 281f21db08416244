use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::TraceError;
use crate::subjects::budget::BudgetEvent;
use crate::subjects::fingerprints::FingerprintEvent;
use crate::subjects::leaf::LeafEvent;
use crate::subjects::members::MemberEvent;
use crate::subjects::pause::PauseEvent;
use crate::subjects::query::QueryEvent;
use crate::subjects::queue::QueueEvent;
use crate::subjects::settings::SettingsEvent;
use crate::subjects::shares::ShareEvent;
use crate::subjects::tickets::TicketEvent;

/// Input of an event; the first word of the subject selects the variant.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
#[expect(
    missing_docs,
    reason = "each variant is named after its kind of subject"
)]
pub enum Event {
    Leaf(LeafEvent),
    Queue(QueueEvent),
    Budget(BudgetEvent),
    Query(QueryEvent),
    Tickets(TicketEvent),
    Fingerprint(FingerprintEvent),
    Settings(SettingsEvent),
    Members(MemberEvent),
    Pause(PauseEvent),
    Shares(ShareEvent),
}

impl Event {
    pub(crate) fn parse(subject: &str, value: Value, line: usize) -> Result<Self, TraceError> {
        let kind = subject.split(' ').next().unwrap_or_default();
        match kind {
            "leaf" => Ok(Self::Leaf(deserialize(value, line)?)),
            "queue" => Ok(Self::Queue(deserialize(value, line)?)),
            "budget" => Ok(Self::Budget(deserialize(value, line)?)),
            "query" => Ok(Self::Query(deserialize(value, line)?)),
            "tickets" => Ok(Self::Tickets(deserialize(value, line)?)),
            "fingerprint" => Ok(Self::Fingerprint(deserialize(value, line)?)),
            "settings" => Ok(Self::Settings(deserialize(value, line)?)),
            "members" => Ok(Self::Members(deserialize(value, line)?)),
            "pause" => Ok(Self::Pause(deserialize(value, line)?)),
            "shares" => Ok(Self::Shares(deserialize(value, line)?)),
            _ => Err(TraceError::UnknownKind {
                line,
                subject: subject.to_owned(),
            }),
        }
    }

    /// Returns true if the event creates its subject or replaces the existing one, so that a replay
    /// can start at it.
    #[must_use]
    pub fn creates_subject(&self) -> bool {
        match self {
            Self::Leaf(event) => matches!(event, LeafEvent::New { .. } | LeafEvent::Restore(_)),
            Self::Queue(event) => matches!(event, QueueEvent::New),
            Self::Budget(event) => matches!(event, BudgetEvent::New),
            Self::Query(event) => matches!(event, QueryEvent::New { .. }),
            Self::Tickets(event) => matches!(event, TicketEvent::New { .. }),
            Self::Fingerprint(event) => matches!(event, FingerprintEvent::New),
            Self::Settings(event) => matches!(event, SettingsEvent::New),
            Self::Members(event) => matches!(event, MemberEvent::New { .. }),
            Self::Pause(event) => matches!(event, PauseEvent::New),
            Self::Shares(event) => matches!(event, ShareEvent::New { .. }),
        }
    }
}

pub(crate) fn deserialize<T: DeserializeOwned>(value: Value, line: usize) -> Result<T, TraceError> {
    serde_json::from_value(value).map_err(|error| TraceError::InvalidTrace {
        line,
        reason: error.to_string(),
    })
}
