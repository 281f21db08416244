//! Periodic work: pause detection, leaf holdings, acknowledgement of VM lists and gauges.

use std::rc::Rc;

use medlarpin_core::pause::TICK_INTERVAL;
use medlarpin_core::prelude::*;

use crate::fleet::updates::update_holdings;
use crate::logging::GOSSIP;
use crate::shared::Shared;
use crate::workers::Worker;

/// Time without a heartbeat after which a VM that left the list counts as stopped.
const REMOVED_VM_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs the periodic work forever.
pub async fn housekeep(worker: Rc<Worker>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let shared = &worker.shared;
        let now = shared.clock.now();
        if shared.pause_detector.lock().tick(now) {
            shared.metrics.pauses.inc();
            log::warn!(
                target: GOSSIP,
                "This process was paused; it refuses work until it has rejoined the fleet."
            );
        }
        advance_handover(shared, now);
        update_gauges(shared, now);
    }
}

fn advance_handover(shared: &Shared, now: Instant) {
    let mut fleet = shared.fleet.lock();
    let view = shared.view();
    confirm_stopped(&mut fleet, now);
    update_holdings(shared, &mut fleet, &view);
    // The fleet's lock is held, so a VM list accepted meanwhile cannot be acknowledged before the
    // holdings follow it.
    let retired_closed = shared.leafs.close_retired();
    let revision = fleet.membership.list().revision();
    let all_acknowledged = fleet.all_acknowledged();
    let all_independent = fleet.all_independent() && !view.vm_list().vms().is_empty();
    let mut admission = shared.admission.lock();
    if fleet.acknowledged < revision && retired_closed && admission.may_acknowledge_vm_list(now) {
        fleet.acknowledged = revision;
        fleet.handover.acknowledge(shared.local_vm(), revision);
        shared.state_changed.notify_one();
    }
    if all_independent {
        admission.skip_start_delay(now);
    }
    // The update takes time proportional to teams and VMs, so it runs only if the shares may
    // change. New settings and VM lists update the shares when they are applied.
    if all_acknowledged != fleet.shares_acknowledged {
        fleet.shares_acknowledged = all_acknowledged;
        admission.update(&view, all_acknowledged, now);
    }
}

fn confirm_stopped(fleet: &mut crate::fleet::FleetTable, now: Instant) {
    let has_timed_out =
        |removed_at: Instant| now.saturating_duration_since(removed_at) >= REMOVED_VM_TIMEOUT;
    let stopped: Vec<VmName> = fleet
        .removed_vms
        .iter()
        .filter(|(_, removed_at)| has_timed_out(*removed_at))
        .map(|(vm, _)| vm.clone())
        .collect();
    fleet
        .removed_vms
        .retain(|(_, removed_at)| !has_timed_out(*removed_at));
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
    let quarantined = shared
        .fingerprints
        .lock()
        .table()
        .active_quarantines(now)
        .len();
    metrics
        .quarantined
        .set(i64::try_from(quarantined).unwrap_or(i64::MAX));
}
