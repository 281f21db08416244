//! Tests of load shedding and of outlier detection.

use medlarpin_core::load_shedder::{INTERVAL, LoadShedder};
use medlarpin_core::outlier::is_slow;
use medlarpin_core::prelude::*;

/// Records intervals of (refused shards, total shards, percent) and checks the admitted share, in
/// percent, after each.
fn check_share(intervals: &[(u64, u64, f64)]) {
    let mut now = Instant::now();
    let mut shedder = LoadShedder::new(now);
    for (step, (refused, total, percent)) in intervals.iter().enumerate() {
        shedder.record(*refused, *total, now);
        now += INTERVAL;
        let admits_below = shedder.admits(percent / 100.0 - 0.005, now);
        let admits_above = shedder.admits(percent / 100.0 + 0.005, now);
        assert!(
            admits_below && !admits_above,
            "step {step}: {}",
            shedder.share()
        );
    }
}

/// Guards against a share that does not fall under overload, falls to zero, or does not recover.
#[test]
fn share_follows_the_refusals() {
    check_share(&[(10, 100, 100.0)]);
    check_share(&[(40, 100, 60.0), (0, 100, 90.0), (0, 0, 100.0)]);
    check_share(&[
        (90, 100, 50.0),
        (90, 100, 25.0),
        (60, 100, 12.5),
        (60, 100, 6.25),
        (100, 100, 5.0),
        (100, 100, 5.0),
        (1, 100, 7.5),
    ]);
}

/// Guards against a share that does not recover while there are no queries.
#[test]
fn share_recovers_while_idle() {
    let now = Instant::now();
    let mut shedder = LoadShedder::new(now);
    shedder.record(90, 100, now);
    assert!(!shedder.admits(0.6, now + INTERVAL));
    assert!(shedder.admits(0.99, now + INTERVAL * 7));

    // No query is decided on between the overload and the end of the idle time.
    let mut shedder = LoadShedder::new(now);
    shedder.record(90, 100, now);
    assert!(shedder.admits(0.99, now + INTERVAL * 7));
}

/// Guards against a slow leaf that is not detected, and against normal variation detected as slow.
#[test]
fn detects_outliers_in_a_group() {
    let check = |own_ms: u64, group_ms: &[u64], expected: bool| {
        let group: Vec<Duration> = group_ms
            .iter()
            .copied()
            .map(Duration::from_millis)
            .collect();
        let slow = is_slow(Duration::from_millis(own_ms), &group);
        assert_eq!(slow, expected, "{own_ms} in {group_ms:?}");
    };
    check(105, &[5, 6, 5, 105], true);
    check(16, &[5, 6, 5, 16], true);
    check(15, &[5, 6, 5, 15], false);
    check(12, &[2, 2, 3, 12], false);
    check(105, &[5, 105], false);
    check(105, &[100, 105, 110], false);
}
