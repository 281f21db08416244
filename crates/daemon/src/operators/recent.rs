//! The last answers, for the dump.

use std::collections::VecDeque;

use serde::Serialize;

use crate::entry::{AnswerBody, OutcomeName};

/// Answers kept.
const KEPT: usize = 256;

/// One answer without its rows and without its query text, which may be confidential.
#[derive(Debug, Clone, Serialize)]
pub struct RecentAnswer {
    request_id: String,
    team: String,
    service: String,
    outcome: OutcomeName,
    reason: Option<String>,
    index_version: Option<u64>,
    covered: usize,
    uncovered: usize,
    extra_leaf_requests: u32,
    elapsed_ms: u64,
}

/// The last answers of this daemon, oldest first.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    answers: VecDeque<RecentAnswer>,
}

impl RecentAnswers {
    /// Adds an answer and drops the oldest one above the bound.
    pub fn push(&mut self, body: &AnswerBody) {
        if self.answers.len() == KEPT {
            self.answers.pop_front();
        }
        self.answers.push_back(RecentAnswer {
            request_id: body.request_id.clone(),
            team: body.team.clone(),
            service: body.service.clone(),
            outcome: body.outcome,
            reason: body.reason.clone(),
            index_version: body.index_version,
            covered: body.covered.len(),
            uncovered: body.uncovered.len(),
            extra_leaf_requests: body.extra_leaf_requests,
            elapsed_ms: body.elapsed_ms,
        });
    }

    /// Returns the answers, newest first.
    #[must_use]
    pub fn newest_first(&self) -> Vec<RecentAnswer> {
        self.answers.iter().rev().cloned().collect()
    }
}
