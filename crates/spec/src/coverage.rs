//! An answer has rows of a single index version, and covers exactly the shards whose replies were
//! merged.
//!
//! The queries of two callers run concurrently against two leafs. The first query needs two shards,
//! may retry a refused shard once and may restart at the newer version. The second query needs one
//! shard. Each leaf may replace version 1 by version 2 at any time; it may then refuse a request
//! for version 1 or answer it at version 2. Replies are never removed from the network, so each may
//! arrive late, twice or never, and may be delivered to the other query or as the reply of another
//! shard. The model calls the production [`Merge`].

mod steps;

use std::collections::BTreeSet;

use medlarpin_core::coverage::Merge;
use medlarpin_core::prelude::*;

use crate::explore::{Report, explore};

/// A deliberate fault in the protocol, which the check must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The request identifier of a reply is not checked.
    RequestUnchecked,
    /// The index version of a reply is not checked.
    VersionUnchecked,
    /// The shard of a reply is not checked.
    ShardUnchecked,
    /// A lost connection counts as a reply without rows.
    LossCountsAsCovered,
    /// A retry is sent without beginning an attempt in the merge.
    AttemptNotBegun,
    /// A restart at another version keeps the rows of the previous version.
    RestartKeepsRows,
    /// A restart at another version discards the record that a leaf may have run the query at the
    /// previous version.
    RestartForgetsRuns,
}

/// Bounds of the exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Number of retries of the first query.
    pub retries: u8,
    /// Number of restarts of the first query.
    pub restarts: u8,
    /// True if the second query runs as well.
    pub two_queries: bool,
}

/// A leaf request, identified by all its fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Request {
    query: u8,
    shard: u32,
    attempt: u8,
    version: u64,
    leaf: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum ReplyKind {
    /// The leaf ran the request at this version and returned the rows.
    Rows { version: u64 },
    /// The leaf refused the request without running it.
    Refused,
    /// The connection was lost before a reply arrived.
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Reply {
    request: Request,
    kind: ReplyKind,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Query {
    merge: Merge,
    /// Shards whose rows were merged at the current version.
    merged: BTreeSet<u32>,
    /// True once a leaf has run a part of the query.
    ran: bool,
}

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Index version that each leaf serves.
    leaf_versions: [u64; 2],
    queries: Vec<Query>,
    /// Requests that the leafs have not processed yet.
    requests: BTreeSet<Request>,
    replies: BTreeSet<Reply>,
    retries: u8,
    restarts: u8,
}

struct Model {
    bounds: Bounds,
    mutation: Option<Mutation>,
}

/// Shards that each query needs.
const QUERY_SHARDS: [&[u32]; 2] = [&[0, 1], &[0]];

fn shard_ids(query: usize) -> Vec<ShardId> {
    QUERY_SHARDS[query].iter().copied().map(ShardId).collect()
}

fn request_id(query: usize) -> RequestId {
    RequestId(query as u128 + 1)
}

/// Returns the only row of a leaf's reply, which identifies the query, the shard and the version.
fn row(query: usize, shard: u32, version: u64) -> String {
    format!("query {query} shard {shard} version {version}")
}

/// Explores all states of the model within the bounds.
#[must_use]
pub fn check(bounds: Bounds, mutation: Option<Mutation>) -> Report<State> {
    let model = Model { bounds, mutation };
    let mut initial = State {
        leaf_versions: [1, 1],
        queries: Vec::new(),
        requests: BTreeSet::new(),
        replies: BTreeSet::new(),
        retries: 0,
        restarts: 0,
    };
    for query in 0..=usize::from(bounds.two_queries) {
        initial.queries.push(Query {
            merge: Merge::new(request_id(query), IndexVersion(1), &shard_ids(query)),
            merged: BTreeSet::new(),
            ran: false,
        });
        initial.send_all(query, 1);
    }
    explore(&initial, |state| model.successors(state), is_violated)
}

fn is_violated(state: &State) -> bool {
    let mut queries = state.queries.iter().enumerate();
    queries.any(|(index, query)| {
        let merge = &query.merge;
        let version = merge.version().0;
        let has_foreign_row = merge
            .rows()
            .any(|(shard, found)| found != row(index, shard.0, version));
        let covered: BTreeSet<_> = merge.covered().iter().map(|shard| shard.0).collect();
        let is_falsely_not_run = query.ran && matches!(merge.outcome(), Outcome::NotRun { .. });
        has_foreign_row || covered != query.merged || is_falsely_not_run
    })
}
