//! The gatherer: runs a batch of shard requests on the leafs that this daemon holds and returns
//! their results to the entry.

mod canary;
mod shard;

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use futures::future::join_all;
use medlarpin_core::canary::Clearance;
use medlarpin_core::extra_budget::Urgency;
use medlarpin_core::latency_window::{hedge_delay_for_p95, hedge_threshold};
use medlarpin_core::outlier::is_slow;
use medlarpin_core::prelude::*;
use wire::{Batch, BatchReply, ShardResult, ShardTask};

use crate::leafs::LeafSlot;
use crate::logging::GATHER;
use crate::query_memory::QueryMemory;
use crate::view::ServiceView;
use crate::workers::Worker;

/// State shared by the shard requests of one batch.
#[derive(Debug)]
struct BatchContext {
    worker: Rc<Worker>,
    memory: Arc<QueryMemory>,
    batch: Batch,
    service: Arc<ServiceView>,
    fingerprint: Fingerprint,
    weight: u32,
    deadline: Instant,
    next_attempt: Cell<u32>,
    /// 95th-percentile latencies of the leafs of the batch's group, computed when first needed for
    /// a hedge delay.
    group_p95: OnceCell<Vec<Duration>>,
    leaf_requests: Cell<u32>,
    extra_leaf_requests: Cell<u32>,
    version_gone: RefCell<Vec<LeafId>>,
}

/// Runs a batch and returns one result for each of its tasks.
pub async fn gather(worker: Rc<Worker>, batch: Batch, memory: Arc<QueryMemory>) -> BatchReply {
    let shared = Arc::clone(&worker.shared);
    let now = shared.clock.now();
    if shared.check_pause(now).is_err() {
        return refuse(&batch, UncoveredReason::Paused);
    }
    if shared.lifecycle.is_drained() {
        // Nothing was sent to a leaf, so the entry fails over to the next holder.
        return refuse(&batch, UncoveredReason::GathererLost);
    }
    let view = shared.view();
    let Some(service) = view.service(batch.service.as_str()) else {
        return refuse(&batch, UncoveredReason::GathererLost);
    };
    let fingerprint = Fingerprint::of(&batch.team, &batch.service, &batch.query);
    let context = Rc::new(BatchContext {
        weight: view.team(batch.team.as_str()).map_or(1, |team| team.weight),
        deadline: now + batch.time_left,
        next_attempt: Cell::new(batch.first_attempt),
        group_p95: OnceCell::new(),
        leaf_requests: Cell::new(0),
        extra_leaf_requests: Cell::new(0),
        version_gone: RefCell::default(),
        service: Arc::clone(service),
        fingerprint,
        batch,
        memory,
        worker,
    });
    let mut reply = if context.batch.canary {
        canary::run(&context).await
    } else {
        run_all(&context).await
    };
    reply.leaf_requests = context.leaf_requests.get();
    reply.extra_leaf_requests = context.extra_leaf_requests.get();
    reply.version_gone_leafs = context.version_gone.take();
    reply.slow_leafs = context.slow_leafs();
    let now = shared.clock.now();
    if let Clearance::Quarantined { until } =
        shared.fingerprints.lock().table().check(fingerprint, now)
    {
        reply.quarantine = Some((fingerprint, until.saturating_duration_since(now)));
    }
    reply
}

async fn run_all(context: &Rc<BatchContext>) -> BatchReply {
    let shared = &context.worker.shared;
    let clearance = shared
        .fingerprints
        .lock()
        .table()
        .check(context.fingerprint, shared.clock.now());
    if matches!(clearance, Clearance::Quarantined { .. }) {
        return refuse(&context.batch, UncoveredReason::Quarantined);
    }
    let tasks = context.batch.tasks.iter();
    let outcomes = join_all(tasks.map(|task| shard::run(context, task))).await;
    BatchReply {
        results: results(&context.batch.tasks, outcomes),
        ..BatchReply::default()
    }
}

fn results(tasks: &[ShardTask], outcomes: Vec<ShardOutcome>) -> Vec<ShardResult> {
    let pairs = tasks.iter().zip(outcomes);
    let result = |(task, outcome): (&ShardTask, _)| ShardResult {
        shard: task.shard,
        outcome,
    };
    pairs.map(result).collect()
}

/// Refuses a whole batch before any of its requests is sent to a leaf.
fn refuse(batch: &Batch, reason: UncoveredReason) -> BatchReply {
    let outcome = |_task| ShardOutcome::Uncovered {
        reason,
        may_have_run: false,
    };
    let outcomes = batch.tasks.iter().map(outcome).collect();
    BatchReply {
        results: results(&batch.tasks, outcomes),
        ..BatchReply::default()
    }
}

impl BatchContext {
    fn take_attempt_number(&self) -> u32 {
        let attempt = self.next_attempt.get();
        self.next_attempt.set(attempt.wrapping_add(1));
        attempt
    }

    fn time_left(&self) -> Duration {
        let now = self.worker.shared.clock.now();
        self.deadline.saturating_duration_since(now)
    }

    /// Returns how long a request to a leaf may stay unanswered before it is hedged.
    fn hedge_delay(&self, slot: &LeafSlot) -> Duration {
        let group = self
            .group_p95
            .get_or_init(|| self.group_p95_latencies(slot));
        hedge_delay_for_p95(hedge_threshold(slot.p95(), group.clone()), self.time_left())
    }

    fn group_p95_latencies(&self, slot: &LeafSlot) -> Vec<Duration> {
        let held = self.held_group_leafs(&slot.leaf.id);
        held.iter().filter_map(|slot| slot.p95()).collect()
    }

    /// Returns the leafs of the batch's group that entries should avoid.
    fn slow_leafs(&self) -> Vec<LeafId> {
        // The reply to a hedge or retry goes to a gatherer, which does not choose leafs.
        let Some(task) = self.batch.tasks.first().filter(|_| !self.batch.extra) else {
            return Vec::new();
        };
        let held = self.held_group_leafs(&task.leaf);
        let known = held
            .iter()
            .filter_map(|slot| Some((&slot.leaf.id, slot.effective_latency()?)));
        let known: Vec<(&LeafId, Duration)> = known.collect();
        let latencies: Vec<Duration> = known.iter().map(|(_, latency)| *latency).collect();
        let slow = known
            .into_iter()
            .filter(|(_, latency)| is_slow(*latency, &latencies));
        slow.map(|(leaf, _)| leaf.clone()).collect()
    }

    /// Returns the leafs of a leaf's group that this daemon holds.
    fn held_group_leafs(&self, leaf: &LeafId) -> Vec<Arc<LeafSlot>> {
        let Some(group) = self.service.group_of(leaf) else {
            return Vec::new();
        };
        let leafs = self.service.groups[group].group.leafs().iter();
        let table = &self.worker.shared.leafs;
        leafs
            .filter_map(|leaf| table.get(&self.batch.service, leaf))
            .collect()
    }

    /// Returns the urgency of a hedge that is sent now.
    fn hedge_urgency(&self) -> Urgency {
        Urgency::of_hedge(self.batch.time_left, self.time_left())
    }

    fn try_spend_extra(&self, urgency: Urgency) -> bool {
        let shared = &self.worker.shared;
        let (team, service) = (&self.batch.team, &self.batch.service);
        let now = shared.clock.now();
        let mut admission = shared.admission.lock();
        admission.try_spend_extra(team, service, urgency, now)
    }

    fn record_leaf_result(&self, refused: bool, queue_wait: Duration) {
        let shared = &self.worker.shared;
        let (team, service) = (&self.batch.team, &self.batch.service);
        let now = shared.clock.now();
        let mut admission = shared.admission.lock();
        admission.record_result(team, service, refused, queue_wait, now);
    }

    /// Records a strike against the fingerprint because a leaf's connection was lost while it ran
    /// the query. Gossips the quarantine if this strike causes one.
    fn record_strike(&self, leaf: &LeafId) {
        let shared = &self.worker.shared;
        let request = self.batch.request;
        let quarantine = shared
            .fingerprints
            .lock()
            .strike(self.fingerprint, leaf, request);
        if quarantine.is_some() {
            log::warn!(
                target: GATHER, "Fingerprint {} is quarantined: request {request} crashed a second leaf.",
                self.fingerprint
            );
            shared.state_changed.notify_one();
        }
    }
}
