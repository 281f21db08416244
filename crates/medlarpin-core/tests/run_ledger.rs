//! Tests of the record that decides whether a request may have run.

use medlarpin_core::routing::{Dispatch, NoRunReason, Repeatability, RunLedger};

/// What becomes of a dispatch.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// It was disproved.
    Disproved(NoRunReason),
    /// Its result is unknown, also because its attempt was cancelled.
    Unknown,
    /// It is in progress.
    InProgress,
}

use NoRunReason::{Declined, Rejected, Unsent};
use Step::{Disproved, InProgress, Unknown};

/// Guards against a promise that a request has not run without evidence for each of its dispatches, and against a
/// second run of a request that may run at most once.
#[test]
fn only_disproved_dispatches_allow_a_promise_or_a_second_run() {
    use Repeatability::{AtMostOnce, Idempotent};
    let check = |steps: &[Step], may_have_run: bool| {
        for repeatability in [AtMostOnce, Idempotent] {
            let case = format!("{repeatability:?} {steps:?}");
            let ledger = RunLedger::new(repeatability);
            let mut in_progress: Vec<Dispatch<'_>> = Vec::new();
            for step in steps {
                let dispatch = ledger.dispatch();
                let dispatch = dispatch.unwrap_or_else(|| panic!("{case}: not allowed"));
                match step {
                    Disproved(reason) => dispatch.disproved(*reason),
                    Unknown => drop(dispatch),
                    InProgress => in_progress.push(dispatch),
                }
            }
            let is_second_allowed = repeatability == Idempotent || !may_have_run;
            if let Some(second) = ledger.dispatch() {
                assert!(is_second_allowed, "{case}: a second run");
                second.disproved(Unsent);
            } else {
                assert!(!is_second_allowed, "{case}: no second dispatch");
            }
            assert_eq!(ledger.seal().is_none(), may_have_run, "{case}");
        }
    };
    check(&[], false);
    check(&[Disproved(Unsent)], false);
    check(&[Disproved(Rejected), Disproved(Rejected)], false);
    check(&[Disproved(Declined), Disproved(Unsent)], false);
    check(&[Unknown], true);
    check(&[InProgress], true);
    check(&[Disproved(Rejected), Unknown], true);
    check(&[Disproved(Unsent), InProgress], true);
}

/// Guards against a run of a request whose caller was told that it never runs.
#[test]
fn a_sealed_request_is_not_sent() {
    for repeatability in [Repeatability::AtMostOnce, Repeatability::Idempotent] {
        let ledger = RunLedger::new(repeatability);
        assert!(ledger.seal().is_some());
        assert!(ledger.dispatch().is_none(), "{repeatability:?}");
        assert!(ledger.seal().is_some(), "{repeatability:?}");
    }
}

/// Guards against a dispatch that is disproved after a refused promise and stays counted.
#[test]
fn a_late_disproof_allows_the_promise() {
    let ledger = RunLedger::new(Repeatability::AtMostOnce);
    let dispatch = ledger.dispatch().unwrap();
    assert!(ledger.seal().is_none());
    dispatch.disproved(Rejected);
    assert!(ledger.seal().is_some());
}
