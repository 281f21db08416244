//! Tests of the delegation of queries to other daemons.

use std::net::SocketAddr;

use medlarpin_core::prelude::*;
use medlarpin_core::routing::{DELEGATE_BACK_OFF, DelegateSelector, HandoverSelector, KnownDaemon};

const SHORT: Duration = Duration::from_millis(60);

fn daemon(number: u8, cpu_millicores: u32) -> KnownDaemon {
    KnownDaemon {
        address: SocketAddr::from(([10, 1, 0, number], 8106)),
        cpu_millicores,
        started_at: None,
    }
}

/// A fleet with VMs of unequal size: 6 with half a core and 89 with a twelfth of a core.
fn unequal_fleet() -> Vec<KnownDaemon> {
    let large = (0..6).map(|number| daemon(number, 500));
    large
        .chain((6..95).map(|number| daemon(number, 84)))
        .collect()
}

fn choose(
    selector: &DelegateSelector,
    daemons: &[KnownDaemon],
    shards: usize,
    random: u64,
    now: Instant,
) -> Option<SocketAddr> {
    if !selector.is_too_large(shards, SHORT) {
        return None;
    }
    let suitable = selector.eligible(daemons, now);
    HandoverSelector::default().choose("search", &suitable, 0, random, now)
}

/// Guards against a small VM that gathers a query over 90 shards itself and exceeds the target
/// latency, and against needless delegation if the own VM is large enough or the query is small.
#[test]
fn large_queries_are_delegated_to_larger_vms() {
    let now = Instant::now();
    let equal: Vec<_> = (0..20).map(|number| daemon(number, 170)).collect();
    let check = |own: KnownDaemon, daemons: &[KnownDaemon], shards, is_delegated: bool| {
        let chosen = choose(&DelegateSelector::new(own), daemons, shards, 7, now);
        assert_eq!(chosen.is_some(), is_delegated, "{own:?}: {shards} shards");
    };
    check(equal[0], &equal, 20, false);
    check(equal[0], &equal, 540, false);
    check(daemon(50, 84), &unequal_fleet(), 90, true);
    check(daemon(50, 84), &unequal_fleet(), 10, false);
    check(daemon(0, 500), &unequal_fleet(), 90, false);
    check(daemon(50, 84), &[], 90, false);
}

/// Guards against one large VM that gathers all delegated queries while the others are idle.
#[test]
fn delegated_queries_spread_over_large_vms() {
    let now = Instant::now();
    let daemons = unequal_fleet();
    let selector = DelegateSelector::new(daemon(50, 84));
    let mut counts = [0_u32; 6];
    for random in 0..600 {
        let chosen = choose(&selector, &daemons, 90, random, now).unwrap();
        let large = daemons[..6]
            .iter()
            .position(|known| known.address == chosen);
        counts[large.unwrap()] += 1;
    }
    assert!(counts.iter().all(|count| *count == 100), "{counts:?}");
}

/// Guards against a large VM that hangs and is still delegated one query after another, and against
/// a small VM that does not gather its queries itself when all large ones have failed.
#[test]
fn a_failed_delegate_backs_off() {
    let now = Instant::now();
    let daemons = unequal_fleet();
    let mut selector = DelegateSelector::new(daemon(50, 84));
    for large in &daemons[..5] {
        selector.back_off(large.address, now);
    }
    for random in 0..20 {
        let chosen = choose(&selector, &daemons, 90, random, now);
        assert_eq!(chosen, Some(daemons[5].address));
    }
    selector.back_off(daemons[5].address, now);
    assert_eq!(choose(&selector, &daemons, 90, 0, now), None);
    let later = now + DELEGATE_BACK_OFF;
    assert!(choose(&selector, &daemons, 90, 0, later).is_some());
}
