//! The canary: the first request of a fingerprint that has not yet run without a crash. It goes to
//! one leaf only.

use std::rc::Rc;

use medlarpin_core::canary::Clearance;
use medlarpin_core::prelude::*;
use wire::{BatchReply, ShardTask};

use crate::gather::{BatchContext, refuse, results, shard};

/// Runs a canary batch after any other canary of the same fingerprint on this daemon has finished.
pub async fn run(context: &Rc<BatchContext>) -> BatchReply {
    let Some(task) = context.batch.tasks.first() else {
        return BatchReply::default();
    };
    match wait_for_turn(context).await {
        CanaryTurn::Canary => run_canary(context, task).await,
        CanaryTurn::Proven => run_proven(context, task).await,
        CanaryTurn::Refused(reason) => refuse(&context.batch, reason),
    }
}

enum CanaryTurn {
    /// This batch runs the canary.
    Canary,
    /// Another canary of the fingerprint succeeded, so the request needs none.
    Proven,
    Refused(UncoveredReason),
}

async fn wait_for_turn(context: &BatchContext) -> CanaryTurn {
    let shared = &context.worker.shared;
    loop {
        let finished = shared.canary_finished.notified();
        tokio::pin!(finished);
        // Registers before the check, so that a canary that finishes in between is not missed.
        finished.as_mut().enable();
        {
            let now = shared.clock.now();
            let mut table = shared.fingerprints.lock();
            match table.table().check(context.fingerprint, now) {
                Clearance::Proven => return CanaryTurn::Proven,
                Clearance::Quarantined { .. } => {
                    return CanaryTurn::Refused(UncoveredReason::Quarantined);
                }
                Clearance::NeedsCanary if table.start_canary(context.fingerprint) => {
                    return CanaryTurn::Canary;
                }
                Clearance::NeedsCanary | Clearance::CanaryRunning => {}
            }
        }
        if tokio::time::timeout(context.time_left(), finished)
            .await
            .is_err()
        {
            return CanaryTurn::Refused(UncoveredReason::DeadlinePassed);
        }
    }
}

async fn run_proven(context: &Rc<BatchContext>, task: &ShardTask) -> BatchReply {
    let outcome = shard::run(context, task).await;
    reply(context, outcome)
}

async fn run_canary(context: &Rc<BatchContext>, task: &ShardTask) -> BatchReply {
    let guard = CanaryGuard { context };
    let Some(task) = exclude_leafs_with_strikes(context, task) else {
        return refuse(&context.batch, UncoveredReason::Quarantined);
    };
    let outcome = shard::run(context, &task).await;
    if matches!(outcome, ShardOutcome::Covered { .. }) {
        let shared = &context.worker.shared;
        let mut table = shared.fingerprints.lock();
        table.canary_succeeded(context.fingerprint);
    }
    drop(guard);
    reply(context, outcome)
}

fn reply(context: &BatchContext, outcome: ShardOutcome) -> BatchReply {
    BatchReply {
        results: results(&context.batch.tasks, vec![outcome]),
        ..BatchReply::default()
    }
}

/// Removes the leafs that this fingerprint has crashed; returns `None` if no replica is left.
fn exclude_leafs_with_strikes(context: &BatchContext, task: &ShardTask) -> Option<ShardTask> {
    let shared = &context.worker.shared;
    let now = shared.clock.now();
    let crashed_leafs = shared
        .fingerprints
        .lock()
        .table()
        .leafs_with_strikes(context.fingerprint, now);
    let leafs = std::iter::once(&task.leaf).chain(&task.alternatives);
    let mut remaining = leafs.filter(|leaf| crashed_leafs.binary_search(leaf).is_err());
    Some(ShardTask {
        shard: task.shard,
        leaf: remaining.next()?.clone(),
        alternatives: remaining.cloned().collect(),
    })
}

/// Frees the fingerprint for the next canary when dropped, also if the batch is cancelled.
struct CanaryGuard<'a> {
    context: &'a BatchContext,
}

impl Drop for CanaryGuard<'_> {
    fn drop(&mut self) {
        let shared = &self.context.worker.shared;
        // Has no effect if the canary has already succeeded or caused a strike.
        let fingerprint = self.context.fingerprint;
        shared.fingerprints.lock().canary_inconclusive(fingerprint);
        shared.canary_finished.notify_waiters();
    }
}
