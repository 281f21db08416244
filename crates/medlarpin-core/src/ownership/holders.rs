//! Ranking of a group's holders.

use std::cmp::Reverse;

use crate::catalog::{Vm, VmList, VmState};
use crate::ids::{VmName, stable_hash};
use crate::ownership::{GroupId, LeafGroup};

/// Number of daemons that may hold a leaf group.
pub const HOLDERS_PER_GROUP: usize = 4;

/// Ranks that prefer the leafs' own failure domain.
const OWN_DOMAIN_RANKS: usize = 3;

/// Returns the group's holders, best first, at most [`HOLDERS_PER_GROUP`].
///
/// The result depends on the group's identifier and the VM list only. Leaving VMs are not ranked.
#[must_use]
pub fn rank_holders(group: &LeafGroup, vms: &VmList) -> Vec<VmName> {
    let group = group.id();
    let mut candidates: Vec<(u64, &Vm)> = vms
        .vms()
        .iter()
        .filter(|vm| vm.state == VmState::Live)
        .map(|vm| (score(group, &vm.name), vm))
        .collect();
    let own_domain = &group.failure_domain;
    // VMs of the own failure domain first, each part by falling score.
    candidates.sort_unstable_by_key(|(score, vm)| {
        (vm.failure_domain != *own_domain, Reverse(*score), &vm.name)
    });
    let mut ranked: Vec<&Vm> = candidates
        .iter()
        .take(OWN_DOMAIN_RANKS)
        .map(|(_, vm)| *vm)
        .collect();
    if let Some(last) = last_rank(&candidates, group, &ranked) {
        ranked.push(last);
    }
    ranked.into_iter().map(|vm| vm.name.clone()).collect()
}

/// Returns the first holder that the caller considers usable.
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

/// Picks the last rank so that no failure domain takes down all holders, where the list allows it.
fn last_rank<'a>(candidates: &[(u64, &'a Vm)], group: &GroupId, ranked: &[&Vm]) -> Option<&'a Vm> {
    let rest = candidates.get(ranked.len()..)?;
    let only_domain = ranked
        .first()
        .map(|first| &first.failure_domain)
        .filter(|domain| ranked.iter().all(|vm| vm.failure_domain == **domain));
    let outside = |vm: &Vm| vm.failure_domain != group.failure_domain;
    rest.iter()
        .find(|(_, vm)| outside(vm) && Some(&vm.failure_domain) != only_domain)
        .or_else(|| rest.iter().find(|(_, vm)| outside(vm)))
        .or_else(|| rest.first())
        .map(|(_, vm)| *vm)
}
