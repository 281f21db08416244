//! Exhaustive check of settings revisions.

use spec::revisions::{Bounds, Mutation, check};

/// Guards against a daemon that goes back to an older revision, and against a check that would miss
/// one of the known faults.
#[test]
fn the_revision_in_force_never_goes_down() {
    let bounds = Bounds::default();
    let report = check(bounds, None);
    println!("revisions {bounds:?}: {report}");
    assert!(
        report.counterexample.is_none(),
        "{:#?}",
        report.counterexample
    );
    for mutation in [
        Mutation::TakesAnyOther,
        Mutation::TrustsPlatform,
        Mutation::TrustsGossip,
        Mutation::TakesConflict,
        Mutation::StartsFromPlatform,
    ] {
        let report = check(bounds, Some(mutation));
        println!("revisions, {mutation:?}: {report}");
        assert!(report.counterexample.is_some(), "{mutation:?}");
    }
}
