//! Parses and validates callers' requests.

use std::sync::Arc;

use axum::http::StatusCode;
use displaydoc::Display;
use medlarpin_core::prelude::*;
use serde::Deserialize;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Maximum length of a query text.
pub const QUERY_LIMIT_BYTES: usize = 64 * 1024;

/// Why a request was refused as invalid; nothing was sent to a leaf.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum RequestError {
    /// body is not a valid request: {0}
    Malformed(String),
    /// content type must be application/json
    ContentType,
    /// body is larger than {limit_bytes} bytes
    BodyTooLarge {
        /// Maximum size of a body, from the settings.
        limit_bytes: usize,
    },
    /// body could not be read
    BodyLost,
    /// body did not arrive in time
    BodyTimedOut,
    /// no memory is left for the body; no leaf has run the request
    OutOfMemory,
    /// unknown team {0}
    UnknownTeam(String),
    /// unknown service {0}
    UnknownService(String),
    /// no such path
    UnknownPath,
    /// method not allowed on this path
    Method,
    /// deadline_ms is {given_ms}; it must be between 1 and {cap_ms}
    Deadline {
        /// Deadline in the request.
        given_ms: u64,
        /// Maximum deadline in the team's settings.
        cap_ms: u32,
    },
    /// query has {given_bytes} bytes; it must have between 1 and 65536
    QueryLength {
        /// Length of the query text.
        given_bytes: usize,
    },
    /// shards must name at least one shard; leave the field out to ask all of them
    NoShards,
    /// a query that is not idempotent needs a ticket from POST /v1/tickets
    TicketRequired,
    /// ticket is malformed: {0}
    TicketMalformed(String),
    /// ticket belongs to another team or query
    TicketMismatch,
}

impl RequestError {
    /// Returns the HTTP status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Malformed(_) | Self::BodyLost | Self::TicketMalformed(_) => {
                StatusCode::BAD_REQUEST
            }
            Self::BodyTimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::OutOfMemory => StatusCode::SERVICE_UNAVAILABLE,
            Self::ContentType => StatusCode::UNSUPPORTED_MEDIA_TYPE,
            Self::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::UnknownTeam(_) | Self::UnknownService(_) | Self::UnknownPath => {
                StatusCode::NOT_FOUND
            }
            Self::Method => StatusCode::METHOD_NOT_ALLOWED,
            Self::TicketMismatch => StatusCode::CONFLICT,
            Self::Deadline { .. }
            | Self::QueryLength { .. }
            | Self::NoShards
            | Self::TicketRequired => StatusCode::UNPROCESSABLE_ENTITY,
        }
    }

    /// Returns the name used in error bodies and metrics.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::Malformed(_) => "malformed",
            Self::ContentType => "content_type",
            Self::BodyTooLarge { .. } => "body_too_large",
            Self::BodyLost => "body_lost",
            Self::BodyTimedOut => "body_timed_out",
            Self::OutOfMemory => "out_of_memory",
            Self::UnknownTeam(_) => "unknown_team",
            Self::UnknownService(_) => "unknown_service",
            Self::UnknownPath => "unknown_path",
            Self::Method => "method_not_allowed",
            Self::Deadline { .. } => "deadline_out_of_range",
            Self::QueryLength { .. } => "query_length",
            Self::NoShards => "no_shards",
            Self::TicketRequired => "ticket_required",
            Self::TicketMalformed(_) => "ticket_malformed",
            Self::TicketMismatch => "ticket_mismatch",
        }
    }
}

/// Body of `POST /v1/query`, as sent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryBody {
    /// Team that sends the query.
    pub team: String,
    /// Service to search.
    pub service: String,
    /// Query text.
    pub query: String,
    /// Shards to search; all if left out.
    pub shards: Option<Vec<u32>>,
    /// Milliseconds until the caller stops waiting; the team's default if left out.
    pub deadline_ms: Option<u64>,
    /// Whether the query may run more than once; true if left out and no ticket is given.
    pub idempotent: Option<bool>,
    /// Single-use ticket.
    pub ticket: Option<String>,
}

/// Body of `POST /v1/tickets`, as sent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TicketBody {
    /// Team that requests the ticket.
    pub team: String,
}

/// A validated query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// Random identifier that the entry assigns.
    pub request: RequestId,
    /// Team that sends the query.
    pub team: TeamName,
    /// Service to search.
    pub service: ServiceName,
    /// Query text, 1 to [`QUERY_LIMIT_BYTES`] bytes.
    pub text: Arc<str>,
    /// Shards to search, sorted and without duplicates; empty means all.
    pub shards: Vec<ShardId>,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// False if each leaf request may be sent at most once.
    pub idempotent: bool,
}

impl Query {
    /// Returns the query's fingerprint.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&self.team, &self.service, &self.text)
    }
}

/// Parses a JSON body.
///
/// # Errors
///
/// Fails with the line and column of the first syntax or type error.
pub fn parse_body<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, RequestError> {
    serde_json::from_slice(body).map_err(|error| RequestError::Malformed(error.to_string()))
}

/// Validates a parsed body against the team's settings and returns the query and its ticket.
///
/// # Errors
///
/// Fails if a field is out of its range or the query needs a ticket and has none.
pub fn check_query(
    body: QueryBody,
    team: &TeamSettings,
    request: RequestId,
    now: Instant,
) -> Result<(Query, Option<String>), RequestError> {
    if body.query.is_empty() || body.query.len() > QUERY_LIMIT_BYTES {
        return Err(RequestError::QueryLength {
            given_bytes: body.query.len(),
        });
    }
    let deadline_ms = body
        .deadline_ms
        .unwrap_or(u64::from(team.deadline_default_ms));
    if deadline_ms == 0 || deadline_ms > u64::from(team.deadline_cap_ms) {
        return Err(RequestError::Deadline {
            given_ms: deadline_ms,
            cap_ms: team.deadline_cap_ms,
        });
    }
    if body.shards.as_ref().is_some_and(Vec::is_empty) {
        return Err(RequestError::NoShards);
    }
    let is_idempotent = team.retries_allowed && body.idempotent.unwrap_or(true);
    if !is_idempotent && body.ticket.is_none() {
        return Err(RequestError::TicketRequired);
    }
    let mut shards: Vec<ShardId> = body
        .shards
        .unwrap_or_default()
        .into_iter()
        .map(ShardId)
        .collect();
    shards.sort_unstable();
    shards.dedup();
    let query = Query {
        request,
        team: team.name.clone(),
        service: ServiceName::new(&body.service),
        text: body.query.into(),
        shards,
        deadline: now + Duration::from_millis(deadline_ms),
        idempotent: body.ticket.is_none(),
    };
    Ok((query, body.ticket))
}
