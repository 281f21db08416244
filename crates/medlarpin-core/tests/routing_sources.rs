//! Tests of the source of the published items and of the changes that daemons tell each other.

use std::net::SocketAddr;

use medlarpin_core::prelude::*;
use medlarpin_core::routing::{
    ChangeLog, FOLLOWER_RETRY_INTERVAL, FOLLOWERS_MAX, KnownDaemon, SOURCE_BACK_OFF_MAX,
    SOURCE_BACK_OFF_MIN, Source, SourceSelector, WATCHER_RETRY_INTERVAL, WATCHERS_MIN,
};

fn daemon(number: u16) -> KnownDaemon {
    let [high, low] = number.to_be_bytes();
    KnownDaemon {
        address: SocketAddr::from(([10, 1, high, low], 8106)),
        cpu_millicores: 170,
    }
}

fn daemons(count: u16) -> Vec<KnownDaemon> {
    (0..count).map(daemon).collect()
}

/// Returns the sources of all daemons.
fn sources(all: &[KnownDaemon], now: Instant) -> Vec<(SocketAddr, Source)> {
    let source = |own: &KnownDaemon| {
        let choice = SourceSelector::new(own.address);
        (own.address, choice.choose(all, false, now))
    };
    all.iter().map(source).collect()
}

/// Returns a daemon that follows and the one that it follows.
fn a_follower(all: &[KnownDaemon], now: Instant) -> (SocketAddr, SocketAddr) {
    let follows = |(own, source): (SocketAddr, Source)| Some((own, source.daemon()?));
    sources(all, now).into_iter().find_map(follows).unwrap()
}

/// Guards against calls to the store from every daemon, and against watchers with too many
/// followers or none.
#[test]
fn a_few_daemons_watch_and_share_the_others() {
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
            // Twice the mean: the followers choose without knowing of each other.
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

/// Guards against watchers on small VMs, which are late with what their followers need when load
/// begins.
#[test]
fn the_largest_vms_watch() {
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

/// Guards against a daemon that stays with a followed daemon that is gone, and against one that
/// knows nothing new until it has found another.
#[test]
fn a_lost_daemon_is_replaced_after_a_call_to_the_store() {
    let now = Instant::now();
    let all = daemons(20);
    let (own, followed) = a_follower(&all, now);
    let mut choice = SourceSelector::new(own);
    choice.daemon_failed(followed, now);
    assert_eq!(choice.choose(&all, false, now), Source::CheckStore);
    choice.store_answered(now);
    let next = choice.choose(&all, false, now);
    assert_ne!(next, Source::Daemon(followed));
    assert_ne!(next, Source::CheckStore);
    let next_at = |choice: &SourceSelector, at| choice.choose(&all, false, at);
    let tried_again = now + SOURCE_BACK_OFF_MIN;
    assert_eq!(next_at(&choice, tried_again), Source::Daemon(followed));
    // A daemon that stays away is tried less often.
    let mut at = tried_again;
    for _ in 0..5 {
        choice.daemon_failed(followed, at);
        choice.store_answered(at);
        assert_ne!(
            next_at(&choice, at + SOURCE_BACK_OFF_MIN),
            Source::Daemon(followed)
        );
        at += SOURCE_BACK_OFF_MAX;
        assert_eq!(next_at(&choice, at), Source::Daemon(followed));
    }
}

/// Guards against a watcher that is cut off from the store and takes its followers with it, and
/// against followers that all leave a watcher because the store is away.
#[test]
fn an_old_answer_shows_a_cut_only_if_the_store_answers() {
    let now = Instant::now();
    let all = daemons(20);
    let (own, followed) = a_follower(&all, now);
    let check = |store_answers: bool, expected: fn(Source, SocketAddr) -> bool| {
        let mut choice = SourceSelector::new(own);
        choice.daemon_is_stale(followed);
        assert_eq!(choice.choose(&all, false, now), Source::CheckStore);
        if store_answers {
            choice.store_answered(now);
        } else {
            choice.store_failed(now);
        }
        let next = choice.choose(&all, false, now);
        assert!(expected(next, followed), "{store_answers}: {next:?}");
    };
    check(true, |next, followed| next != Source::Daemon(followed));
    check(false, |next, followed| next == Source::Daemon(followed));
}

/// Guards against calls from all daemons at the watchers' pace while the store is away.
#[test]
fn daemons_that_follow_call_a_failed_store_less_often() {
    let now = Instant::now();
    let all = daemons(20);
    let (own, followed) = a_follower(&all, now);
    let mut choice = SourceSelector::new(own);
    choice.store_failed(now);
    choice.daemon_is_stale(followed);
    let next_at = |after: Duration, is_followed| choice.choose(&all, is_followed, now + after);
    assert_eq!(
        next_at(WATCHER_RETRY_INTERVAL, false),
        Source::Daemon(followed)
    );
    assert_eq!(next_at(FOLLOWER_RETRY_INTERVAL, false), Source::CheckStore);
    assert_eq!(next_at(WATCHER_RETRY_INTERVAL, true), Source::Store);
}

/// Guards against a watcher that knows nothing new while only it is cut off from the store.
#[test]
fn a_watcher_without_the_store_asks_another_daemon() {
    let now = Instant::now();
    let all = daemons(20);
    let (own, _) = sources(&all, now)
        .into_iter()
        .find(|(_, source)| *source == Source::Store)
        .unwrap();
    let mut choice = SourceSelector::new(own);
    choice.store_failed(now);
    assert!(matches!(
        choice.choose(&all, false, now),
        Source::Daemon(daemon) if daemon != own
    ));
    let later = now + WATCHER_RETRY_INTERVAL;
    assert_eq!(choice.choose(&all, false, later), Source::Store);
}

/// Guards against changes that a follower never hears of, above all those that a difference of two
/// complete lists leaves out.
#[test]
fn changes_are_told_only_if_all_are_known() {
    let mut log = ChangeLog::new(6);
    log.add_changes(Revision(10), Revision(12), vec!["a", "b"]);
    log.add_diff(Revision(12), Revision(20), vec!["c"]);
    log.add_changes(Revision(20), Revision(21), vec!["d"]);
    let check = |log: &ChangeLog<&'static str>, after, expected: Option<&[&str]>| {
        assert_eq!(log.after(Revision(after)).as_deref(), expected, "{after}");
    };
    check(&log, 9, None);
    check(&log, 10, Some(&["a", "b", "c", "d"]));
    check(&log, 11, Some(&["a", "b", "c", "d"]));
    check(&log, 12, Some(&["c", "d"]));
    // What changed after 15 and changed back by 20 is not in the difference.
    check(&log, 15, None);
    check(&log, 20, Some(&["d"]));
    // The oldest changes make room.
    log.add_changes(Revision(21), Revision(22), vec!["e", "f", "g"]);
    check(&log, 11, None);
    check(&log, 12, Some(&["c", "d", "e", "f", "g"]));
    // A gap makes all that went before useless.
    log.add_changes(Revision(30), Revision(31), vec!["h"]);
    check(&log, 21, None);
    check(&log, 30, Some(&["h"]));
}
