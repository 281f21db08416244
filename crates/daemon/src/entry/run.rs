//! Runs one query: admits it, pins an index version, sends the canary, plans and sends the batches,
//! and merges the results.

use std::rc::Rc;
use std::sync::Arc;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use medlarpin_core::canary::Clearance;
use medlarpin_core::coverage::Merge;
use medlarpin_core::outlier::QUERIES_PER_PROBE;
use medlarpin_core::plan::{Batch as PlannedBatch, Plan, plan};
use medlarpin_core::prelude::*;
use medlarpin_core::version_choice::choose_version;
use tokio::sync::oneshot;
use wire::BatchReply;

use crate::entry::admission::Refusal;
use crate::entry::answer::AnswerBody;
use crate::entry::canary_choice::canary_batch;
use crate::entry::group::{ATTEMPTS_PER_SHARD, GroupCall, QueryRoutes};
use crate::entry::permit::TeamPermit;
use crate::entry::request::{Query, RequestError};
use crate::logging::ENTRY;
use crate::query_memory::QueryMemory;
use crate::view::ServiceView;
use crate::workers::Worker;

/// Retry-after time of a query without a usable version or replica.
const UNSERVABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Retry-after time while the daemon is paused; rejoining the fleet takes one exchange with a peer.
const PAUSED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A query restarts at a newer version only if at least this fraction (1/n) of its time is left.
const RESTART_TIME_DIVISOR: u32 = 3;

/// The answer, or the error of a request that is found invalid only while it runs.
pub type QueryResult = Result<AnswerBody, RequestError>;

/// Runs a query until it is answered or its caller disconnects.
pub async fn run_for_caller(
    worker: &Rc<Worker>,
    query: Query,
    memory: &Arc<QueryMemory>,
    mut sender: oneshot::Sender<QueryResult>,
) {
    let body = tokio::select! {
        body = run_query(worker, &query, memory) => body,
        () = sender.closed() => return,
    };
    // Fails only if the caller has disconnected.
    let _ = sender.send(Ok(body));
}

/// Runs a query and returns the body of its answer.
pub async fn run_query(
    worker: &Rc<Worker>,
    query: &Query,
    memory: &Arc<QueryMemory>,
) -> AnswerBody {
    match try_run(worker, query, memory).await {
        Ok(body) => body,
        Err(refusal) => {
            let outcome = Outcome::NotRun {
                reason: refusal.reason,
                retry_after: refusal.retry_after,
            };
            AnswerBody::without_rows(query.request, &query.team, &query.service, outcome)
        }
    }
}

async fn try_run(
    worker: &Rc<Worker>,
    query: &Query,
    memory: &Arc<QueryMemory>,
) -> Result<AnswerBody, Refusal> {
    let shared = &worker.shared;
    let started_at = shared.clock.now();
    check_pause(worker, started_at)?;
    let clearance = check_quarantine(worker, query, started_at)?;
    let _permit = TeamPermit::acquire(shared, query)?;
    let total_time = query.deadline.saturating_duration_since(started_at);
    let mut run = QueryRun::pin(worker, query, memory)?;
    let needs_canary = shared.settings.canary && clearance != Clearance::Proven;
    run.query_shards(needs_canary).await;
    if run.should_restart(total_time)
        && let Some(map) = run.newer_map()
    {
        log::info!(
            target: ENTRY, "Request {} restarts at index version {}.",
            query.request,
            map.version().0
        );
        run.restart(map);
        run.query_shards(false).await;
    }
    run.record_overload();
    Ok(AnswerBody::of_merge(
        query,
        run.merge,
        run.extra_leaf_requests,
    ))
}

fn check_pause(worker: &Worker, now: Instant) -> Result<(), Refusal> {
    worker.shared.check_pause(now).map_err(|_paused| Refusal {
        reason: NotRunReason::Paused,
        retry_after: PAUSED_RETRY_AFTER,
    })
}

fn check_quarantine(worker: &Worker, query: &Query, now: Instant) -> Result<Clearance, Refusal> {
    let table = worker.shared.fingerprints.lock();
    match table.table().check(query.fingerprint(), now) {
        Clearance::Quarantined { until } => Err(Refusal {
            reason: NotRunReason::Quarantined,
            retry_after: until.saturating_duration_since(now),
        }),
        clearance => Ok(clearance),
    }
}

/// A running query, pinned to one index version.
struct QueryRun<'a> {
    worker: &'a Rc<Worker>,
    query: &'a Query,
    memory: &'a Arc<QueryMemory>,
    service: Arc<ServiceView>,
    map: Arc<ShardMap>,
    routes: Rc<QueryRoutes>,
    merge: Merge,
    next_attempt: u32,
    extra_leaf_requests: u32,
}

impl<'a> QueryRun<'a> {
    fn pin(
        worker: &'a Rc<Worker>,
        query: &'a Query,
        memory: &'a Arc<QueryMemory>,
    ) -> Result<Self, Refusal> {
        let refusal = |reason| Refusal {
            reason,
            retry_after: UNSERVABLE_RETRY_AFTER,
        };
        let table = worker.shared.routes();
        let service_routes = table
            .service(&query.service)
            .ok_or_else(|| refusal(NotRunReason::NoVersion))?;
        let service = &service_routes.view;
        let routes = Rc::new(QueryRoutes::new(&worker.shared, service_routes));
        let serves = |leaf: &LeafId, version| routes.serves(leaf, version);
        let map = choose_version(&service.maps, serves).ok_or_else(|| {
            refusal(if service.maps.is_empty() {
                NotRunReason::NoVersion
            } else {
                NotRunReason::NoReplica
            })
        })?;
        Ok(Self {
            worker,
            query,
            memory,
            service: Arc::clone(service),
            merge: Merge::new(query.request, map.version(), &requested_shards(query, &map)),
            map,
            routes,
            next_attempt: 0,
            extra_leaf_requests: 0,
        })
    }

    /// Sends the query to all requested shards, after a canary if one is needed.
    async fn query_shards(&mut self, needs_canary: bool) {
        let mut shards = requested_shards(self.query, &self.map);
        if needs_canary {
            if !self.run_canary(&mut shards).await {
                return;
            }
            self.refresh_routes();
        }
        let map = Arc::clone(&self.map);
        let plan = self.plan(&map, &shards);
        for shard in &plan.no_replica {
            self.merge_outcome(*shard, not_sent(UncoveredReason::NoReplica));
        }
        let calls: Vec<GroupCall> = plan
            .batches
            .into_iter()
            .map(|batch| self.prepare_call(batch, false))
            .collect();
        self.collect_replies(calls).await;
    }

    /// Assigns each shard to a replica.
    ///
    /// Slow leafs are used only where no other replica serves. One in [`QUERIES_PER_PROBE`] queries
    /// ignores slowness, so that a recovered leaf is detected.
    fn plan<'m>(&self, map: &'m ShardMap, shards: &[ShardId]) -> Plan<'m> {
        let avoids_slow = !rand::random_ratio(1, QUERIES_PER_PROBE);
        let avoid = |leaf: &LeafId| avoids_slow && self.routes.is_slow(leaf);
        let mut first = self.plan_with(map, shards, avoid);
        if avoids_slow && !first.no_replica.is_empty() {
            let second = self.plan_with(map, &first.no_replica, |_leaf| false);
            first.batches.extend(second.batches);
            first.no_replica = second.no_replica;
        }
        first
    }

    fn plan_with<'m>(
        &self,
        map: &'m ShardMap,
        shards: &[ShardId],
        avoid: impl Fn(&LeafId) -> bool,
    ) -> Plan<'m> {
        plan(
            map,
            shards,
            |leaf| self.service.group_of(leaf),
            |leaf, version| self.routes.serves(leaf, version) && !avoid(leaf),
            |leaf| self.routes.load(leaf),
            rand::random(),
        )
    }

    /// Sends the query to one shard first, and removes the shard from `shards` if it is covered.
    ///
    /// Returns false if the canary failed; the query must then not be sent to the other shards.
    async fn run_canary(&mut self, shards: &mut Vec<ShardId>) -> bool {
        let fingerprint = self.query.fingerprint();
        let map = Arc::clone(&self.map);
        let Some(batch) = canary_batch(fingerprint, shards, &map, &self.service, &self.routes)
        else {
            return true;
        };
        let Some(shard) = batch.tasks.first().map(|task| task.shard) else {
            return true;
        };
        self.worker.shared.metrics.canaries.inc();
        let call = self.prepare_call(batch, true);
        let deadline = self.query.deadline;
        let reply = call
            .run(Rc::clone(self.worker), Arc::clone(self.memory), deadline)
            .await;
        let covered = reply
            .results
            .iter()
            .any(|result| matches!(result.outcome, ShardOutcome::Covered { .. }));
        self.accept_reply(reply);
        if covered {
            shards.retain(|requested| *requested != shard);
            let mut table = self.worker.shared.fingerprints.lock();
            table.canary_succeeded(fingerprint);
            return true;
        }
        self.mark_rest_uncovered(shards, shard);
        false
    }

    /// Looks up the holders again: a canary or a first run may take longer than the shutdown grace
    /// period, and a holder that has announced its shutdown in the meantime must not get a batch.
    fn refresh_routes(&mut self) {
        let shared = &self.worker.shared;
        if let Some(routes) = shared.routes().service(&self.query.service) {
            self.service = Arc::clone(&routes.view);
            self.routes = Rc::new(QueryRoutes::new(shared, routes));
        }
    }

    /// Marks the remaining shards uncovered after a failed canary, with the canary's reason.
    fn mark_rest_uncovered(&mut self, shards: &[ShardId], canary: ShardId) {
        let uncovered = self.merge.uncovered();
        let reason = uncovered
            .iter()
            .find(|entry| entry.shard == canary)
            .map_or(UncoveredReason::NoReplica, |entry| entry.reason);
        for shard in shards.iter().filter(|shard| **shard != canary) {
            self.merge_outcome(*shard, not_sent(reason));
        }
    }

    fn prepare_call(&mut self, batch: PlannedBatch<'_>, canary: bool) -> GroupCall {
        let first_attempt = self.next_attempt;
        let shards = u32::try_from(batch.tasks.len()).unwrap_or(u32::MAX);
        // Each shard's attempt numbers are reserved twice, because the batch may be sent to a
        // second holder.
        let reserved = shards.saturating_mul(2 * ATTEMPTS_PER_SHARD);
        self.next_attempt = self.next_attempt.wrapping_add(reserved);
        GroupCall::new(
            self.query,
            self.map.version(),
            batch,
            canary,
            first_attempt,
            Rc::clone(&self.routes),
        )
    }

    async fn collect_replies(&mut self, calls: Vec<GroupCall>) {
        let shared = Arc::clone(&self.worker.shared);
        let started_at = shared.clock.now();
        let deadline = self.query.deadline;
        let running = calls
            .into_iter()
            .map(|call| call.run(Rc::clone(self.worker), Arc::clone(self.memory), deadline));
        let mut running: FuturesUnordered<_> = running.collect();
        loop {
            let now = shared.clock.now();
            let stop_at = self.stop_at(started_at, now);
            if now >= stop_at {
                return;
            }
            tokio::select! {
                reply = running.next() => match reply {
                    Some(reply) => self.accept_reply(reply),
                    None => return,
                },
                () = tokio::time::sleep(stop_at.saturating_duration_since(now)) => {}
            }
        }
    }

    /// Returns when to answer even if shards are missing.
    ///
    /// Once the team's minimum coverage is reached, the rest is awaited only for twice the time
    /// after which a batch counts as late.
    fn stop_at(&self, started_at: Instant, now: Instant) -> Instant {
        let deadline = self.query.deadline;
        let view = self.worker.shared.view();
        let coverage_target = view
            .team(self.query.team.as_str())
            .map_or(CoverageTarget::All, |team| team.coverage_target);
        match coverage_target {
            CoverageTarget::MinShare(share) if self.merge.covered_share() >= share => {
                let time_left = deadline.saturating_duration_since(now);
                let admission = self.worker.shared.admission.lock();
                let delay = admission.batch_delay(&self.query.service, time_left, now);
                deadline.min(started_at + 2 * delay)
            }
            CoverageTarget::MinShare(_) | CoverageTarget::All => deadline,
        }
    }

    fn accept_reply(&mut self, reply: BatchReply) {
        self.extra_leaf_requests += reply.extra_leaf_requests;
        let shared = &self.worker.shared;
        let now = shared.clock.now();
        self.routes
            .mark_version_gone(&reply.version_gone_leafs, self.map.version());
        self.routes.mark_slow(&reply.slow_leafs);
        if let Some((fingerprint, left)) = reply.quarantine {
            let quarantine = medlarpin_core::canary::Quarantine {
                fingerprint,
                until: now + left,
            };
            if shared.fingerprints.lock().merge_quarantines(&[quarantine]) > 0 {
                shared.state_changed.notify_one();
            }
        }
        for result in reply.results {
            self.merge_outcome(result.shard, result.outcome);
        }
    }

    fn merge_outcome(&mut self, shard: ShardId, outcome: ShardOutcome) {
        let version = self.map.version();
        let request = self.query.request;
        if let Err(error) = self.merge.accept(shard, version, request, outcome) {
            self.worker.shared.metrics.invalid_replies.inc();
            log::debug!(
                target: ENTRY, "Request {request}: dropped the result of shard {}: {error}.",
                shard.0
            );
        }
    }

    /// Records for load shedding how many shards were refused because queues or leafs were full.
    fn record_overload(&self) {
        let shared = &self.worker.shared;
        let uncovered = self.merge.uncovered();
        let refused = uncovered.iter().filter(|entry| {
            matches!(
                entry.reason,
                UncoveredReason::QueueFull | UncoveredReason::LeafRefused
            )
        });
        let refused = refused.count() as u64;
        let total = self.merge.requested_count() as u64;
        let now = shared.clock.now();
        let mut admission = shared.admission.lock();
        admission.record_shards(&self.query.team, &self.query.service, refused, total, now);
    }

    fn should_restart(&self, total_time: Duration) -> bool {
        let now = self.worker.shared.clock.now();
        let time_left = self.query.deadline.saturating_duration_since(now);
        let version_gone = || {
            let uncovered = self.merge.uncovered();
            uncovered
                .iter()
                .any(|entry| entry.reason == UncoveredReason::VersionGone)
        };
        self.query.idempotent && time_left >= total_time / RESTART_TIME_DIVISOR && version_gone()
    }

    fn newer_map(&self) -> Option<Arc<ShardMap>> {
        let view = self.worker.shared.view();
        let service = view.service(self.query.service.as_str())?;
        let serves = |leaf: &LeafId, version| self.routes.serves(leaf, version);
        let map = choose_version(&service.maps, serves)?;
        (map.version() > self.map.version()).then_some(map)
    }

    fn restart(&mut self, map: Arc<ShardMap>) {
        let shards = requested_shards(self.query, &map);
        let placeholder = Merge::new(self.query.request, map.version(), &[]);
        let merge = std::mem::replace(&mut self.merge, placeholder);
        self.merge = merge.restart(map.version(), &shards);
        self.map = map;
        self.refresh_routes();
    }
}

fn requested_shards(query: &Query, map: &ShardMap) -> Vec<ShardId> {
    if query.shards.is_empty() {
        map.shards().iter().map(|(shard, _)| *shard).collect()
    } else {
        query.shards.clone()
    }
}

fn not_sent(reason: UncoveredReason) -> ShardOutcome {
    ShardOutcome::Uncovered {
        reason,
        may_have_run: false,
    }
}
