//! Exhaustive check of the model of index versions and coverage.

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

/// Guards against an answer that mixes index versions or queries or reports wrong coverage, and
/// against a model that does not detect one of its mutations.
#[test]
fn answers_have_one_version_and_correct_coverage() {
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
        Mutation::AttemptNotBegun,
        Mutation::RestartKeepsRows,
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
