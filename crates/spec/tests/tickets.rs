//! Exhaustive check of the model of tickets.

use spec::tickets::{Bounds, Mutation, check};

/// Guards against a second run of a ticket and against a wrong `not_run`, and against a model that
/// does not detect one of its mutations.
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
        Mutation::RedeemAfterSend,
        Mutation::ResendStartsAnotherRun,
        Mutation::UnknownTicketRuns,
        Mutation::EntryRunsDuringPartition,
        Mutation::ReleaseOnTimeout,
        Mutation::ReplyUnchecked,
        Mutation::SendAfterExpiry,
    ] {
        let report = check(bounds, Some(mutation));
        println!("tickets, {mutation:?}: {report}");
        assert!(report.counterexample.is_some(), "{mutation:?}");
    }
}
