//! The canary: the first request of an unproven fingerprint, on one leaf only.

use std::rc::Rc;

use medlarpin_core::canary::Clearance;
use medlarpin_core::prelude::*;
use wire::{BatchReply, ShardTask};

use crate::gather::{BatchContext, refuse, results, shard};

/// Runs a canary batch once no other canary of the fingerprint runs here.
pub async fn run(context: &Rc<BatchContext>) -> BatchReply {
    let Some(task) = context.batch.tasks.first() else {
        return BatchReply::default();
    };
    match wait_for_turn(context).await {
        Turn::Canary => run_canary(context, task).await,
        Turn::Proven => run_proven(context, task).await,
        Turn::Refused(reason) => refuse(&context.batch, reason),
    }
}

enum Turn {
    /// This batch runs the canary.
    Canary,
    /// Another canary has shown that the query runs well.
    Proven,
    Refused(UncoveredReason),
}

async fn wait_for_turn(context: &BatchContext) -> Turn {
    let shared = &context.worker.shared;
    loop {
        let ended = shared.canary_finished.notified();
        tokio::pin!(ended);
        // Registers before the check, so that a canary that ends in between is not missed.
        ended.as_mut().enable();
        {
            let now = shared.clock.now();
            let mut table = shared.fingerprints.lock();
            match table.table().check(context.fingerprint, now) {
                Clearance::Proven => return Turn::Proven,
                Clearance::Quarantined { .. } => {
                    return Turn::Refused(UncoveredReason::Quarantined);
                }
                Clearance::NeedsCanary if table.start_canary(context.fingerprint) => {
                    return Turn::Canary;
                }
                Clearance::NeedsCanary | Clearance::CanaryRunning => {}
            }
        }
        if tokio::time::timeout(context.time_left(), ended)
            .await
            .is_err()
        {
            return Turn::Refused(UncoveredReason::DeadlinePassed);
        }
    }
}

async fn run_proven(context: &Rc<BatchContext>, task: &ShardTask) -> BatchReply {
    let outcome = shard::run(context, task).await;
    reply(context, outcome)
}

async fn run_canary(context: &Rc<BatchContext>, task: &ShardTask) -> BatchReply {
    let claim = Claim { context };
    let Some(task) = avoid_struck_leafs(context, task) else {
        return refuse(&context.batch, UncoveredReason::Quarantined);
    };
    let outcome = shard::run(context, &task).await;
    if matches!(outcome, ShardOutcome::Covered { .. }) {
        let shared = &context.worker.shared;
        let mut table = shared.fingerprints.lock();
        table.canary_ok(context.fingerprint);
    }
    drop(claim);
    reply(context, outcome)
}

fn reply(context: &BatchContext, outcome: ShardOutcome) -> BatchReply {
    BatchReply {
        results: results(&context.batch.tasks, vec![outcome]),
        ..BatchReply::default()
    }
}

/// Removes the leafs that this fingerprint crashed already; `None` if no other is left.
fn avoid_struck_leafs(context: &BatchContext, task: &ShardTask) -> Option<ShardTask> {
    let shared = &context.worker.shared;
    let now = shared.clock.now();
    let struck = shared
        .fingerprints
        .lock()
        .table()
        .struck_leafs(context.fingerprint, now);
    let leafs = std::iter::once(&task.leaf).chain(&task.alternatives);
    let mut fit = leafs.filter(|leaf| struck.binary_search(leaf).is_err());
    Some(ShardTask {
        shard: task.shard,
        leaf: fit.next()?.clone(),
        alternatives: fit.cloned().collect(),
    })
}

/// Ends the claim on the canary, also if the batch is cancelled.
struct Claim<'a> {
    context: &'a BatchContext,
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        let shared = &self.context.worker.shared;
        // Has no effect on a canary that already ended with a success or a strike.
        let fingerprint = self.context.fingerprint;
        shared.fingerprints.lock().canary_ended(fingerprint);
        shared.canary_finished.notify_waiters();
    }
}
