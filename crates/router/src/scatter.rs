//! Fan-out of queries to all shards, and merging of their answers.

use std::sync::Arc;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use http_body_util::Full;
use hyper::Response;
use hyper::header::HeaderValue;
use medlarpin_core::prelude::ServiceName;
use medlarpin_core::routing::{GatherPolicy, GatherStep, Route, Scatter, top_records};
use platform::MergedHead;
use tokio::time::{sleep_until, timeout};

use crate::attempt_result::LeafAnswer;
use crate::call_evidence::CallEvidence;
use crate::caller_request::CallerRequest;
use crate::callers::Answer;
use crate::event::Event;
use crate::evidence_recorder::EvidenceRecorder;
use crate::forward::{admit_clearance, refusal_for, release_slot};
use crate::leaf_rates::LeafRates;
use crate::proof_key::ProofKey;
use crate::refusal::Refusal;
use crate::request_clearance::Suspicion;
use crate::route_state::RouteState;
use crate::service_call::{ServiceCall, ServiceFailure};
use crate::shared::Shared;

/// Time for which the requests to shards that the answer no longer waits for may still complete,
/// which keeps their connections reusable.
const LATE_SHARD_GRACE: Duration = Duration::from_millis(150);

/// Serves a query to all shards, unless it is suspicious and an equal one is being tried.
pub(crate) async fn gather(
    shared: Arc<Shared>,
    scatter: &Scatter,
    route: &Arc<Route>,
    state: &Arc<RouteState>,
    request: &Arc<CallerRequest>,
) -> Result<Answer, Refusal> {
    let memory = &shared.crash_memory;
    let clearance = memory.clearance(request, &scatter.shards, shared.now());
    let (suspicions, slot) = admit_clearance(&shared, request, clearance)?;
    let gathered = gather_cleared(
        Arc::clone(&shared),
        scatter,
        route,
        state,
        request,
        suspicions,
    );
    let result = gathered.await;
    release_slot(slot, &result);
    result
}

/// Sends a query to one leaf of each shard and merges the answers.
async fn gather_cleared(
    shared: Arc<Shared>,
    scatter: &Scatter,
    route: &Arc<Route>,
    state: &Arc<RouteState>,
    request: &Arc<CallerRequest>,
    suspicions: Vec<Suspicion>,
) -> Result<Answer, Refusal> {
    let policy = GatherPolicy::new(
        scatter.shards.len(),
        scatter.coverage_min,
        route.target_latency,
        request.time_left(request.arrived_at),
        request.arrived_at,
    );
    let memory = &shared.crash_memory;
    // Before the admission: another daemon may serve a query whose leafs this VM does not reach.
    let reachable = reachable_shards(&shared, scatter, request, policy.needed)?;
    admit(&shared, route)?;
    let proof = ProofKey::new(request, &scatter.shards);
    let evidence = Arc::new(CallEvidence::new(proof));
    let recorder = EvidenceRecorder::new(&shared, request, &evidence);
    let call = |shard: &ServiceName| {
        let call = ServiceCall::new(
            Arc::clone(&shared),
            shard.clone(),
            Arc::clone(route),
            Arc::clone(state),
            Arc::clone(request),
            Arc::clone(&evidence),
        );
        let suspicion = suspicions.iter().find(|known| known.service == *shard);
        match suspicion {
            Some(suspicion) => call.into_canary(suspicion.lost.clone()),
            None => call,
        }
    };
    let mut answers: Vec<(ServiceName, LeafAnswer)> = Vec::with_capacity(policy.shard_count);
    let mut failures: Vec<ServiceFailure> = Vec::new();
    let mut unsent = reachable;
    // A query that leafs of some shards have answered ends at most those of the others. While no leaf is known to
    // have ended, the links of this VM may have failed, which all shards together show soonest.
    let is_confirmed = suspicions.iter().any(|suspicion| suspicion.is_confirmed);
    let needs_canary = is_confirmed && !memory.is_proven_in_part(proof, shared.now());
    if needs_canary && !unsent.is_empty() {
        let is_suspicious =
            |shard: &&ServiceName| suspicions.iter().any(|known| known.service == **shard);
        let position = unsent.iter().position(is_suspicious);
        let first = unsent.swap_remove(position.unwrap_or(0));
        let canary = match position {
            Some(_) => call(first),
            None => call(first).into_canary(Vec::new()),
        };
        match canary.run().await {
            Ok(answer) => answers.push((first.clone(), answer)),
            Err(failure) => return Err(refusal_for(&failure)),
        }
    }
    let mut shards: FuturesUnordered<_> = unsent
        .iter()
        .map(|shard| {
            let (service, call) = ((*shard).clone(), call(shard));
            async move { (service, call.run().await) }
        })
        .collect();
    loop {
        let until = match policy.step(answers.len(), shards.len(), shared.now()) {
            GatherStep::Wait { until } => until,
            GatherStep::Answer => break,
            GatherStep::GiveUp => {
                // A shard that answered ran the query, and one that was sent it may have run it.
                let may_have_run = !answers.is_empty() || evidence.is_on_wire();
                let timed_out = shared.now() >= policy.deadline;
                record_coverage(&shared, route, scatter, request, &answers, shards.len());
                if !answers.is_empty() {
                    let missing = missing_shards(scatter, &answers);
                    memory.record_success(proof, &missing, shared.now());
                }
                return Err(refusal_for_query(&failures, may_have_run, timed_out));
            }
        };
        tokio::select! {
            biased;
            Some(result) = shards.next() => match result {
                (service, Ok(answer)) => answers.push((service, answer)),
                (_, Err(failure)) => failures.push(failure),
            },
            () = sleep_until(until.into()) => {}
        }
    }
    shared
        .metrics
        .record_gather(shared.now() - request.arrived_at);
    record_coverage(&shared, route, scatter, request, &answers, shards.len());
    memory.record_success(proof, &missing_shards(scatter, &answers), shared.now());
    if !shards.is_empty() {
        tokio::spawn(async move {
            let all = async { while shards.next().await.is_some() {} };
            // Dropping the others closes their connections, which cancels them on the leafs.
            let _ = timeout(LATE_SHARD_GRACE, all).await;
            drop(recorder);
        });
    }
    let answer_bytes = answers.iter().map(|(_, answer)| answer.body.len()).sum();
    state.answer_size.record(answer_bytes);
    Ok(merge(scatter, policy.shard_count, answers, request))
}

/// Returns the shards without an answer.
fn missing_shards<'a>(
    scatter: &'a Scatter,
    answers: &[(ServiceName, LeafAnswer)],
) -> Vec<&'a ServiceName> {
    let mut answered: Vec<&ServiceName> = answers.iter().map(|(shard, _)| shard).collect();
    if answered.len() == scatter.shards.len() {
        return Vec::new();
    }
    answered.sort_unstable();
    let is_missing = |shard: &&ServiceName| answered.binary_search(shard).is_err();
    scatter.shards.iter().filter(is_missing).collect()
}

/// Refuses a part of the queries while the leafs are overloaded.
fn admit(shared: &Shared, route: &Route) -> Result<(), Refusal> {
    let mut admission = shared.query_admission.lock();
    if admission.admits(route, rand::random(), shared.now()) {
        Ok(())
    } else {
        Err(Refusal::overloaded(rand::random()))
    }
}

/// Returns the shards with an available leaf; fails if these are fewer than needed.
fn reachable_shards<'a>(
    shared: &Shared,
    scatter: &'a Scatter,
    request: &CallerRequest,
    needed: usize,
) -> Result<Vec<&'a ServiceName>, Refusal> {
    let now = shared.now();
    let reachable: Vec<&ServiceName> = scatter
        .shards
        .iter()
        .filter(|shard| shared.has_available_leaf(shard, now))
        .collect();
    if reachable.len() >= needed {
        return Ok(reachable);
    }
    Event::ShardsUnreachable {
        request: request.id_text(),
        reachable: reachable.len(),
        needed,
        unreachable: &shard_names_except(scatter, |shard| reachable.contains(&shard)),
    }
    .log();
    let unreachable = |shard: &&ServiceName| !reachable.contains(shard);
    let waits = scatter.shards.iter().filter(unreachable);
    let wait = waits
        .filter_map(|shard| LeafRates::new(shared).wait(shard, now))
        .max();
    if let Some(wait) = wait {
        return Err(Refusal::rate_limited(wait, rand::random()));
    }
    let has_leaf = |shard: &&ServiceName| !shared.has_no_leaf(shard, now);
    let with_leafs = scatter.shards.iter().filter(has_leaf).count();
    Err(if with_leafs < needed {
        Refusal::NoLeaf
    } else {
        Refusal::Unreachable
    })
}

/// Records, logs and counts the shards that have answered, or not, when the query is answered or
/// refused.
fn record_coverage(
    shared: &Shared,
    route: &Arc<Route>,
    scatter: &Scatter,
    request: &CallerRequest,
    answers: &[(ServiceName, LeafAnswer)],
    in_flight: usize,
) {
    let covered = answers.iter().map(|(shard, _)| shard);
    let now = shared.now();
    let is_reached = |shard: &ServiceName| shared.reaches_leaf_of(shard, now);
    shared
        .query_admission
        .lock()
        .record(route, scatter, covered, is_reached, now);
    let missing = scatter.shards.len() - answers.len();
    if missing == 0 {
        return;
    }
    shared.metrics.missing_shards.inc_by(missing as u64);
    Event::ShardsMissing {
        request: request.id_text(),
        covered: answers.len(),
        asked: scatter.shards.len(),
        in_flight,
        missing: &shard_names_except(scatter, |shard| {
            answers.iter().any(|(covered, _)| covered == shard)
        }),
    }
    .log();
}

/// Returns the names of shards for which `is_excluded` is false, up to a limit for log lines.
fn shard_names_except(scatter: &Scatter, is_excluded: impl Fn(&ServiceName) -> bool) -> Vec<&str> {
    /// Maximum number of names in a log line.
    const NAMES_MAX: usize = 5;
    scatter
        .shards
        .iter()
        .filter(|shard| !is_excluded(shard))
        .map(ServiceName::as_str)
        .take(NAMES_MAX)
        .collect()
}

/// Returns the refusal of a query that cannot reach its coverage, from its shards' failures.
fn refusal_for_query(failures: &[ServiceFailure], may_have_run: bool, timed_out: bool) -> Refusal {
    let may_have_run = may_have_run || failures.iter().any(|failure| failure.may_have_run);
    let may_have_arrived = failures.iter().any(|failure| failure.may_have_arrived);
    let summary = ServiceFailure {
        may_have_arrived: may_have_run || may_have_arrived,
        may_have_run,
        has_no_leaf: failures.iter().all(|failure| failure.has_no_leaf),
        last: failures.iter().find_map(|failure| failure.last),
        leaf_answer: None,
        timed_out: timed_out || failures.iter().any(|failure| failure.timed_out),
        rate_wait: failures
            .iter()
            .filter_map(|failure| failure.rate_wait)
            .max(),
    };
    refusal_for(&summary)
}

fn merge(
    scatter: &Scatter,
    shard_count: usize,
    answers: Vec<(ServiceName, LeafAnswer)>,
    request: &CallerRequest,
) -> Answer {
    let records = top_records(
        answers.iter().map(|(_, answer)| &*answer.body),
        scatter.records_max,
    );
    let stamps: Vec<HeaderValue> = answers
        .iter()
        .map(|(_, answer)| answer.stamp.clone())
        .collect();
    let missing = shard_count - answers.len();
    // The records take at most the memory that the answers return.
    drop(answers);
    let body = request.room.attach(records);
    let mut response = Response::new(Full::new(body));
    *response.headers_mut() = platform::merged_headers(MergedHead {
        stamps: &stamps,
        missing,
        request_id: &request.id,
    });
    response
}
