//! Histories of former holders, exchanged between daemons.

use std::rc::Rc;

use medlarpin_core::ownership::GroupId;
use medlarpin_core::prelude::*;
use wire::GroupHistory;

use crate::fleet::gossip::choose_peers;
use crate::logging::GOSSIP;
use crate::shared::Shared;
use crate::workers::Worker;

/// Time between two tries while a group has no history.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for a peer's histories.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Peers asked in one try; one that kept running has the histories of all groups.
const PEERS_ASKED: usize = 3;

/// Fetches histories whenever lists were missed, for ever.
pub async fn maintain_histories(worker: Rc<Worker>) {
    loop {
        fetch_missing(&worker).await;
        // The wait ends early when a VM list was accepted.
        let notified = worker.shared.vm_list_accepted.notified();
        let _ = tokio::time::timeout(RETRY_INTERVAL, notified).await;
    }
}

/// Asks some peers for the histories that the held groups lack.
///
/// Afterwards groups without one may open under the gate's stricter rule.
pub async fn fetch_missing(worker: &Rc<Worker>) {
    let shared = &worker.shared;
    let (groups, revision) = {
        let fleet = shared.fleet.lock();
        let revision = fleet.membership.list().revision();
        (fleet.handover.without_history(), revision)
    };
    if !groups.is_empty() {
        let peers = choose_peers(shared, PEERS_ASKED);
        let fetches = peers.iter().map(|vm| fetch_from(worker, vm, &groups));
        futures::future::join_all(fetches).await;
    }
    let mut fleet = shared.fleet.lock();
    fleet.history_requested = fleet.history_requested.max(revision);
}

/// Returns this daemon's histories of the groups, without those that it does not know in full.
pub fn holder_histories(shared: &Shared, groups: Vec<GroupId>) -> Vec<GroupHistory> {
    let fleet = shared.fleet.lock();
    let known = groups.into_iter().filter_map(|group| {
        let history = fleet.handover.history(&group)?;
        Some(GroupHistory { group, history })
    });
    known.collect()
}

async fn fetch_from(worker: &Rc<Worker>, vm: &VmName, groups: &[GroupId]) {
    let view = worker.shared.view();
    let Some(entry) = view.vm_list().get(vm) else {
        return;
    };
    let reply = worker
        .peers
        .fetch_holder_history(entry.rpc_address, groups, FETCH_TIMEOUT)
        .await;
    match reply {
        Ok(histories) => {
            let mut fleet = worker.shared.fleet.lock();
            for entry in &histories {
                fleet.handover.inherit(&entry.group, &entry.history);
            }
        }
        Err(error) => log::debug!(target: GOSSIP, "VM {vm} gave no holder histories: {error}."),
    }
}
