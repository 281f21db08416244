use medlarpin_core::coverage::{Attempt, Merge};
use medlarpin_core::prelude::*;

use super::{
    Model, Mutation, QUERY_SHARDS, Reply, ReplyKind, Request, State, request_id, row, shard_ids,
};

impl State {
    /// Sends the first attempts for all shards of a query; shard 1 goes to leaf 1, the other to
    /// leaf 0.
    pub(super) fn send_all(&mut self, query: usize, version: u64) {
        for shard in QUERY_SHARDS[query] {
            self.requests.insert(Request {
                query: u8::try_from(query).unwrap_or(u8::MAX),
                shard: *shard,
                attempt: 0,
                version,
                leaf: u8::from(*shard == 1),
            });
        }
    }
}

impl Model {
    pub(super) fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for leaf in 0..2 {
            if state.leaf_versions[leaf] == 1 {
                let mut state = state.clone();
                state.leaf_versions[leaf] = 2;
                next.push(state);
            }
        }
        for request in &state.requests {
            leaf_steps(state, *request, &mut next);
        }
        for reply in &state.replies {
            self.delivery_steps(state, *reply, &mut next);
            self.retry_step(state, *reply, &mut next);
        }
        self.restart_step(state, &mut next);
        next
    }

    /// Delivers a reply to its own query and shard, or wrongly to another query or shard.
    fn delivery_steps(&self, state: &State, reply: Reply, next: &mut Vec<State>) {
        for (query, shards) in QUERY_SHARDS.iter().enumerate().take(state.queries.len()) {
            for shard in *shards {
                let is_own =
                    usize::from(reply.request.query) == query && reply.request.shard == *shard;
                // Only the request itself observes that its connection was lost.
                if is_own || reply.kind != ReplyKind::Lost {
                    let mut state = state.clone();
                    self.deliver(&mut state, reply, query, *shard);
                    next.push(state);
                }
            }
        }
    }

    fn deliver(&self, state: &mut State, reply: Reply, to_query: usize, to_shard: u32) {
        let query = &mut state.queries[to_query];
        let request = match self.mutation {
            Some(Mutation::RequestUnchecked) => request_id(to_query),
            _ => request_id(usize::from(reply.request.query)),
        };
        let version = match (self.mutation, reply.kind) {
            (Some(Mutation::VersionUnchecked), _) => query.merge.version(),
            (_, ReplyKind::Rows { version }) => IndexVersion(version),
            _ => IndexVersion(reply.request.version),
        };
        let shard = match self.mutation {
            Some(Mutation::ShardUnchecked) => to_shard,
            _ => reply.request.shard,
        };
        let attempt = Attempt(reply.request.attempt);
        let outcome = self.outcome(reply);
        let result = query
            .merge
            .accept_attempt(ShardId(shard), attempt, version, request, outcome);
        if result.is_ok() && matches!(reply.kind, ReplyKind::Rows { .. }) {
            query.merged.insert(shard);
        }
    }

    fn outcome(&self, reply: Reply) -> ShardOutcome {
        let Request { query, shard, .. } = reply.request;
        match reply.kind {
            ReplyKind::Rows { version } => ShardOutcome::Covered {
                rows: vec![row(usize::from(query), shard, version)],
            },
            ReplyKind::Lost if self.mutation == Some(Mutation::LossCountsAsCovered) => {
                ShardOutcome::Covered { rows: Vec::new() }
            }
            ReplyKind::Lost => ShardOutcome::Uncovered {
                reason: UncoveredReason::LeafLost,
                may_have_run: true,
            },
            ReplyKind::Refused => ShardOutcome::Uncovered {
                reason: UncoveredReason::LeafRefused,
                may_have_run: false,
            },
        }
    }

    /// The first query retries a refused shard at the other leaf.
    fn retry_step(&self, state: &State, reply: Reply, next: &mut Vec<State>) {
        let Request {
            query,
            shard,
            attempt,
            version,
            leaf,
        } = reply.request;
        let is_current = state.queries[usize::from(query)].merge.version().0 == version;
        if reply.kind != ReplyKind::Refused
            || query != 0
            || attempt != 0
            || !is_current
            || state.retries >= self.bounds.retries
        {
            return;
        }
        let mut state = state.clone();
        state.retries += 1;
        let merge = &mut state.queries[0].merge;
        let begun = match self.mutation {
            Some(Mutation::AttemptNotBegun) => Some(Attempt(0)),
            _ => merge.begin_attempt(ShardId(shard)),
        };
        if let Some(Attempt(attempt)) = begun {
            state.requests.insert(Request {
                query,
                shard,
                attempt,
                version,
                leaf: 1 - leaf,
            });
            next.push(state);
        }
    }

    /// The first query restarts at version 2 once a leaf serves that version.
    fn restart_step(&self, state: &State, next: &mut Vec<State>) {
        if state.restarts >= self.bounds.restarts || !state.leaf_versions.contains(&2) {
            return;
        }
        let mut state = state.clone();
        state.restarts += 1;
        let query = &mut state.queries[0];
        let (version, shards) = (IndexVersion(2), shard_ids(0));
        let previous = query.merge.clone();
        if self.mutation == Some(Mutation::RestartForgetsRuns) {
            query.merge = Merge::new(request_id(0), version, &shards);
        } else {
            query.merge = previous.clone().restart(version, &shards);
        }
        if self.mutation == Some(Mutation::RestartKeepsRows) {
            for (shard, row) in previous.rows() {
                let rows = vec![row.to_owned()];
                let outcome = ShardOutcome::Covered { rows };
                // The new merge accepts the rows, because it has no covered shards yet.
                let _ = query.merge.accept(shard, version, request_id(0), outcome);
            }
        } else {
            query.merged.clear();
        }
        state.send_all(0, 2);
        next.push(state);
    }
}

/// A leaf runs a request and answers, runs it but loses the connection, loses the connection before
/// it runs it, or refuses it.
fn leaf_steps(state: &State, request: Request, next: &mut Vec<State>) {
    let served = state.leaf_versions[usize::from(request.leaf)];
    let mut push = |kind, ran: bool| {
        let mut state = state.clone();
        state.requests.remove(&request);
        state.replies.insert(Reply { request, kind });
        state.queries[usize::from(request.query)].ran |= ran;
        next.push(state);
    };
    push(ReplyKind::Rows { version: served }, true);
    push(ReplyKind::Lost, true);
    push(ReplyKind::Lost, false);
    push(ReplyKind::Refused, false);
}
