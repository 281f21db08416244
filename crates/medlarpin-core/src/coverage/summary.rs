use std::time::Duration;

use super::Merge;
use crate::answer::{NotRunReason, Outcome, UncoveredReason, UnknownReason};

/// Returns the outcome of the whole query.
pub(super) fn outcome(merge: &Merge) -> Outcome {
    let uncovered = merge.uncovered();
    let reasons: Vec<_> = uncovered.iter().map(|shard| shard.reason).collect();
    if merge.requested_count() > reasons.len() {
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

/// Returns `Quarantined` if it is among the reasons, otherwise the most frequent reason.
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

/// Returns a default retry delay, about as long as the cause usually lasts.
///
/// Callers replace it if they have a better value, for example a leaf's `retry_after_ms`.
fn retry_after(reason: NotRunReason) -> Duration {
    match reason {
        NotRunReason::Quarantined => crate::canary::QUARANTINE_DURATION,
        // A lost leaf gets its next trial request after 500 ms.
        NotRunReason::NoReplica | NotRunReason::NoVersion | NotRunReason::Paused => {
            Duration::from_millis(500)
        }
        _ => Duration::from_millis(100),
    }
}
