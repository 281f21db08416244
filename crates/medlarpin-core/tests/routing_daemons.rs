//! Tests of daemon discovery by gossip and of the number of daemons that share a limit.

use std::net::SocketAddr;

use medlarpin_core::prelude::*;
use medlarpin_core::routing::{
    DEFAULT_DAEMON_COUNT, DISCOVERY_TIME, DaemonList, ISOLATED_AFTER, KnownDaemon,
    LIMIT_SILENCE_TIMEOUT, ProcessStart, SILENCE_TIMEOUT,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const WINDOW: Duration = Duration::from_secs(10);
/// Retries of a service in a window, over all daemons together.
const RESERVE: f64 = 32.0;

fn address(number: u8) -> SocketAddr {
    ([192, 0, 2, number], 8106).into()
}

fn known(address: SocketAddr) -> KnownDaemon {
    KnownDaemon {
        address,
        cpu_millicores: 170,
        started_at: None,
    }
}

fn daemon(number: u8) -> KnownDaemon {
    known(address(number))
}

fn started(at: Instant) -> ProcessStart {
    ProcessStart {
        at,
        is_first_start: true,
        seeds: vec![address(1), address(2), address(3)],
    }
}

/// Guards against a daemon that uses a whole limit because it has just started or is partitioned
/// from the others.
#[test]
fn a_limit_is_divided_among_the_known_daemons() {
    let start = Instant::now();
    let mut list = DaemonList::new(daemon(0), started(start));
    let check = |list: &DaemonList, at: Instant, connections: usize, retries: usize| {
        let share = |count: usize| if count == 0 { 0.0 } else { 1.0 / count as f64 };
        assert!((list.connection_share(at) - share(connections)).abs() < 1e-9);
        assert!((list.reserve(RESERVE, WINDOW, at) - RESERVE * share(retries)).abs() < 1e-9);
    };
    check(&list, start + DISCOVERY_TIME * 2, DEFAULT_DAEMON_COUNT, 0);
    for number in 0..20 {
        list.record_contact(daemon(number), Duration::ZERO, start);
    }
    check(&list, start, DEFAULT_DAEMON_COUNT, 0);
    check(&list, start + DISCOVERY_TIME, 20, 20);
    list.evict_silent(start + SILENCE_TIMEOUT * 2);
    check(&list, start + SILENCE_TIMEOUT * 2, 20, 20);
    for number in 20..100 {
        list.record_contact(daemon(number), Duration::ZERO, start + DISCOVERY_TIME);
    }
    check(&list, start + DISCOVERY_TIME, 100, 100);
    list.evict_silent(start + LIMIT_SILENCE_TIMEOUT * 2);
    check(&list, start + LIMIT_SILENCE_TIMEOUT * 2, 1, 1);
}

/// Guards against a restarted daemon that uses its share although its previous process has used it
/// in the same window, and against one that joined and is not yet counted by the others.
#[test]
fn a_share_of_the_retries_is_used_only_after_a_start_has_settled() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let check =
        |is_first_start, contact: Option<(u64, bool, u64)>, seeds: &[SocketAddr], usable_from| {
            let process = ProcessStart {
                at: start,
                is_first_start,
                seeds: seeds.to_vec(),
            };
            let mut list = DaemonList::new(daemon(0), process);
            if let Some((seconds, is_known, peer_started_before_s)) = contact {
                let known = [(daemon(0), Duration::from_secs(2))];
                let known = if is_known { &known[..] } else { &[] };
                let peer = KnownDaemon {
                    started_at: start.checked_sub(Duration::from_secs(peer_started_before_s)),
                    ..daemon(1)
                };
                list.record_exchange(peer, known, at(seconds));
                // Later exchanges list the daemon in any case.
                list.record_exchange(peer, &[(daemon(0), Duration::ZERO)], at(seconds + 1));
            }
            let first =
                (0..1_000).find(|seconds| list.reserve(RESERVE, WINDOW, at(*seconds)) > 0.0);
            assert_eq!(first, usable_from, "{is_first_start} {contact:?} {seeds:?}");
        };
    let seeds = [address(1)];
    let minutes = Some(LIMIT_SILENCE_TIMEOUT.as_secs());
    check(true, Some((1, false, 60)), &seeds, Some(4));
    // Half of the reserve is enough for four parts of the window, so the first one is over after
    // 2.5 s.
    check(false, Some((0, true, 60)), &seeds, Some(3));
    check(false, Some((8, true, 60)), &seeds, Some(11));
    check(false, Some((1, false, 60)), &seeds, Some(14));
    check(false, Some((1, false, 2)), &seeds, Some(6));
    check(false, Some((1, true, 2)), &seeds, Some(4));
    check(false, None, &seeds, minutes);
    check(false, None, &[], Some(3));
    check(true, None, &[], Some(0));
    check(true, None, &[address(0)], Some(0));
    let seeds = [address(1), address(2), address(3)];
    check(true, Some((1, true, 60)), &seeds, minutes);
    let seeds = [address(0), address(1), address(3)];
    check(true, Some((1, true, 60)), &seeds, Some(4));
}

/// Guards against a stopped daemon that is never evicted because the others keep gossiping about
/// it.
#[test]
fn gossip_keeps_the_time_of_the_last_contact() {
    let start = Instant::now();
    let (mut first, mut second) = (
        DaemonList::new(daemon(1), started(start)),
        DaemonList::new(daemon(2), started(start)),
    );
    first.record_contact(daemon(9), Duration::ZERO, start);
    let mut now = start;
    for _ in 0..200 {
        now += LIMIT_SILENCE_TIMEOUT / 180;
        for (daemon, silent) in first.sample(0, now) {
            second.record_contact(daemon, silent, now);
        }
        for (daemon, silent) in second.sample(0, now) {
            first.record_contact(daemon, silent, now);
        }
        first.evict_silent(now);
        second.evict_silent(now);
    }
    assert_eq!(first.others(now).count(), 0);
    assert!(first.sample(0, now).is_empty());
    assert!(second.sample(0, now).is_empty());
}

/// Guards against daemons that never discover each other, with 500 daemons and three seeds, one of
/// which is down. After 60 exchanges each daemon must know 99 of 100 others. That is accurate
/// enough to divide a limit, because a tenth of it is kept in reserve.
#[test]
fn all_daemons_discover_each_other() {
    const DAEMONS: u16 = 500;
    const DOWN: usize = 1;
    let at = |number: u16| -> SocketAddr { ([10, 0, 0, 1], 1_000 + number).into() };
    let seeds = [at(0), at(1), at(2)];
    let start = Instant::now();
    let mut lists: Vec<DaemonList> = (0..DAEMONS)
        .map(|number| DaemonList::new(known(at(number)), started(start)))
        .collect();
    let mut random = 1_u64;
    for round in 0..60 {
        let now = start + Duration::from_secs(round);
        for index in (0..lists.len()).filter(|index| *index != DOWN) {
            random = medlarpin_core::ids::stable_hash(&[&random.to_le_bytes()]);
            let Some(peer) = lists[index].choose_peer(&seeds, random, now) else {
                continue;
            };
            let peer = usize::from(peer.port() - 1_000);
            if peer == DOWN {
                continue;
            }
            let (own, known) = (lists[index].own(), lists[index].sample(random, now));
            let others = lists[peer].sample(random, now);
            let peer_address = lists[peer].own();
            lists[peer].record_contact(own, Duration::ZERO, now);
            lists[index].record_contact(peer_address, Duration::ZERO, now);
            for (daemon, silent) in known {
                lists[peer].record_contact(daemon, silent, now);
            }
            for (daemon, silent) in others {
                lists[index].record_contact(daemon, silent, now);
            }
        }
    }
    for (index, list) in lists.iter().enumerate().filter(|(index, _)| *index != DOWN) {
        let known = list.daemon_count();
        let min_known = (usize::from(DAEMONS) - 1) * 99 / 100;
        let max_known = usize::from(DAEMONS) - 1;
        assert!(
            (min_known..=max_known).contains(&known),
            "daemon {index}: {known}"
        );
    }
}

/// Guards against a daemon that gossips with itself, including one that is its own only seed.
#[test]
fn a_daemon_does_not_gossip_with_itself() {
    let now = Instant::now();
    let list = DaemonList::new(daemon(1), started(now));
    for random in 0..10 {
        assert_eq!(list.choose_peer(&[address(1)], random, now), None);
        let peer = list.choose_peer(&[address(1), address(2)], random, now);
        assert_eq!(peer, Some(address(2)));
    }
}

/// Guards against a daemon that is cut off and repeats requests of which the others know that they
/// crash leafs.
#[test]
fn a_daemon_without_contact_is_isolated() {
    let start = Instant::now();
    let mut list = DaemonList::new(daemon(0), started(start));
    assert!(!list.is_isolated(start));
    assert!(list.is_isolated(start + ISOLATED_AFTER));
    let contact_at = start + ISOLATED_AFTER;
    list.record_exchange(daemon(1), &[(daemon(2), SILENCE_TIMEOUT)], contact_at);
    assert!(!list.is_isolated(contact_at));
    assert!(list.is_isolated(contact_at + ISOLATED_AFTER));

    let alone = ProcessStart {
        seeds: Vec::new(),
        ..started(start)
    };
    let list = DaemonList::new(daemon(0), alone);
    assert!(!list.is_isolated(start + ISOLATED_AFTER * 2));
}

/// Returns the lists of daemons that all know each other.
fn complete_lists(count: u8, at: Instant) -> Vec<DaemonList> {
    let complete_list = |own: u8| {
        let mut list = DaemonList::new(daemon(own), started(at));
        for number in 0..count {
            list.record_contact(daemon(number), Duration::ZERO, at);
        }
        list
    };
    (0..count).map(complete_list).collect()
}

/// Guards against daemons that never get a report, as no other daemon happens to choose them.
#[test]
fn reports_reach_all_daemons() {
    let start = Instant::now();
    let check = |lists: &[DaemonList], seed: u64| {
        let mut random = StdRng::seed_from_u64(seed);
        let mut is_reached = vec![false; lists.len()];
        let first = random.random_range(0..lists.len());
        is_reached[first] = true;
        let mut passing_on = vec![first];
        while let Some(sender) = passing_on.pop() {
            let receivers = lists[sender].report_receivers(4, random.random(), start);
            assert_eq!(receivers.len(), (lists.len() - 1).min(4));
            for receiver in receivers {
                let is_receiver = |list: &DaemonList| list.own().address == receiver;
                let index = lists.iter().position(is_receiver);
                let index = index.expect("a known daemon");
                assert_ne!(index, sender, "seed {seed}");
                if !is_reached[index] {
                    is_reached[index] = true;
                    passing_on.push(index);
                }
            }
        }
        let missed = is_reached.iter().filter(|is_reached| !**is_reached).count();
        assert_eq!(missed, 0, "of {} daemons, seed {seed}", lists.len());
    };
    for count in [1, 2, 9, 100] {
        let lists = complete_lists(count, start);
        for seed in 0..200 {
            check(&lists, seed);
        }
    }
}
