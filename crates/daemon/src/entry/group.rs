//! Sends a batch to one leaf group: failover between its holders, and a hedge when a holder is
//! late.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use medlarpin_core::extra_budget::Urgency;
use medlarpin_core::plan::Batch as PlannedBatch;
use medlarpin_core::prelude::*;
use wire::{Batch, BatchReply, ShardResult, ShardTask};

use crate::entry::request::Query;
use crate::gather::gather;
use crate::logging::ENTRY;
use crate::peers::PeerError;
use crate::query_memory::{QueryMemory, cover_rows};
use crate::routes::{Holder, ServiceRoutes};
use crate::shared::Shared;
use crate::workers::Worker;

/// Time subtracted from the deadline passed to gatherers, so that their replies arrive in time.
const REPLY_MARGIN: Duration = Duration::from_millis(5);

/// Attempt numbers reserved for a holder for each shard of a batch: the first leaf request, its
/// retries and its hedges.
pub const ATTEMPTS_PER_SHARD: u32 = 8;

/// A peer that does not reply for this time counts as unreachable. A time-out after a shorter wait
/// is caused by the query's deadline and says nothing about the peer.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(200);

/// The holders and the known state of one service's leafs, for the planning of a query.
#[derive(Debug)]
pub struct QueryRoutes {
    shared: Arc<Shared>,
    service: Arc<ServiceRoutes>,
}

impl QueryRoutes {
    /// Creates the routes of one query.
    #[must_use]
    pub fn new(shared: &Arc<Shared>, service: &Arc<ServiceRoutes>) -> Self {
        Self {
            shared: Arc::clone(shared),
            service: Arc::clone(service),
        }
    }

    /// Returns true if, as far as this daemon knows, a leaf has a usable holder and serves a
    /// version.
    #[must_use]
    pub fn serves(&self, leaf: &LeafId, version: IndexVersion) -> bool {
        if self.service.holders_of_leaf(leaf).is_empty() {
            return false;
        }
        let name = self.service.view.service.name();
        let now = self.shared.clock.now();
        if self
            .shared
            .gone_versions
            .lock()
            .contains(name, leaf, version, now)
        {
            return false;
        }
        let held = self.shared.leafs.get(name, leaf);
        held.is_none_or(|slot| slot.serves(version))
    }

    /// Returns the number of requests queued for and in flight to a leaf; 0 if another daemon holds
    /// it.
    #[must_use]
    pub fn load(&self, leaf: &LeafId) -> u32 {
        let held = self
            .shared
            .leafs
            .get(self.service.view.service.name(), leaf);
        held.map_or(0, |slot| slot.load())
    }

    /// Returns true if a leaf is much slower than its group.
    #[must_use]
    pub fn is_slow(&self, leaf: &LeafId) -> bool {
        let now = self.shared.clock.now();
        let name = self.service.view.service.name();
        self.shared.slow_leafs.lock().contains(name, leaf, (), now)
    }

    /// Records leafs that are much slower than their group.
    pub fn mark_slow(&self, leafs: &[LeafId]) {
        let now = self.shared.clock.now();
        let mut slow = self.shared.slow_leafs.lock();
        for leaf in leafs {
            slow.insert(self.service.view.service.name(), leaf, (), now);
        }
    }

    /// Records leafs that no longer hold a version.
    pub fn mark_version_gone(&self, leafs: &[LeafId], version: IndexVersion) {
        let now = self.shared.clock.now();
        let mut gone_versions = self.shared.gone_versions.lock();
        for leaf in leafs {
            gone_versions.insert(self.service.view.service.name(), leaf, version, now);
        }
    }
}

/// A batch for one leaf group, and the routes to the group's holders.
#[derive(Debug)]
pub struct GroupCall {
    batch: Batch,
    group: usize,
    routes: Rc<QueryRoutes>,
}

impl GroupCall {
    /// Creates the call for a planned batch.
    #[must_use]
    pub fn new(
        query: &Query,
        version: IndexVersion,
        planned: PlannedBatch<'_>,
        canary: bool,
        first_attempt: u32,
        routes: Rc<QueryRoutes>,
    ) -> Self {
        let tasks = planned.tasks.into_iter().map(|task| ShardTask {
            shard: task.shard,
            leaf: task.leaf.clone(),
            alternatives: task.alternatives.into_iter().cloned().collect(),
        });
        Self {
            batch: Batch {
                request: query.request,
                team: query.team.clone(),
                service: query.service.clone(),
                query: Arc::clone(&query.text),
                version,
                time_left: Duration::ZERO,
                idempotent: query.idempotent,
                canary,
                extra: false,
                tasks: tasks.collect(),
                first_attempt,
            },
            group: planned.group,
            routes,
        }
    }

    /// Sends the batch to the group's holders in order of rank until one replies, and returns one
    /// result for each shard.
    pub async fn run(
        self,
        worker: Rc<Worker>,
        memory: Arc<QueryMemory>,
        deadline: Instant,
    ) -> BatchReply {
        let mut call = HolderCalls {
            worker,
            memory,
            batch: self.batch,
            deadline,
            may_be_running: false,
        };
        let mut holders = self.routes.service.holders(self.group).iter();
        let mut reason = UncoveredReason::GathererLost;
        while let Some((vm, address)) = holders.next() {
            match call.try_holder(vm, *address, holders.as_slice()).await {
                HolderOutcome::Reply(reply) => return reply,
                HolderOutcome::TryNext => {}
                HolderOutcome::Failed(failure) => {
                    reason = failure;
                    break;
                }
            }
        }
        call.uncovered_reply(reason)
    }
}

enum HolderOutcome {
    Reply(BatchReply),
    /// The batch may be sent to the next holder.
    TryNext,
    Failed(UncoveredReason),
}

struct HolderCalls {
    worker: Rc<Worker>,
    memory: Arc<QueryMemory>,
    batch: Batch,
    deadline: Instant,
    /// True if a holder that did not answer may have received the batch.
    may_be_running: bool,
}

impl HolderCalls {
    async fn try_holder(
        &mut self,
        vm: &VmName,
        address: SocketAddr,
        others: &[Holder],
    ) -> HolderOutcome {
        let shared = Arc::clone(&self.worker.shared);
        let now = shared.clock.now();
        let time_left = self.deadline.saturating_duration_since(now);
        if time_left <= REPLY_MARGIN {
            return HolderOutcome::Failed(UncoveredReason::DeadlinePassed);
        }
        self.batch.time_left = time_left.saturating_sub(REPLY_MARGIN);
        if vm == shared.local_vm() {
            let memory = Arc::clone(&self.memory);
            let reply = gather(Rc::clone(&self.worker), self.batch.clone(), memory).await;
            return self.classify_reply(reply);
        }
        let result = self.call_remote(address, others, time_left).await;
        match result {
            Ok(mut reply) => {
                cover_rows(&self.memory, &mut reply);
                shared
                    .metrics
                    .batches
                    .with_label_values(&["answered"])
                    .inc();
                let latency = shared.clock.now().saturating_duration_since(now);
                let mut admission = shared.admission.lock();
                admission.record_batch(&self.batch.service, latency, now);
                drop(admission);
                self.classify_reply(reply)
            }
            Err(error) => self.classify_error(vm, &error, time_left),
        }
    }

    /// Sends the batch to a remote holder, and also to a second one if the first is late and the
    /// budget allows.
    async fn call_remote(
        &self,
        address: SocketAddr,
        others: &[Holder],
        time_left: Duration,
    ) -> Result<BatchReply, PeerError> {
        let first = self.worker.peers.gather(address, &self.batch, time_left);
        tokio::pin!(first);
        let local_vm = self.worker.shared.local_vm();
        let second = others.iter().find(|(vm, _)| vm != local_vm);
        let Some((_, second)) = second.filter(|_| self.batch.idempotent && !self.batch.canary)
        else {
            return first.await;
        };
        tokio::select! {
            result = &mut first => return result,
            () = tokio::time::sleep(time_left / 2) => {}
        }
        let second = self.hedge(*second, time_left / 2);
        tokio::pin!(second);
        // The first holder may still answer, so its call goes on alongside the hedge.
        tokio::select! {
            result = &mut first => result,
            Some(reply) = &mut second => Ok(reply),
        }
    }

    /// Sends the batch to a second holder because the first one is late. Returns `None` if the
    /// budget is spent or the second holder does not cover every shard.
    async fn hedge(&self, address: SocketAddr, time_left: Duration) -> Option<BatchReply> {
        let now = self.worker.shared.clock.now();
        if !self.try_spend_extra(now) {
            return None;
        }
        let batch = Batch {
            time_left: time_left.saturating_sub(REPLY_MARGIN),
            first_attempt: self.next_holder_attempt(),
            ..self.batch.clone()
        };
        let reply = self.worker.peers.gather(address, &batch, time_left).await;
        let covered = |result: &ShardResult| matches!(result.outcome, ShardOutcome::Covered { .. });
        let mut reply = reply
            .ok()
            .filter(|reply| reply.results.iter().all(covered))?;
        reply.extra_leaf_requests = reply.leaf_requests;
        Some(reply)
    }

    /// Returns the first attempt number for the batch at the next holder.
    fn next_holder_attempt(&self) -> u32 {
        let tasks = u32::try_from(self.batch.tasks.len()).unwrap_or(u32::MAX);
        let used = tasks.saturating_mul(ATTEMPTS_PER_SHARD);
        self.batch.first_attempt.wrapping_add(used)
    }

    /// Chooses failover if the holder sent nothing to a leaf because it no longer holds the group,
    /// is shutting down or was paused.
    fn classify_reply(&mut self, reply: BatchReply) -> HolderOutcome {
        let nothing_sent = |result: &ShardResult| {
            matches!(
                result.outcome,
                ShardOutcome::Uncovered {
                    reason: UncoveredReason::GathererLost | UncoveredReason::Paused,
                    may_have_run: false,
                }
            )
        };
        if !reply.results.is_empty() && reply.results.iter().all(nothing_sent) {
            return HolderOutcome::TryNext;
        }
        let mut reply = reply;
        if self.may_be_running {
            // An earlier holder that did not answer may still run the shards.
            for result in &mut reply.results {
                if let ShardOutcome::Uncovered { may_have_run, .. } = &mut result.outcome {
                    *may_have_run = true;
                }
            }
        }
        HolderOutcome::Reply(reply)
    }

    fn classify_error(
        &mut self,
        vm: &VmName,
        error: &PeerError,
        timeout: Duration,
    ) -> HolderOutcome {
        let shared = &self.worker.shared;
        shared.metrics.batches.with_label_values(&["failed"]).inc();
        let request = self.batch.request;
        log::debug!(target: ENTRY, "Request {request}: the call to VM {vm} failed: {error}.");
        let too_short = matches!(error, PeerError::Timeout(_)) && timeout < UNREACHABLE_AFTER;
        let now = shared.clock.now();
        if !too_short {
            shared.record_rpc_failure(vm, now);
        }
        if error.was_not_sent() {
            return HolderOutcome::TryNext;
        }
        self.may_be_running = true;
        if self.batch.idempotent && !self.batch.canary && self.try_spend_extra(now) {
            self.batch.first_attempt = self.next_holder_attempt();
            return HolderOutcome::TryNext;
        }
        HolderOutcome::Failed(UncoveredReason::GathererLost)
    }

    /// Spends one extra leaf request for each shard of the batch; returns false if the budget runs
    /// out.
    fn try_spend_extra(&self, now: Instant) -> bool {
        let mut admission = self.worker.shared.admission.lock();
        let (team, service) = (&self.batch.team, &self.batch.service);
        let mut tasks = self.batch.tasks.iter();
        tasks.all(|_task| admission.try_spend_extra(team, service, Urgency::Late, now))
    }

    fn uncovered_reply(&self, reason: UncoveredReason) -> BatchReply {
        let tasks = self.batch.tasks.iter();
        let results = tasks.map(|task| ShardResult {
            shard: task.shard,
            outcome: ShardOutcome::Uncovered {
                reason,
                may_have_run: self.may_be_running,
            },
        });
        BatchReply {
            results: results.collect(),
            ..BatchReply::default()
        }
    }
}
