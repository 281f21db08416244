//! Batches of shard requests, which an entry daemon sends to a gatherer, and their replies.

use std::sync::Arc;

use medlarpin_core::plan::Alternatives;
use medlarpin_core::prelude::*;

use crate::error::{WireError, check_length};
use crate::peer_capnp::{self, batch, batch_reply, shard_result};
use crate::query::{
    join_request_id, list_length, saturating_micros, saturating_millis, split_request_id,
};

/// Maximum number of tasks in one batch, and of results in its reply; a group has at most 16 leafs,
/// each of which may hold many shards.
const MAX_TASKS: u32 = 1 << 16;

/// A shard to query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardTask {
    /// Shard to query.
    pub shard: ShardId,
    /// Leaf chosen by the plan.
    pub leaf: LeafId,
    /// Other leafs that hold the shard at this index version, in order of preference.
    pub alternatives: Alternatives<LeafId>,
}

/// Shards that one gatherer queries on behalf of one caller query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Query that the batch belongs to.
    pub request: RequestId,
    /// Team of the caller.
    pub team: TeamName,
    /// Service to search.
    pub service: ServiceName,
    /// Query text.
    pub query: Arc<str>,
    /// Index version that the query is pinned to.
    pub version: IndexVersion,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// False if a leaf request may be sent at most once.
    pub idempotent: bool,
    /// True if the batch is the canary of an unproven fingerprint; it has one task.
    pub canary: bool,
    /// True if another gatherer sent the batch as hedges or retries; it is not hedged again.
    pub extra: bool,
    /// Shards to query.
    pub tasks: Vec<ShardTask>,
    /// First attempt number that the gatherer may use in leaf request ids.
    pub first_attempt: u32,
}

impl Batch {
    /// Parses a received message.
    ///
    /// # Errors
    ///
    /// Fails if the message is malformed or too long.
    pub fn read(reader: batch::Reader<'_>) -> Result<Self, WireError> {
        let task_list = reader.get_tasks()?;
        check_length("tasks", task_list.len(), MAX_TASKS)?;
        let mut tasks = Vec::with_capacity(task_list.len() as usize);
        for task in task_list {
            let mut alternatives = Alternatives::new();
            for leaf in task.get_alternatives()? {
                alternatives.push(LeafId::new(leaf?.to_str()?));
            }
            tasks.push(ShardTask {
                shard: ShardId(task.get_shard()),
                leaf: LeafId::new(task.get_leaf()?.to_str()?),
                alternatives,
            });
        }
        Ok(Self {
            request: join_request_id(reader.get_request_id_high(), reader.get_request_id_low()),
            team: TeamName::new(reader.get_team()?.to_str()?),
            service: ServiceName::new(reader.get_service()?.to_str()?),
            query: reader.get_query()?.to_str()?.into(),
            version: IndexVersion(reader.get_index_version()),
            time_left: Duration::from_micros(reader.get_time_left_us()),
            idempotent: reader.get_idempotent(),
            canary: reader.get_canary(),
            extra: reader.get_extra(),
            tasks,
            first_attempt: reader.get_first_attempt(),
        })
    }

    /// Writes the message.
    pub fn write(&self, mut builder: batch::Builder<'_>) {
        let (high, low) = split_request_id(self.request);
        builder.set_request_id_high(high);
        builder.set_request_id_low(low);
        builder.set_team(self.team.as_str());
        builder.set_service(self.service.as_str());
        builder.set_query(&self.query);
        builder.set_index_version(self.version.0);
        builder.set_time_left_us(saturating_micros(self.time_left));
        builder.set_idempotent(self.idempotent);
        builder.set_canary(self.canary);
        builder.set_extra(self.extra);
        builder.set_first_attempt(self.first_attempt);
        let mut tasks = builder.init_tasks(list_length(&self.tasks));
        for (index, task) in (0..).zip(&self.tasks) {
            let mut entry = tasks.reborrow().get(index);
            entry.set_shard(task.shard.0);
            entry.set_leaf(task.leaf.as_str());
            let mut alternatives = entry.init_alternatives(list_length(&task.alternatives));
            for (rank, leaf) in (0..).zip(&task.alternatives) {
                alternatives.set(rank, leaf.as_str());
            }
        }
    }
}

/// Result of one shard of a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardResult {
    /// Shard that was queried.
    pub shard: ShardId,
    /// Rows of the shard, or the reason why it is uncovered.
    pub outcome: ShardOutcome,
}

/// Reply to a batch.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct BatchReply {
    /// One result for each task.
    pub results: Vec<ShardResult>,
    /// Total number of leaf requests sent.
    pub leaf_requests: u32,
    /// Number of leaf requests in addition to the first one of each shard.
    pub extra_leaf_requests: u32,
    /// Leafs that reported that they no longer hold the index version.
    pub version_gone_leafs: Vec<LeafId>,
    /// Leafs of the group that are much slower than the others.
    pub slow_leafs: Vec<LeafId>,
    /// Fingerprint of the batch's query and the time left of its quarantine, if it is quarantined.
    pub quarantine: Option<(Fingerprint, Duration)>,
}

impl BatchReply {
    /// Parses a received message.
    ///
    /// # Errors
    ///
    /// Fails if the message is malformed or too long.
    pub fn read(reader: batch_reply::Reader<'_>) -> Result<Self, WireError> {
        let result_list = reader.get_results()?;
        check_length("results", result_list.len(), MAX_TASKS)?;
        let mut results = Vec::with_capacity(result_list.len() as usize);
        for result in result_list {
            results.push(read_result(result)?);
        }
        let mut version_gone_leafs = Vec::new();
        for leaf in reader.get_version_gone_leafs()? {
            version_gone_leafs.push(LeafId::new(leaf?.to_str()?));
        }
        let mut slow_leafs = Vec::new();
        for leaf in reader.get_slow_leafs()? {
            slow_leafs.push(LeafId::new(leaf?.to_str()?));
        }
        let quarantine = reader.get_quarantine()?;
        let fingerprint = quarantine.get_fingerprint();
        Ok(Self {
            results,
            leaf_requests: reader.get_leaf_requests(),
            extra_leaf_requests: reader.get_extra_leaf_requests(),
            version_gone_leafs,
            slow_leafs,
            quarantine: (fingerprint != 0).then(|| {
                let left = Duration::from_millis(quarantine.get_time_left_ms());
                (Fingerprint(fingerprint), left)
            }),
        })
    }

    /// Writes the message.
    pub fn write(&self, mut builder: batch_reply::Builder<'_>) {
        builder.set_leaf_requests(self.leaf_requests);
        builder.set_extra_leaf_requests(self.extra_leaf_requests);
        let mut results = builder.reborrow().init_results(list_length(&self.results));
        for (index, result) in (0..).zip(&self.results) {
            write_result(result, results.reborrow().get(index));
        }
        let mut leafs = builder
            .reborrow()
            .init_version_gone_leafs(list_length(&self.version_gone_leafs));
        for (index, leaf) in (0..).zip(&self.version_gone_leafs) {
            leafs.set(index, leaf.as_str());
        }
        let mut leafs = builder
            .reborrow()
            .init_slow_leafs(list_length(&self.slow_leafs));
        for (index, leaf) in (0..).zip(&self.slow_leafs) {
            leafs.set(index, leaf.as_str());
        }
        if let Some((fingerprint, left)) = self.quarantine {
            let mut quarantine = builder.init_quarantine();
            quarantine.set_fingerprint(fingerprint.0);
            quarantine.set_time_left_ms(saturating_millis(left));
        }
    }
}

fn read_result(reader: shard_result::Reader<'_>) -> Result<ShardResult, WireError> {
    let outcome = match reader.which()? {
        shard_result::Rows(list) => {
            let mut rows = Vec::new();
            for row in list? {
                rows.push(row?.to_string()?);
            }
            ShardOutcome::Covered { rows }
        }
        shard_result::Uncovered(reason) => ShardOutcome::Uncovered {
            reason: read_reason(reason?),
            may_have_run: reader.get_may_have_run(),
        },
    };
    Ok(ShardResult {
        shard: ShardId(reader.get_shard()),
        outcome,
    })
}

fn write_result(result: &ShardResult, mut builder: shard_result::Builder<'_>) {
    builder.set_shard(result.shard.0);
    match &result.outcome {
        ShardOutcome::Covered { rows } => {
            builder.set_may_have_run(true);
            let mut list = builder.init_rows(list_length(rows));
            for (index, row) in (0..).zip(rows) {
                list.set(index, row.as_str());
            }
        }
        ShardOutcome::Uncovered {
            reason,
            may_have_run,
        } => {
            builder.set_may_have_run(*may_have_run);
            builder.set_uncovered(write_reason(*reason));
        }
    }
}

fn read_reason(reason: peer_capnp::UncoveredReason) -> UncoveredReason {
    use peer_capnp::UncoveredReason as Wire;
    match reason {
        Wire::VersionGone => UncoveredReason::VersionGone,
        Wire::NoReplica => UncoveredReason::NoReplica,
        Wire::DeadlinePassed => UncoveredReason::DeadlinePassed,
        Wire::LeafRefused => UncoveredReason::LeafRefused,
        Wire::LeafLost => UncoveredReason::LeafLost,
        Wire::GathererLost => UncoveredReason::GathererLost,
        Wire::Quarantined => UncoveredReason::Quarantined,
        Wire::InvalidReply => UncoveredReason::InvalidReply,
        Wire::QueueFull => UncoveredReason::QueueFull,
        Wire::Paused => UncoveredReason::Paused,
        Wire::NoConnection => UncoveredReason::NoConnection,
    }
}

fn write_reason(reason: UncoveredReason) -> peer_capnp::UncoveredReason {
    use peer_capnp::UncoveredReason as Wire;
    match reason {
        UncoveredReason::VersionGone => Wire::VersionGone,
        UncoveredReason::NoReplica => Wire::NoReplica,
        UncoveredReason::DeadlinePassed => Wire::DeadlinePassed,
        UncoveredReason::LeafRefused => Wire::LeafRefused,
        UncoveredReason::LeafLost => Wire::LeafLost,
        UncoveredReason::GathererLost => Wire::GathererLost,
        UncoveredReason::Quarantined => Wire::Quarantined,
        UncoveredReason::InvalidReply => Wire::InvalidReply,
        UncoveredReason::QueueFull => Wire::QueueFull,
        UncoveredReason::Paused => Wire::Paused,
        UncoveredReason::NoConnection => Wire::NoConnection,
    }
}
