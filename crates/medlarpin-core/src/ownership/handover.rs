//! Handover of leaf groups between holders after a change of the VM list.

use crate::catalog::VmList;
use crate::ids::{Revision, VmName};
use crate::ownership::{GroupId, LeafGroup, MAX_UNACKNOWLEDGED_HOLDERS, rank_holders};

/// A VM that was ranked as a holder of a group by an earlier VM list and may still have connections
/// to the group's leafs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FormerHolder {
    /// Name of the VM.
    pub vm: VmName,
    /// Revision of the newest list that ranked the VM, or may have ranked it.
    pub last_ranked: Revision,
}

/// Current and former holders of a group, sent to daemons that missed VM lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderHistory {
    /// Revision of the newest list that the history covers.
    pub revision: Revision,
    /// Current holders, and former holders without an acknowledgement, sorted by name.
    pub holders: Vec<FormerHolder>,
}

/// Decides for which of its groups this daemon may open connections to the leafs.
///
/// Each group has a gate; the daemon may have connections to the group's leafs only while the gate
/// is open. It opens once all but [`MAX_UNACKNOWLEDGED_HOLDERS`] former holders have
/// acknowledged a list that does not rank them. It stays open until a list no longer ranks this
/// daemon. So at most `HOLDERS_PER_GROUP + MAX_UNACKNOWLEDGED_HOLDERS` daemons have an open gate
/// for a group: when the last of these gates opened, every other daemon with an open gate was
/// either ranked by that gate's list or one of its former holders without an acknowledgement.
///
/// A daemon that missed lists (it adopted its first list, or there is a gap in the revisions) does
/// not know which VMs they ranked. It adopts the history of a peer by
/// [`HandoverGate::adopt_history`]. Without a history, every VM in any list seen so far counts as a
/// former holder until it acknowledges the adopted list or a later one.
///
/// The caller must ensure two things for this bound to hold. A daemon acknowledges a list only
/// after it has closed its connections to the groups for which the list no longer ranks it. A
/// daemon that starts adopts the newest list that its peers and the platform know.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HandoverGate {
    local_vm: VmName,
    /// Maximum number of former holders without an acknowledgement when a gate opens.
    max_unacknowledged: usize,
    /// Sorted by group.
    gates: Vec<GroupGate>,
    /// Newest list that each VM has acknowledged, sorted by name.
    acknowledged: Vec<(VmName, Revision)>,
    /// VMs in any of the recorded lists, sorted.
    listed: Vec<VmName>,
    /// Newest list whose VMs are in `listed`.
    listed_revision: Revision,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct GroupGate {
    group: GroupId,
    revision: Revision,
    holders: Vec<VmName>,
    /// Former holders without an acknowledgement, sorted by name and disjoint from `holders`.
    former: Vec<FormerHolder>,
    /// True if lists were missed and no history has been adopted since.
    missed_lists: bool,
    /// True once the gate has opened, until a list no longer ranks this daemon.
    open: bool,
}

impl HandoverGate {
    /// Creates the state of a daemon that has no VM list yet.
    #[must_use]
    pub fn new(local_vm: VmName) -> Self {
        Self::with_max_unacknowledged_holders(local_vm, MAX_UNACKNOWLEDGED_HOLDERS)
    }

    /// Like [`Self::new`], with another limit than [`MAX_UNACKNOWLEDGED_HOLDERS`] for models with
    /// fewer daemons.
    #[must_use]
    pub fn with_max_unacknowledged_holders(local_vm: VmName, max_unacknowledged: usize) -> Self {
        Self {
            local_vm,
            max_unacknowledged,
            gates: Vec::new(),
            acknowledged: Vec::new(),
            listed: Vec::new(),
            listed_revision: Revision::default(),
        }
    }

    /// Adopts a new list for a group; `old` is the previous list, empty for the first one.
    ///
    /// Every daemon adopts lists for every group, because it may hold any of them later and then
    /// needs the history. A list that is not newer than the adopted one changes nothing.
    pub fn adopt_list(&mut self, group: &LeafGroup, old: &VmList, new: &VmList) {
        for list in [old, new] {
            self.record_listed(list.revision(), list.vms().iter().map(|vm| &vm.name));
        }
        self.adopt_ranking(group.id(), new.revision(), rank_holders(group, new));
    }

    /// Records the VMs of a list. A list that is not newer than the last one changes nothing.
    pub fn record_listed<'a>(
        &mut self,
        revision: Revision,
        vms: impl IntoIterator<Item = &'a VmName>,
    ) {
        if revision <= self.listed_revision {
            return;
        }
        self.listed_revision = revision;
        self.listed.extend(vms.into_iter().cloned());
        self.listed.sort_unstable();
        self.listed.dedup();
    }

    /// Adopts the holders of a group by a list that was passed to [`Self::record_listed`].
    pub fn adopt_ranking(&mut self, group: &GroupId, revision: Revision, holders: Vec<VmName>) {
        let index = match self.position(group) {
            Ok(index) => {
                self.gates[index].adopt_ranking(holders, revision, &self.listed);
                index
            }
            Err(index) => {
                let gate = GroupGate::first(group.clone(), holders, revision, &self.listed);
                self.gates.insert(index, gate);
                index
            }
        };
        let gate = &mut self.gates[index];
        gate.open &= gate.holders.contains(&self.local_vm);
        gate.remove_released(&self.acknowledged);
    }

    /// Records that a VM has acknowledged a list. Must also be called for this daemon itself.
    pub fn acknowledge(&mut self, vm: &VmName, list_revision: Revision) {
        match self.acknowledged.binary_search_by(|(name, _)| name.cmp(vm)) {
            Ok(index) => {
                let known = &mut self.acknowledged[index].1;
                if *known >= list_revision {
                    return;
                }
                *known = list_revision;
            }
            Err(index) => self.acknowledged.insert(index, (vm.clone(), list_revision)),
        }
        for gate in &mut self.gates {
            gate.remove_if_released(vm, list_revision);
        }
    }

    /// Removes a former holder whose process is known to have stopped.
    ///
    /// A crashed VM never acknowledges the list that removes it. Without this call it would count
    /// permanently against [`MAX_UNACKNOWLEDGED_HOLDERS`] of each of its groups.
    pub fn confirm_stopped(&mut self, vm: &VmName) {
        for gate in &mut self.gates {
            gate.former.retain(|former| former.vm != *vm);
        }
        self.acknowledged.retain(|(name, _)| name != vm);
        self.listed.retain(|name| name != vm);
    }

    /// Adopts a peer's history of a group in place of the lists that this daemon missed.
    ///
    /// Does nothing unless the history's revision is that of the adopted list or one below it: an
    /// older history leaves a gap, and a newer one shows that this daemon's list is out of date.
    pub fn adopt_history(&mut self, group: &GroupId, history: &HolderHistory) {
        let Ok(index) = self.position(group) else {
            return;
        };
        let gate = &mut self.gates[index];
        let covers = [gate.revision.0, gate.revision.0.saturating_sub(1)];
        if !gate.missed_lists || !covers.contains(&history.revision.0) {
            return;
        }
        gate.former.clear();
        for holder in &history.holders {
            gate.add_former(&holder.vm, holder.last_ranked);
        }
        gate.missed_lists = false;
        gate.remove_released(&self.acknowledged);
    }

    /// Returns the history of a group for a peer, or `None` if this daemon missed lists.
    #[must_use]
    pub fn history(&self, group: &GroupId) -> Option<HolderHistory> {
        let gate = &self.gates[self.position(group).ok()?];
        if gate.missed_lists {
            return None;
        }
        let mut holders = gate.former.clone();
        holders.extend(gate.holders.iter().map(|vm| FormerHolder {
            vm: vm.clone(),
            last_ranked: gate.revision,
        }));
        holders.sort_by(|a, b| a.vm.cmp(&b.vm));
        Some(HolderHistory {
            revision: gate.revision,
            holders,
        })
    }

    /// Returns the groups held by this daemon that need a peer's history, because lists were
    /// missed.
    #[must_use]
    pub fn held_groups_without_history(&self) -> Vec<GroupId> {
        let gates = self.gates.iter().filter(|gate| gate.missed_lists);
        let held = gates.filter(|gate| gate.holders.contains(&self.local_vm));
        held.map(|gate| gate.group.clone()).collect()
    }

    /// Returns true if lists were missed for the group and no history has been adopted since.
    #[must_use]
    pub fn lacks_history(&self, group: &GroupId) -> bool {
        self.position(group)
            .is_ok_and(|index| self.gates[index].missed_lists)
    }

    /// Opens the gate of a group if the conditions hold; returns true if it is open.
    ///
    /// The daemon may open connections to the group's leafs only if this returns true. An available
    /// history must be adopted before this call.
    pub fn try_open(&mut self, group: &GroupId) -> bool {
        let Ok(index) = self.position(group) else {
            return false;
        };
        self.gates[index].try_open(&self.local_vm, self.max_unacknowledged, &self.acknowledged)
    }

    /// Returns the former holders of a group without an acknowledgement.
    ///
    /// Probing them shortens the wait.
    #[must_use]
    pub fn unacknowledged_holders(&self, group: &GroupId) -> Vec<&VmName> {
        self.position(group)
            .map_or_else(|_| Vec::new(), |index| self.gates[index].unacknowledged())
    }

    /// Returns the former holders without an acknowledgement of all groups that this daemon holds
    /// and whose gates are closed, sorted and without duplicates.
    #[must_use]
    pub fn all_unacknowledged_holders(&self) -> Vec<&VmName> {
        let closed = self
            .gates
            .iter()
            .filter(|gate| !gate.open && gate.holders.contains(&self.local_vm));
        let mut unacknowledged: Vec<&VmName> = closed.flat_map(GroupGate::unacknowledged).collect();
        unacknowledged.sort();
        unacknowledged.dedup();
        unacknowledged
    }

    /// Removes the groups for which `keep` returns false, because the settings no longer have them.
    pub fn retain_groups(&mut self, keep: impl Fn(&GroupId) -> bool) {
        self.gates.retain(|gate| keep(&gate.group));
    }

    fn position(&self, group: &GroupId) -> Result<usize, usize> {
        self.gates.binary_search_by(|gate| gate.group.cmp(group))
    }
}

impl GroupGate {
    fn first(group: GroupId, holders: Vec<VmName>, revision: Revision, listed: &[VmName]) -> Self {
        let mut gate = Self {
            group,
            revision,
            holders,
            former: Vec::new(),
            missed_lists: true,
            open: false,
        };
        gate.assume_all_ranked(listed);
        gate
    }

    fn adopt_ranking(&mut self, holders: Vec<VmName>, revision: Revision, listed: &[VmName]) {
        if revision <= self.revision {
            return;
        }
        let last_ranked = self.revision;
        let displaced = std::mem::replace(&mut self.holders, holders);
        self.revision = revision;
        // A VM that is ranked again is no longer a former holder.
        self.former
            .retain(|former| !self.holders.contains(&former.vm));
        for vm in displaced {
            self.add_former(&vm, last_ranked);
        }
        self.missed_lists |= revision.0 > last_ranked.0 + 1;
        if self.missed_lists {
            self.assume_all_ranked(listed);
        }
    }

    /// Assumes that the previous list, which was missed, ranked every VM that is not a holder now.
    fn assume_all_ranked(&mut self, listed: &[VmName]) {
        let missed = Revision(self.revision.0.saturating_sub(1));
        for vm in listed {
            self.add_former(vm, missed);
        }
        for former in &mut self.former {
            former.last_ranked = missed;
        }
    }

    fn add_former(&mut self, vm: &VmName, last_ranked: Revision) {
        if self.holders.contains(vm) {
            return;
        }
        match self.former.binary_search_by(|former| former.vm.cmp(vm)) {
            Ok(index) => {
                let known = &mut self.former[index].last_ranked;
                *known = last_ranked.max(*known);
            }
            Err(index) => self.former.insert(
                index,
                FormerHolder {
                    vm: vm.clone(),
                    last_ranked,
                },
            ),
        }
    }

    /// Removes the former holders whose acknowledgements show that they have released the group.
    fn remove_released(&mut self, acknowledged: &[(VmName, Revision)]) {
        let revision = self.revision;
        self.former.retain(|former| {
            !former.has_released(last_acknowledged(acknowledged, &former.vm), revision)
        });
    }

    fn remove_if_released(&mut self, vm: &VmName, acknowledged: Revision) {
        if let Ok(index) = self.former.binary_search_by(|former| former.vm.cmp(vm))
            && self.former[index].has_released(acknowledged, self.revision)
        {
            self.former.remove(index);
        }
    }

    fn try_open(
        &mut self,
        local_vm: &VmName,
        max_unacknowledged: usize,
        acknowledged: &[(VmName, Revision)],
    ) -> bool {
        if !self.open && self.holders.contains(local_vm) {
            // A daemon without a history may have restarted at an older list than its previous
            // process had adopted, so its gates stay closed while it knows that a newer list
            // exists.
            let is_outdated = self.missed_lists
                && acknowledged
                    .iter()
                    .any(|(_, revision)| *revision > self.revision);
            self.open = !is_outdated && self.former.len() <= max_unacknowledged;
            // Every holder without an acknowledgement is now in `former`, so the history is
            // complete.
            self.missed_lists &= !self.open;
        }
        self.open
    }

    fn unacknowledged(&self) -> Vec<&VmName> {
        self.former.iter().map(|former| &former.vm).collect()
    }
}

impl FormerHolder {
    /// Returns true if the acknowledged list shows that the VM has closed its connections.
    ///
    /// A list newer than the adopted one proves nothing: the VM may have skipped the lists that did
    /// not rank it, and may hold the group again by a list that is unknown here.
    fn has_released(&self, acknowledged: Revision, adopted: Revision) -> bool {
        acknowledged > self.last_ranked && acknowledged <= adopted
    }
}

fn last_acknowledged(acknowledged: &[(VmName, Revision)], vm: &VmName) -> Revision {
    acknowledged
        .binary_search_by(|(name, _)| name.cmp(vm))
        .map_or(Revision::default(), |index| acknowledged[index].1)
}
