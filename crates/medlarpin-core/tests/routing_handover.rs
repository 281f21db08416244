//! Tests of the choice of the daemon that serves a request whose leafs this VM does not reach.

use std::net::SocketAddr;
use std::sync::Arc;

use medlarpin_core::prelude::*;
use medlarpin_core::routing::{
    HANDOVER_BACK_OFF, HANDOVER_RETRY_DELAY, HANDOVERS_MAX, HANDOVERS_MAX_AFTER_FAILURE, HINTS_MAX,
    HandoverSelector, KnownDaemon, SERVED_MEMORY,
};

fn daemon(number: u8, cpu_millicores: u32) -> KnownDaemon {
    KnownDaemon {
        address: SocketAddr::from(([192, 0, 2, number], 8106)),
        cpu_millicores,
        started_at: None,
    }
}

/// Guards against requests that go round among daemons which do not reach the leafs, and against a
/// daemon that is left out for other routes, or for ever.
#[test]
fn daemons_that_declined_a_route_are_left_out_for_a_while() {
    let start = Instant::now();
    let others = [daemon(1, 170), daemon(2, 170), daemon(3, 170)];
    let route: Arc<str> = Arc::from("lookups");
    let mut selector = HandoverSelector::default();
    let choose = |selector: &HandoverSelector, route: &str, random: u64, now: Instant| {
        selector.choose(route, &others, 0, random, now)
    };
    for asked in 0..others.len() {
        let chosen = (0..9).map(|random| choose(&selector, &route, random, start));
        let mut chosen: Vec<Option<SocketAddr>> = chosen.collect();
        chosen.sort();
        chosen.dedup();
        assert_eq!(chosen.len(), others.len() - asked);
        selector.declined(chosen[0].unwrap(), &route, start);
    }
    assert_eq!(choose(&selector, &route, 0, start), None);
    assert!(choose(&selector, "searches", 0, start).is_some());
    assert!(choose(&selector, &route, 0, start + HANDOVER_BACK_OFF).is_some());
}

/// Load pattern: the VMs that reach the leafs are restarted in turn, and decline requests meanwhile.
/// Guards against requests that are refused for seconds after the VMs are back, and against many messages
/// while no VM reaches the leafs.
#[test]
fn daemons_that_declined_are_asked_again_if_no_other_is_left() {
    let start = Instant::now();
    let others = [daemon(1, 170), daemon(2, 170)];
    let route: Arc<str> = Arc::from("lookups");
    let mut selector = HandoverSelector::default();
    let choose =
        |selector: &HandoverSelector, now: Instant| selector.choose(&route, &others, 0, 0, now);
    selector.declined(others[0].address, &route, start);
    let later = start + HANDOVER_RETRY_DELAY / 2;
    selector.declined(others[1].address, &route, later);
    assert_eq!(choose(&selector, later), None);
    let first_due = start + HANDOVER_RETRY_DELAY;
    assert_eq!(choose(&selector, first_due), Some(others[0].address));
    selector.declined(others[0].address, &route, first_due);
    assert_eq!(choose(&selector, first_due), None);
    let second_due = later + HANDOVER_RETRY_DELAY;
    assert_eq!(choose(&selector, second_due), Some(others[1].address));
}

/// Load pattern: the leafs of many shards are down, so that no daemon can serve the queries. Guards
/// against messages of each VM to many others for each of its requests, and against a VM that no longer
/// looks for others once some reach the leafs again.
#[test]
fn fewer_daemons_are_asked_after_a_search_without_success() {
    let start = Instant::now();
    let route: Arc<str> = Arc::from("lookups");
    let mut selector = HandoverSelector::default();
    assert_eq!(selector.asks_max(&route, start), HANDOVERS_MAX);
    selector.search_failed(&route, start);
    let asks_max = |selector: &HandoverSelector, now| selector.asks_max(&route, now);
    assert_eq!(asks_max(&selector, start), HANDOVERS_MAX_AFTER_FAILURE);
    assert_eq!(selector.asks_max("searches", start), HANDOVERS_MAX);
    assert_eq!(asks_max(&selector, start + SERVED_MEMORY), HANDOVERS_MAX);
    selector.served(daemon(1, 170).address, start);
    assert_eq!(asks_max(&selector, start), HANDOVERS_MAX);
}

/// Guards against a query that is handed over to a VM which cannot gather it in time while a larger
/// one reaches the leafs.
#[test]
fn daemons_with_enough_cpu_come_first() {
    let now = Instant::now();
    let others = [daemon(1, 84), daemon(2, 500), daemon(3, 84)];
    let route: Arc<str> = Arc::from("searches");
    let mut selector = HandoverSelector::default();
    for random in 0..9 {
        let chosen = selector.choose(&route, &others, 300, random, now);
        assert_eq!(chosen, Some(others[1].address));
    }
    selector.declined(others[1].address, &route, now);
    assert!(selector.choose(&route, &others, 300, 0, now).is_some());
}

/// Load pattern: most VMs have lost their links to the leafs. Guards against requests that ask one VM
/// without links after another although one that reaches the leafs is known, and against a load on
/// that one while all can serve.
#[test]
fn daemons_that_served_lately_come_first_while_others_decline() {
    let now = Instant::now();
    let others: Vec<KnownDaemon> = (0..20).map(|number| daemon(number, 170)).collect();
    let route: Arc<str> = Arc::from("lookups");
    let mut selector = HandoverSelector::default();
    selector.served(others[7].address, now);
    let chosen = |selector: &HandoverSelector, now: Instant| {
        let chosen = (0..20).map(|random| selector.choose(&route, &others, 0, random, now));
        let mut chosen: Vec<Option<SocketAddr>> = chosen.collect();
        chosen.sort();
        chosen.dedup();
        chosen
    };
    assert_eq!(chosen(&selector, now).len(), others.len());
    selector.declined(others[3].address, &route, now);
    assert_eq!(chosen(&selector, now), [Some(others[7].address)]);
    let later = now + SERVED_MEMORY;
    selector.declined(others[3].address, &route, later);
    assert_eq!(chosen(&selector, later).len(), others.len() - 1);
    // It has lost its links as well.
    selector.served(others[7].address, later);
    selector.declined(others[7].address, &route, later);
    assert_eq!(chosen(&selector, later).len(), others.len() - 2);
}

/// Load pattern: nearly all VMs have lost their links to the leafs. Guards against VMs that search for
/// one that reaches the leafs each on their own, and against naming one that no longer does.
#[test]
fn the_latest_daemons_that_served_are_named_to_others() {
    let now = Instant::now();
    let route: Arc<str> = Arc::from("lookups");
    let mut selector = HandoverSelector::default();
    for number in 0..10 {
        let at = now + Duration::from_millis(u64::from(number));
        selector.served(daemon(number, 170).address, at);
    }
    let named = selector.latest_served(now);
    assert_eq!(named.len(), HINTS_MAX);
    assert_eq!(named[0], daemon(9, 170).address);
    selector.declined(daemon(9, 170).address, &route, now);
    assert_eq!(selector.latest_served(now)[0], daemon(8, 170).address);
    assert!(selector.latest_served(now + SERVED_MEMORY * 2).is_empty());
}

/// Load pattern: callers repeat a query at once that ends the leafs which run it, through other VMs. Guards
/// against copies that meet daemons which know nothing of the losses, against different queries that all
/// meet the same daemon, and against a query that is not served because its daemon is gone.
#[test]
fn equal_queries_meet_the_same_daemon_and_others_spread() {
    let now = Instant::now();
    let others: Vec<KnownDaemon> = (1..=8).map(|number| daemon(number, 500)).collect();
    let route: Arc<str> = Arc::from("searches");
    let mut selector = HandoverSelector::default();
    let choose = |selector: &HandoverSelector, others: &[KnownDaemon], content_hash: u64| {
        selector
            .choose_by_content(&route, others, content_hash, now)
            .expect("a daemon can be asked")
    };
    let mut reversed = others.clone();
    reversed.reverse();
    let mut counts = vec![0; others.len()];
    for content_hash in 0..4_000_u64 {
        let chosen = choose(&selector, &others, content_hash);
        assert_eq!(choose(&selector, &reversed, content_hash), chosen);
        let index = others.iter().position(|known| known.address == chosen);
        counts[index.expect("a known daemon")] += 1;
    }
    // An even share is 500.
    assert!(
        counts.iter().all(|count| (400..=600).contains(count)),
        "{counts:?}"
    );
    let gone = choose(&selector, &others, 7);
    selector.declined(gone, &route, now);
    assert_ne!(choose(&selector, &others, 7), gone);
}
