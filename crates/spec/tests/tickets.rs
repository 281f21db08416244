//! Exhaustive check of tickets.

use spec::tickets::{Bounds, Mutation, check};

/// Guards against a second run of a ticket and against a false `not_run`, and against a check that
/// would miss one of the known faults.
#[test]
fn a_ticket_runs_at_most_once() {
    let bounds = Bounds::default();
    let report = check(bounds, None);
    println!("tickets {bounds:?}: {report}");
    assert!(
        report.counterexample.is_none(),
        "{:#?}",
        report.counterexample
    );
    for mutation in [
        Mutation::BurnAfterSend,
        Mutation::BurnForgottenOnResend,
        Mutation::RecordlessTicketRuns,
        Mutation::EntryRunsWhenSplit,
        Mutation::ReleaseOnTimeout,
        Mutation::ReplyUnchecked,
        Mutation::SendAfterDrop,
    ] {
        let report = check(bounds, Some(mutation));
        println!("tickets, {mutation:?}: {report}");
        assert!(report.counterexample.is_some(), "{mutation:?}");
    }
}
