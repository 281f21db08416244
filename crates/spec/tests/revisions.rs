//! Exhaustive check of the model of settings revisions.

use spec::revisions::{Bounds, Mutation, check};

/// Guards against a daemon that reverts to an older revision, and against a model that does not
/// detect one of its mutations.
#[test]
fn the_revision_in_force_never_decreases() {
    let bounds = Bounds::default();
    let report = check(bounds, None);
    println!("revisions {bounds:?}: {report}");
    assert!(
        report.counterexample.is_none(),
        "{:#?}",
        report.counterexample
    );
    for mutation in [
        Mutation::AcceptsAnyOther,
        Mutation::TrustsPlatform,
        Mutation::TrustsGossip,
        Mutation::AcceptsConflict,
        Mutation::IgnoresPeersAtStart,
    ] {
        let report = check(bounds, Some(mutation));
        println!("revisions, {mutation:?}: {report}");
        assert!(report.counterexample.is_some(), "{mutation:?}");
    }
}
