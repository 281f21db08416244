//! The most recent answers, for the state dump.

use std::collections::VecDeque;

use medlarpin_core::prelude::*;
use serde::Serialize;

use crate::entry::{AnswerBody, OutcomeName};

/// Number of answers kept.
const CAPACITY: usize = 256;

/// Maximum length of a kept name. The settings allow no longer name, but a query refused early is
/// recorded before its names are checked against them.
const NAME_LIMIT_CHARS: usize = 100;

/// Summary of one answer, without rows and without the query text, which may be confidential.
#[derive(Debug, Clone, Serialize)]
pub struct RecentAnswer {
    request_id: String,
    age_ms: u64,
    team: String,
    service: String,
    outcome: OutcomeName,
    reason: Option<String>,
    index_version: Option<u64>,
    covered: usize,
    uncovered: usize,
    uncovered_reasons: Vec<ReasonCount>,
    extra_leaf_requests: u32,
    elapsed_ms: u64,
    replayed: bool,
}

/// Number of uncovered shards with the same reason.
#[derive(Debug, Clone, Serialize)]
struct ReasonCount {
    reason: String,
    count: usize,
}

/// Ring buffer of this daemon's most recent answers, oldest first.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    answers: VecDeque<(Instant, RecentAnswer)>,
}

impl RecentAnswers {
    /// Adds an answer and evicts the oldest one if the buffer is full.
    pub fn push(&mut self, body: &AnswerBody, now: Instant) {
        if self.answers.len() == CAPACITY {
            self.answers.pop_front();
        }
        let answer = RecentAnswer {
            request_id: body.request_id.clone(),
            age_ms: 0,
            team: body.team.chars().take(NAME_LIMIT_CHARS).collect(),
            service: body.service.chars().take(NAME_LIMIT_CHARS).collect(),
            outcome: body.outcome,
            reason: body.reason.clone(),
            index_version: body.index_version,
            covered: body.covered.len(),
            uncovered: body.uncovered.len(),
            uncovered_reasons: count_reasons(body),
            extra_leaf_requests: body.extra_leaf_requests,
            elapsed_ms: body.elapsed_ms,
            replayed: body.replayed,
        };
        self.answers.push_back((now, answer));
    }

    /// Returns the answers, newest first.
    #[must_use]
    pub fn newest_first(&self, now: Instant) -> Vec<RecentAnswer> {
        let with_age = |(at, answer): &(Instant, RecentAnswer)| {
            let age = now.saturating_duration_since(*at).as_millis();
            RecentAnswer {
                age_ms: u64::try_from(age).unwrap_or(u64::MAX),
                ..answer.clone()
            }
        };
        self.answers.iter().rev().map(with_age).collect()
    }
}

fn count_reasons(body: &AnswerBody) -> Vec<ReasonCount> {
    let mut counts: Vec<ReasonCount> = Vec::new();
    for shard in &body.uncovered {
        match counts.iter_mut().find(|count| count.reason == shard.reason) {
            Some(count) => count.count += 1,
            None => counts.push(ReasonCount {
                reason: shard.reason.clone(),
                count: 1,
            }),
        }
    }
    counts
}
