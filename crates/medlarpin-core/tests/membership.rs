//! Tests of membership: suspicion, refutation, incarnations and failed RPCs.

use medlarpin_core::membership::{
    Heartbeat, HeartbeatContent, MemberState, MemberUpdate, Membership, MembershipSettings,
};
use medlarpin_core::prelude::*;

fn list(revision: u64, names: &[&str]) -> VmList {
    let vms = names.iter().map(|name| Vm {
        name: VmName::new(name),
        rpc_address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: FailureDomain::new("warmia-1"),
        region: Region::new("warmia"),
        state: if name.starts_with('l') {
            VmState::Leaving
        } else {
            VmState::Live
        },
    });
    VmList::new(Revision(revision), vms.collect())
}

fn daemon(name: &str, incarnation: u64) -> Membership {
    let settings = MembershipSettings::default();
    let mut daemon = Membership::new(name.into(), Incarnation(incarnation), settings);
    daemon.set_list(&list(1, &["a", "b", "c", "leaving"]));
    daemon
}

fn claim(vm: &str, incarnation: u64, refutation: u32, state: MemberState) -> MemberUpdate {
    let incarnation = Incarnation(incarnation);
    MemberUpdate {
        vm: vm.into(),
        incarnation,
        refutation,
        state,
    }
}

fn heartbeat(from: &mut Membership, to: &str, list_revision: u64) -> Heartbeat {
    let vm_list_revision = Revision(list_revision);
    from.heartbeat(
        &to.into(),
        HeartbeatContent {
            vm_list_revision,
            ..Default::default()
        },
    )
}

fn exchange(a: &mut Membership, b: &mut Membership, now: Instant) {
    let request = heartbeat(a, b.local_claim().vm.clone().as_str(), 1);
    assert!(b.record_exchange(&request, now));
    let reply = heartbeat(b, a.local_claim().vm.clone().as_str(), 1);
    assert!(a.record_exchange(&reply, now));
}

/// Guards against an older claim that overrides a newer one, in both orders of arrival.
#[test]
fn newer_claims_win() {
    use MemberState::{Alive, Dead, Leaving, Suspect};
    fn check(claims: &[(u64, u32, MemberState)], expected: (u64, MemberState, bool)) {
        for reversed in [false, true] {
            let mut claims = claims.to_vec();
            if reversed {
                claims.reverse();
            }
            let mut a = daemon("a", 1);
            for (incarnation, refutation, state) in claims.clone() {
                a.apply(
                    &[claim("b", incarnation, refutation, state)],
                    Instant::now(),
                );
            }
            let b = a.member(&"b".into()).unwrap();
            let seen = (b.claim().incarnation.0, b.state(), a.is_usable(&"b".into()));
            assert_eq!(seen, expected, "{claims:?}");
        }
    }
    check(&[], (0, Alive, true));
    check(&[(5, 0, Alive), (5, 0, Suspect)], (5, Suspect, true));
    check(&[(5, 0, Suspect), (5, 0, Dead)], (5, Dead, false));
    check(&[(5, 0, Dead), (5, 1, Alive)], (5, Alive, true));
    check(&[(5, 9, Dead), (6, 0, Alive)], (6, Alive, true));
    check(&[(5, 0, Leaving), (5, 0, Suspect)], (5, Leaving, false));
    check(&[(5, 0, Leaving), (5, 0, Dead)], (5, Dead, false));
}

/// Guards against a live member that stays dead, and against a declaration before the timeout.
#[test]
fn live_member_refutes_death_in_one_exchange() {
    let (mut a, mut b, start) = (daemon("a", 1), daemon("b", 7), Instant::now());
    let name = VmName::from("b");
    exchange(&mut a, &mut b, start);
    a.record_failed_probe(&name, start);
    assert_eq!(a.expire_suspicions(start + Duration::from_millis(3999)), []);
    assert_eq!(a.member(&name).unwrap().state(), MemberState::Suspect);
    let dead = a.expire_suspicions(start + Duration::from_secs(4));
    assert_eq!(dead, [claim("b", 7, 0, MemberState::Dead)]);
    exchange(&mut a, &mut b, start + Duration::from_secs(5));
    assert_eq!(b.local_claim().refutation, 1);
    assert!(a.is_usable(&name));
    assert_eq!(a.expire_suspicions(start + Duration::from_mins(1)), []);
}

/// Guards against routing to a peer whose RPC just failed, and against suspicion of a peer after a
/// failed RPC.
#[test]
fn failed_rpc_affects_only_local_routing_until_an_exchange() {
    let (mut a, mut b, now) = (daemon("a", 1), daemon("b", 7), Instant::now());
    let name = VmName::from("b");
    a.record_rpc_failure(&name, now);
    assert!(!a.is_usable(&name));
    assert_eq!(a.member(&name).unwrap().state(), MemberState::Alive);
    assert_eq!(a.next_extra_probe(now), None);
    assert_eq!(
        a.next_extra_probe(now + Duration::from_secs(1)),
        Some(name.clone())
    );
    exchange(&mut a, &mut b, now);
    assert!(a.is_usable(&name));
    b.leave();
    exchange(&mut b, &mut a, now);
    assert!(!a.is_usable(&name));
}

/// Guards against acknowledgements that stay valid after a restart of the process that sent them.
#[test]
fn restart_resets_acknowledgements() {
    let (mut a, now) = (daemon("a", 1), Instant::now());
    let name = VmName::from("b");
    assert_eq!(a.incarnation(&name), None);
    let old = heartbeat(&mut daemon("b", 7), "a", 9);
    assert!(a.record_exchange(&old, now));
    assert_eq!(a.acknowledged(&name), Revision(9));
    assert!(a.record_exchange(&heartbeat(&mut daemon("b", 8), "a", 2), now));
    assert!(!a.record_exchange(&old, now));
    assert_eq!(a.acknowledged(&name), Revision(2));
    assert_eq!(a.incarnation(&name), Some(Incarnation(8)));
    a.apply(&[claim("a", 2, 0, MemberState::Alive)], now);
    assert!(a.is_superseded());
}

/// Guards against members that are not in the VM list and against members that are never probed.
#[test]
fn only_listed_vms_are_members() {
    let (mut a, now) = (daemon("a", 1), Instant::now());
    assert!(!a.record_exchange(&heartbeat(&mut daemon("z", 7), "a", 1), now));
    assert_eq!(a.usable_vms(), ["a", "b", "c"].map(VmName::from));
    let mut probed: Vec<_> = (0..3).filter_map(|round| a.next_probe(round)).collect();
    probed.sort();
    assert_eq!(probed, ["b", "c", "leaving"].map(VmName::from));
    a.apply(&[claim("b", 7, 0, MemberState::Dead)], now);
    let watchers = a.settings_watchers(&"warmia-1".into(), 3);
    assert_eq!((watchers.len(), watchers.contains(&"b".into())), (2, false));
    a.set_list(&list(2, &["c"]));
    a.set_list(&list(1, &["a", "b"]));
    assert_eq!(a.usable_vms(), ["c".into()]);
    let rest: Vec<_> = (0..2).filter_map(|round| a.next_probe(round)).collect();
    assert_eq!(rest, ["c", "c"].map(VmName::from));
}
