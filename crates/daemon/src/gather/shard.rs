//! One shard of a batch: first request, failover, retry and hedge.

use std::rc::Rc;
use std::sync::Arc;

use futures::StreamExt;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesUnordered;
use medlarpin_core::extra_budget::Urgency;
use medlarpin_core::hedge_timer::HedgeTimer;
use medlarpin_core::plan::Alternatives;
use medlarpin_core::prelude::*;
use wire::{Batch, ShardTask};

use crate::gather::BatchContext;
use crate::leafs::{AttemptOutcome, LeafRequest, NotSentReason, attempt};
use crate::query_memory::cover_rows;

/// Time subtracted from the deadline passed to another gatherer, so that its reply arrives in time.
const REPLY_MARGIN: Duration = Duration::from_millis(2);

/// Why a leaf request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    /// The first request of the shard, or one in place of a request that was never sent or that
    /// the leaf refused because it lacks the version.
    First,
    /// A further request after one that failed.
    Retry,
    /// A further request while an earlier one is late.
    Hedge,
}

impl RequestKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
        }
    }
}

/// Requests one shard until it is covered, no replica is left or the deadline passes.
pub async fn run(context: &Rc<BatchContext>, task: &ShardTask) -> ShardOutcome {
    let mut shard = ShardRun::new(context, task);
    shard.start_next(RequestKind::First);
    let mut hedge = shard.hedge_timer();
    loop {
        let time_left = context.time_left();
        if time_left.is_zero() {
            return shard.uncovered(UncoveredReason::DeadlinePassed);
        }
        let now = || context.worker.shared.clock.now();
        let hedge_in = hedge
            .due_at()
            .map_or(time_left, |at| at.saturating_duration_since(now()));
        tokio::select! {
            Some((leaf, outcome)) = shard.running.next() => {
                match shard.handle_outcome(&leaf, outcome) {
                    Progress::Covered(rows) => return ShardOutcome::Covered { rows },
                    Progress::Continue => {}
                    Progress::Exhausted(reason) => return shard.uncovered(reason),
                }
            }
            () = tokio::time::sleep(hedge_in.min(time_left)) => {
                if hedge.is_due(now()) {
                    if !shard.has_untried() {
                        hedge.stop();
                    } else if context.try_spend_extra(context.hedge_urgency()) {
                        shard.start_next(RequestKind::Hedge);
                        hedge.stop();
                    } else {
                        hedge.denied(now());
                    }
                }
            }
        }
    }
}

type RunningAttempt = LocalBoxFuture<'static, (LeafId, AttemptOutcome)>;

enum Progress {
    Covered(Vec<String>),
    Continue,
    Exhausted(UncoveredReason),
}

struct ShardRun<'a> {
    context: &'a Rc<BatchContext>,
    id: ShardId,
    /// Replicas not requested yet, most preferred first.
    untried: std::vec::IntoIter<LeafId>,
    first_leaf: LeafId,
    running: FuturesUnordered<RunningAttempt>,
    /// True if a leaf may have run a request that it did not answer.
    may_have_run: bool,
}

impl<'a> ShardRun<'a> {
    fn new(context: &'a Rc<BatchContext>, task: &ShardTask) -> Self {
        let mut leafs = vec![task.leaf.clone()];
        leafs.extend(task.alternatives.iter().cloned());
        Self {
            context,
            id: task.shard,
            untried: leafs.into_iter(),
            first_leaf: task.leaf.clone(),
            running: FuturesUnordered::new(),
            may_have_run: false,
        }
    }

    /// Returns true if a replica has not been requested yet.
    fn has_untried(&self) -> bool {
        !self.untried.as_slice().is_empty()
    }

    /// Returns the timer of the hedge of the first request.
    fn hedge_timer(&self) -> HedgeTimer {
        let context = self.context;
        let batch = &context.batch;
        let shared = &context.worker.shared;
        let may_hedge =
            shared.settings.hedging && batch.idempotent && !batch.canary && !batch.extra;
        let slot = shared.leafs.get(&batch.service, &self.first_leaf);
        match slot {
            Some(slot) if may_hedge => {
                HedgeTimer::new(context.hedge_delay(&slot), shared.clock.now())
            }
            _ => HedgeTimer::never(),
        }
    }

    /// Starts a request to the next untried leaf; returns false if none is left.
    fn start_next(&mut self, kind: RequestKind) -> bool {
        let Some(leaf) = self.untried.next() else {
            return false;
        };
        let context = Rc::clone(self.context);
        let id = self.id;
        let planned = leaf == self.first_leaf;
        self.running.push(Box::pin(async move {
            let outcome = send_to_leaf(&context, id, &leaf, kind, planned).await;
            (leaf, outcome)
        }));
        true
    }

    fn handle_outcome(&mut self, leaf: &LeafId, outcome: AttemptOutcome) -> Progress {
        match outcome {
            AttemptOutcome::Rows(rows) => Progress::Covered(rows),
            AttemptOutcome::VersionGone => {
                let mut leafs = self.context.version_gone.borrow_mut();
                leafs.push(leaf.clone());
                drop(leafs);
                self.continue_with(UncoveredReason::VersionGone, Some(RequestKind::First))
            }
            AttemptOutcome::NotSent(reason) => {
                let failover = match reason {
                    NotSentReason::Unavailable
                    | NotSentReason::NoConnection
                    | NotSentReason::NotHeld => Some(RequestKind::First),
                    // Another replica would be as loaded or as late, and a paused daemon must not
                    // send.
                    NotSentReason::QueueFull
                    | NotSentReason::DeadlinePassed
                    | NotSentReason::Paused => None,
                };
                self.continue_with(uncovered_reason(reason), failover)
            }
            // Affects only the few requests in flight when the leaf began to drain, so failing over
            // does not use the budget of extra requests.
            AttemptOutcome::Draining => {
                self.continue_with(UncoveredReason::LeafRefused, Some(RequestKind::First))
            }
            AttemptOutcome::Refused => {
                self.continue_with(UncoveredReason::LeafRefused, Some(RequestKind::Retry))
            }
            AttemptOutcome::Lost => {
                self.may_have_run = true;
                self.context.record_strike(leaf);
                self.continue_with(UncoveredReason::LeafLost, self.retry_after_run())
            }
            AttemptOutcome::InvalidReply => {
                self.may_have_run = true;
                let metrics = &self.context.worker.shared.metrics;
                metrics.invalid_replies.inc();
                self.continue_with(UncoveredReason::InvalidReply, self.retry_after_run())
            }
            AttemptOutcome::NoMemory => {
                self.may_have_run = true;
                self.continue_with(UncoveredReason::InvalidReply, None)
            }
            AttemptOutcome::DeadlinePassed => {
                self.may_have_run = true;
                self.continue_with(UncoveredReason::DeadlinePassed, None)
            }
        }
    }

    /// Returns whether to retry a request that a leaf may have run: only if it is idempotent, and
    /// never a canary, so that one submission crashes at most one leaf.
    fn retry_after_run(&self) -> Option<RequestKind> {
        let batch = &self.context.batch;
        (batch.idempotent && !batch.canary).then_some(RequestKind::Retry)
    }

    fn continue_with(&mut self, reason: UncoveredReason, next: Option<RequestKind>) -> Progress {
        let batch = &self.context.batch;
        let allowed = match next {
            None => false,
            Some(RequestKind::First) => true,
            Some(RequestKind::Retry | RequestKind::Hedge) => {
                batch.idempotent && !batch.extra && self.context.try_spend_extra(Urgency::Late)
            }
        };
        if let Some(kind) = next
            && allowed
            && !batch.extra
            && self.start_next(kind)
        {
            return Progress::Continue;
        }
        if self.running.is_empty() {
            Progress::Exhausted(reason)
        } else {
            Progress::Continue
        }
    }

    fn uncovered(&self, reason: UncoveredReason) -> ShardOutcome {
        ShardOutcome::Uncovered {
            reason,
            may_have_run: self.may_have_run || !self.running.is_empty(),
        }
    }
}

fn uncovered_reason(reason: NotSentReason) -> UncoveredReason {
    match reason {
        NotSentReason::QueueFull => UncoveredReason::QueueFull,
        NotSentReason::Unavailable | NotSentReason::NoConnection => UncoveredReason::NoConnection,
        NotSentReason::DeadlinePassed => UncoveredReason::DeadlinePassed,
        NotSentReason::Paused => UncoveredReason::Paused,
        NotSentReason::NotHeld => UncoveredReason::GathererLost,
    }
}

async fn send_to_leaf(
    context: &Rc<BatchContext>,
    id: ShardId,
    leaf: &LeafId,
    kind: RequestKind,
    planned: bool,
) -> AttemptOutcome {
    let shared = &context.worker.shared;
    let held = shared.leafs.get(&context.batch.service, leaf);
    // Only the active holder knows how many of the leaf's slots are in use. The entry has checked
    // this for planned leafs; a further replica may belong to another holder.
    let local_slot =
        held.filter(|slot| planned || context.batch.extra || shared.is_active_for(slot));
    match local_slot {
        Some(slot) => {
            let request = LeafRequest {
                request: context.batch.request,
                attempt: context.take_attempt_number(),
                team: context.batch.team.clone(),
                query: Arc::clone(&context.batch.query),
                version: context.batch.version,
                shard: id,
            };
            let mut queue_wait = Duration::ZERO;
            let on_sent = |wait| {
                queue_wait = wait;
                count_sent(context, kind, wait);
            };
            let worker = &context.worker;
            let deadline = context.deadline;
            let memory = Arc::clone(&context.memory);
            let weight = context.weight;
            let outcome = attempt(worker, &slot, request, memory, weight, deadline, on_sent).await;
            let refused = matches!(
                outcome,
                AttemptOutcome::Refused | AttemptOutcome::NotSent(NotSentReason::QueueFull)
            );
            context.record_leaf_result(refused, queue_wait);
            outcome
        }
        None if context.batch.extra => AttemptOutcome::NotSent(NotSentReason::NotHeld),
        None => send_through_holder(context, id, leaf, kind).await,
    }
}

fn count_sent(context: &BatchContext, kind: RequestKind, queue_wait: Duration) {
    let batch = &context.batch;
    let shared = &context.worker.shared;
    context.leaf_requests.set(context.leaf_requests.get() + 1);
    let is_first = kind == RequestKind::First && !batch.extra;
    if is_first {
        let mut admission = shared.admission.lock();
        admission.earn(&batch.team, &batch.service);
    } else if !batch.extra {
        let extra = context.extra_leaf_requests.get() + 1;
        context.extra_leaf_requests.set(extra);
    }
    let label = if batch.extra {
        RequestKind::Retry
    } else {
        kind
    };
    let labels = [label.as_str()];
    shared
        .metrics
        .leaf_requests
        .with_label_values(&labels)
        .inc();
    let wait = shared
        .metrics
        .queue_wait_seconds
        .with_label_values(&[batch.service.as_str()]);
    wait.observe(queue_wait.as_secs_f64());
}

/// Requests one shard through the holder of another group's leaf.
async fn send_through_holder(
    context: &Rc<BatchContext>,
    id: ShardId,
    leaf: &LeafId,
    kind: RequestKind,
) -> AttemptOutcome {
    let shared = &context.worker.shared;
    let routes = shared.routes();
    let service = routes.service(&context.batch.service);
    let holders = service.map_or(&[][..], |service| service.holders_of_leaf(leaf));
    let Some((vm, address)) = holders.iter().find(|(vm, _)| vm != shared.local_vm()) else {
        return AttemptOutcome::NotSent(NotSentReason::NotHeld);
    };
    let time_left = context.time_left();
    let batch = Batch {
        time_left: time_left.saturating_sub(REPLY_MARGIN),
        canary: false,
        extra: true,
        tasks: vec![ShardTask {
            shard: id,
            leaf: leaf.clone(),
            alternatives: Alternatives::new(),
        }],
        first_attempt: context.take_attempt_number(),
        ..context.batch.clone()
    };
    if kind != RequestKind::First {
        let extra = context.extra_leaf_requests.get() + 1;
        context.extra_leaf_requests.set(extra);
    }
    match context
        .worker
        .peers
        .gather(*address, &batch, time_left)
        .await
    {
        Ok(mut reply) => {
            cover_rows(&context.memory, &mut reply);
            let requests = context.leaf_requests.get() + reply.leaf_requests;
            context.leaf_requests.set(requests);
            let outcome = reply.results.into_iter().find(|result| result.shard == id);
            outcome.map_or(AttemptOutcome::InvalidReply, |result| {
                attempt_outcome_from_reply(result.outcome)
            })
        }
        Err(error) if error.was_not_sent() => {
            let now = shared.clock.now();
            shared.record_rpc_failure(vm, now);
            AttemptOutcome::NotSent(NotSentReason::NotHeld)
        }
        Err(_sent) => AttemptOutcome::DeadlinePassed,
    }
}

fn attempt_outcome_from_reply(outcome: ShardOutcome) -> AttemptOutcome {
    match outcome {
        ShardOutcome::Covered { rows } => AttemptOutcome::Rows(rows),
        ShardOutcome::Uncovered {
            reason: UncoveredReason::VersionGone,
            ..
        } => AttemptOutcome::VersionGone,
        ShardOutcome::Uncovered {
            reason,
            may_have_run: false,
        } => match reason {
            UncoveredReason::LeafRefused => AttemptOutcome::Refused,
            UncoveredReason::QueueFull => AttemptOutcome::NotSent(NotSentReason::QueueFull),
            UncoveredReason::NoConnection => AttemptOutcome::NotSent(NotSentReason::NoConnection),
            UncoveredReason::DeadlinePassed => {
                AttemptOutcome::NotSent(NotSentReason::DeadlinePassed)
            }
            _ => AttemptOutcome::NotSent(NotSentReason::NotHeld),
        },
        // For a lost connection, the other gatherer has already recorded the strike.
        ShardOutcome::Uncovered {
            reason: UncoveredReason::InvalidReply,
            ..
        } => AttemptOutcome::InvalidReply,
        ShardOutcome::Uncovered { .. } => AttemptOutcome::DeadlinePassed,
    }
}
