//! Taking over settings trees and VM lists.

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

/// Takes over a tree that the platform published.
pub fn accept_published(shared: &Shared, revision: Revision, texts: Vec<(String, String)>) {
    accept_tree(shared, |tree| tree.apply(revision, texts, parse));
}

/// Takes over a tree that a peer holds.
pub fn accept_transfer(shared: &Shared, transfer: &TransferTree) {
    accept_tree(shared, |tree| tree.merge(transfer, parse));
}

/// Takes over a VM list; an older one changes nothing.
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
        fleet.removed.push((vm.name.clone(), now));
    }
    fleet.removed.retain(|(vm, _)| list.get(vm).is_none());
    log::info!(target: GOSSIP, "VM list {} is in use.", list.revision().0);
    put_in_force(shared, &mut fleet, &old, now);
    shared.vm_list_accepted.notify_one();
    shared.state_changed.notify_one();
}

/// Holds the leafs of all groups whose handover has ended.
pub fn update_holdings(shared: &Shared, fleet: &mut FleetTable, view: &FleetView) {
    let mut holdings = wanted_holdings(shared, fleet, view);
    // A rank that was lost and regained must not add new connections to those still closing.
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
                log::info!(target: CONFIG, "Revision {} is in force.", fleet.tree.revision().0);
                shared.state_changed.notify_one();
            }
            let list = fleet.membership.list().clone();
            put_in_force(shared, &mut fleet, &list, now);
        }
        Err(SettingsTreeError::Conflict(revision)) => {
            fleet.conflicts += 1;
            shared.metrics.settings_conflicts.inc();
            log::warn!(
                target: CONFIG, "Revision {} has two digests; the held one stays.",
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
            log::warn!(target: CONFIG, "The new text of {path} is invalid and not in force: {error}.");
        }
    }
}

/// Builds the view and moves ownership, limits and holdings to it.
fn put_in_force(shared: &Shared, fleet: &mut FleetTable, old: &VmList, now: Instant) {
    let list = fleet.membership.list().clone();
    let routing = shared.settings.routing;
    let view = FleetView::build(&fleet.tree, list, routing, shared.local_vm());
    for service in view.services() {
        for group in &service.groups {
            fleet.handover.adopt(&group.group, old, view.vm_list());
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
            let mine = group.holders.contains(shared.local_vm())
                && (direct || may_open(fleet, group.group.id()));
            if !mine {
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

/// Peers are asked for a missing history before the gate's stricter rule may open the group: they may
/// know of VMs that this daemon has never seen listed.
fn may_open(fleet: &mut FleetTable, group: &GroupId) -> bool {
    let asked = fleet.history_requested >= fleet.membership.list().revision();
    (asked || !fleet.handover.lacks_history(group)) && fleet.handover.may_open(group)
}
