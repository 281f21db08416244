//! Accepting new settings trees and VM lists, and applying them to the daemon's state.

use std::sync::Arc;

use medlarpin_core::ownership::{self, GroupId, Routing};
use medlarpin_core::prelude::*;
use medlarpin_core::settings_tree::{SettingsTree, SettingsTreeError, TransferTree};
use settings::Subtree;

use crate::fleet::table::FleetTable;
use crate::leafs::Holding;
use crate::logging::{CONFIG, GOSSIP};
use crate::shared::Shared;
use crate::view::FleetView;

/// Accepts a settings tree that the platform published.
pub fn accept_published(shared: &Shared, revision: Revision, texts: Vec<(String, String)>) {
    accept_tree(shared, |tree| tree.apply(revision, texts, parse));
}

/// Accepts a settings tree fetched from a peer.
pub fn accept_transfer(shared: &Shared, transfer: &TransferTree) {
    accept_tree(shared, |tree| tree.merge(transfer, parse));
}

/// Accepts a VM list if it is newer than the current one.
pub fn accept_vm_list(shared: &Shared, list: &VmList) {
    let now = shared.clock.now();
    let mut fleet = shared.fleet.lock();
    let old = fleet.membership.list().clone();
    if list.revision() <= old.revision() {
        return;
    }
    fleet.membership.set_list(list);
    shared.publish_usable_vms(&fleet);
    for vm in old.vms().iter().filter(|vm| list.get(&vm.name).is_none()) {
        fleet.removed_vms.push((vm.name.clone(), now));
    }
    fleet.removed_vms.retain(|(vm, _)| list.get(vm).is_none());
    log::info!(target: GOSSIP, "VM list revision {} is in use.", list.revision().0);
    apply_view(shared, &mut fleet, &old, now);
    shared.vm_list_accepted.notify_one();
    shared.state_changed.notify_one();
}

/// Updates the held leafs to those of all groups whose handover to this daemon is complete.
pub fn update_holdings(shared: &Shared, fleet: &mut FleetTable, view: &FleetView) {
    let mut holdings = wanted_holdings(shared, fleet, view);
    // If this daemon lost a group and regained it, new connections must not add to those of the
    // retired slots that are still closing.
    holdings.retain(|holding| !shared.leafs.is_closing(holding));
    let same = |a: &Holding, b: &Holding| {
        a.service == b.service && a.leaf == b.leaf && a.connection_share == b.connection_share
    };
    let unchanged = holdings.len() == fleet.holdings.len()
        && holdings
            .iter()
            .zip(&fleet.holdings)
            .all(|(a, b)| same(a, b));
    if unchanged {
        return;
    }
    fleet.holdings.clone_from(&holdings);
    let discipline = shared.settings.queue_discipline;
    shared
        .leafs
        .set_holdings(holdings, discipline, &shared.clock);
}

fn parse(path: &str, text: &str) -> Result<Arc<Subtree>, settings::SettingsError> {
    settings::parse_subtree(path, text).map(Arc::new)
}

type Tree = SettingsTree<Arc<Subtree>>;

fn accept_tree(shared: &Shared, change: impl FnOnce(&Tree) -> Result<Tree, SettingsTreeError>) {
    let now = shared.clock.now();
    let mut fleet = shared.fleet.lock();
    let before = fleet.tree.revision();
    match change(&fleet.tree) {
        Ok(tree) => {
            let newer = tree.revision() > before;
            fleet.tree = Arc::new(tree);
            if newer {
                fleet.tree_accepted_at = Some(now);
                log_rejected(&fleet.tree);
                log::info!(
                    target: CONFIG, "Settings revision {} is in force.",
                    fleet.tree.revision().0
                );
                shared.state_changed.notify_one();
            }
            let list = fleet.membership.list().clone();
            apply_view(shared, &mut fleet, &list, now);
        }
        Err(SettingsTreeError::Conflict(revision)) => {
            fleet.conflicts += 1;
            shared.metrics.settings_conflicts.inc();
            log::warn!(
                target: CONFIG, "Settings revision {} has a second digest; the current tree is kept.",
                revision.0
            );
        }
        Err(SettingsTreeError::Stale { .. }) => {}
    }
}

fn log_rejected(tree: &Tree) {
    for entry in tree.entries() {
        if let Some(rejected) = entry.rejected()
            && rejected.source.revision == tree.revision()
        {
            let path = entry.path();
            let error = &rejected.error;
            log::warn!(
                target: CONFIG, "Settings text of {path} is invalid and was not applied: {error}."
            );
        }
    }
}

/// Rebuilds the view and updates group ownership, team limits and leaf holdings from it.
fn apply_view(shared: &Shared, fleet: &mut FleetTable, old: &VmList, now: Instant) {
    let list = fleet.membership.list().clone();
    let routing = shared.settings.routing;
    let view = FleetView::build(&fleet.tree, list, routing, shared.local_vm());
    for service in view.services() {
        for group in &service.groups {
            fleet.handover.adopt_list(&group.group, old, view.vm_list());
        }
    }
    let groups = view.services().iter().flat_map(|service| &service.groups);
    let mut ids: Vec<_> = groups.map(|group| group.group.id().clone()).collect();
    ids.sort();
    fleet
        .handover
        .retain_groups(|id| ids.binary_search(id).is_ok());
    let all_acknowledged = fleet.all_acknowledged();
    fleet.shares_acknowledged = all_acknowledged;
    shared.admission.lock().update(&view, all_acknowledged, now);
    update_holdings(shared, fleet, &view);
    shared.set_view(view);
}

fn wanted_holdings(shared: &Shared, fleet: &mut FleetTable, view: &FleetView) -> Vec<Holding> {
    let daemons = view.vm_list().vms().len();
    let direct = shared.settings.routing == Routing::Direct;
    let mut holdings = Vec::new();
    for service in view.services() {
        for group in &service.groups {
            let may_hold = group.holders.contains(shared.local_vm())
                && (direct || may_open_group(fleet, group.group.id()));
            if !may_hold {
                continue;
            }
            for id in group.group.leafs() {
                let Some(leaf) = service.service.leaf(id) else {
                    continue;
                };
                let connection_share = if direct {
                    ownership::direct_connection_share(leaf.connection_limit, daemons)
                } else {
                    ownership::connection_share(leaf.connection_limit)
                };
                holdings.push(Holding {
                    service: service.service.name().clone(),
                    leaf: leaf.clone(),
                    connection_share,
                });
            }
        }
    }
    holdings
}

/// Returns true if this daemon may open connections to the group's leafs.
///
/// A missing history is first requested from peers, because they may know of VMs that this daemon
/// has never seen listed. Only then may the gate open without a history, for which it requires more
/// acknowledgements.
fn may_open_group(fleet: &mut FleetTable, group: &GroupId) -> bool {
    let is_requested = fleet.history_requested >= fleet.membership.list().revision();
    (is_requested || !fleet.handover.lacks_history(group)) && fleet.handover.try_open(group)
}
