use std::time::Duration;

use super::Merge;
use crate::answer::{NotRunReason, Outcome, UncoveredReason, UnknownReason};

/// Derives the outcome of the whole query.
pub(super) fn outcome(merge: &Merge) -> Outcome {
    let uncovered = merge.uncovered();
    let reasons: Vec<_> = uncovered.iter().map(|shard| shard.reason).collect();
    if merge.asked_count() > reasons.len() {
        return if reasons.is_empty() {
            Outcome::Complete
        } else {
            Outcome::Partial
        };
    }
    if merge.may_have_run() {
        let reason = if reasons.contains(&UncoveredReason::Quarantined) {
            UnknownReason::Quarantined
        } else {
            UnknownReason::NoAnswer
        };
        return Outcome::Unknown { reason };
    }
    let reason = not_run_reason(&reasons);
    Outcome::NotRun {
        reason,
        retry_after: retry_after(reason),
    }
}

/// Returns the quarantine if there is one, else the most frequent reason.
fn not_run_reason(reasons: &[UncoveredReason]) -> NotRunReason {
    if reasons.contains(&UncoveredReason::Quarantined) {
        return NotRunReason::Quarantined;
    }
    let mut sorted: Vec<_> = reasons.iter().copied().map(from_uncovered).collect();
    sorted.sort_unstable();
    sorted
        .chunk_by(|a, b| a == b)
        .max_by_key(|chunk| chunk.len())
        .map_or(NotRunReason::NoReplica, |chunk| chunk[0])
}

fn from_uncovered(reason: UncoveredReason) -> NotRunReason {
    match reason {
        UncoveredReason::VersionGone => NotRunReason::NoVersion,
        UncoveredReason::DeadlinePassed => NotRunReason::DeadlinePassed,
        UncoveredReason::LeafRefused | UncoveredReason::QueueFull => NotRunReason::Overloaded,
        UncoveredReason::Quarantined => NotRunReason::Quarantined,
        UncoveredReason::Paused => NotRunReason::Paused,
        UncoveredReason::NoReplica
        | UncoveredReason::LeafLost
        | UncoveredReason::GathererLost
        | UncoveredReason::InvalidReply
        | UncoveredReason::NoConnection => NotRunReason::NoReplica,
    }
}

/// Returns a retry delay that fits the duration of the cause; a caller that knows better, for
/// example from a leaf's `retry_after_ms`, replaces it.
fn retry_after(reason: NotRunReason) -> Duration {
    match reason {
        NotRunReason::Quarantined => crate::canary::QUARANTINED_FOR,
        // A lost leaf is tried again after 500 ms.
        NotRunReason::NoReplica | NotRunReason::NoVersion | NotRunReason::Paused => {
            Duration::from_millis(500)
        }
        _ => Duration::from_millis(100),
    }
}
