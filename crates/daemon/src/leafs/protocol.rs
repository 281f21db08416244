//! The leaf protocol over HTTP: request and reply bodies, their validation and one exchange.

use std::sync::Arc;

use bytes::Bytes;
use client_connections::{BodyBuffer, BodyError};
use displaydoc::Display;
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::{Method, Request, StatusCode};
use medlarpin_core::answer::ANSWER_STATUSES;
use medlarpin_core::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::leafs::connection::Sender;
use crate::query_memory::QueryMemory;

#[cfg(test)]
mod tests;

/// Maximum size of a leaf's reply body.
const REPLY_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// One request to a leaf.
#[derive(Debug, Clone)]
pub struct LeafRequest {
    /// Query that the request belongs to.
    pub request: RequestId,
    /// Attempt number, unique within the query.
    pub attempt: u32,
    /// Team that sent the query.
    pub team: TeamName,
    /// Query text.
    pub query: Arc<str>,
    /// Index version to search.
    pub version: IndexVersion,
    /// Shard to search.
    pub shard: ShardId,
}

impl LeafRequest {
    /// Returns the identifier that the leaf must echo in its reply.
    #[must_use]
    pub fn id(&self) -> String {
        format!("{}-{}", self.request, self.attempt)
    }

    /// Serialises the body of `POST /search`.
    #[must_use]
    pub fn to_json(&self, time_left: Duration) -> Bytes {
        let body = SearchBody {
            request_id: &self.id(),
            team: self.team.as_str(),
            query: &self.query,
            index_version: self.version.0,
            shard: self.shard.0,
            deadline_ms: u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX),
        };
        // Serialisation cannot fail: the body holds only strings and numbers.
        serde_json::to_vec(&body).unwrap_or_default().into()
    }

    /// Parses a leaf's reply and validates that it belongs to this request.
    ///
    /// # Errors
    ///
    /// Fails if the reply is malformed or belongs to another request, version or shard.
    pub fn parse_reply(&self, status: StatusCode, body: &[u8]) -> Result<LeafReply, ReplyError> {
        match status {
            StatusCode::OK => self.parse_rows(body),
            StatusCode::CONFLICT => {
                let gone: VersionGoneBody = serde_json::from_slice(body)?;
                Ok(LeafReply::VersionGone {
                    versions: gone.versions.into_iter().map(IndexVersion).collect(),
                })
            }
            StatusCode::SERVICE_UNAVAILABLE => {
                let refusal: RefusalBody = serde_json::from_slice(body)?;
                let retry_after = Duration::from_millis(refusal.retry_after_ms.unwrap_or(0));
                Ok(match refusal.error {
                    RefusalName::Shedding => LeafReply::Shedding { retry_after },
                    RefusalName::Draining => LeafReply::Draining,
                })
            }
            other => Err(ReplyError::Status(other.as_u16())),
        }
    }

    fn parse_rows(&self, body: &[u8]) -> Result<LeafReply, ReplyError> {
        let reply: RowsBody = serde_json::from_slice(body)?;
        if reply.request_id != self.id() {
            return Err(ReplyError::RequestMismatch);
        }
        if reply.index_version != self.version.0 {
            return Err(ReplyError::VersionMismatch(reply.index_version));
        }
        if reply.shard != self.shard.0 {
            return Err(ReplyError::ShardMismatch(reply.shard));
        }
        Ok(LeafReply::Rows(reply.rows))
    }
}

/// A leaf's reply to a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeafReply {
    /// The shard's rows.
    Rows(Vec<String>),
    /// The leaf no longer holds the version and did not run the request.
    VersionGone {
        /// Index versions that the leaf holds.
        versions: Vec<IndexVersion>,
    },
    /// The leaf is overloaded and did not run the request.
    Shedding {
        /// Minimum time before the next request.
        retry_after: Duration,
    },
    /// The leaf is draining and did not run the request.
    Draining,
}

/// Why a leaf's reply cannot be used.
#[derive(Debug, Display, Error)]
pub enum ReplyError {
    /// malformed reply body: {0}
    Malformed(#[from] serde_json::Error),
    /// unexpected HTTP status {0}
    Status(u16),
    /// reply is for another request
    RequestMismatch,
    /// reply is for another index version: {0}
    VersionMismatch(u64),
    /// reply is for another shard: {0}
    ShardMismatch(u32),
}

/// Why an exchange with a leaf failed.
#[derive(Debug, Display, Error)]
pub enum ExchangeError {
    /// connection closed before the request was sent
    NotSent,
    /// connection lost: {0}
    Lost(hyper::Error),
    /// no reply has the status {0}
    Status(StatusCode),
    /// reply body is truncated or larger than the limit
    Body,
    /// no memory is left for the reply
    NoMemory,
    /// cannot build the request: {0}
    Request(#[from] hyper::http::Error),
}

impl From<BodyError> for ExchangeError {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::BrokenOff | BodyError::TooLarge => Self::Body,
            BodyError::OutOfMemory => Self::NoMemory,
        }
    }
}

/// Sends one HTTP request on a connection and reads the whole reply, which uses the memory of its
/// query if there is one.
///
/// # Errors
///
/// Fails if the request cannot be built or sent, the connection is lost, or the reply is truncated,
/// too large or finds no memory.
pub async fn exchange(
    connection: &mut Sender,
    method: Method,
    path: &'static str,
    authority: &str,
    body: Bytes,
    memory: Option<&QueryMemory>,
) -> Result<(StatusCode, Bytes), ExchangeError> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(hyper::header::HOST, authority)
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))?;
    connection.progress_limit.restart();
    let response = connection
        .http
        .send_request(request)
        .await
        .map_err(|error| {
            // Hyper reports a request as cancelled if the connection closed before it was sent.
            if error.is_canceled() {
                ExchangeError::NotSent
            } else {
                ExchangeError::Lost(error)
            }
        })?;
    let status = response.status();
    if !ANSWER_STATUSES.contains(&status.as_u16()) {
        return Err(ExchangeError::Status(status));
    }
    connection.progress_limit.restart();
    let mut body = response.into_body();
    let mut buffer = BodyBuffer::new(REPLY_LIMIT_BYTES, body.size_hint().exact())?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_error| BodyError::BrokenOff)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let more_bytes = buffer.missing_bytes(&data)?;
        if memory.is_some_and(|memory| !memory.cover_reply(more_bytes)) {
            return Err(ExchangeError::NoMemory);
        }
        buffer.push(&data);
        connection.progress_limit.restart();
    }
    Ok((status, buffer.into_bytes().into()))
}

/// A leaf's report of its own health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthName {
    /// The leaf is still warming up.
    Starting,
    /// The leaf serves requests.
    Ready,
    /// The leaf is draining and accepts no new requests.
    Draining,
}

/// Body of `GET /health`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct HealthBody {
    /// Health state of the leaf.
    pub state: HealthName,
    /// Reported load, from 0 to 1.
    #[serde(default)]
    pub load: f64,
    /// Index versions that the leaf holds.
    #[serde(default)]
    pub versions: Vec<u64>,
}

#[derive(Debug, Serialize)]
struct SearchBody<'a> {
    request_id: &'a str,
    team: &'a str,
    query: &'a str,
    index_version: u64,
    shard: u32,
    deadline_ms: u64,
}

/// Body of `POST /cancel`.
#[derive(Debug, Serialize)]
pub struct CancelBody<'a> {
    /// Identifier of the request to cancel.
    pub request_id: &'a str,
}

#[derive(Debug, Deserialize)]
struct RowsBody {
    request_id: String,
    index_version: u64,
    shard: u32,
    rows: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct VersionGoneBody {
    /// Restricts parsing to this error: only `version_gone` guarantees that the request did not
    /// run.
    #[serde(rename = "error")]
    _error: ConflictName,
    versions: Vec<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ConflictName {
    VersionGone,
}

#[derive(Debug, Deserialize)]
struct RefusalBody {
    error: RefusalName,
    retry_after_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RefusalName {
    Shedding,
    Draining,
}
