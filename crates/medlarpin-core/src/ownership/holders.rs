//! Choice of the holders of a leaf group.

use std::cmp::Reverse;

use crate::catalog::{Vm, VmList, VmState};
use crate::ids::{VmName, stable_hash};
use crate::ownership::{GroupId, LeafGroup};

/// Maximum number of holders of a leaf group.
pub const HOLDERS_PER_GROUP: usize = 4;

/// Number of the first ranks that prefer VMs in the leafs' failure domain.
const SAME_DOMAIN_RANKS: usize = 3;

/// Returns the group's holders, best first, at most [`HOLDERS_PER_GROUP`].
///
/// The result depends only on the group's identifier and the VM list. Leaving VMs are not ranked.
#[must_use]
pub fn rank_holders(group: &LeafGroup, vms: &VmList) -> Vec<VmName> {
    let group = group.id();
    let mut candidates: Vec<(u64, &Vm)> = vms
        .vms()
        .iter()
        .filter(|vm| vm.state == VmState::Live)
        .map(|vm| (score(group, &vm.name), vm))
        .collect();
    let group_domain = &group.failure_domain;
    // VMs in the group's failure domain come first; within each part, the highest score comes
    // first.
    candidates.sort_unstable_by_key(|(score, vm)| {
        (
            vm.failure_domain != *group_domain,
            Reverse(*score),
            &vm.name,
        )
    });
    let mut ranked: Vec<&Vm> = candidates
        .iter()
        .take(SAME_DOMAIN_RANKS)
        .map(|(_, vm)| *vm)
        .collect();
    if let Some(last) = last_rank(&candidates, group, &ranked) {
        ranked.push(last);
    }
    ranked.into_iter().map(|vm| vm.name.clone()).collect()
}

/// Returns the first usable holder, which serves the group.
pub fn active_holder(holders: &[VmName], is_usable: impl Fn(&VmName) -> bool) -> Option<&VmName> {
    holders.iter().find(|holder| is_usable(holder))
}

fn score(group: &GroupId, vm: &VmName) -> u64 {
    stable_hash(&[
        b"holder",
        group.service.as_str().as_bytes(),
        group.failure_domain.as_str().as_bytes(),
        &group.index.to_le_bytes(),
        vm.as_str().as_bytes(),
    ])
}

/// Chooses the last holder so that, if the list allows it, no single failure domain has all
/// holders.
fn last_rank<'a>(candidates: &[(u64, &'a Vm)], group: &GroupId, ranked: &[&Vm]) -> Option<&'a Vm> {
    let rest = candidates.get(ranked.len()..)?;
    let common_domain = ranked
        .first()
        .map(|first| &first.failure_domain)
        .filter(|domain| ranked.iter().all(|vm| vm.failure_domain == **domain));
    let is_outside = |vm: &Vm| vm.failure_domain != group.failure_domain;
    rest.iter()
        .find(|(_, vm)| is_outside(vm) && Some(&vm.failure_domain) != common_domain)
        .or_else(|| rest.iter().find(|(_, vm)| is_outside(vm)))
        .or_else(|| rest.first())
        .map(|(_, vm)| *vm)
}
