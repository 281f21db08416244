//! Tests of the latency window, the hedge delay and the retry budget.

use medlarpin_core::extra_budget::{BURST, ExtraBudget, RESERVE, Urgency, try_spend_both};
use medlarpin_core::latency_window::{LatencyWindow, hedge_delay, hedge_threshold};
use medlarpin_core::prelude::*;

const MS: Duration = Duration::from_millis(1);

fn window(latencies_ms: impl IntoIterator<Item = u32>, now: Instant) -> LatencyWindow {
    let mut window = LatencyWindow::new();
    for latency_ms in latencies_ms {
        window.record(MS * latency_ms, now);
    }
    window
}

/// Guards against quantiles with an error above the precision of the histogram.
#[test]
fn quantiles_are_close() {
    let check = |quantile: f64, exact_ms: f64| {
        let now = Instant::now();
        let window = window(1..=1000, now);
        let found_ms = window.quantile(quantile, now).unwrap().as_secs_f64() * 1000.0;
        let error = (found_ms - exact_ms).abs() / exact_ms;
        assert!(error < 1.0 / 16.0, "{quantile}: {found_ms} for {exact_ms}");
    };
    check(0.5, 500.0);
    check(0.95, 950.0);
    check(0.99, 990.0);
}

/// Guards against hedge delays derived from outdated latencies.
#[test]
fn latencies_expire_after_ten_seconds() {
    let check = |age_ms: u32, expected: u64| {
        let now = Instant::now();
        let mut window = window([500; 20], now);
        window.record(MS, now + MS * age_ms);
        assert_eq!(
            window.count(now + MS * age_ms),
            expected,
            "after {age_ms} ms"
        );
    };
    check(7_900, 21);
    check(10_000, 1);
    check(3_600_000, 1);
}

/// Guards against hedges that are too early to be useful or too late to complete in time.
#[test]
fn hedge_delay_is_bounded() {
    let check = |latencies_ms: &[u32], time_left_ms: u32, expected_ms: std::ops::Range<u32>| {
        let now = Instant::now();
        let window = window(latencies_ms.iter().copied(), now);
        let delay = hedge_delay(&window, MS * time_left_ms, now);
        let expected = MS * expected_ms.start..=MS * expected_ms.end;
        assert!(expected.contains(&delay), "{delay:?} in {expected:?}");
    };
    check(&[], 300, 150..150);
    check(&[1; 50], 300, 5..5);
    check(&[1; 50], 6, 3..3);
    check(&[40; 50], 300, 40..43);
    check(&[200; 50], 300, 150..150);
}

/// Guards against a slow leaf that delays hedges of its own requests, and against slow leafs that
/// delay hedges of requests to a fast leaf of their group.
#[test]
fn hedge_threshold_is_the_smaller_of_leaf_and_group() {
    let check = |own_ms: Option<u32>, group_ms: &[u32], expected_ms: Option<u32>| {
        let group = group_ms.iter().map(|ms| MS * *ms).collect();
        let threshold = hedge_threshold(own_ms.map(|ms| MS * ms), group);
        assert_eq!(
            threshold,
            expected_ms.map(|ms| MS * ms),
            "{own_ms:?} {group_ms:?}"
        );
    };
    check(Some(100), &[100, 4, 5, 6], Some(5));
    check(Some(100), &[100, 4], Some(4));
    check(Some(4), &[100, 4, 100], Some(4));
    check(Some(100), &[100], Some(100));
    check(None, &[7, 5, 6], Some(6));
    check(None, &[], None);
}

/// Guards against extra load above a twentieth and against long bursts after an idle time.
#[test]
fn earns_a_twentieth_up_to_the_burst() {
    let check = |first_requests: u64, expected: u64| {
        let now = Instant::now();
        let mut budget = ExtraBudget::new();
        (0..first_requests).for_each(|_| budget.earn());
        let granted = (0..1000)
            .filter(|_| budget.try_spend(Urgency::Late, now))
            .count();
        assert_eq!(granted as u64, expected, "{first_requests}");
    };
    check(0, 0);
    check(19, 0);
    check(20, 1);
    check(399, 19);
    check(1_000_000, BURST);
}

/// Load pattern: a busy machine delays many answers a little, and each of these requests is hedged, until
/// a leaf hangs. Guards against requests to that leaf that wait for their deadline, because hedges that
/// saved a few milliseconds have spent the budget.
#[test]
fn early_hedges_leave_budget_for_a_leaf_that_hangs() {
    let now = Instant::now();
    let mut budget = ExtraBudget::new();
    let mut early = 0;
    for _ in 0..2_000 {
        budget.earn();
        early += u64::from(budget.try_spend(Urgency::Early, now));
    }
    assert!(early * 20 <= 2_000 && early * 20 > 1_800, "{early}");
    let late = (0..100).filter(|_| budget.try_spend(Urgency::Late, now));
    assert_eq!(late.count() as u64, RESERVE);
}

/// Guards against a request that counts as urgent too early or never.
#[test]
fn a_hedge_is_late_from_half_of_the_time() {
    let check = |time_ms: u32, left_ms: u32, expected: Urgency| {
        let urgency = Urgency::of_hedge(MS * time_ms, MS * left_ms);
        assert_eq!(urgency, expected, "{left_ms} of {time_ms}");
    };
    check(4_000, 4_000, Urgency::Early);
    check(4_000, 2_001, Urgency::Early);
    check(4_000, 2_000, Urgency::Late);
    check(4_000, 0, Urgency::Late);
    check(0, 0, Urgency::Late);
}

/// Guards against a retry storm: an overloaded service must get no hedges or retries.
#[test]
fn closes_under_overload_and_reopens() {
    let check = |refused: u32, results: u32, queue_wait_ms: u32, expected: bool| {
        let now = Instant::now();
        let mut budget = ExtraBudget::new();
        (0..400).for_each(|_| budget.earn());
        for result in 0..results {
            budget.record_result(result < refused, MS * queue_wait_ms, now);
        }
        assert_eq!(
            budget.try_spend(Urgency::Late, now + 900 * MS),
            expected,
            "{refused}/{results}"
        );
        let later = now + 1100 * MS;
        assert!(budget.try_spend(Urgency::Late, later), "stays closed");
    };
    check(0, 0, 0, true);
    check(10, 100, 30, true);
    check(11, 100, 0, false);
    check(0, 100, 31, false);
}

/// Guards against a budget that is charged although the other one refuses.
#[test]
fn both_budgets_are_charged_or_neither() {
    let now = Instant::now();
    let (mut team, mut service) = (ExtraBudget::new(), ExtraBudget::new());
    (0..20).for_each(|_| team.earn());
    assert!(!try_spend_both(&mut team, &mut service, Urgency::Late, now));
    assert_eq!(team.extra_requests(), 1);
    (0..20).for_each(|_| service.earn());
    assert!(try_spend_both(&mut team, &mut service, Urgency::Late, now));
    assert_eq!((team.extra_requests(), service.extra_requests()), (0, 0));
}
