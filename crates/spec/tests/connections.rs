//! Exhaustive check of the model of the connections to a leaf.

use spec::connections::{Bounds, Mutation, check};

fn bounds() -> Vec<Bounds> {
    let bounds = |daemons, holders: &[[usize; 2]]| Bounds {
        daemons,
        holders: holders.to_vec(),
        restarts: 1,
        histories: false,
    };
    let with_histories = |bounds: Bounds| Bounds {
        histories: true,
        ..bounds
    };
    vec![
        with_histories(bounds(4, &[[0, 1], [2, 3], [0, 1]])),
        with_histories(bounds(4, &[[0, 1], [1, 2], [2, 3]])),
        bounds(6, &[[0, 1], [2, 3], [4, 5]]),
        bounds(4, &[[0, 1], [2, 3], [0, 1]]),
        bounds(4, &[[0, 1], [1, 2], [2, 3]]),
        bounds(5, &[[0, 1], [2, 3], [4, 0]]),
        bounds(4, &[[0, 1], [2, 3], [0, 2], [1, 3]]),
    ]
}

/// Guards against more connections than a leaf allows, and against a model that detects one of its
/// mutations in none of the sequences of lists.
#[test]
fn connections_stay_within_the_limit() {
    for bounds in bounds() {
        let report = check(&bounds, None);
        println!("connections {bounds:?}: {report}");
        assert!(
            report.counterexample.is_none(),
            "{:#?}",
            report.counterexample
        );
    }
    for mutation in [
        Mutation::NoGate,
        Mutation::OneMoreUnacknowledged,
        Mutation::EarlierHoldersForgotten,
        Mutation::LaterAcknowledgementCounts,
        Mutation::HistoryWithGap,
        Mutation::SkippedListIgnored,
        Mutation::StartsWithoutGate,
        Mutation::AcknowledgesBeforeClosing,
    ] {
        let mut reports = bounds()
            .into_iter()
            .map(|bounds| check(&bounds, Some(mutation)));
        let found = reports.find(|report| report.counterexample.is_some());
        let found = found.unwrap_or_else(|| panic!("{mutation:?} has no counterexample"));
        println!("connections, {mutation:?}: {found}");
    }
}
