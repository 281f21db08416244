//! Faults of a leaf, which can be changed at run time.

use std::time::Duration;

use serde::Serialize;

/// How a leaf refuses requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Replies 503 with the error `shedding`.
    Shedding {
        /// Backoff that the reply asks for.
        retry_after: Duration,
    },
    /// Replies 503 with the error `draining`; the health report also says `draining` unless it is
    /// overridden.
    Draining,
}

/// State in a health report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// The leaf is loading its shards.
    Starting,
    /// The leaf accepts requests.
    Ready,
    /// The leaf is about to leave and accepts no new requests.
    Draining,
}

/// Content of a health report, true or overridden.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct HealthReport {
    /// Reported state.
    pub state: HealthState,
    /// Reported load, from 0 to 1.
    pub load: f64,
    /// Reported index versions.
    pub versions: Vec<u64>,
}

/// A query text that crashes the leaf.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRule {
    /// A query that contains this text crashes the leaf at the end of its service time.
    pub text: String,
    /// Time for which the leaf stays down; `None` means until it is brought up again.
    pub down_for: Option<Duration>,
}

/// Corruption of the replies to processed requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReplyFault {
    /// Replies are correct.
    #[default]
    None,
    /// The reply is sent after this delay, even after the deadline.
    Late(Duration),
    /// The reply has another request's identifier and the rows of another query.
    OtherRequest,
    /// The reply has the number and rows of the next shard.
    OtherShard,
    /// The reply has the number and rows of the next index version.
    OtherVersion,
    /// The reply is not valid JSON.
    Garbage,
    /// The reply has a single row of this many bytes.
    Oversized(usize),
}

/// Faults that a leaf simulates; none by default.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Faults {
    /// Delay added to each service time.
    pub extra_delay: Duration,
    /// Refusal of new requests.
    pub refusal: Option<Refusal>,
    /// Health report to send instead of the true one.
    pub health: Option<HealthReport>,
    /// Queries that crash the leaf.
    pub crash: Option<CrashRule>,
    /// Corruption of replies.
    pub reply: ReplyFault,
}
