//! Tests of the suspicion that a VM has lost its links to the leafs.

use std::time::{Duration, Instant};

use medlarpin_core::routing::{LEAF_SILENCE_TIMEOUT, LinkSuspicion};

/// Observes (unreachable, reachable, is suspect) in turn, 200 ms apart, and checks each result.
fn check(steps: &[(usize, usize, bool)]) {
    let mut suspicion = LinkSuspicion::default();
    let mut now = Instant::now() + LEAF_SILENCE_TIMEOUT;
    let mut began_at = None;
    for (step, &(unreachable, reachable, is_suspect)) in steps.iter().enumerate() {
        began_at = is_suspect.then(|| began_at.unwrap_or(now));
        let observed = suspicion.observe(unreachable, reachable, now);
        let observed = observed.map(|at| at + LEAF_SILENCE_TIMEOUT);
        assert_eq!(observed, began_at, "step {step}");
        now += Duration::from_millis(200);
    }
}

/// Guards against a suspicion because of a few failed leafs, against one that outlasts its reason, and
/// against reached leafs that are probed again and again while it lasts.
#[test]
fn links_are_suspect_while_most_known_leafs_are_out_of_reach() {
    check(&[(0, 0, false), (2, 10, false), (5, 5, false), (5, 10, false)]);
    check(&[(6, 5, true), (9, 2, true), (11, 0, true), (5, 6, false)]);
    check(&[(3, 0, true), (0, 3, false), (0, 9, false), (3, 2, true)]);
}

/// Guards against a VM that has just started and probes hundreds of leafs before it uses them, because the
/// first ones that it tried are down.
#[test]
fn one_or_two_failed_leafs_raise_no_suspicion() {
    check(&[(1, 0, false), (2, 0, false), (2, 1, false), (3, 1, true)]);
}
