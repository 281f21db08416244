use std::sync::Arc;
use std::time::{Duration, Instant};

use medlarpin_core::prelude::Clock;
use parking_lot::Mutex;

use crate::call_evidence::CallEvidence;
use crate::caller_request::{CallerRequest, RequestIdentity};

/// Maximum number of runs that are remembered of a leaf; of further ones the oldest is forgotten.
const RUNS_MAX: usize = 32;
/// Time after which a cancelled request is forgotten. The store no longer lists a leaf after three missed
/// heartbeats.
const CANCELLED_MEMORY: Duration = Duration::from_secs(10);
/// Time since which a leaf may have ended of which nothing is known. Idle connections are not used for longer.
const UNHEARD_TIME_MAX: Duration = Duration::from_mins(1);
/// Time for which a leaf must have lived after the cancellation of a request to have survived it. A leaf may
/// run a request for a while that it gets as its connection closes.
const SURVIVAL_TIME: Duration = Duration::from_secs(1);

/// A request that was sent to a leaf and not answered.
#[derive(Debug, Clone)]
pub(crate) struct LeafRun {
    pub(crate) request: Arc<RequestIdentity>,
    pub(crate) evidence: Arc<CallEvidence>,
    sent_at: Instant,
    /// True if the connection was opened for the request, which shows that the leaf lived then.
    is_on_new_connection: bool,
    /// Time at which the request was cancelled or its connection broke; `None` while it is in flight.
    cancelled_at: Option<Instant>,
    number: u64,
}

/// The requests that a leaf may be running, or may have been running when it was last heard of.
#[derive(Debug, Default)]
pub(crate) struct LeafRuns(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// Oldest first; at most [`RUNS_MAX`].
    runs: Vec<LeafRun>,
    next_number: u64,
}

impl LeafRun {
    /// Returns the latest time at which the leaf is known to have lived before the request could end it;
    /// `heard_at` is the time of its last answer.
    pub(crate) fn intact_at(&self, heard_at: Option<Instant>) -> Instant {
        let opened_at = self.is_on_new_connection.then_some(self.sent_at);
        let unknown = || self.sent_at.checked_sub(UNHEARD_TIME_MAX);
        let lived_at = heard_at.max(opened_at).or_else(unknown);
        lived_at.map_or(self.sent_at, |at| at.min(self.sent_at))
    }
}

impl LeafRuns {
    /// Records that a request is being sent to the leaf.
    pub(crate) fn start(
        self: &Arc<Self>,
        request: &CallerRequest,
        evidence: &Arc<CallEvidence>,
        is_on_new_connection: bool,
        clock: &Arc<dyn Clock>,
    ) -> RunGuard {
        let now = clock.now();
        let mut state = self.0.lock();
        let number = state.next_number;
        state.next_number += 1;
        if state.runs.len() >= RUNS_MAX {
            state.runs.remove(0);
        }
        state.runs.push(LeafRun {
            request: Arc::clone(request.identity()),
            evidence: Arc::clone(evidence),
            sent_at: now,
            is_on_new_connection,
            cancelled_at: None,
            number,
        });
        RunGuard {
            runs: Arc::clone(self),
            clock: Arc::clone(clock),
            number,
        }
    }

    /// Takes the requests that were sent at `sent_by` or before, since the leaf seems to have ended.
    pub(crate) fn take(&self, sent_by: Instant) -> Vec<LeafRun> {
        let mut state = self.0.lock();
        let is_taken = |run: &mut LeafRun| run.sent_at <= sent_by;
        state.runs.extract_if(.., is_taken).collect()
    }
}

/// A request that is being sent to a leaf. Dropping the guard records that it was cancelled.
#[derive(Debug)]
pub(crate) struct RunGuard {
    runs: Arc<LeafRuns>,
    clock: Arc<dyn Clock>,
    number: u64,
}

impl RunGuard {
    /// Records that the leaf answered the request. It has also survived those that were cancelled a while ago.
    pub(crate) fn answered(self) {
        let now = self.clock.now();
        let survived = now.checked_sub(SURVIVAL_TIME);
        let mut state = self.runs.0.lock();
        state.runs.retain(|run| {
            let is_survived = run.cancelled_at.is_some_and(|at| Some(at) <= survived);
            run.number != self.number && !is_survived
        });
    }

    /// Records that the leaf got nothing of the request.
    pub(crate) fn not_sent(self) {
        let mut state = self.runs.0.lock();
        state.runs.retain(|run| run.number != self.number);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let now = self.clock.now();
        let mut state = self.runs.0.lock();
        state.runs.retain(|run| {
            let age = run.cancelled_at.map(|at| now.saturating_duration_since(at));
            age.is_none_or(|age| age < CANCELLED_MEMORY)
        });
        if let Some(run) = state.runs.iter_mut().find(|run| run.number == self.number) {
            run.cancelled_at = Some(now);
        }
    }
}
