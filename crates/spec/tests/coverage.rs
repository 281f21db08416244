//! Exhaustive check of versions and coverage.

use spec::coverage::{Bounds, Mutation, check};

const BOUNDS: [Bounds; 2] = [
    Bounds {
        retries: 1,
        restarts: 0,
        two_queries: true,
    },
    Bounds {
        retries: 1,
        restarts: 1,
        two_queries: false,
    },
];

/// Guards against an answer that mixes versions or callers or states false coverage, and against a
/// check that would miss one of the known faults.
#[test]
fn answers_have_one_version_and_true_coverage() {
    for bounds in BOUNDS {
        let report = check(bounds, None);
        println!("coverage {bounds:?}: {report}");
        assert!(
            report.counterexample.is_none(),
            "{:#?}",
            report.counterexample
        );
    }
    for mutation in [
        Mutation::RequestUnchecked,
        Mutation::VersionUnchecked,
        Mutation::ShardUnchecked,
        Mutation::LossCountsAsCovered,
        Mutation::AttemptNotOpened,
        Mutation::RestartKeepsAnswers,
        Mutation::RestartForgetsRuns,
    ] {
        let mut reports = BOUNDS
            .into_iter()
            .map(|bounds| check(bounds, Some(mutation)));
        let found = reports.find(|report| report.counterexample.is_some());
        let found = found.unwrap_or_else(|| panic!("{mutation:?} has no counterexample"));
        println!("coverage, {mutation:?}: {found}");
    }
}
