//! Handover of leaf groups between holders when the VM list changes.

use crate::catalog::VmList;
use crate::ids::{Revision, VmName};
use crate::ownership::{GroupId, LeafGroup, MAX_UNACKNOWLEDGED_HOLDERS, rank_holders};

/// A VM that held a group at an earlier list and may still have connections to its leafs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FormerHolder {
    /// Name of the VM.
    pub vm: VmName,
    /// Newest list that ranked it, or may have ranked it.
    pub last_ranked: Revision,
}

/// What a daemon knows about a group's past holders, for daemons that missed lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderHistory {
    /// Newest list that the history covers.
    pub revision: Revision,
    /// Current holders and former ones without an acknowledgement, sorted by name.
    pub holders: Vec<FormerHolder>,
}

/// Decides whether this daemon may open connections to the leafs of the groups that it holds.
///
/// A gate opens when at most [`MAX_UNACKNOWLEDGED_HOLDERS`] former holders have yet to acknowledge a list that does
/// not rank them; it stays open until a list takes the rank away. So at most `HOLDERS_PER_GROUP + MAX_UNACKNOWLEDGED_HOLDERS`
/// daemons have an open gate for a group: all others with an open gate are ranked by the list at
/// which the newest gate opened, or were counted as former holders by it.
///
/// A daemon that missed lists (its first list, or a gap in the revisions) does not know whom they
/// ranked. It takes over the history of a peer with [`HandoverGate::adopt_history`]; without one, every VM
/// that it has ever seen listed counts as a former holder until it acknowledges a list from the
/// adopted one on.
///
/// The bound needs two things from the caller: a daemon acknowledges a list only after it has closed
/// its connections to the groups that the list takes away, and a daemon that starts adopts the newest
/// list that its peers and the platform know of.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HandoverGate {
    me: VmName,
    /// Former holders whose acknowledgement may be missing when a gate opens.
    disputed: usize,
    /// Sorted by group.
    gates: Vec<GroupGate>,
    /// Highest acknowledged list of each VM, sorted by name.
    acknowledged: Vec<(VmName, Revision)>,
    /// VMs that any adopted list named, sorted.
    listed: Vec<VmName>,
    /// Newest list whose VMs `listed` holds.
    listed_revision: Revision,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct GroupGate {
    group: GroupId,
    revision: Revision,
    holders: Vec<VmName>,
    /// Former holders without an acknowledgement, sorted by name, none of them in `holders`.
    former: Vec<FormerHolder>,
    /// True if lists were missed and no history has replaced them since.
    missed_lists: bool,
    /// True from the moment when the gate opens until a list takes the rank away.
    open: bool,
}

impl HandoverGate {
    /// Creates the gates of a daemon that has no list yet.
    #[must_use]
    pub fn new(me: VmName) -> Self {
        Self::with_max_unacknowledged_holders(me, MAX_UNACKNOWLEDGED_HOLDERS)
    }

    /// Creates gates with another allowance than [`MAX_UNACKNOWLEDGED_HOLDERS`], for checks at a smaller scale.
    #[must_use]
    pub fn with_max_unacknowledged_holders(me: VmName, disputed: usize) -> Self {
        Self {
            me,
            disputed,
            gates: Vec::new(),
            acknowledged: Vec::new(),
            listed: Vec::new(),
            listed_revision: Revision::default(),
        }
    }

    /// Takes over a new list for a group; `old` is the list before, empty for the first one.
    ///
    /// Every daemon adopts lists for every group, because the history must also cover the groups
    /// that it may come to hold. A list that is not newer than the adopted one changes nothing.
    pub fn adopt(&mut self, group: &LeafGroup, old: &VmList, new: &VmList) {
        for list in [old, new] {
            self.record_listed(list.revision(), list.vms().iter().map(|vm| &vm.name));
        }
        self.adopt_ranking(group.id(), new.revision(), rank_holders(group, new));
    }

    /// Records the VMs that a list names; a list no newer than the last one changes nothing.
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

    /// Takes over the holders of a group at a list whose VMs have been noted.
    pub fn adopt_ranking(&mut self, group: &GroupId, revision: Revision, holders: Vec<VmName>) {
        let index = match self.position(group) {
            Ok(index) => {
                self.gates[index].adopt(holders, revision, &self.listed);
                index
            }
            Err(index) => {
                let gate = GroupGate::first(group.clone(), holders, revision, &self.listed);
                self.gates.insert(index, gate);
                index
            }
        };
        let gate = &mut self.gates[index];
        gate.open &= gate.holders.contains(&self.me);
        gate.forget_settled(&self.acknowledged);
    }

    /// Records a list that a VM has acknowledged; this daemon's own acknowledgements belong here too.
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
            gate.forget_if_settled(vm, list_revision);
        }
    }

    /// Forgets a former holder whose process is known to have ended.
    ///
    /// A crashed VM never acknowledges the list that removes it, so without this call each crash
    /// would use up a part of the dispute allowance of its groups for good.
    pub fn confirm_stopped(&mut self, vm: &VmName) {
        for gate in &mut self.gates {
            gate.former.retain(|former| former.vm != *vm);
        }
        self.acknowledged.retain(|(name, _)| name != vm);
        self.listed.retain(|name| name != vm);
    }

    /// Takes over a peer's history of a group, so that lists missed by this daemon count as seen.
    ///
    /// The history must cover exactly the lists up to the adopted one or the one before: an earlier
    /// end leaves a gap, and a later one shows that this daemon's list is out of date.
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
        gate.forget_settled(&self.acknowledged);
    }

    /// Returns the history of a group for a peer; `None` while this daemon's own has gaps.
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

    /// Returns the groups of this daemon for which lists were missed; a peer's history helps them.
    #[must_use]
    pub fn held_groups_without_history(&self) -> Vec<GroupId> {
        let gates = self.gates.iter().filter(|gate| gate.missed_lists);
        let mine = gates.filter(|gate| gate.holders.contains(&self.me));
        mine.map(|gate| gate.group.clone()).collect()
    }

    /// Returns true if lists were missed for the group and no history has replaced them.
    #[must_use]
    pub fn lacks_history(&self, group: &GroupId) -> bool {
        self.position(group)
            .is_ok_and(|index| self.gates[index].missed_lists)
    }

    /// Returns true if this daemon may open connections to the group's leafs.
    ///
    /// This call opens the gate, so a history must be inherited before it.
    pub fn try_open(&mut self, group: &GroupId) -> bool {
        let Ok(index) = self.position(group) else {
            return false;
        };
        self.gates[index].try_open(&self.me, self.disputed, &self.acknowledged)
    }

    /// Returns the VMs whose acknowledgement the group lacks; a probe of them shortens the wait.
    #[must_use]
    pub fn unacknowledged_holders(&self, group: &GroupId) -> Vec<&VmName> {
        self.position(group)
            .map_or_else(|_| Vec::new(), |index| self.gates[index].awaited())
    }

    /// Returns the VMs whose acknowledgement any group of this daemon lacks, sorted.
    #[must_use]
    pub fn all_unacknowledged_holders(&self) -> Vec<&VmName> {
        let closed = self
            .gates
            .iter()
            .filter(|gate| !gate.open && gate.holders.contains(&self.me));
        let mut awaited: Vec<&VmName> = closed.flat_map(GroupGate::awaited).collect();
        awaited.sort();
        awaited.dedup();
        awaited
    }

    /// Drops the groups that the settings no longer have.
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
        gate.presume_former(listed);
        gate
    }

    fn adopt(&mut self, holders: Vec<VmName>, revision: Revision, listed: &[VmName]) {
        if revision <= self.revision {
            return;
        }
        let last_ranked = self.revision;
        let displaced = std::mem::replace(&mut self.holders, holders);
        self.revision = revision;
        // A VM that regains its rank is no former holder any more.
        self.former
            .retain(|former| !self.holders.contains(&former.vm));
        for vm in displaced {
            self.add_former(&vm, last_ranked);
        }
        self.missed_lists |= revision.0 > last_ranked.0 + 1;
        if self.missed_lists {
            self.presume_former(listed);
        }
    }

    /// Counts every VM outside the ranks as ranked by the list before, which was missed.
    fn presume_former(&mut self, listed: &[VmName]) {
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

    /// Drops the former holders that have adopted a list, known here, that does not rank them.
    fn forget_settled(&mut self, acknowledged: &[(VmName, Revision)]) {
        let revision = self.revision;
        self.former.retain(|former| {
            !former.is_settled(acknowledged_by(acknowledged, &former.vm), revision)
        });
    }

    fn forget_if_settled(&mut self, vm: &VmName, seen: Revision) {
        if let Ok(index) = self.former.binary_search_by(|former| former.vm.cmp(vm))
            && self.former[index].is_settled(seen, self.revision)
        {
            self.former.remove(index);
        }
    }

    fn try_open(
        &mut self,
        me: &VmName,
        disputed: usize,
        acknowledged: &[(VmName, Revision)],
    ) -> bool {
        if !self.open && self.holders.contains(me) {
            // A daemon without history may have restarted at a list that its earlier process had
            // left behind, so it opens nothing while a newer list is known to exist.
            let behind =
                self.missed_lists && acknowledged.iter().any(|(_, seen)| *seen > self.revision);
            self.open = !behind && self.former.len() <= disputed;
            // Whoever is still awaited is among the former holders, so these are a history now.
            self.missed_lists &= !self.open;
        }
        self.open
    }

    fn awaited(&self) -> Vec<&VmName> {
        self.former.iter().map(|former| &former.vm).collect()
    }
}

impl FormerHolder {
    /// Returns true if an acknowledgement shows that the VM has closed its connections.
    ///
    /// An acknowledgement above the adopted list settles nothing: the VM may have skipped the lists
    /// that did not rank it and hold the group through a list that is unknown here.
    fn is_settled(&self, seen: Revision, adopted: Revision) -> bool {
        seen > self.last_ranked && seen <= adopted
    }
}

fn acknowledged_by(acknowledged: &[(VmName, Revision)], vm: &VmName) -> Revision {
    acknowledged
        .binary_search_by(|(name, _)| name.cmp(vm))
        .map_or(Revision::default(), |index| acknowledged[index].1)
}
