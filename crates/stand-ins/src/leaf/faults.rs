//! Faults of a leaf that can be switched at run time.

use std::time::Duration;

use serde::Serialize;

/// How a leaf refuses work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// 503 `shedding`.
    Shedding {
        /// Wait that the reply asks for.
        retry_after: Duration,
    },
    /// 503 `draining`; the health report says so too unless it is replaced.
    Draining,
}

/// State in a health report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// The leaf loads its shards.
    Starting,
    /// The leaf accepts work.
    Ready,
    /// The leaf is about to leave.
    Draining,
}

/// A health report that replaces the true one.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct HealthReport {
    /// Claimed state.
    pub state: HealthState,
    /// Claimed load, from 0 to 1.
    pub load: f64,
    /// Claimed index versions.
    pub versions: Vec<u64>,
}

/// A query text that crashes the leaf.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRule {
    /// Queries that contain this text crash the leaf once it works on them.
    pub text: String,
    /// How long the leaf stays down; `None` means for good.
    pub down_for: Option<Duration>,
}

/// How replies to completed runs are spoilt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReplyFault {
    /// Replies are correct.
    #[default]
    None,
    /// The reply leaves after this delay, even past the deadline.
    Late(Duration),
    /// The reply names another request and carries the rows of another query.
    OtherRequest,
    /// The reply names the next shard and carries its rows.
    OtherShard,
    /// The reply names the next version and carries its rows.
    OtherVersion,
    /// The reply is not JSON.
    Garbage,
    /// The reply carries one row of this many bytes.
    Oversized(usize),
}

/// The faults in force.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Faults {
    /// Added to every service time.
    pub extra_delay: Duration,
    /// Refuses new work.
    pub refusal: Option<Refusal>,
    /// Replaces the health report.
    pub health: Option<HealthReport>,
    /// Crashes the leaf on certain queries.
    pub crash: Option<CrashRule>,
    /// Spoils replies.
    pub reply: ReplyFault,
}
