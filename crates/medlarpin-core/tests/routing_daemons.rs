//! Tests of daemon discovery by gossip and of the number of daemons that share a limit.

use std::net::SocketAddr;

use medlarpin_core::prelude::*;
use medlarpin_core::routing::{
    DEFAULT_DAEMON_COUNT, DISCOVERY_TIME, DaemonList, KnownDaemon, SILENCE_TIMEOUT,
};

fn address(number: u8) -> SocketAddr {
    ([192, 0, 2, number], 8106).into()
}

fn known(address: SocketAddr) -> KnownDaemon {
    KnownDaemon {
        address,
        cpu_millicores: 170,
    }
}

fn daemon(number: u8) -> KnownDaemon {
    known(address(number))
}

/// Guards against a daemon that uses a whole limit because it has just started or is partitioned
/// from the others.
#[test]
fn a_limit_is_divided_among_the_known_daemons() {
    let start = Instant::now();
    let mut list = DaemonList::new(daemon(0));
    assert_eq!(
        list.daemon_count(start + DISCOVERY_TIME * 2),
        DEFAULT_DAEMON_COUNT
    );
    for number in 0..20 {
        list.record_contact(daemon(number), Duration::ZERO, start);
    }
    assert_eq!(list.daemon_count(start), DEFAULT_DAEMON_COUNT);
    assert_eq!(list.daemon_count(start + DISCOVERY_TIME), 20);
    list.evict_silent(start + SILENCE_TIMEOUT / 2);
    assert_eq!(list.daemon_count(start + SILENCE_TIMEOUT / 2), 20);
    for number in 20..100 {
        list.record_contact(daemon(number), Duration::ZERO, start + DISCOVERY_TIME);
    }
    assert_eq!(list.daemon_count(start + DISCOVERY_TIME), 100);
    list.evict_silent(start + SILENCE_TIMEOUT * 2);
    assert_eq!(list.daemon_count(start + SILENCE_TIMEOUT * 2), 1);
}

/// Guards against a stopped daemon that is never evicted because the others keep gossiping about
/// it.
#[test]
fn gossip_keeps_the_time_of_the_last_contact() {
    let start = Instant::now();
    let (mut first, mut second) = (DaemonList::new(daemon(1)), DaemonList::new(daemon(2)));
    first.record_contact(daemon(9), Duration::ZERO, start);
    let mut now = start;
    for _ in 0..200 {
        now += Duration::from_secs(1);
        for (daemon, silent) in first.sample(0, now) {
            second.record_contact(daemon, silent, now);
        }
        for (daemon, silent) in second.sample(0, now) {
            first.record_contact(daemon, silent, now);
        }
        first.evict_silent(now);
        second.evict_silent(now);
    }
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
    let mut lists: Vec<DaemonList> = (0..DAEMONS)
        .map(|number| DaemonList::new(known(at(number))))
        .collect();
    let start = Instant::now();
    let mut random = 1_u64;
    for round in 0..60 {
        let now = start + Duration::from_secs(round);
        for index in (0..lists.len()).filter(|index| *index != DOWN) {
            random = medlarpin_core::ids::stable_hash(&[&random.to_le_bytes()]);
            let Some(peer) = lists[index].choose_peer(&seeds, random) else {
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
    let now = start + Duration::from_mins(1);
    for (index, list) in lists.iter().enumerate().filter(|(index, _)| *index != DOWN) {
        let known = list.daemon_count(now);
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
    let list = DaemonList::new(daemon(1));
    for random in 0..10 {
        assert_eq!(list.choose_peer(&[address(1)], random), None);
        let peer = list.choose_peer(&[address(1), address(2)], random);
        assert_eq!(peer, Some(address(2)));
    }
}
