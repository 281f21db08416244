//! Response bodies of queries.

use axum::http::StatusCode;
use medlarpin_core::coverage::Merge;
use medlarpin_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::entry::request::Query;

/// Length of the JSON text of a row besides the row itself, at most.
const ROW_FRAME_BYTES: usize = 32;
/// Length of the JSON text of an answer besides its rows and lists of shards, roughly.
const BODY_FRAME_BYTES: usize = 512;

/// One row of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowBody {
    /// Shard that the row comes from.
    pub shard: u32,
    /// The row.
    pub row: String,
}

/// A shard that the answer does not cover.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UncoveredBody {
    /// The shard.
    pub shard: u32,
    /// Why it is not covered.
    pub reason: String,
}

/// Name of an outcome in a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeName {
    /// All requested shards are covered.
    Complete,
    /// At least one requested shard is covered, and at least one is not.
    Partial,
    /// No leaf ran this submission.
    NotRun,
    /// A leaf may have run the query.
    Unknown,
}

impl OutcomeName {
    /// Returns the HTTP status.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Complete => StatusCode::OK,
            Self::Partial => StatusCode::PARTIAL_CONTENT,
            Self::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the name used in bodies and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Partial => "partial",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// Body of the answer to a query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// Identifier of the query.
    pub request_id: String,
    /// The outcome.
    pub outcome: OutcomeName,
    /// Team that sent the query.
    pub team: String,
    /// Service searched.
    pub service: String,
    /// Index version of every row.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub index_version: Option<u64>,
    /// Shards covered, sorted.
    pub covered: Vec<u32>,
    /// Shards not covered, sorted.
    pub uncovered: Vec<UncoveredBody>,
    /// Rows, sorted by shard.
    pub rows: Vec<RowBody>,
    /// Time from the query's arrival to its answer.
    pub elapsed_ms: u64,
    /// Why the query was not run, or why it is unknown whether it was.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Milliseconds after which a query that was not run may be tried again.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Leaf requests beyond the first one of each shard.
    pub extra_leaf_requests: u32,
    /// True if this is the recorded answer of an earlier submission of the ticket.
    pub replayed: bool,
}

impl AnswerBody {
    /// Creates the body of an outcome without rows.
    #[must_use]
    pub fn without_rows(
        request: RequestId,
        team: &TeamName,
        service: &ServiceName,
        outcome: Outcome,
    ) -> Self {
        let (reason, retry_after_ms) = match outcome {
            Outcome::Complete | Outcome::Partial => (None, None),
            Outcome::NotRun {
                reason,
                retry_after,
            } => {
                let retry_after_ms = u64::try_from(retry_after.as_micros().div_ceil(1000));
                let retry_after_ms = retry_after_ms.unwrap_or(u64::MAX);
                (Some(reason.as_str().to_owned()), Some(retry_after_ms))
            }
            Outcome::Unknown { reason } => (Some(reason.as_str().to_owned()), None),
        };
        Self {
            request_id: request.to_string(),
            outcome: outcome_name(outcome),
            team: team.as_str().to_owned(),
            service: service.as_str().to_owned(),
            index_version: None,
            covered: Vec::new(),
            uncovered: Vec::new(),
            rows: Vec::new(),
            elapsed_ms: 0,
            reason,
            retry_after_ms,
            extra_leaf_requests: 0,
            replayed: false,
        }
    }

    /// Creates the body of a query's merged answer.
    #[must_use]
    pub fn of_merge(query: &Query, merge: Merge, extra_leaf_requests: u32) -> Self {
        let outcome = merge.outcome();
        let mut body = Self::without_rows(query.request, &query.team, &query.service, outcome);
        body.extra_leaf_requests = extra_leaf_requests;
        if !matches!(outcome, Outcome::Complete | Outcome::Partial) {
            return body;
        }
        body.index_version = Some(merge.version().0);
        body.covered = merge.covered().iter().map(|shard| shard.0).collect();
        let uncovered = merge.uncovered();
        let uncovered = uncovered.iter().map(|entry| UncoveredBody {
            shard: entry.shard.0,
            reason: entry.reason.as_str().to_owned(),
        });
        body.uncovered = uncovered.collect();
        let rows = merge.into_rows().map(|(shard, row)| RowBody {
            shard: shard.0,
            row,
        });
        body.rows = rows.collect();
        body
    }

    /// Serialises the body as JSON.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        // Enough for a body without escaped characters, so that long ones are not copied as they grow.
        let rows_bytes: usize = self
            .rows
            .iter()
            .map(|row| row.row.len() + ROW_FRAME_BYTES)
            .sum();
        let mut json = Vec::with_capacity(BODY_FRAME_BYTES + rows_bytes);
        // The body holds only strings, numbers and lists, which always serialise.
        let is_written = serde_json::to_writer(&mut json, self).is_ok();
        if is_written { json } else { Vec::new() }
    }
}

fn outcome_name(outcome: Outcome) -> OutcomeName {
    match outcome {
        Outcome::Complete => OutcomeName::Complete,
        Outcome::Partial => OutcomeName::Partial,
        Outcome::NotRun { .. } => OutcomeName::NotRun,
        Outcome::Unknown { .. } => OutcomeName::Unknown,
    }
}
