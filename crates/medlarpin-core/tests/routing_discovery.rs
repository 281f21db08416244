//! Tests of the leaf directory and the watch cursor.

use medlarpin_core::prelude::*;
use medlarpin_core::routing::LeafPhase::{Draining, Ready};
use medlarpin_core::routing::{
    LAPSED_ENTRY_RETURN_TIME, LeafDirectory, LeafEntry, LeafPhase, NextRead, ObservationTime,
    StoreRevision, WatchCursor,
};

const DRAIN_GRACE: Duration = Duration::from_secs(2);

fn entry(id: &str, phase: LeafPhase, started_unix_ms: u64, sequence: u64) -> LeafEntry {
    LeafEntry {
        id: LeafId::new(id),
        service: ServiceName::new("a"),
        address: ([192, 0, 2, 1], 8080).into(),
        failure_domain: FailureDomain::new("warmia-1"),
        slots: 2,
        phase,
        warm_up_left: Duration::ZERO,
        started_unix_ms: Some(started_unix_ms),
        sequence,
    }
}

/// Returns the time of a change that is learned at once.
fn at(now: Instant) -> ObservationTime {
    ObservationTime {
        known_until: Some(now),
        now,
        is_restored: false,
    }
}

fn state_of(directory: &LeafDirectory, id: &str) -> Option<(LeafPhase, Option<Instant>)> {
    directory
        .leafs()
        .find(|(entry, _)| entry.id.as_str() == id)
        .map(|(entry, usable_until)| (entry.phase, usable_until))
}

/// Guards against a delayed entry that makes a draining leaf ready again, and against a restarted
/// leaf that stays draining.
#[test]
fn stale_entries_are_ignored() {
    let now = Instant::now();
    let check = |first: LeafEntry, second: LeafEntry, expected: LeafPhase| {
        let mut directory = LeafDirectory::new(DRAIN_GRACE);
        assert!(directory.publish(first.clone(), at(now)));
        directory.publish(second.clone(), at(now));
        let phase = state_of(&directory, "x").map(|(phase, _)| phase);
        assert_eq!(phase, Some(expected), "{first:?} then {second:?}");
    };
    check(
        entry("x", Draining, 10, 5),
        entry("x", Ready, 10, 4),
        Draining,
    );
    check(
        entry("x", Draining, 10, 5),
        entry("x", Ready, 9, 9),
        Draining,
    );
    check(entry("x", Draining, 10, 5), entry("x", Ready, 20, 0), Ready);
    check(
        entry("x", Ready, 10, 5),
        entry("x", Draining, 10, 6),
        Draining,
    );
}

/// Guards against requests to a draining leaf that no longer serves: repeated entries must not
/// extend its grace period.
#[test]
fn repeated_drain_entries_do_not_extend_the_grace_period() {
    let now = Instant::now();
    let mut directory = LeafDirectory::new(DRAIN_GRACE);
    directory.publish(entry("x", Ready, 10, 1), at(now));
    directory.publish(entry("x", Draining, 10, 2), at(now));
    let later = now + Duration::from_secs(1);
    directory.publish(entry("x", Draining, 10, 3), at(later));
    directory.withdraw(&LeafId::new("x"), at(later));
    assert_eq!(
        state_of(&directory, "x"),
        Some((Draining, Some(now + DRAIN_GRACE)))
    );
    assert!(directory.expire(later).is_empty());
    assert_eq!(directory.expire(now + DRAIN_GRACE), [LeafId::new("x")]);
    assert!(directory.is_empty());
}

/// Guards against leafs that are lost permanently because their entries expired while the store was
/// unavailable. The entries are published again within two seconds.
#[test]
fn a_republished_leaf_is_ready() {
    let now = Instant::now();
    let mut directory = LeafDirectory::new(DRAIN_GRACE);
    directory.publish(entry("x", Ready, 10, 7), at(now));
    directory.withdraw(&LeafId::new("x"), at(now));
    directory.publish(
        entry("x", Ready, 10, 7),
        at(now + Duration::from_millis(900)),
    );
    assert_eq!(state_of(&directory, "x"), Some((Ready, None)));
    assert!(directory.expire(now + DRAIN_GRACE * 2).is_empty());
}

/// Guards against requests to a leaf that is no longer in a snapshot.
#[test]
fn a_snapshot_withdraws_missing_leafs() {
    let now = Instant::now();
    let mut directory = LeafDirectory::new(DRAIN_GRACE);
    directory.publish(entry("x", Ready, 10, 1), at(now));
    directory.publish(entry("y", Ready, 10, 1), at(now));
    directory.replace_all(vec![entry("y", Ready, 10, 2)], at(now));
    assert_eq!(directory.len(), 2);
    assert_eq!(directory.expire(now + DRAIN_GRACE), [LeafId::new("x")]);
    assert_eq!(state_of(&directory, "y"), Some((Ready, None)));
}

/// Guards against requests to a leaf that has left: the later a daemon learns of a drain, the less
/// of the leaf's drain time is left.
#[test]
fn the_grace_period_runs_from_the_earliest_start_of_the_drain() {
    let start = Instant::now();
    let second = Duration::from_secs(1);
    // `delay` is the time from the last contact until the change is learned; `None` if there was no
    // contact.
    let check = |delay: Option<Duration>, is_draining: bool, expected: Duration| {
        let observed = ObservationTime {
            known_until: delay.map(|_| start),
            now: start + delay.unwrap_or_default(),
            is_restored: false,
        };
        let mut directory = LeafDirectory::new(DRAIN_GRACE);
        if is_draining {
            directory.publish(entry("x", Draining, 10, 1), observed);
        } else {
            directory.publish(entry("x", Ready, 10, 1), at(start));
            directory.withdraw(&LeafId::new("x"), observed);
        }
        let usable_until = state_of(&directory, "x").and_then(|(_, until)| until);
        assert_eq!(
            usable_until,
            Some(start + expected),
            "{delay:?} {is_draining}"
        );
    };
    for is_draining in [true, false] {
        check(Some(Duration::ZERO), is_draining, DRAIN_GRACE);
        check(Some(second), is_draining, DRAIN_GRACE);
    }
    check(Some(second * 5), true, DRAIN_GRACE);
    check(None, true, Duration::ZERO);
    // The entry may have expired because the store was away, while the leaf still serves.
    check(
        Some(second * 5),
        false,
        second * 5 + LAPSED_ENTRY_RETURN_TIME,
    );
    check(None, false, LAPSED_ENTRY_RETURN_TIME);
}

/// Returns a revision of a store that was never restored.
fn revision(number: u64) -> StoreRevision {
    StoreRevision { era: 1, number }
}

/// Guards against a configuration change that is never applied. A store that is losing its history
/// answers a watch with a newer revision and no changes, and the next watch starts after the missed
/// ones.
#[test]
fn a_revision_without_changes_is_a_gap() {
    let check = |changes: usize, number: u64, expected: NextRead| {
        let mut cursor = WatchCursor::default();
        assert_eq!(cursor.next_read(), NextRead::Snapshot);
        cursor.snapshot_read(revision(52));
        let is_continuous = cursor.advance(changes, revision(number));
        assert_eq!(cursor.next_read(), expected, "{changes} up to {number}");
        assert_eq!(is_continuous, expected != NextRead::Snapshot);
    };
    check(0, 52, NextRead::ChangesAfter(revision(52)));
    check(1, 53, NextRead::ChangesAfter(revision(53)));
    check(0, 53, NextRead::Snapshot);
    check(1, 51, NextRead::Snapshot);
}

/// Guards against a watch that is resumed while the store is losing its history. It would get no
/// changes until its wait ends, and the daemon would serve an old configuration meanwhile.
#[test]
fn a_failed_watch_is_not_resumed() {
    let mut cursor = WatchCursor::default();
    cursor.snapshot_read(revision(9));
    cursor.reset();
    assert_eq!(cursor.next_read(), NextRead::Snapshot);
}

/// Guards against a watch that goes on across a restore of the store from a copy: the changes after
/// the copy have numbers that the watch already passed.
#[test]
fn a_restored_store_is_read_anew() {
    let check = |changes: usize, number: u64| {
        let mut cursor = WatchCursor::default();
        cursor.snapshot_read(revision(52));
        let is_continuous = cursor.advance(changes, StoreRevision { era: 2, number });
        assert!(!is_continuous, "{changes} up to {number}");
        assert_eq!(cursor.next_read(), NextRead::Snapshot);
    };
    check(0, 40);
    check(0, 52);
    check(1, 53);
    check(3, 60);
}

/// Guards against requests to a leaf that has left and that a restored store lists again, from a
/// copy made before it left.
#[test]
fn a_leaf_that_left_does_not_return_with_an_old_entry() {
    let start = Instant::now();
    let restored_at = start + Duration::from_secs(8);
    let observed = ObservationTime {
        is_restored: true,
        ..at(restored_at)
    };
    let check = |restored: LeafEntry, is_listed: bool| {
        let mut directory = LeafDirectory::new(DRAIN_GRACE);
        directory.publish(entry("x", Ready, 10, 5), at(start));
        directory.publish(entry("y", Ready, 10, 5), at(start));
        directory.withdraw(&LeafId::new("x"), at(start));
        directory.expire(start + DRAIN_GRACE);
        directory.replace_all(vec![restored.clone(), entry("y", Ready, 10, 4)], observed);
        let state = state_of(&directory, "x");
        let is_usable =
            state.is_some_and(|(_, until)| until.is_none_or(|until| restored_at < until));
        assert_eq!(is_usable, is_listed, "{restored:?}");
        assert_eq!(state_of(&directory, "y"), Some((Ready, None)));
    };
    check(entry("x", Ready, 10, 3), false);
    check(entry("x", Ready, 10, 5), false);
    // A heartbeat shows that the leaf lives, and another start that it is a new process.
    check(entry("x", Ready, 10, 6), true);
    check(entry("x", Ready, 20, 0), true);
}

/// Guards against requests to a leaf that has left because the items of a restored store are read a
/// second time before the leaf's old entry has expired there.
#[test]
fn a_second_read_of_a_restored_store_brings_no_leaf_back() {
    let start = Instant::now();
    let mut directory = LeafDirectory::new(DRAIN_GRACE);
    directory.publish(entry("x", Ready, 10, 5), at(start));
    directory.withdraw(&LeafId::new("x"), at(start));
    directory.expire(start + DRAIN_GRACE);
    let read = |directory: &mut LeafDirectory, after_s: u64, is_restored: bool| {
        let observed = ObservationTime {
            is_restored,
            ..at(start + Duration::from_secs(after_s))
        };
        directory.replace_all(vec![entry("x", Ready, 10, 5)], observed);
    };
    read(&mut directory, 8, true);
    read(&mut directory, 10, false);
    assert!(directory.is_empty());
}

/// Guards against a live leaf that is given up because a store that was restored from a copy does not
/// list it until its next heartbeat.
#[test]
fn a_leaf_missing_from_a_restored_store_stays_usable_until_its_next_heartbeat() {
    let now = Instant::now();
    let mut directory = LeafDirectory::new(Duration::from_millis(500));
    directory.publish(entry("x", Ready, 10, 1), at(now));
    let observed = ObservationTime {
        is_restored: true,
        ..at(now)
    };
    directory.replace_all(Vec::new(), observed);
    let until = state_of(&directory, "x").and_then(|(_, until)| until);
    assert_eq!(until, Some(now + LAPSED_ENTRY_RETURN_TIME));
}
