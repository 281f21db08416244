//! Tests of canaries, strikes and quarantines of fingerprints.

use medlarpin_core::canary::{
    Clearance, FingerprintTable, LossKind, LossVerdict, LostLeafSign, NeighbourSign, PROVEN_TTL,
    QUARANTINE_DURATION, Quarantine, Strike, canary_group,
};
use medlarpin_core::prelude::*;

const FINGERPRINT: Fingerprint = Fingerprint(7);

/// Adds strikes of (leaf, request) and checks which of them, if any, quarantines the fingerprint.
fn check_strikes(strikes: &[(&str, u128)], quarantined_by: Option<usize>) {
    let (mut table, now) = (FingerprintTable::new(), Instant::now());
    let quarantining = strikes.iter().position(|(leaf, request)| {
        table
            .strike(FINGERPRINT, &LeafId::new(leaf), RequestId(*request), now)
            .is_some()
    });
    assert_eq!(quarantining, quarantined_by, "{strikes:?}");
    let is_quarantined = matches!(table.check(FINGERPRINT, now), Clearance::Quarantined { .. });
    assert_eq!(is_quarantined, quarantined_by.is_some());
}

/// Guards against a quarantine after one failure of a failure domain, and against a query that
/// crashes leafs without being quarantined.
#[test]
fn quarantines_after_distinct_leafs_and_requests() {
    check_strikes(&[("a", 1), ("a", 1)], None);
    check_strikes(&[("a", 1), ("b", 1), ("c", 1)], None);
    check_strikes(&[("a", 1), ("a", 2), ("a", 3)], None);
    check_strikes(&[("a", 1), ("b", 2)], Some(1));
    check_strikes(&[("a", 1), ("b", 1), ("c", 1), ("a", 2)], Some(3));
    check_strikes(&[("a", 1), ("a", 2), ("a", 3), ("b", 1)], Some(3));
}

/// Guards against a canary that blocks others for ever and against a proof that never expires.
#[test]
fn canary_and_proof_expire() {
    let (mut table, now) = (FingerprintTable::new(), Instant::now());
    assert_eq!(table.check(FINGERPRINT, now), Clearance::NeedsCanary);
    assert!(table.start_canary(FINGERPRINT, now));
    assert!(!table.start_canary(FINGERPRINT, now));
    assert_eq!(table.check(FINGERPRINT, now), Clearance::CanaryRunning);
    table.canary_inconclusive(FINGERPRINT);
    assert_eq!(table.check(FINGERPRINT, now), Clearance::NeedsCanary);
    assert!(table.start_canary(FINGERPRINT, now));
    assert!(table.start_canary(FINGERPRINT, now + Duration::from_mins(1)));
    table.canary_succeeded(FINGERPRINT, now);
    assert_eq!(table.check(FINGERPRINT, now), Clearance::Proven);
    assert_eq!(
        table.check(FINGERPRINT, now + PROVEN_TTL),
        Clearance::NeedsCanary
    );
}

/// Guards against strikes that accumulate although the query succeeds in between.
#[test]
fn success_clears_strikes_and_strike_revokes_proof() {
    let (mut table, now) = (FingerprintTable::new(), Instant::now());
    table.canary_succeeded(FINGERPRINT, now);
    assert_eq!(
        table.strike(FINGERPRINT, &"a".into(), RequestId(1), now),
        None
    );
    assert_eq!(table.check(FINGERPRINT, now), Clearance::NeedsCanary);
    assert_eq!(
        table.leafs_with_strikes(FINGERPRINT, now),
        [LeafId::new("a")]
    );
    table.canary_succeeded(FINGERPRINT, now);
    assert_eq!(
        table.strike(FINGERPRINT, &"b".into(), RequestId(2), now),
        None
    );
    let later = now + QUARANTINE_DURATION;
    assert_eq!(
        table.strike(FINGERPRINT, &"c".into(), RequestId(3), later),
        None
    );
}

/// Guards against a quarantine that gossip extends for ever.
///
/// Two daemons exchange it every second for an hour, and the latency of each message delays the
/// expiry.
#[test]
fn gossip_does_not_extend_a_quarantine() {
    let now = Instant::now();
    let mut tables = [FingerprintTable::new(), FingerprintTable::new()];
    tables[0].strike(FINGERPRINT, &"a".into(), RequestId(1), now);
    tables[0].strike(FINGERPRINT, &"b".into(), RequestId(2), now);
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
            .all(|table| table.check(FINGERPRINT, end) == Clearance::NeedsCanary)
    );
    let too_long = Quarantine {
        fingerprint: FINGERPRINT,
        until: now + Duration::from_hours(9),
    };
    let mut table = FingerprintTable::new();
    assert_eq!(table.merge_quarantines(&[too_long], now), 1);
    assert_eq!(
        table.check(FINGERPRINT, now + QUARANTINE_DURATION),
        Clearance::NeedsCanary
    );
}

/// Guards against unbounded memory and against a flood of distinct queries that evicts a
/// quarantine.
#[test]
fn flood_evicts_only_proven_fingerprints() {
    let (mut table, now) = (FingerprintTable::new(), Instant::now());
    table.strike(FINGERPRINT, &"a".into(), RequestId(1), now);
    table.strike(FINGERPRINT, &"b".into(), RequestId(2), now);
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

/// Guards against entry daemons that disagree on the canary's group, and against an uneven choice.
#[test]
fn chooses_groups_by_rendezvous() {
    let groups = ["g0", "g1", "g2", "g3"];
    let mut counts = [0; 4];
    for number in 0..4_000 {
        let fingerprint = Fingerprint(number);
        let chosen = canary_group(fingerprint, &groups).expect("there are groups");
        counts[chosen] += 1;
        let without: Vec<_> = groups
            .iter()
            .filter(|group| **group != groups[(chosen + 1) % 4])
            .collect();
        let again = canary_group(fingerprint, &without).expect("there are groups");
        assert_eq!(*without[again], groups[chosen]);
    }
    assert!(
        counts.iter().all(|count| (900..1_100).contains(count)),
        "{counts:?}"
    );
    assert_eq!(canary_group(FINGERPRINT, &[] as &[&str]), None);
}

/// Guards against losses that count although the leaf lives, and against ended leafs that do not count
/// because nothing else of their failure domain answers.
#[test]
fn a_loss_counts_only_if_the_leaf_has_ended() {
    use LostLeafSign::{Answers, NotAsked, Refuses, Replaced, Silent};
    use NeighbourSign::{Nobody, Reached, Refusing};
    let check_kind = |kind, leaf, neighbours, is_listed, verdict| {
        let found = LossVerdict::of(kind, leaf, neighbours, is_listed);
        assert_eq!(
            found, verdict,
            "{kind:?}, {leaf:?}, {neighbours:?}, {is_listed}"
        );
    };
    let check = |leaf, neighbours, is_listed, verdict| {
        for kind in [LossKind::Broken, LossKind::Unanswered] {
            check_kind(kind, leaf, neighbours, is_listed, verdict);
        }
    };
    for neighbours in [Reached, Refusing, NeighbourSign::Silent, Nobody] {
        for is_listed in [true, false] {
            check(Answers, neighbours, is_listed, LossVerdict::Lives);
            check(Replaced, neighbours, is_listed, LossVerdict::Ended);
        }
        check(Silent, neighbours, false, LossVerdict::Ended);
        check(Refuses, neighbours, false, LossVerdict::Ended);
        check(NotAsked, neighbours, false, LossVerdict::Ended);
        check(NotAsked, neighbours, true, LossVerdict::Unknown);
    }
    check(Refuses, Reached, true, LossVerdict::Ended);
    check(Refuses, NeighbourSign::Silent, true, LossVerdict::Ended);
    check(Refuses, Nobody, true, LossVerdict::Ended);
    // As seen by a VM whose links refuse new connections.
    check(Refuses, Refusing, true, LossVerdict::Unknown);
    check_kind(LossKind::Broken, Silent, Reached, true, LossVerdict::Ended);
    // It may be slow or hang, and the health check with it.
    check_kind(
        LossKind::Unanswered,
        Silent,
        Reached,
        true,
        LossVerdict::Silent,
    );
    check(Silent, Refusing, true, LossVerdict::Unknown);
    check(Silent, NeighbourSign::Silent, true, LossVerdict::Unknown);
    check(Silent, Nobody, true, LossVerdict::Unknown);
}

/// Guards against a harmless query that counts as unproven while one of its parts is missing, and against a
/// proof of a part that never succeeded.
#[test]
fn the_parts_that_succeeded_are_proven() {
    let (mut table, now) = (FingerprintTable::new(), Instant::now());
    let [a, b, c] = [Fingerprint(11), Fingerprint(12), Fingerprint(13)];
    let check = |table: &FingerprintTable, proven: [bool; 3], at| {
        let found = [a, b, c].map(|part| table.is_part_proven(FINGERPRINT, part, at));
        assert_eq!(found, proven);
    };
    check(&table, [false, false, false], now);
    table.succeeded_in_part(FINGERPRINT, vec![c, b], now);
    check(&table, [true, false, false], now);
    table.succeeded_in_part(FINGERPRINT, vec![a, c], now + Duration::from_secs(1));
    check(&table, [true, true, false], now + Duration::from_secs(1));
    // The later run did not prove the first part again.
    check(&table, [false, true, false], now + PROVEN_TTL);
    check(
        &table,
        [false, false, false],
        now + PROVEN_TTL + Duration::from_secs(1),
    );
}

/// Guards against a quarantine of a harmless query after one failure that ended several leafs at a time, each
/// with another copy of the query, and against a request that ends leafs one after the other unnoticed.
#[test]
fn strikes_of_one_moment_do_not_quarantine() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let check = |strikes: &[(&str, u128, u64, u64)], quarantined_by: Option<usize>| {
        let mut table = FingerprintTable::new();
        let found = strikes
            .iter()
            .position(|(leaf, request, intact_ms, lost_ms)| {
                let strike = Strike {
                    leaf: LeafId::new(leaf),
                    request: RequestId(*request),
                    origin: FINGERPRINT,
                    intact_at: at(*intact_ms),
                    lost_at: at(*lost_ms),
                };
                let quarantine = table.add_strike(FINGERPRINT, strike, at(*lost_ms));
                quarantine.is_some()
            });
        assert_eq!(found, quarantined_by, "{strikes:?}");
    };
    // Both leafs of a shard crash while they run copies of a query, and are noticed one after the other.
    check(&[("a", 1, 0, 100), ("b", 2, 50, 105)], None);
    check(
        &[("a", 1, 0, 100), ("b", 2, 50, 105), ("a", 3, 60, 110)],
        None,
    );
    // Another copy was sent once the first leaf was lost.
    check(&[("a", 1, 0, 100), ("b", 2, 100, 200)], Some(1));
    // The report of the earlier loss comes later.
    check(&[("b", 2, 100, 200), ("a", 1, 0, 100)], Some(1));
    // All leafs go dark at 0 ms, are sent the query later, and are noticed later still.
    check(
        &[("a", 1, 0, 1_000), ("b", 2, 0, 2_500), ("c", 3, 0, 4_000)],
        None,
    );
    let many: Vec<_> = (0..20).map(|number| ("a", number, 0, 100)).collect();
    check(&many, None);
}

/// Guards against strikes that an answer of another service clears, and against some that stay after an answer of
/// their own.
#[test]
fn an_answer_clears_the_strikes_of_its_service() {
    let (mut table, now) = (FingerprintTable::new(), Instant::now());
    let origins = [Fingerprint(21), Fingerprint(22)];
    for (leaf, origin) in ["a", "b"].into_iter().zip(origins) {
        let strike = Strike {
            leaf: LeafId::new(leaf),
            request: RequestId(1),
            origin,
            intact_at: now,
            lost_at: now,
        };
        assert_eq!(table.add_strike(FINGERPRINT, strike, now), None);
    }
    table.clear_strikes_of(FINGERPRINT, origins[0]);
    assert_eq!(
        table.leafs_with_strikes(FINGERPRINT, now),
        [LeafId::new("b")]
    );
    table.clear_strikes_of(FINGERPRINT, origins[1]);
    assert!(table.is_free_of_suspects());
}
