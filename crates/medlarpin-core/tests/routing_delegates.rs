//! Tests of the choice of the daemon that gathers a query.

use std::net::SocketAddr;

use medlarpin_core::prelude::*;
use medlarpin_core::routing::{DELEGATE_BACK_OFF, DelegateSelector, KnownDaemon};

const SHORT: Duration = Duration::from_millis(60);

fn daemon(number: u8, cpu_millicores: u32) -> KnownDaemon {
    KnownDaemon {
        address: SocketAddr::from(([10, 1, 0, number], 8106)),
        cpu_millicores,
    }
}

/// The grown deployments: few VMs with half a core among many with a twelfth.
fn unequal() -> Vec<KnownDaemon> {
    let large = (0..6).map(|number| daemon(number, 500));
    large
        .chain((6..95).map(|number| daemon(number, 84)))
        .collect()
}

fn choose(
    choice: &DelegateSelector,
    daemons: &[KnownDaemon],
    shards: usize,
    random: u64,
    now: Instant,
) -> Option<SocketAddr> {
    if !choice.is_too_large(shards, SHORT) {
        return None;
    }
    choice.choose(daemons.iter().copied(), random, now)
}

/// Guards against a query to 90 shards that takes a small VM longer than its target latency, and
/// against a detour where the own VM is as good or the query is small.
#[test]
fn queries_go_where_the_processor_is() {
    let now = Instant::now();
    let equal: Vec<_> = (0..20).map(|number| daemon(number, 170)).collect();
    let check = |own: KnownDaemon, daemons: &[KnownDaemon], shards, goes_away: bool| {
        let chosen = choose(&DelegateSelector::new(own), daemons, shards, 7, now);
        assert_eq!(chosen.is_some(), goes_away, "{own:?}: {shards} shards");
    };
    check(equal[0], &equal, 20, false);
    check(equal[0], &equal, 540, false);
    check(daemon(50, 84), &unequal(), 90, true);
    check(daemon(50, 84), &unequal(), 10, false);
    check(daemon(0, 500), &unequal(), 90, false);
    check(daemon(50, 84), &[], 90, false);
}

/// Guards against one large VM that gathers all queries while the others are idle.
#[test]
fn large_vms_share_the_queries() {
    let now = Instant::now();
    let daemons = unequal();
    let choice = DelegateSelector::new(daemon(50, 84));
    let mut counts = [0_u32; 6];
    for random in 0..600 {
        let chosen = choose(&choice, &daemons, 90, random, now).unwrap();
        let large = daemons[..6]
            .iter()
            .position(|known| known.address == chosen);
        counts[large.unwrap()] += 1;
    }
    assert!(counts.iter().all(|count| *count == 100), "{counts:?}");
}

/// Guards against queries that are lost one after the other at a large VM that hangs, and against a
/// small VM that serves nothing once all large ones are gone.
#[test]
fn a_daemon_that_fails_gets_no_queries_for_a_while() {
    let now = Instant::now();
    let daemons = unequal();
    let mut choice = DelegateSelector::new(daemon(50, 84));
    for large in &daemons[..5] {
        choice.back_off(large.address, now);
    }
    for random in 0..20 {
        let chosen = choose(&choice, &daemons, 90, random, now);
        assert_eq!(chosen, Some(daemons[5].address));
    }
    choice.back_off(daemons[5].address, now);
    assert_eq!(choose(&choice, &daemons, 90, 0, now), None);
    let later = now + DELEGATE_BACK_OFF;
    assert!(choose(&choice, &daemons, 90, 0, later).is_some());
}
