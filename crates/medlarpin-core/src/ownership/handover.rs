//! Handover of leaf groups between holders when the VM list changes.

use crate::catalog::VmList;
use crate::ids::{Revision, VmName};
use crate::ownership::holders::rank_without;
use crate::ownership::{DISPUTED, GroupId, LeafGroup, rank_holders};

/// A VM that held a group at an earlier list and may still have connections to its leafs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FormerHolder {
    /// Name of the VM.
    pub vm: VmName,
    /// Newest list that ranked it.
    pub last_ranked: Revision,
}

/// What a daemon knows about a group's past holders, for daemons that started later.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderHistory {
    /// Newest list that the history covers.
    pub revision: Revision,
    /// Current holders and former ones without an acknowledgement, sorted by name.
    pub holders: Vec<FormerHolder>,
}

/// Decides whether this daemon may open connections to the leafs of the groups that it holds.
///
/// A gate opens when at most [`DISPUTED`] former holders have yet to acknowledge a list that does
/// not rank them; it stays open until a list takes the rank away. So at most `HOLDERS + DISPUTED`
/// daemons have an open gate for a group: all others with an open gate are ranked by the list at
/// which the newest gate opened, or were counted as former holders by it.
///
/// The bound needs two things from the caller. A daemon acknowledges a list only after it has closed
/// its connections to the groups that the list takes away. And a daemon that missed lists (its first
/// list, or a gap in the revisions) takes over the history of a peer with [`HandoverGate::inherit`]
/// before it asks [`HandoverGate::may_open`]. Without such a peer, the next ranks below the holders
/// are presumed to be the former ones; this covers one replacement of all holders, and several in a
/// row, with former holders that still run, can exceed the bound.
#[derive(Debug)]
pub struct HandoverGate {
    me: VmName,
    /// Sorted by group.
    gates: Vec<GroupGate>,
    /// Highest acknowledged list of each VM, sorted by name.
    acknowledged: Vec<(VmName, Revision)>,
}

#[derive(Debug)]
struct GroupGate {
    group: GroupId,
    revision: Revision,
    holders: Vec<VmName>,
    /// Former holders without an acknowledgement, sorted by name, none of them in `holders`.
    former: Vec<FormerHolder>,
    /// VMs presumed to be former holders because lists were missed; `None` if none was.
    presumed: Option<Vec<VmName>>,
    /// True from the moment when the gate opens until a list takes the rank away.
    open: bool,
}

impl HandoverGate {
    /// Creates the gates of a daemon that has no list yet.
    #[must_use]
    pub fn new(me: VmName) -> Self {
        Self {
            me,
            gates: Vec::new(),
            acknowledged: Vec::new(),
        }
    }

    /// Takes over a new list for a group; `old` is the list before, empty for the first one.
    ///
    /// Every daemon adopts lists for every group, because the history must also cover the groups
    /// that it may come to hold. A list that is not newer than the adopted one changes nothing.
    pub fn adopt(&mut self, group: &LeafGroup, old: &VmList, new: &VmList) {
        let holders = rank_holders(group, new);
        match self.position(group.id()) {
            Ok(index) => {
                let gate = &mut self.gates[index];
                gate.adopt(holders, new);
                gate.open &= gate.holders.contains(&self.me);
                gate.forget_settled(&self.acknowledged);
            }
            Err(index) => {
                let gate = GroupGate::first(group, old, holders, new);
                self.gates.insert(index, gate);
            }
        }
    }

    /// Records the list revision that a VM's heartbeat carried.
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
            gate.forget_settled(&self.acknowledged);
        }
    }

    /// Forgets a former holder whose process is known to have ended.
    ///
    /// A crashed VM never acknowledges the list that removes it, so without this call each crash
    /// would use up a part of the dispute allowance of its groups for good.
    pub fn confirm_stopped(&mut self, vm: &VmName) {
        for gate in &mut self.gates {
            gate.former.retain(|former| former.vm != *vm);
            if let Some(presumed) = &mut gate.presumed {
                presumed.retain(|name| name != vm);
            }
        }
        self.acknowledged.retain(|(name, _)| name != vm);
    }

    /// Adds a peer's history of a group, so that lists missed by this daemon count as seen.
    ///
    /// A history that ends before this daemon's list leaves a gap and is ignored.
    pub fn inherit(&mut self, group: &GroupId, history: &HolderHistory) {
        let Ok(index) = self.position(group) else {
            return;
        };
        let gate = &mut self.gates[index];
        if history.revision < gate.revision {
            return;
        }
        for holder in &history.holders {
            gate.add_former(&holder.vm, holder.last_ranked);
        }
        gate.presumed = None;
        gate.forget_settled(&self.acknowledged);
    }

    /// Returns the history of a group for a peer; `None` while this daemon's own has gaps.
    #[must_use]
    pub fn history(&self, group: &GroupId) -> Option<HolderHistory> {
        let gate = &self.gates[self.position(group).ok()?];
        if gate.presumed.is_some() {
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

    /// Returns true if this daemon may open connections to the group's leafs.
    ///
    /// This call opens the gate, so a history must be inherited before it.
    pub fn may_open(&mut self, group: &GroupId) -> bool {
        self.position(group)
            .is_ok_and(|index| self.gates[index].try_open(&self.me, &self.acknowledged))
    }

    /// Returns the VMs whose acknowledgement the group lacks; a probe of them shortens the wait.
    #[must_use]
    pub fn awaited(&self, group: &GroupId) -> Vec<&VmName> {
        self.position(group).map_or_else(
            |_| Vec::new(),
            |index| self.gates[index].awaited(&self.acknowledged),
        )
    }

    /// Returns the VMs whose acknowledgement any group of this daemon lacks, sorted.
    #[must_use]
    pub fn awaited_by_any(&self) -> Vec<&VmName> {
        let closed = self
            .gates
            .iter()
            .filter(|gate| !gate.open && gate.holders.contains(&self.me));
        let mut awaited: Vec<&VmName> = closed
            .flat_map(|gate| gate.awaited(&self.acknowledged))
            .collect();
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
    fn first(group: &LeafGroup, old: &VmList, holders: Vec<VmName>, new: &VmList) -> Self {
        let mut gate = Self {
            group: group.id().clone(),
            revision: new.revision(),
            holders,
            former: Vec::new(),
            presumed: None,
            open: false,
        };
        for vm in rank_holders(group, old) {
            gate.add_former(&vm, old.revision());
        }
        gate.note_missed_lists(new);
        gate
    }

    fn adopt(&mut self, holders: Vec<VmName>, new: &VmList) {
        if new.revision() <= self.revision {
            return;
        }
        let missed_lists = new.revision().0 > self.revision.0 + 1;
        let last_ranked = self.revision;
        let displaced = std::mem::replace(&mut self.holders, holders);
        self.revision = new.revision();
        // A VM that regains its rank is no former holder any more.
        self.former
            .retain(|former| !self.holders.contains(&former.vm));
        for vm in displaced {
            self.add_former(&vm, last_ranked);
        }
        if missed_lists || self.presumed.is_some() {
            self.note_missed_lists(new);
        }
    }

    fn note_missed_lists(&mut self, new: &VmList) {
        self.presumed = Some(rank_without(&self.group, new, &self.holders));
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
        // An acknowledgement above the adopted list settles nothing: the VM may have skipped the
        // lists that did not rank it and hold the group through a list that is unknown here.
        let revision = self.revision;
        self.former.retain(|former| {
            let seen = acknowledged_by(acknowledged, &former.vm);
            seen <= former.last_ranked || seen > revision
        });
    }

    fn try_open(&mut self, me: &VmName, acknowledged: &[(VmName, Revision)]) -> bool {
        if !self.open && self.holders.contains(me) {
            // A daemon without history may have restarted at a list that its earlier process had
            // left behind, so it opens nothing while a newer list is known to exist.
            let behind = self.presumed.is_some()
                && acknowledged.iter().any(|(_, seen)| *seen > self.revision);
            self.open = !behind && self.awaited(acknowledged).len() <= DISPUTED;
        }
        self.open
    }

    fn awaited(&self, acknowledged: &[(VmName, Revision)]) -> Vec<&VmName> {
        let mut awaited: Vec<&VmName> = self.former.iter().map(|former| &former.vm).collect();
        let presumed = self.presumed.iter().flatten();
        awaited.extend(presumed.filter(|vm| acknowledged_by(acknowledged, vm) < self.revision));
        awaited.sort_unstable();
        awaited.dedup();
        awaited
    }
}

fn acknowledged_by(acknowledged: &[(VmName, Revision)], vm: &VmName) -> Revision {
    acknowledged
        .binary_search_by(|(name, _)| name.cmp(vm))
        .map_or(Revision::default(), |index| acknowledged[index].1)
}
