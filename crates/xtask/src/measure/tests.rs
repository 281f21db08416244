//! Tests of the load's schedule and of the evaluation.

use std::time::Duration;

use super::cost::fit;
use super::load::{Load, Outcome, Record};
use super::report::Row;
use super::usage::{Usage, parse_stat, sum_metric};

/// Guards against sums that include other metrics with the same prefix, or other labels.
#[test]
fn sums_samples_by_whole_name_and_label() {
    let check = |name, label, expected: f64| {
        let text = "# HELP a_total A.\na_total{kind=\"first\"} 3\na_total{kind=\"hedge\"} 2\n\
                    a_total_more 100\nb 7\n";
        let sum = sum_metric(text, name, label);
        assert!((sum - expected).abs() < 1e-9, "{name} {label}: {sum}");
    };
    check("a_total", "", 5.0);
    check("a_total", "kind=\"hedge\"", 2.0);
    check("b", "", 7.0);
    check("c", "", 0.0);
}

/// Guards against reading the wrong fields when a program's name contains spaces or parentheses.
#[test]
fn reads_processor_time() {
    let text = "42 (a b) c) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 1";
    assert_eq!(parse_stat(text), Some(2.0));
    assert_eq!(parse_stat("42 (a) S 1"), None);
}

/// Guards against a wrong intercept or slope, and against a residual of 0 for points off a line.
#[test]
fn fits_a_line() {
    let check = |points: &[(f64, f64)], fixed: f64, per_shard: f64, is_line: bool| {
        let line = fit(points);
        assert_eq!(line.largest_residual < 1e-6, is_line, "{line:?}");
        if is_line {
            assert!((line.fixed - fixed).abs() < 1e-6, "{line:?}");
            assert!((line.per_shard - per_shard).abs() < 1e-6, "{line:?}");
        }
    };
    check(
        &[(10.0, 3.0), (100.0, 21.0), (540.0, 109.0)],
        1.0,
        0.2,
        true,
    );
    check(
        &[(10.0, 3.0), (100.0, 40.0), (540.0, 109.0)],
        0.0,
        0.0,
        false,
    );
}

/// Guards against arrivals that cannot be reproduced from their seed, or that miss their rate.
#[test]
fn arrivals_follow_seed_and_rate() {
    let arrivals = |seed| Load::new("orders", 1_000.0, 5, seed).arrivals();
    assert_eq!(arrivals(1), arrivals(1));
    assert_ne!(arrivals(1), arrivals(2));
    assert!(arrivals(1).is_sorted());
    assert!((4_700..5_300).contains(&arrivals(1).len()));
}

/// Guards against refusals that lower the latencies, and against a coverage that leaves them out.
#[test]
fn refusals_lower_coverage_but_not_latency() {
    let record = |outcome, latency_ms, covered| Record {
        planned: Duration::ZERO,
        lateness: Duration::ZERO,
        latency: Duration::from_millis(latency_ms),
        outcome,
        covered,
    };
    let records = [
        record(Outcome::Complete, 20, 4),
        record(Outcome::NotRun, 1, 0),
        record(Outcome::NotRun, 1, 0),
        record(Outcome::Partial, 20, 2),
    ];
    let usage = Usage {
        leaf_requests: vec![6, 2],
        ..Usage::default()
    };
    let row = Row::new("all", &records, 4, Some(usage)).expect("a valid range");
    assert!((row.quantile_ms(0.5) - 20.0).abs() < 0.1);
    assert_eq!(row.count(Outcome::NotRun), 2);
    assert_eq!(row.warnings(false).len(), 1);
    assert!(row.warnings(true).is_empty());
    let text = row.to_string();
    assert!(text.contains("| 0.3750 | 1.000 |"), "{text}");
    assert!(text.contains("| 1.50 | 1 / 1 / 2 / 0 / 0 |"), "{text}");
}
