//! Tests of the choice between watching the store and following another daemon, and of the change
//! log that is served to followers.

use std::net::SocketAddr;

use medlarpin_core::prelude::*;
use medlarpin_core::routing::{
    ChangeLog, FOLLOWER_RETRY_INTERVAL, FOLLOWERS_MAX, KnownDaemon, SOURCE_BACK_OFF_MAX,
    SOURCE_BACK_OFF_MIN, Source, SourceSelector, StoreRevision, WATCHER_RETRY_INTERVAL,
    WATCHERS_MIN,
};

fn daemon(number: u16) -> KnownDaemon {
    let [high, low] = number.to_be_bytes();
    KnownDaemon {
        address: SocketAddr::from(([10, 1, high, low], 8106)),
        cpu_millicores: 170,
        started_at: None,
    }
}

fn daemons(count: u16) -> Vec<KnownDaemon> {
    (0..count).map(daemon).collect()
}

/// Returns each daemon with its source.
fn sources(all: &[KnownDaemon], now: Instant) -> Vec<(SocketAddr, Source)> {
    let source = |own: &KnownDaemon| {
        let selector = SourceSelector::new(own.address);
        (own.address, selector.choose(all, false, now))
    };
    all.iter().map(source).collect()
}

/// Returns a follower and the daemon that it follows.
fn a_follower(all: &[KnownDaemon], now: Instant) -> (SocketAddr, SocketAddr) {
    let follows = |(own, source): (SocketAddr, Source)| Some((own, source.daemon()?));
    sources(all, now).into_iter().find_map(follows).unwrap()
}

/// Guards against a store that is called by every daemon, and against watchers with too many
/// followers.
#[test]
fn a_few_daemons_watch_and_followers_spread_over_them() {
    let now = Instant::now();
    let check = |count: u16| {
        let sources = sources(&daemons(count), now);
        let watchers: Vec<_> = sources
            .iter()
            .filter(|(_, source)| *source == Source::Store)
            .map(|(own, _)| *own)
            .collect();
        let needed = usize::from(count).div_ceil(FOLLOWERS_MAX + 1);
        let expected = needed.max(WATCHERS_MIN).min(usize::from(count));
        assert_eq!(watchers.len(), expected, "{count} daemons");
        for watcher in &watchers {
            let followers = sources
                .iter()
                .filter(|(_, source)| *source == Source::Daemon(*watcher))
                .count();
            // Followers choose independently, so one watcher may get up to twice the mean.
            assert!(
                followers <= 2 * FOLLOWERS_MAX,
                "{count} daemons: {followers}"
            );
        }
        let follows_watcher = |(_, source): &(SocketAddr, Source)| match source {
            Source::Daemon(daemon) => watchers.contains(daemon),
            Source::Store | Source::CheckStore => true,
        };
        assert!(sources.iter().all(follows_watcher), "{count} daemons");
    };
    for count in [1, 2, 3, 20, 130, 500] {
        check(count);
    }
}

/// Guards against watchers on small VMs, which would delay their followers' updates under load.
#[test]
fn watchers_run_on_the_largest_vms() {
    let now = Instant::now();
    let mut all = daemons(95);
    for large in [17, 50, 90] {
        all[large].cpu_millicores = 500;
    }
    for (own, source) in sources(&all, now) {
        let is_large = all
            .iter()
            .any(|daemon| daemon.address == own && daemon.cpu_millicores == 500);
        assert!(is_large || matches!(source, Source::Daemon(_)), "{own}");
    }
}

/// Guards against a follower that keeps following a stopped daemon, and against one that gets no
/// updates until it has found another.
#[test]
fn a_failed_source_is_replaced_after_a_call_to_the_store() {
    let now = Instant::now();
    let all = daemons(20);
    let (own, followed) = a_follower(&all, now);
    let mut selector = SourceSelector::new(own);
    selector.daemon_failed(followed, now);
    assert_eq!(selector.choose(&all, false, now), Source::CheckStore);
    selector.store_answered(now);
    let next = selector.choose(&all, false, now);
    assert_ne!(next, Source::Daemon(followed));
    assert_ne!(next, Source::CheckStore);
    let next_at = |selector: &SourceSelector, at| selector.choose(&all, false, at);
    let tried_again = now + SOURCE_BACK_OFF_MIN;
    assert_eq!(next_at(&selector, tried_again), Source::Daemon(followed));
    // A daemon that keeps failing is tried less often.
    let mut at = tried_again;
    for _ in 0..5 {
        selector.daemon_failed(followed, at);
        selector.store_answered(at);
        assert_ne!(
            next_at(&selector, at + SOURCE_BACK_OFF_MIN),
            Source::Daemon(followed)
        );
        at += SOURCE_BACK_OFF_MAX;
        assert_eq!(next_at(&selector, at), Source::Daemon(followed));
    }
}

/// Guards against followers that stay with a watcher that is partitioned from the store, and
/// against followers that all leave their watcher because the store is down.
#[test]
fn a_stale_source_backs_off_only_if_the_store_answers() {
    let now = Instant::now();
    let all = daemons(20);
    let (own, followed) = a_follower(&all, now);
    let check = |store_answers: bool, expected: fn(Source, SocketAddr) -> bool| {
        let mut selector = SourceSelector::new(own);
        selector.daemon_is_stale(followed);
        assert_eq!(selector.choose(&all, false, now), Source::CheckStore);
        if store_answers {
            selector.store_answered(now);
        } else {
            selector.store_failed(now);
        }
        let next = selector.choose(&all, false, now);
        assert!(expected(next, followed), "{store_answers}: {next:?}");
    };
    check(true, |next, followed| next != Source::Daemon(followed));
    check(false, |next, followed| next == Source::Daemon(followed));
}

/// Guards against all daemons calling the store at the watchers' rate while it is down.
#[test]
fn followers_call_a_failed_store_less_often() {
    let now = Instant::now();
    let all = daemons(20);
    let (own, followed) = a_follower(&all, now);
    let mut selector = SourceSelector::new(own);
    selector.store_failed(now);
    selector.daemon_is_stale(followed);
    let next_at = |after: Duration, is_followed| selector.choose(&all, is_followed, now + after);
    assert_eq!(
        next_at(WATCHER_RETRY_INTERVAL, false),
        Source::Daemon(followed)
    );
    assert_eq!(next_at(FOLLOWER_RETRY_INTERVAL, false), Source::CheckStore);
    assert_eq!(next_at(WATCHER_RETRY_INTERVAL, true), Source::Store);
}

/// Guards against a watcher that gets no updates while only it is partitioned from the store.
#[test]
fn a_watcher_without_the_store_follows_another_daemon() {
    let now = Instant::now();
    let all = daemons(20);
    let (own, _) = sources(&all, now)
        .into_iter()
        .find(|(_, source)| *source == Source::Store)
        .unwrap();
    let mut selector = SourceSelector::new(own);
    selector.store_failed(now);
    assert!(matches!(
        selector.choose(&all, false, now),
        Source::Daemon(daemon) if daemon != own
    ));
    let later = now + WATCHER_RETRY_INTERVAL;
    assert_eq!(selector.choose(&all, false, later), Source::Store);
}

/// Returns a revision of a store that was never restored.
fn revision(number: u64) -> StoreRevision {
    StoreRevision { era: 1, number }
}

/// Guards against changes that a follower never gets because the store was restored from a copy and
/// has given their revisions out again.
#[test]
fn the_change_log_tells_eras_apart() {
    let restored = |number| StoreRevision { era: 2, number };
    let mut log = ChangeLog::new(6);
    log.add_changes(revision(10), revision(12), vec!["a", "b"]);
    log.add_diff(revision(12), restored(11), vec!["c"]);
    log.add_changes(restored(11), restored(12), vec!["d"]);
    let check = |after, expected: Option<&[&str]>| {
        assert_eq!(log.after(after).as_deref(), expected, "{after:?}");
    };
    check(revision(12), Some(&["c", "d"]));
    check(restored(11), Some(&["d"]));
    // The follower had a change of the first era that this daemon never had.
    check(revision(13), None);
}

/// Guards against changes that a follower never gets, in particular those that the diff of two
/// snapshots does not contain.
#[test]
fn the_change_log_serves_only_complete_ranges() {
    let mut log = ChangeLog::new(6);
    log.add_changes(revision(10), revision(12), vec!["a", "b"]);
    log.add_diff(revision(12), revision(20), vec!["c"]);
    log.add_changes(revision(20), revision(21), vec!["d"]);
    let check = |log: &ChangeLog<&'static str>, after, expected: Option<&[&str]>| {
        assert_eq!(log.after(revision(after)).as_deref(), expected, "{after}");
    };
    check(&log, 9, None);
    check(&log, 10, Some(&["a", "b", "c", "d"]));
    check(&log, 11, Some(&["a", "b", "c", "d"]));
    check(&log, 12, Some(&["c", "d"]));
    // An item that changed after 15 and changed back before 20 is not in the diff.
    check(&log, 15, None);
    check(&log, 20, Some(&["d"]));
    // The oldest changes are evicted.
    log.add_changes(revision(21), revision(22), vec!["e", "f", "g"]);
    check(&log, 11, None);
    check(&log, 12, Some(&["c", "d", "e", "f", "g"]));
    // A gap makes all earlier changes useless.
    log.add_changes(revision(30), revision(31), vec!["h"]);
    check(&log, 21, None);
    check(&log, 30, Some(&["h"]));
}
