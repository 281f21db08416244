//! Tests of canaries, strikes and quarantines.

use medlarpin_core::canary::{
    Clearance, FingerprintTable, PROVEN_TTL, QUARANTINE_DURATION, Quarantine, canary_group,
};
use medlarpin_core::prelude::*;

const KILLER: Fingerprint = Fingerprint(7);

/// Strikes with (leaf, request) and checks which of them, if any, quarantines the fingerprint.
fn check_strikes(strikes: &[(&str, u128)], quarantined_by: Option<usize>) {
    let (mut table, now) = (FingerprintTable::new(), Instant::now());
    let found = strikes.iter().position(|(leaf, request)| {
        table
            .strike(KILLER, &LeafId::new(leaf), RequestId(*request), now)
            .is_some()
    });
    assert_eq!(found, quarantined_by, "{strikes:?}");
    let is_quarantined = matches!(table.check(KILLER, now), Clearance::Quarantined { .. });
    assert_eq!(is_quarantined, quarantined_by.is_some());
}

/// Guards against a quarantine after one lost failure domain, and against a missed killer request.
#[test]
fn quarantines_after_distinct_leafs_and_requests() {
    check_strikes(&[("a", 1), ("a", 1)], None);
    check_strikes(&[("a", 1), ("b", 1), ("c", 1)], None);
    check_strikes(&[("a", 1), ("a", 2), ("a", 3)], None);
    check_strikes(&[("a", 1), ("b", 2)], Some(1));
    check_strikes(&[("a", 1), ("b", 1), ("c", 1), ("a", 2)], Some(3));
    check_strikes(&[("a", 1), ("a", 2), ("a", 3), ("b", 1)], Some(3));
}

/// Guards against a canary that never ends and against queries that stay proven for ever.
#[test]
fn follows_the_life_of_a_canary() {
    let (mut table, now) = (FingerprintTable::new(), Instant::now());
    assert_eq!(table.check(KILLER, now), Clearance::NeedsCanary);
    assert!(table.start_canary(KILLER, now));
    assert!(!table.start_canary(KILLER, now));
    assert_eq!(table.check(KILLER, now), Clearance::CanaryRunning);
    table.canary_inconclusive(KILLER);
    assert_eq!(table.check(KILLER, now), Clearance::NeedsCanary);
    assert!(table.start_canary(KILLER, now));
    assert!(table.start_canary(KILLER, now + Duration::from_mins(1)));
    table.canary_succeeded(KILLER, now);
    assert_eq!(table.check(KILLER, now), Clearance::Proven);
    assert_eq!(
        table.check(KILLER, now + PROVEN_TTL),
        Clearance::NeedsCanary
    );
}

/// Guards against strikes that add up although the query runs well in between.
#[test]
fn success_clears_strikes_and_a_strike_ends_the_proof() {
    let (mut table, now) = (FingerprintTable::new(), Instant::now());
    table.canary_succeeded(KILLER, now);
    assert_eq!(table.strike(KILLER, &"a".into(), RequestId(1), now), None);
    assert_eq!(table.check(KILLER, now), Clearance::NeedsCanary);
    assert_eq!(table.struck_leafs(KILLER, now), [LeafId::new("a")]);
    table.canary_succeeded(KILLER, now);
    assert_eq!(table.strike(KILLER, &"b".into(), RequestId(2), now), None);
    let later = now + QUARANTINE_DURATION;
    assert_eq!(table.strike(KILLER, &"c".into(), RequestId(3), later), None);
}

/// Guards against a quarantine that gossip extends for ever: two daemons exchange it every second
/// with a delay that moves the end, for an hour.
#[test]
fn gossip_does_not_extend_a_quarantine() {
    let now = Instant::now();
    let mut tables = [FingerprintTable::new(), FingerprintTable::new()];
    tables[0].strike(KILLER, &"a".into(), RequestId(1), now);
    tables[0].strike(KILLER, &"b".into(), RequestId(2), now);
    let delay = Duration::from_millis(700);
    for second in 0..3_600 {
        let sent = now + Duration::from_secs(second);
        for (from, to) in [(0, 1), (1, 0)] {
            let mut list = tables[from].active_quarantines(sent);
            for quarantine in &mut list {
                quarantine.until += delay;
            }
            tables[to].merge_quarantines(&list, sent + delay);
        }
    }
    let end = now + QUARANTINE_DURATION + Duration::from_secs(2);
    assert!(
        tables
            .iter()
            .all(|table| table.check(KILLER, end) == Clearance::NeedsCanary)
    );
    let faulty = Quarantine {
        fingerprint: KILLER,
        until: now + Duration::from_hours(9),
    };
    let mut table = FingerprintTable::new();
    assert_eq!(table.merge_quarantines(&[faulty], now), 1);
    assert_eq!(
        table.check(KILLER, now + QUARANTINE_DURATION),
        Clearance::NeedsCanary
    );
}

/// Guards against unbounded memory and against a flood of distinct queries that frees a killer.
#[test]
fn a_flood_displaces_only_proven_fingerprints() {
    let (mut table, now) = (FingerprintTable::new(), Instant::now());
    table.strike(KILLER, &"a".into(), RequestId(1), now);
    table.strike(KILLER, &"b".into(), RequestId(2), now);
    table.strike(Fingerprint(8), &"a".into(), RequestId(1), now);
    for number in 100..200_100 {
        table.start_canary(Fingerprint(number), now);
        table.canary_succeeded(Fingerprint(number), now);
    }
    assert_eq!(table.len(), 65_536 + 2);
    assert_eq!(table.check(Fingerprint(100), now), Clearance::NeedsCanary);
    assert_eq!(table.check(Fingerprint(200_099), now), Clearance::Proven);
    assert!(
        table
            .strike(Fingerprint(8), &"b".into(), RequestId(2), now)
            .is_some()
    );
    assert_eq!(table.active_quarantines(now).len(), 2);
    for number in 0..6_000 {
        table.strike(
            Fingerprint(number + 300_000),
            &"a".into(),
            RequestId(1),
            now,
        );
        table.start_canary(Fingerprint(number + 400_000), now);
    }
    assert!(table.len() <= 65_536 + 2 * 4_096 + 2);
}

/// Guards against entries that disagree about the canary's group, and against an uneven choice.
#[test]
fn picks_groups_by_rendezvous() {
    let groups = ["g0", "g1", "g2", "g3"];
    let mut counts = [0; 4];
    for number in 0..4_000 {
        let fingerprint = Fingerprint(number);
        let picked = canary_group(fingerprint, &groups).expect("there are groups");
        counts[picked] += 1;
        let without: Vec<_> = groups
            .iter()
            .filter(|group| **group != groups[(picked + 1) % 4])
            .collect();
        let again = canary_group(fingerprint, &without).expect("there are groups");
        assert_eq!(*without[again], groups[picked]);
    }
    assert!(
        counts.iter().all(|count| (900..1_100).contains(count)),
        "{counts:?}"
    );
    assert_eq!(canary_group(KILLER, &[] as &[&str]), None);
}
