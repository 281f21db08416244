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

/// What happens to a subject; the first word of the subject's name selects the kind.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
#[expect(missing_docs, reason = "each variant is named after its kind")]
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
            "leaf" => Ok(Self::Leaf(read(value, line)?)),
            "queue" => Ok(Self::Queue(read(value, line)?)),
            "budget" => Ok(Self::Budget(read(value, line)?)),
            "query" => Ok(Self::Query(read(value, line)?)),
            "tickets" => Ok(Self::Tickets(read(value, line)?)),
            "fingerprint" => Ok(Self::Fingerprint(read(value, line)?)),
            "settings" => Ok(Self::Settings(read(value, line)?)),
            "members" => Ok(Self::Members(read(value, line)?)),
            "pause" => Ok(Self::Pause(read(value, line)?)),
            "shares" => Ok(Self::Shares(read(value, line)?)),
            _ => Err(TraceError::UnknownKind {
                line,
                subject: subject.to_owned(),
            }),
        }
    }

    /// Returns true if the event creates its subject, whatever came before it.
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

pub(crate) fn read<T: DeserializeOwned>(value: Value, line: usize) -> Result<T, TraceError> {
    serde_json::from_value(value).map_err(|error| TraceError::InvalidTrace {
        line,
        reason: error.to_string(),
    })
}
