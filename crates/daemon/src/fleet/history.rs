//! Histories of the leaf groups' former holders, exchanged between daemons.

use std::rc::Rc;

use medlarpin_core::ownership::GroupId;
use medlarpin_core::prelude::*;
use wire::GroupHistory;

use crate::fleet::gossip::choose_peers;
use crate::logging::GOSSIP;
use crate::shared::Shared;
use crate::workers::Worker;

/// Interval between fetches while a group lacks its history.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a fetch of a peer's histories.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of peers that are called per fetch. A peer that was running all the time has all groups'
/// histories.
const FETCH_FAN_OUT: usize = 3;

/// Fetches the missing histories of held groups after each accepted VM list and every
/// [`RETRY_INTERVAL`], forever.
pub async fn maintain_histories(worker: Rc<Worker>) {
    loop {
        fetch_missing(&worker).await;
        // The wait ends early when a VM list was accepted.
        let notified = worker.shared.vm_list_accepted.notified();
        let _ = tokio::time::timeout(RETRY_INTERVAL, notified).await;
    }
}

/// Fetches the missing histories of held groups from some peers.
///
/// Afterwards, until the next VM list, this daemon may also open connections to groups that still
/// lack their history. [`HandoverGate`](medlarpin_core::ownership::HandoverGate) then requires more
/// acknowledgements.
pub async fn fetch_missing(worker: &Rc<Worker>) {
    let shared = &worker.shared;
    let (groups, revision) = {
        let fleet = shared.fleet.lock();
        let revision = fleet.membership.list().revision();
        (fleet.handover.held_groups_without_history(), revision)
    };
    if !groups.is_empty() {
        let peers = choose_peers(shared, FETCH_FAN_OUT);
        let fetches = peers.iter().map(|vm| fetch_from(worker, vm, &groups));
        futures::future::join_all(fetches).await;
    }
    let mut fleet = shared.fleet.lock();
    fleet.history_requested = fleet.history_requested.max(revision);
}

/// Returns the histories of those groups that this daemon knows in full.
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
                fleet.handover.adopt_history(&entry.group, &entry.history);
            }
        }
        Err(error) => {
            log::debug!(
                target: GOSSIP, "Fetching holder histories from VM {vm} failed: {error}."
            );
        }
    }
}
