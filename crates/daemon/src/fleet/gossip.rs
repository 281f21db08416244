//! Gossip: heartbeat exchanges with peers, and the fetches that they trigger.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use medlarpin_core::canary::Quarantine;
use medlarpin_core::prelude::*;
use medlarpin_core::settings_tree::TransferTree;
use wire::HeartbeatMessage;

use crate::fleet::updates::{accept_transfer, accept_vm_list};
use crate::logging::{CONFIG, GOSSIP};
use crate::shared::Shared;
use crate::workers::Worker;

/// Timeout of a heartbeat exchange.
pub(super) const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a fetch of a peer's settings tree or VM list.
pub(super) const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of peers to which a change is sent immediately; the others learn of it by gossip.
const ANNOUNCE_FAN_OUT: usize = 4;

/// Maximum number of VMs that are probed in each probe interval because a handover waits for their
/// acknowledgement of the VM list.
///
/// More would add control traffic for as long as several listed VMs are down; fewer would delay the
/// handovers of a fleet whose daemons all start at the same time.
const MAX_UNACKNOWLEDGED_PROBES: usize = 16;

/// Maximum number of quarantines in one heartbeat.
const MAX_QUARANTINES: usize = 16;

/// Probes members forever: in each interval the next one in turn, one that is due for an extra
/// probe, and some of those that have not acknowledged the VM list.
pub async fn probe_members(worker: Rc<Worker>) {
    loop {
        tokio::time::sleep(worker.shared.probe_interval()).await;
        for vm in choose_probe_targets(&worker.shared) {
            tokio::task::spawn_local(exchange(Rc::clone(&worker), vm));
        }
    }
}

/// Announces each change of this daemon's state to some peers as soon as it happens, forever.
pub async fn announce_changes(worker: Rc<Worker>) {
    loop {
        worker.shared.state_changed.notified().await;
        for vm in choose_peers(&worker.shared, ANNOUNCE_FAN_OUT) {
            tokio::task::spawn_local(exchange(Rc::clone(&worker), vm));
        }
    }
}

/// Exchanges heartbeats with a VM; returns true if it answered.
pub async fn exchange(worker: Rc<Worker>, vm: VmName) -> bool {
    let shared = Arc::clone(&worker.shared);
    let view = shared.view();
    let Some(address) = view.vm_list().get(&vm).map(|entry| entry.rpc_address) else {
        return false;
    };
    let message = build_heartbeat(&shared, &vm);
    let started_at = shared.clock.now();
    let reply = worker
        .peers
        .exchange(address, &message, EXCHANGE_TIMEOUT)
        .await;
    let now = shared.clock.now();
    match reply {
        Ok(reply) => {
            shared
                .metrics
                .exchanges
                .with_label_values(&["answered"])
                .inc();
            if shared
                .pause_detector
                .lock()
                .record_exchange(started_at, now)
            {
                log::info!(target: GOSSIP, "This daemon has rejoined the fleet after a pause.");
            }
            apply_heartbeat(&worker, &reply);
            true
        }
        Err(error) => {
            shared
                .metrics
                .exchanges
                .with_label_values(&["failed"])
                .inc();
            log::debug!(target: GOSSIP, "Heartbeat exchange with VM {vm} failed: {error}.");
            // After a pause of this process the time-out may be its own fault, not the peer's.
            if shared.check_pause(now).is_ok() {
                let mut fleet = shared.fleet.lock();
                fleet.membership.record_failed_probe(&vm, now);
                shared.publish_usable_vms(&fleet);
            }
            false
        }
    }
}

/// Applies a peer's heartbeat and builds the reply.
pub fn answer_heartbeat(worker: &Rc<Worker>, message: &HeartbeatMessage) -> HeartbeatMessage {
    apply_heartbeat(worker, message);
    build_heartbeat(&worker.shared, &message.heartbeat.sender.vm)
}

/// Returns up to `count` other usable VMs in random order.
pub fn choose_peers(shared: &Shared, count: usize) -> Vec<VmName> {
    let mut peers = shared.usable_vms().to_vec();
    peers.retain(|vm| vm != shared.local_vm());
    let mut chosen = Vec::new();
    while chosen.len() < count && !peers.is_empty() {
        let index = rand::random_range(0..peers.len());
        chosen.push(peers.swap_remove(index));
    }
    chosen
}

fn choose_probe_targets(shared: &Shared) -> Vec<VmName> {
    let now = shared.clock.now();
    let is_unpaused = shared.check_pause(now).is_ok();
    let mut fleet = shared.fleet.lock();
    // A paused daemon may have missed refutations, so it must not declare members dead.
    if is_unpaused {
        for update in fleet.membership.expire_suspicions(now) {
            log::info!(target: GOSSIP, "VM {} is declared dead.", update.vm);
        }
        shared.publish_usable_vms(&fleet);
    }
    let mut targets: Vec<VmName> = fleet
        .membership
        .next_probe(rand::random())
        .into_iter()
        .collect();
    targets.extend(fleet.membership.next_extra_probe(now));
    targets.extend(choose_unacknowledged(&fleet, shared.local_vm()));
    targets.sort();
    targets.dedup();
    targets
}

/// Returns some VMs whose acknowledgement a handover waits for; probing them shortens the wait.
fn choose_unacknowledged(fleet: &crate::fleet::FleetTable, local_vm: &VmName) -> Vec<VmName> {
    let list = fleet.membership.list();
    let unacknowledged = fleet
        .handover
        .all_unacknowledged_holders()
        .into_iter()
        .filter(|vm| *vm != local_vm && list.get(vm).is_some());
    let mut unacknowledged: Vec<VmName> = unacknowledged.cloned().collect();
    let mut chosen = Vec::new();
    while chosen.len() < MAX_UNACKNOWLEDGED_PROBES && !unacknowledged.is_empty() {
        let index = rand::random_range(0..unacknowledged.len());
        chosen.push(unacknowledged.swap_remove(index));
    }
    chosen
}

fn build_heartbeat(shared: &Shared, peer: &VmName) -> HeartbeatMessage {
    let now = shared.clock.now();
    let mut quarantines = shared.fingerprints.lock().table().active_quarantines(now);
    // The quarantines with the most time left are the newest, so the fewest peers know them.
    quarantines.sort_by_key(|entry| std::cmp::Reverse(entry.until));
    quarantines.truncate(MAX_QUARANTINES);
    let quarantines = quarantines
        .into_iter()
        .map(|entry| {
            (
                entry.fingerprint,
                entry.until.saturating_duration_since(now),
            )
        })
        .collect();
    // Set if no limit here depends on an earlier process on the receiver's VM.
    let clear_of_receiver = shared.admission.lock().is_independent_of(peer, now);
    let mut fleet = shared.fleet.lock();
    let content = fleet.heartbeat_content(quarantines);
    HeartbeatMessage {
        heartbeat: fleet.membership.heartbeat(peer, content),
        sender_address: shared.rpc_address,
        clear_of_receiver,
    }
}

fn apply_heartbeat(worker: &Rc<Worker>, message: &HeartbeatMessage) {
    let shared = &worker.shared;
    let heartbeat = &message.heartbeat;
    let sender = &heartbeat.sender.vm;
    let now = shared.clock.now();
    let (newer_settings, newer_list) = {
        let mut fleet = shared.fleet.lock();
        fleet.membership.record_exchange(heartbeat, now);
        shared.publish_usable_vms(&fleet);
        fleet
            .handover
            .acknowledge(sender, heartbeat.vm_list_revision);
        // A removed VM that still sends heartbeats is running, so its stop timeout restarts.
        if let Some(removed) = fleet.removed_vms.iter_mut().find(|(vm, _)| vm == sender) {
            removed.1 = now;
        }
        if message.clear_of_receiver {
            fleet.record_independent(sender);
        }
        (
            fleet.start_fetch(heartbeat.settings_revision, now),
            heartbeat.vm_list_revision > fleet.membership.list().revision(),
        )
    };
    apply_quarantines(shared, &heartbeat.quarantines, now);
    // The published address takes precedence. Before the first VM list there is none, so the
    // address in the heartbeat is used.
    let view = shared.view();
    let published_address = view.vm_list().get(sender).map(|entry| entry.rpc_address);
    let address = published_address.unwrap_or(message.sender_address);
    if newer_settings {
        tokio::task::spawn_local(fetch_settings(Rc::clone(worker), address));
    }
    if newer_list {
        tokio::task::spawn_local(fetch_vm_list(Rc::clone(worker), address));
    }
}

fn apply_quarantines(shared: &Shared, entries: &[(Fingerprint, Duration)], now: Instant) {
    let quarantines: Vec<Quarantine> = entries
        .iter()
        .map(|(fingerprint, left)| Quarantine {
            fingerprint: *fingerprint,
            until: now + *left,
        })
        .collect();
    if !quarantines.is_empty() && shared.fingerprints.lock().merge_quarantines(&quarantines) > 0 {
        shared.state_changed.notify_one();
    }
}

/// Fetches a peer's settings tree if it is newer.
pub async fn fetch_settings(worker: Rc<Worker>, address: SocketAddr) {
    let held = worker.shared.fleet.lock().tree.revision();
    fetch_settings_above(&worker, address, held).await;
}

/// Fetches a peer's settings tree if its revision is above the given one.
pub async fn fetch_settings_above(worker: &Worker, address: SocketAddr, above: Revision) {
    match worker
        .peers
        .fetch_settings(address, above, FETCH_TIMEOUT)
        .await
    {
        Ok(Some(tree)) => accept_peer_tree(worker, address, tree).await,
        Ok(None) => {}
        Err(error) => {
            log::debug!(
                target: CONFIG, "Fetching settings from peer {address} failed: {error}."
            );
        }
    }
}

/// Accepts a peer's settings tree.
///
/// The peer leaves out texts that it expects this daemon to hold. If one is missing here, the whole
/// tree is fetched.
async fn accept_peer_tree(worker: &Worker, address: SocketAddr, tree: TransferTree) {
    let held = Arc::clone(&worker.shared.fleet.lock().tree);
    if let Some(tree) = held.fill_omitted_texts(tree) {
        accept_transfer(&worker.shared, &tree);
        return;
    }
    let whole_tree = worker
        .peers
        .fetch_settings(address, Revision::default(), FETCH_TIMEOUT)
        .await;
    match whole_tree {
        Ok(Some(tree)) => accept_transfer(&worker.shared, &tree),
        Ok(None) => {}
        Err(error) => {
            log::debug!(
                target: CONFIG, "Fetching settings from peer {address} failed: {error}."
            );
        }
    }
}

/// Fetches a peer's VM list if it is newer.
pub async fn fetch_vm_list(worker: Rc<Worker>, address: SocketAddr) {
    let held = worker.shared.fleet.lock().membership.list().revision();
    match worker
        .peers
        .fetch_vm_list(address, held, FETCH_TIMEOUT)
        .await
    {
        Ok(Some(list)) => accept_vm_list(&worker.shared, &list),
        Ok(None) => {}
        Err(error) => {
            log::debug!(
                target: GOSSIP, "Fetching the VM list from peer {address} failed: {error}."
            );
        }
    }
}
