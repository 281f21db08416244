//! The canary: the first request of an unproven fingerprint, on one leaf only.

use std::rc::Rc;

use medlarpin_core::canary::Clearance;
use medlarpin_core::prelude::*;
use wire::{BatchReply, ShardTask};

use crate::gather::{Gathering, refuse, results, shard};

/// Runs a canary batch once no other canary of the fingerprint runs here.
pub async fn run(gathering: &Rc<Gathering>) -> BatchReply {
    let Some(task) = gathering.batch.tasks.first() else {
        return BatchReply::default();
    };
    match wait_for_turn(gathering).await {
        Turn::Canary => run_canary(gathering, task).await,
        Turn::Proven => run_proven(gathering, task).await,
        Turn::Refused(reason) => refuse(&gathering.batch, reason),
    }
}

enum Turn {
    /// This batch runs the canary.
    Canary,
    /// Another canary has shown that the query runs well.
    Proven,
    Refused(UncoveredReason),
}

async fn wait_for_turn(gathering: &Gathering) -> Turn {
    let shared = &gathering.worker.shared;
    loop {
        let ended = shared.canary_ended.notified();
        tokio::pin!(ended);
        // Registers before the check, so that a canary that ends in between is not missed.
        ended.as_mut().enable();
        {
            let now = shared.clock.now();
            let mut table = shared.fingerprints.lock();
            match table.table().check(gathering.fingerprint, now) {
                Clearance::Proven => return Turn::Proven,
                Clearance::Quarantined { .. } => {
                    return Turn::Refused(UncoveredReason::Quarantined);
                }
                Clearance::NeedsCanary if table.start_canary(gathering.fingerprint) => {
                    return Turn::Canary;
                }
                Clearance::NeedsCanary | Clearance::CanaryRunning => {}
            }
        }
        if tokio::time::timeout(gathering.time_left(), ended)
            .await
            .is_err()
        {
            return Turn::Refused(UncoveredReason::DeadlinePassed);
        }
    }
}

async fn run_proven(gathering: &Rc<Gathering>, task: &ShardTask) -> BatchReply {
    let outcome = shard::run(gathering, task).await;
    reply(gathering, outcome)
}

async fn run_canary(gathering: &Rc<Gathering>, task: &ShardTask) -> BatchReply {
    let claim = Claim { gathering };
    let Some(task) = avoid_struck_leafs(gathering, task) else {
        return refuse(&gathering.batch, UncoveredReason::Quarantined);
    };
    let outcome = shard::run(gathering, &task).await;
    if matches!(outcome, ShardOutcome::Covered { .. }) {
        let shared = &gathering.worker.shared;
        let mut table = shared.fingerprints.lock();
        table.canary_ok(gathering.fingerprint);
    }
    drop(claim);
    reply(gathering, outcome)
}

fn reply(gathering: &Gathering, outcome: ShardOutcome) -> BatchReply {
    BatchReply {
        results: results(&gathering.batch.tasks, vec![outcome]),
        ..BatchReply::default()
    }
}

/// Removes the leafs that this fingerprint crashed already; `None` if no other is left.
fn avoid_struck_leafs(gathering: &Gathering, task: &ShardTask) -> Option<ShardTask> {
    let shared = &gathering.worker.shared;
    let now = shared.clock.now();
    let struck = shared
        .fingerprints
        .lock()
        .table()
        .struck_leafs(gathering.fingerprint, now);
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
    gathering: &'a Gathering,
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        let shared = &self.gathering.worker.shared;
        // Has no effect on a canary that already ended with a success or a strike.
        let fingerprint = self.gathering.fingerprint;
        shared.fingerprints.lock().canary_ended(fingerprint);
        shared.canary_ended.notify_waiters();
    }
}
