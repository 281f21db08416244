//! Heartbeat exchanges with peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use medlarpin_core::canary::Quarantine;
use medlarpin_core::prelude::*;
use medlarpin_core::settings_tree::TransferTree;
use wire::HeartbeatMessage;

use crate::fleet::refresh::{accept_transfer, accept_vm_list};
use crate::logging::{CONFIG, GOSSIP};
use crate::shared::Shared;
use crate::workers::Worker;

/// Longest wait for the reply to a heartbeat.
pub(super) const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for a settings tree or VM list of a peer.
pub(super) const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Peers that hear of news at once; the others learn by gossip.
const NEWS_FAN_OUT: usize = 4;

/// Awaited VMs probed each second. More would add to the control traffic for as long as several listed
/// VMs are down; fewer would delay a fleet that starts together.
const AWAITED_PROBES: usize = 16;

/// Quarantines in one heartbeat.
const QUARANTINES_MAX: usize = 16;

/// Probes one member each interval, for ever.
pub async fn probe_members(worker: Rc<Worker>) {
    loop {
        tokio::time::sleep(worker.shared.probe_interval()).await;
        for vm in choose_targets(&worker.shared) {
            tokio::task::spawn_local(exchange(Rc::clone(&worker), vm));
        }
    }
}

/// Tells some peers of news as soon as there are any, for ever.
pub async fn announce_changes(worker: Rc<Worker>) {
    loop {
        worker.shared.state_changed.notified().await;
        for vm in choose_peers(&worker.shared, NEWS_FAN_OUT) {
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
            if shared.pause_detector.lock().rejoined(started_at, now) {
                log::info!(target: GOSSIP, "This daemon has rejoined the fleet.");
            }
            take_in(&worker, &reply);
            true
        }
        Err(error) => {
            shared
                .metrics
                .exchanges
                .with_label_values(&["failed"])
                .inc();
            log::debug!(target: GOSSIP, "VM {vm} gave no answer: {error}.");
            // After a pause of this process the failure may be its own.
            if shared.check_pause(now).is_ok() {
                let mut fleet = shared.fleet.lock();
                fleet.membership.failed(&vm, now);
                shared.publish_usable_vms(&fleet);
            }
            false
        }
    }
}

/// Takes in a peer's heartbeat and builds the reply.
pub fn answer_heartbeat(worker: &Rc<Worker>, message: &HeartbeatMessage) -> HeartbeatMessage {
    take_in(worker, message);
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

fn choose_targets(shared: &Shared) -> Vec<VmName> {
    let now = shared.clock.now();
    let awake = shared.check_pause(now).is_ok();
    let mut fleet = shared.fleet.lock();
    if awake {
        for verdict in fleet.membership.tick(now) {
            log::info!(target: GOSSIP, "VM {} is dead.", verdict.vm);
        }
        shared.publish_usable_vms(&fleet);
    }
    let mut targets: Vec<VmName> = fleet
        .membership
        .next_probe(rand::random())
        .into_iter()
        .collect();
    targets.extend(fleet.membership.next_retry(now));
    targets.extend(awaited(&fleet, shared.local_vm()));
    targets.sort();
    targets.dedup();
    targets
}

/// Returns some VMs whose acknowledgements delay a handover; probes shorten the wait.
fn awaited(fleet: &crate::fleet::FleetTable, me: &VmName) -> Vec<VmName> {
    let list = fleet.membership.list();
    let awaited = fleet
        .handover
        .awaited_by_any()
        .into_iter()
        .filter(|vm| *vm != me && list.get(vm).is_some());
    let mut awaited: Vec<VmName> = awaited.cloned().collect();
    let mut chosen = Vec::new();
    while chosen.len() < AWAITED_PROBES && !awaited.is_empty() {
        let index = rand::random_range(0..awaited.len());
        chosen.push(awaited.swap_remove(index));
    }
    chosen
}

fn build_heartbeat(shared: &Shared, peer: &VmName) -> HeartbeatMessage {
    let now = shared.clock.now();
    let mut quarantines = shared.fingerprints.lock().table().active(now);
    // The longest quarantines are the newest and the least known.
    quarantines.sort_by_key(|entry| std::cmp::Reverse(entry.until));
    quarantines.truncate(QUARANTINES_MAX);
    let quarantines = quarantines
        .into_iter()
        .map(|entry| {
            (
                entry.fingerprint,
                entry.until.saturating_duration_since(now),
            )
        })
        .collect();
    let clear_of_receiver = shared.admission.lock().is_clear_of(peer, now);
    let mut fleet = shared.fleet.lock();
    let content = fleet.heartbeat_content(quarantines);
    HeartbeatMessage {
        heartbeat: fleet.membership.heartbeat(peer, content),
        sender_address: shared.rpc_address,
        clear_of_receiver,
    }
}

fn take_in(worker: &Rc<Worker>, message: &HeartbeatMessage) {
    let shared = &worker.shared;
    let heartbeat = &message.heartbeat;
    let sender = &heartbeat.sender.vm;
    let now = shared.clock.now();
    let (newer_settings, newer_list) = {
        let mut fleet = shared.fleet.lock();
        fleet.membership.acked(heartbeat, now);
        shared.publish_usable_vms(&fleet);
        fleet
            .handover
            .acknowledge(sender, heartbeat.vm_list_revision);
        // A VM off the list that still gives signs has not stopped.
        if let Some(removed) = fleet.removed.iter_mut().find(|(vm, _)| vm == sender) {
            removed.1 = now;
        }
        if message.clear_of_receiver {
            fleet.record_clear(sender);
        }
        (
            fleet.start_fetch(heartbeat.settings_revision, now),
            heartbeat.vm_list_revision > fleet.membership.list().revision(),
        )
    };
    learn_quarantines(shared, &heartbeat.quarantines, now);
    // A peer whose address is published there is fetched from there; before the first VM list, the
    // sender's own word has to do.
    let view = shared.view();
    let published = view.vm_list().get(sender).map(|entry| entry.rpc_address);
    let address = published.unwrap_or(message.sender_address);
    if newer_settings {
        tokio::task::spawn_local(fetch_settings(Rc::clone(worker), address));
    }
    if newer_list {
        tokio::task::spawn_local(fetch_vm_list(Rc::clone(worker), address));
    }
}

fn learn_quarantines(shared: &Shared, entries: &[(Fingerprint, Duration)], now: Instant) {
    let quarantines: Vec<Quarantine> = entries
        .iter()
        .map(|(fingerprint, left)| Quarantine {
            fingerprint: *fingerprint,
            until: now + *left,
        })
        .collect();
    if !quarantines.is_empty() && shared.fingerprints.lock().learn(&quarantines) > 0 {
        shared.state_changed.notify_one();
    }
}

/// Fetches a peer's settings tree if it is newer.
pub async fn fetch_settings(worker: Rc<Worker>, address: SocketAddr) {
    let held = worker.shared.fleet.lock().tree.revision();
    fetch_settings_above(&worker, address, held).await;
}

/// Fetches a peer's settings tree if it is above a revision.
pub async fn fetch_settings_above(worker: &Worker, address: SocketAddr, above: Revision) {
    match worker
        .peers
        .fetch_settings(address, above, FETCH_TIMEOUT)
        .await
    {
        Ok(Some(tree)) => take_over(worker, address, tree).await,
        Ok(None) => {}
        Err(error) => log::debug!(target: CONFIG, "Peer {address} gave no settings: {error}."),
    }
}

/// Takes over a peer's tree; a text that the peer left out and this daemon lacks is fetched with the
/// whole tree.
async fn take_over(worker: &Worker, address: SocketAddr, tree: TransferTree) {
    let held = Arc::clone(&worker.shared.fleet.lock().tree);
    if let Some(tree) = held.complete(tree) {
        accept_transfer(&worker.shared, &tree);
        return;
    }
    let whole = worker
        .peers
        .fetch_settings(address, Revision::default(), FETCH_TIMEOUT)
        .await;
    match whole {
        Ok(Some(tree)) => accept_transfer(&worker.shared, &tree),
        Ok(None) => {}
        Err(error) => log::debug!(target: CONFIG, "Peer {address} gave no settings: {error}."),
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
        Err(error) => log::debug!(target: GOSSIP, "Peer {address} gave no VM list: {error}."),
    }
}
