//! Outcomes of shards and queries, and their reasons.

use std::ops::RangeInclusive;
use std::time::Duration;

/// Statuses that the answer to a request can have: those of RFC 9110, 15, without the informational ones, which
/// precede an answer. Another number is a failure of the sender, which may have run the request.
pub const ANSWER_STATUSES: RangeInclusive<u16> = 200..=599;

/// Why a shard is not covered by the query's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UncoveredReason {
    /// No usable replica holds the pinned index version any more.
    VersionGone,
    /// No replica in the shard map is usable.
    NoReplica,
    /// The deadline passed before the shard was answered.
    DeadlinePassed,
    /// Every replica that was sent the request refused it.
    LeafRefused,
    /// The connection to the leaf was lost.
    LeafLost,
    /// No daemon that holds a leaf of the shard returned a result: those that were tried could not
    /// be reached, did not reply, were stopping or no longer held the leaf.
    GathererLost,
    /// The query is quarantined because it crashed leafs.
    Quarantined,
    /// The leaf's reply belonged to another request, version or shard, or found no memory.
    InvalidReply,
    /// The leaf's queue could not serve the request in time.
    QueueFull,
    /// The daemon that holds the leaf had been paused and has not rejoined yet.
    Paused,
    /// The leaf was lost or draining, or no connection to it could be opened.
    NoConnection,
}

impl UncoveredReason {
    /// Returns the name used in answers and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::VersionGone => "version_gone",
            Self::NoReplica => "no_replica",
            Self::DeadlinePassed => "deadline_passed",
            Self::LeafRefused => "leaf_refused",
            Self::LeafLost => "leaf_lost",
            Self::GathererLost => "gatherer_lost",
            Self::Quarantined => "quarantined",
            Self::InvalidReply => "invalid_reply",
            Self::QueueFull => "queue_full",
            Self::Paused => "paused",
            Self::NoConnection => "no_connection",
        }
    }
}

/// Outcome of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ShardOutcome {
    /// The shard's rows at the pinned index version.
    Covered {
        /// Rows in the order in which the leaf returned them.
        rows: Vec<String>,
    },
    /// The shard is not part of the answer.
    Uncovered {
        /// Why the shard is not covered.
        reason: UncoveredReason,
        /// True if a leaf may have started to run the request.
        may_have_run: bool,
    },
}

impl ShardOutcome {
    /// Returns true if it is certain that no leaf ran the shard's request.
    #[must_use]
    pub fn did_not_run(&self) -> bool {
        matches!(
            self,
            Self::Uncovered {
                may_have_run: false,
                ..
            }
        )
    }
}

/// Why a query was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NotRunReason {
    /// The team exceeded its rate limit.
    RateLimit,
    /// The team exceeded its concurrency limit.
    ConcurrencyLimit,
    /// The service is overloaded: the fair queues could not serve the query in time, the leafs
    /// refused it, or the load shedder did.
    Overloaded,
    /// The deadline passed before any leaf request was sent.
    DeadlinePassed,
    /// The query is quarantined because it crashed leafs.
    Quarantined,
    /// No published index version of the service can be served.
    NoVersion,
    /// No shard has a usable replica that could be reached.
    NoReplica,
    /// The daemon has been paused and has not rejoined yet.
    Paused,
    /// The daemon has no settings yet.
    Starting,
    /// The ticket expired before it was used.
    TicketInvalid,
    /// Too many tickets are outstanding.
    TicketLimit,
}

impl NotRunReason {
    /// Returns the name used in answers and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RateLimit => "rate_limit",
            Self::ConcurrencyLimit => "concurrency_limit",
            Self::Overloaded => "overloaded",
            Self::DeadlinePassed => "deadline_passed",
            Self::Quarantined => "quarantined",
            Self::NoVersion => "no_version",
            Self::NoReplica => "no_replica",
            Self::Paused => "paused",
            Self::Starting => "starting",
            Self::TicketInvalid => "ticket_invalid",
            Self::TicketLimit => "ticket_limit",
        }
    }
}

/// Why it is unknown whether a query ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UnknownReason {
    /// The ticket's issuer cannot be reached, is stopping or has restarted.
    IssuerLost,
    /// The issuer no longer stores the run's outcome, or has no record of the ticket.
    OutcomeForgotten,
    /// A leaf may have run the query, and no answer arrived in time.
    NoAnswer,
    /// The query is quarantined and a leaf may have run it in this attempt.
    Quarantined,
}

impl UnknownReason {
    /// Returns the name used in answers and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::IssuerLost => "issuer_lost",
            Self::OutcomeForgotten => "outcome_forgotten",
            Self::NoAnswer => "no_answer",
            Self::Quarantined => "quarantined",
        }
    }
}

/// Outcome of a whole query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// All requested shards are covered.
    Complete,
    /// Some shards are covered.
    Partial,
    /// No leaf ran the query.
    NotRun {
        /// Why it was not run.
        reason: NotRunReason,
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// A leaf may have run the query.
    Unknown {
        /// Why it is unknown.
        reason: UnknownReason,
    },
}
