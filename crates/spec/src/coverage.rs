//! One index version for each answer, and covered shards are those whose replies were merged.
//!
//! Two callers' queries run at once against two leafs. The first query asks for two shards, may try a
//! refused shard once more and may restart at the newer version; the second asks for one shard. Each leaf
//! may drop version 1 at any time, and may then refuse a request for it or answer at version 2. Replies
//! stay in the network, so each may arrive late, twice or never, and may arrive at the other query or in
//! place of another shard's reply. The model calls the shipped [`Merge`].

mod steps;

use std::collections::BTreeSet;

use medlarpin_core::coverage::Merge;
use medlarpin_core::prelude::*;

use crate::explore::{Report, explore};

/// One way to get the protocol wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The request that a reply names is not compared.
    RequestUnchecked,
    /// The version that a reply names is not compared.
    VersionUnchecked,
    /// The shard that a reply names is not compared.
    ShardUnchecked,
    /// A lost connection counts as a reply without rows.
    LossCountsAsCovered,
    /// A further attempt is sent without being opened in the merge.
    AttemptNotOpened,
    /// A restart at another version keeps the answers of the earlier version.
    RestartKeepsAnswers,
    /// A restart at another version forgets that the earlier version may have run.
    RestartForgetsRuns,
}

/// Bounds of the exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Further attempts of the first query.
    pub retries: u8,
    /// Restarts of the first query.
    pub restarts: u8,
    /// True if the second query runs too.
    pub two_queries: bool,
}

/// Identity of one leaf request.
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
    /// Rows at this version, which the reply also names.
    Rows { version: u64 },
    /// The leaf refused and did not run the request.
    Refused,
    /// The connection was lost.
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
    /// True once a leaf ran any part of the query.
    ran: bool,
}

/// One state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// The version that each leaf serves.
    leafs: [u64; 2],
    queries: Vec<Query>,
    /// Requests that no leaf has handled.
    requests: BTreeSet<Request>,
    replies: BTreeSet<Reply>,
    retries: u8,
    restarts: u8,
}

struct Model {
    bounds: Bounds,
    mutation: Option<Mutation>,
}

/// Shards that each query asks for.
const ASKED: [&[u32]; 2] = [&[0, 1], &[0]];

fn shard_ids(query: usize) -> Vec<ShardId> {
    ASKED[query].iter().copied().map(ShardId).collect()
}

fn request_id(query: usize) -> RequestId {
    RequestId(query as u128 + 1)
}

/// The only row that a leaf returns: it tells to which request and version it belongs.
fn row(query: usize, shard: u32, version: u64) -> String {
    format!("query {query} shard {shard} version {version}")
}

/// Explores the model.
#[must_use]
pub fn check(bounds: Bounds, mutation: Option<Mutation>) -> Report<State> {
    let model = Model { bounds, mutation };
    let mut initial = State {
        leafs: [1, 1],
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
