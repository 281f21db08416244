//! Short periodic work: pause detection, holdings and acknowledgement of VM lists.

use std::rc::Rc;

use medlarpin_core::pause::TICK_INTERVAL;
use medlarpin_core::prelude::*;

use crate::fleet::refresh::update_holdings;
use crate::logging::GOSSIP;
use crate::shared::Shared;
use crate::workers::Worker;

/// Time after which a VM that left the list and gave no sign counts as stopped.
const REMOVED_STOPPED_AFTER: Duration = Duration::from_secs(30);

/// Runs for ever.
pub async fn housekeep(worker: Rc<Worker>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let shared = &worker.shared;
        let now = shared.clock.now();
        if shared.pause_detector.lock().tick(now) {
            shared.metrics.pauses.inc();
            log::warn!(target: GOSSIP, "This process was paused; it refuses work until it has rejoined.");
        }
        move_ownership(shared, now);
        update_gauges(shared, now);
    }
}

fn move_ownership(shared: &Shared, now: Instant) {
    let mut fleet = shared.fleet.lock();
    let view = shared.view();
    confirm_stopped(&mut fleet, now);
    update_holdings(shared, &mut fleet, &view);
    // Under the fleet's lock, so that no list accepted meanwhile is acknowledged unseen.
    let retired_closed = shared.leafs.close_retired();
    let revision = fleet.membership.list().revision();
    let all_acknowledged = fleet.all_acknowledged();
    let all_clear = fleet.all_clear() && !view.vm_list().vms().is_empty();
    let mut admission = shared.admission.lock();
    if fleet.acknowledged < revision && retired_closed && admission.may_acknowledge(now) {
        fleet.acknowledged = revision;
        fleet.handover.acknowledge(shared.local_vm(), revision);
        shared.state_changed.notify_one();
    }
    if all_clear {
        admission.confirm_start(now);
    }
    // The update costs time for each team and VM, so it runs only when it can change something;
    // new settings and lists are taken in where they are put in force.
    if all_acknowledged != fleet.shares_acknowledged {
        fleet.shares_acknowledged = all_acknowledged;
        admission.update(&view, all_acknowledged, now);
    }
}

fn confirm_stopped(fleet: &mut crate::fleet::FleetTable, now: Instant) {
    let is_over =
        |removed_at: Instant| now.saturating_duration_since(removed_at) >= REMOVED_STOPPED_AFTER;
    let stopped: Vec<VmName> = fleet
        .removed
        .iter()
        .filter(|(_, removed_at)| is_over(*removed_at))
        .map(|(vm, _)| vm.clone())
        .collect();
    fleet
        .removed
        .retain(|(_, removed_at)| !is_over(*removed_at));
    for vm in stopped {
        fleet.handover.confirm_stopped(&vm);
    }
}

fn update_gauges(shared: &Shared, now: Instant) {
    let metrics = &shared.metrics;
    let (open, share) = shared.leafs.connections();
    let connections = &metrics.leaf_connections;
    connections.with_label_values(&["open"]).set(open.into());
    connections.with_label_values(&["share"]).set(share.into());
    let quarantined = shared.fingerprints.lock().table().active(now).len();
    metrics
        .quarantined
        .set(i64::try_from(quarantined).unwrap_or(i64::MAX));
}
