//! Tests of the limits on the leaf requests of one request.

use medlarpin_core::prelude::*;
use medlarpin_core::routing::{CallAttempts, Repeatability};

/// What happened to the leaf requests so far; each goes to another leaf.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The leaf request is in flight.
    InFlight,
    /// It reached no leaf of the service.
    NotArrived,
    /// The leaf rejected it.
    Rejected,
    /// The leaf may have run the request.
    MayHaveRun,
}

use Step::{InFlight, MayHaveRun, NotArrived, Rejected};

fn after(repeatability: Repeatability, steps: &[Step]) -> CallAttempts {
    let mut attempts = CallAttempts::new(repeatability, 2);
    for (number, step) in steps.iter().enumerate() {
        let leaf = LeafId::new(&format!("leaf-{number}"));
        attempts.sent(&leaf);
        match step {
            InFlight => {}
            Rejected => attempts.rejected(&leaf),
            NotArrived => attempts.not_arrived(),
            MayHaveRun => attempts.may_have_run(&leaf),
        }
    }
    attempts
}

/// Load pattern: all leafs of a shard refuse connections for some seconds, or their addresses were
/// reused. Guards against a retry budget that is spent on requests that have not reached the
/// service, and against extra load that is not taken from the budget.
#[test]
fn only_requests_after_a_possible_arrival_are_extra() {
    let check = |steps: &[Step], is_extra: bool| {
        let attempts = after(Repeatability::Idempotent, steps);
        assert_eq!(attempts.next_is_extra(), is_extra, "{steps:?}");
    };
    check(&[], false);
    check(&[NotArrived], false);
    check(&[NotArrived, NotArrived], false);
    check(&[InFlight], true);
    check(&[Rejected], true);
    check(&[MayHaveRun], true);
    check(&[NotArrived, InFlight], true);
    check(&[Rejected, NotArrived], true);
}

/// Guards against a second run of a request that may run at most once, and against more leafs than
/// the route allows.
#[test]
fn requests_are_sent_again_only_within_the_limits() {
    use Repeatability::{AtMostOnce, Idempotent};
    let check = |repeatability: Repeatability, steps: &[Step], may_send: bool| {
        let attempts = after(repeatability, steps);
        assert_eq!(attempts.may_send(), may_send, "{repeatability:?} {steps:?}");
    };
    for repeatability in [AtMostOnce, Idempotent] {
        check(repeatability, &[], true);
        check(repeatability, &[NotArrived], true);
        check(repeatability, &[Rejected, NotArrived, Rejected], true);
        check(repeatability, &[Rejected; 4], false);
        check(repeatability, &[NotArrived; 4], false);
    }
    check(Idempotent, &[MayHaveRun], true);
    check(AtMostOnce, &[MayHaveRun], false);
    check(AtMostOnce, &[Rejected, MayHaveRun], false);
}

/// Guards against a hedge of a request that may run at most once, and against one that reaches more
/// leafs than the route allows.
#[test]
fn hedges_stay_within_the_limit_of_leafs() {
    use Repeatability::{AtMostOnce, Idempotent};
    let check = |repeatability: Repeatability, steps: &[Step], in_flight, may_hedge: bool| {
        let attempts = after(repeatability, steps);
        assert_eq!(attempts.may_hedge(in_flight), may_hedge, "{steps:?}");
    };
    check(Idempotent, &[InFlight], 1, true);
    check(Idempotent, &[InFlight, InFlight], 2, false);
    check(Idempotent, &[MayHaveRun, InFlight], 1, false);
    check(Idempotent, &[Rejected, InFlight], 1, true);
    check(AtMostOnce, &[InFlight], 1, false);
    let attempts = after(Idempotent, &[MayHaveRun, MayHaveRun]);
    assert!(attempts.may_send_to(&LeafId::new("leaf-0")));
    assert!(!attempts.may_send_to(&LeafId::new("leaf-9")));
}

/// Guards against a request that may run at most once and returns to a leaf that rejected it: a late copy of the
/// rejection would be taken for the answer to the run.
#[test]
fn a_request_that_runs_once_does_not_return_to_a_leaf_that_rejected_it() {
    use Repeatability::{AtMostOnce, Idempotent};
    let check = |repeatability: Repeatability, steps: &[Step], may_send: &[bool]| {
        let attempts = after(repeatability, steps);
        for (number, may_send) in may_send.iter().enumerate() {
            let leaf = LeafId::new(&format!("leaf-{number}"));
            let case = format!("{repeatability:?} {steps:?} {leaf}");
            assert_eq!(attempts.may_send_to(&leaf), *may_send, "{case}");
        }
    };
    check(AtMostOnce, &[], &[true, true]);
    check(AtMostOnce, &[Rejected], &[false, true]);
    check(AtMostOnce, &[NotArrived, Rejected], &[true, false, true]);
    check(AtMostOnce, &[Rejected, Rejected], &[false, false, true]);
    check(Idempotent, &[Rejected, Rejected], &[true, true, true]);
}
