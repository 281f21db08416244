//! Ranking of holders and adoption of VM lists.

use medlarpin_core::ownership::{HandoverGate, LeafGroup, group_leafs, rank_holders};
use medlarpin_core::prelude::*;

use crate::capacity::fixtures;
use crate::capacity::slope::Slope;
use crate::capacity::timing::Timer;

const MECHANISM: &str = "medlarpin-core ownership";

/// Measures ranking and adoption by the number of leafs and by the number of VMs.
pub fn measure(timer: Timer) -> Vec<Slope> {
    let leafs = [1_000, 2_000, 3_000, fixtures::LEAFS];
    let vms = [125, 250, fixtures::VMS];
    let by_leafs = |cost: fn(Timer, usize, usize) -> f64| {
        leafs
            .map(|leafs| (leafs as f64, cost(timer, leafs, fixtures::VMS)))
            .to_vec()
    };
    let by_vms = |cost: fn(Timer, usize, usize) -> f64| {
        vms.map(|vms| (vms as f64, cost(timer, fixtures::LEAFS, vms)))
            .to_vec()
    };
    vec![
        slope(
            "rank the holders of all groups, 500 VMs, us",
            "leafs",
            by_leafs(rank_us),
        ),
        slope(
            "rank the holders of all groups, 3,900 leafs, us",
            "VMs",
            by_vms(rank_us),
        ),
        slope(
            "adopt a list without one VM, 500 VMs, us",
            "leafs",
            by_leafs(adopt_us),
        ),
        slope(
            "adopt a list without one VM, 3,900 leafs, us",
            "VMs",
            by_vms(adopt_us),
        ),
        slope(
            "take in one acknowledgement, 500 VMs, us",
            "leafs",
            by_leafs(acknowledge_us),
        ),
    ]
}

fn slope(quantity: &'static str, size: &'static str, points: Vec<(f64, f64)>) -> Slope {
    Slope {
        quantity,
        mechanism: MECHANISM,
        size,
        points,
    }
}

/// Returns the groups of a service with this many leafs.
pub fn groups(leafs: usize) -> Vec<LeafGroup> {
    let leaf = |index| Leaf {
        id: LeafId::new(&fixtures::leaf_name(index)),
        address: fixtures::address(index, 9000),
        failure_domain: FailureDomain::new(&format!(
            "warmia-{}",
            index % fixtures::FAILURE_DOMAINS
        )),
        slots: 2,
        connection_limit: 60,
        new_connection_ms: 6,
    };
    group_leafs(&Service::new(
        fixtures::SERVICE.into(),
        (0..leafs).map(leaf).collect(),
    ))
}

fn rank_us(timer: Timer, leafs: usize, vms: usize) -> f64 {
    let list = fixtures::vm_list(1, 0..vms);
    let groups = groups(leafs);
    let rank_all = |()| {
        groups
            .iter()
            .map(|group| rank_holders(group, &list))
            .collect::<Vec<_>>()
    };
    timer.time_us(|| (), rank_all)
}

fn adopt_us(timer: Timer, leafs: usize, vms: usize) -> f64 {
    let old = fixtures::vm_list(1, 0..vms);
    let new = fixtures::vm_list(2, 1..vms);
    let groups = groups(leafs);
    let adopt = |mut gate: HandoverGate| {
        for group in &groups {
            gate.adopt_list(group, &old, &new);
        }
        gate
    };
    timer.time_us(|| gate(&groups, &old), adopt)
}

fn acknowledge_us(timer: Timer, leafs: usize, vms: usize) -> f64 {
    let list = fixtures::vm_list(1, 0..vms);
    let groups = groups(leafs);
    let acknowledge = |mut gate: HandoverGate| {
        gate.acknowledge(&fixtures::vm_name(7), Revision(1));
        gate
    };
    timer.time_us(|| gate(&groups, &list), acknowledge)
}

/// Returns the handover gates of a daemon that has adopted its first VM list.
pub fn gate(groups: &[LeafGroup], list: &VmList) -> HandoverGate {
    let mut gate = HandoverGate::new(fixtures::vm_name(0));
    for group in groups {
        gate.adopt_list(group, &VmList::default(), list);
    }
    gate
}
