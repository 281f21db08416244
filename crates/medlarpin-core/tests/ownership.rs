//! Tests of leaf groups, their holders and the handover between holders.

use std::net::SocketAddr;

use medlarpin_core::ownership::{
    HOLDERS_PER_GROUP, HandoverGate, HolderHistory, LeafGroup, active_holder, connection_share,
    direct_connection_share, group_leafs, rank_holders,
};
use medlarpin_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const DOMAINS: [&str; 3] = ["agadir", "tiznit", "essaouira"];

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn vm(index: usize, domains: usize) -> Vm {
    Vm {
        name: VmName::new(&format!("vm-{index:03}")),
        rpc_address: address(),
        failure_domain: FailureDomain::new(DOMAINS[index % domains]),
        region: Region::new("souss"),
        state: VmState::Live,
    }
}

fn vm_with_state(index: usize, leaving: bool) -> Vm {
    let state = if leaving {
        VmState::Leaving
    } else {
        VmState::Live
    };
    Vm {
        state,
        ..vm(index, 3)
    }
}

fn list(revision: u64, vms: impl IntoIterator<Item = Vm>) -> VmList {
    VmList::new(Revision(revision), vms.into_iter().collect())
}

fn groups(leafs_per_domain: usize) -> Vec<LeafGroup> {
    let leafs = (0..leafs_per_domain * DOMAINS.len()).map(|index| Leaf {
        id: LeafId::new(&format!("leaf-{index:05}")),
        address: address(),
        failure_domain: FailureDomain::new(DOMAINS[index % DOMAINS.len()]),
        slots: 2,
        connection_limit: 60,
        new_connection_ms: 6,
    });
    group_leafs(&Service::new(
        ServiceName::new("order-desk"),
        leafs.collect(),
    ))
}

/// Guards against leafs missing from all groups, and against mixed or oversized groups.
#[test]
fn groups_contain_each_leaf_once() {
    let groups = groups(20);
    let sizes: Vec<usize> = groups.iter().map(|group| group.leafs().len()).collect();
    assert_eq!(sizes, [16, 4, 16, 4, 16, 4]);
    assert!(groups.is_sorted_by(|a, b| a.id() < b.id()));
    assert!(groups[0].contains(&groups[0].leafs()[3]));
    assert!(!groups[1].contains(&groups[0].leafs()[3]));
}

/// Guards against too few holders, leaving holders, and holders that all fail with one failure
/// domain.
#[test]
fn holders_span_failure_domains() {
    fn check(counts: [usize; 3], expected_own: usize, expected: usize) {
        let mut next = 0;
        let mut vms = Vec::new();
        for (count, domain) in counts.into_iter().zip(DOMAINS) {
            for _ in 0..count {
                let failure_domain = FailureDomain::new(domain);
                vms.push(Vm {
                    failure_domain,
                    ..vm(next, 1)
                });
                next += 1;
            }
        }
        let vms = list(1, vms.into_iter().chain([vm_with_state(999, true)]));
        for group in groups(64)
            .iter()
            .filter(|g| g.id().failure_domain.as_str() == DOMAINS[0])
        {
            let holders = rank_holders(group, &vms);
            let domain = |name| &vms.get(name).unwrap().failure_domain;
            let own = holders
                .iter()
                .filter(|name| *domain(name) == group.id().failure_domain);
            assert_eq!(
                (own.count(), holders.len()),
                (expected_own, expected),
                "{counts:?}"
            );
            let spans_domains = holders
                .iter()
                .any(|name| domain(name) != domain(&holders[0]));
            assert_eq!(
                spans_domains,
                counts.iter().filter(|c| **c > 0).count() > 1,
                "{counts:?}"
            );
        }
    }
    check([7, 7, 6], 3, HOLDERS_PER_GROUP);
    check([2, 7, 6], 2, HOLDERS_PER_GROUP);
    check([0, 7, 1], 0, HOLDERS_PER_GROUP);
    check([7, 0, 0], HOLDERS_PER_GROUP, HOLDERS_PER_GROUP);
    check([1, 1, 0], 1, 2);
    check([0, 0, 0], 0, 0);
}

/// Guards against a removed VM that changes the holders of groups it does not hold.
#[test]
fn removed_vm_moves_only_its_groups() {
    let groups = groups(16 * 700);
    let all: Vec<Vm> = (0..500).map(|index| vm(index, 3)).collect();
    let full = list(1, all.clone());
    let fair_share = groups.len() * HOLDERS_PER_GROUP / all.len();
    for removed in [0, 17, 254, 499] {
        let name = &all[removed].name;
        let fewer = list(2, all.iter().filter(|vm| vm.name != *name).cloned());
        let mut moved = 0;
        for group in &groups {
            let (with, without) = (rank_holders(group, &full), rank_holders(group, &fewer));
            assert_eq!(with.contains(name), with != without);
            let kept = with
                .iter()
                .filter(|holder| without.contains(holder))
                .count();
            assert!(kept >= HOLDERS_PER_GROUP - 1);
            moved += usize::from(with != without);
        }
        assert!(
            (fair_share / 2..fair_share * 2).contains(&moved),
            "{moved} of {fair_share}"
        );
    }
}

/// Guards against connection shares whose sum exceeds the limit, and against a wrong active holder.
#[test]
fn connection_shares_and_active_holder() {
    assert_eq!([6, 60, 65, 250].map(connection_share), [1, 10, 10, 41]);
    assert_eq!(
        [0, 1, 20, 500].map(|n| direct_connection_share(60, n)),
        [60, 60, 3, 0]
    );
    let holders = ["a", "b"].map(VmName::from);
    assert_eq!(
        active_holder(&holders, |vm| vm.as_str() != "a"),
        Some(&holders[1])
    );
    assert_eq!(active_holder(&holders, |_| false), None);
}

const FLEET: usize = 14;

#[derive(Debug, Clone)]
enum Step {
    /// The platform publishes a list. A VM's value of 0 or 1 leaves it out, 2 marks it as leaving.
    Publish(Vec<u8>),
    /// The daemon adopts the next list.
    Adopt(usize),
    /// The daemon, restarted if true, skips to the newest list of its peers and adopts a history.
    SkipToNewest(usize, bool),
    /// The first daemon receives a heartbeat from the second.
    Receive(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => proptest::collection::vec(0..6_u8, FLEET).prop_map(Step::Publish),
        12 => (0..FLEET).prop_map(Step::Adopt),
        5 => (0..FLEET, any::<bool>())
            .prop_map(|(daemon, restart)| Step::SkipToNewest(daemon, restart)),
        30 => (0..FLEET, 0..FLEET).prop_map(|(to, from)| Step::Receive(to, from)),
    ]
}

/// The complete history at the first list of a fleet: no former holders.
fn empty_history() -> HolderHistory {
    let (revision, holders) = (Revision(1), Vec::new());
    HolderHistory { revision, holders }
}

struct Fleet {
    group: LeafGroup,
    lists: Vec<VmList>,
    /// Gate of each daemon and index of the list that it has adopted.
    daemons: Vec<(HandoverGate, usize)>,
}

impl Fleet {
    fn new() -> Self {
        let group = groups(1).remove(0);
        let lists = vec![list(0, []), list(1, (0..FLEET).map(|index| vm(index, 3)))];
        let daemons = (0..FLEET).map(|index| {
            let mut gate = HandoverGate::new(vm(index, 3).name);
            gate.adopt_list(&group, &lists[0], &lists[1]);
            gate.adopt_history(group.id(), &empty_history());
            (gate, 1)
        });
        Self {
            daemons: daemons.collect(),
            group,
            lists,
        }
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Publish(ref states) => {
                let listed = states.iter().enumerate().filter(|(_, state)| **state > 1);
                let vms = listed.map(|(index, leaving)| vm_with_state(index, *leaving == 2));
                self.lists.push(list(self.lists.len() as u64, vms));
            }
            Step::Adopt(daemon) => {
                let (gate, at) = &mut self.daemons[daemon];
                if let Some(next) = self.lists.get(*at + 1) {
                    gate.adopt_list(&self.group, &self.lists[*at], next);
                    *at += 1;
                }
            }
            Step::SkipToNewest(daemon, restart) => self.skip_to_newest(daemon, restart),
            Step::Receive(to, from) => {
                let revision = self.lists[self.daemons[from].1].revision();
                self.daemons[to].0.acknowledge(&vm(from, 3).name, revision);
            }
        }
    }

    fn skip_to_newest(&mut self, daemon: usize, restart: bool) {
        let others = (0..FLEET).filter(|other| *other != daemon);
        let peer = others.max_by_key(|other| self.daemons[*other].1).unwrap();
        let (from, to) = (self.daemons[daemon].1, self.daemons[peer].1);
        if to < from || (to == from && !restart) {
            return;
        }
        let history = self.daemons[peer].0.history(self.group.id()).unwrap();
        let old = if restart { 0 } else { from };
        let (gate, at) = &mut self.daemons[daemon];
        if restart {
            *gate = HandoverGate::new(vm(daemon, 3).name);
        }
        gate.adopt_list(&self.group, &self.lists[old], &self.lists[to]);
        gate.adopt_history(self.group.id(), &history);
        *at = to;
    }

    /// Returns the connections to one leaf that all daemons together may open.
    fn allowed_connections(&mut self, limit: u32) -> u32 {
        let gates = self.daemons.iter_mut().map(|(gate, _)| gate);
        let open = gates.map(|gate| u32::from(gate.try_open(self.group.id())));
        open.sum::<u32>() * connection_share(limit)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(42),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against more connections to a leaf than its limit while daemons, including unlisted
    /// ones, use different lists. The daemons in `stuck` never adopt another list.
    #[test]
    fn connections_stay_within_the_limit(
        steps in proptest::collection::vec(step(), 1..150),
        stuck in proptest::collection::vec(0..FLEET, 0..5),
    ) {
        let mut fleet = Fleet::new();
        for step in steps {
            match step {
                Step::Adopt(daemon) | Step::SkipToNewest(daemon, _) if stuck.contains(&daemon) => {}
                _ => fleet.run(&step),
            }
            let allowed = fleet.allowed_connections(60);
            prop_assert!(allowed <= 60, "{allowed} connections after {step:?}");
        }
    }
}

/// Guards against a handover that never completes or completes too early.
#[test]
fn gate_opens_after_former_holders_acknowledge() {
    let group = &groups(1)[0];
    let old = list(1, (0..8).map(|index| vm(index, 3)));
    let holders = rank_holders(group, &old);
    let remains = |vm: &Vm| !holders[..3].contains(&vm.name);
    let new = list(2, old.vms().iter().filter(|vm| remains(vm)).cloned());
    let gained = rank_holders(group, &new)[0].clone();
    let opens_after = |release: fn(&mut HandoverGate, &VmName)| {
        let mut gate = HandoverGate::new(gained.clone());
        gate.adopt_list(group, &list(0, []), &old);
        gate.adopt_history(group.id(), &empty_history());
        gate.adopt_list(group, &old, &new);
        assert!(!gate.try_open(group.id()));
        assert_eq!(gate.unacknowledged_holders(group.id()).len(), 3);
        release(&mut gate, &holders[0]);
        gate.try_open(group.id())
    };
    assert!(!opens_after(|gate, vm| gate.acknowledge(vm, Revision(1))));
    assert!(opens_after(|gate, vm| gate.acknowledge(vm, Revision(2))));
    assert!(opens_after(HandoverGate::confirm_stopped));
    // The VM may be ranked again by a list that is unknown here, so its acknowledgement proves
    // nothing.
    assert!(!opens_after(|gate, vm| gate.acknowledge(vm, Revision(3))));
}
