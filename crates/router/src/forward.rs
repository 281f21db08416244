//! Forwarding of requests that need a single leaf.

use std::sync::Arc;

use http_body_util::Full;
use hyper::Response;
use medlarpin_core::prelude::ServiceName;
use medlarpin_core::routing::Route;

use crate::attempt_result::{LeafAnswer, LeafFailure};
use crate::call_evidence::CallEvidence;
use crate::caller_request::CallerRequest;
use crate::callers::Answer;
use crate::crash_memory::{ProofKey, RequestClearance};
use crate::evidence_recorder::EvidenceRecorder;
use crate::refusal::Refusal;
use crate::route_state::RouteState;
use crate::service_call::{ServiceCall, ServiceFailure};
use crate::shared::Shared;

/// Forwards a request to one leaf of the service, with hedges and retries on others.
pub(crate) async fn forward(
    shared: Arc<Shared>,
    service: ServiceName,
    route: Arc<Route>,
    state: Arc<RouteState>,
    request: Arc<CallerRequest>,
) -> Result<Answer, Refusal> {
    let memory = &shared.crash_memory;
    let services = std::slice::from_ref(&service);
    let clearance = memory.clearance(&request, services, shared.now());
    if let Some(refusal) = refusal_for_clearance(&shared, &clearance) {
        return Err(refusal);
    }
    let proof = ProofKey::new(&request, services);
    let evidence = Arc::new(CallEvidence::new(proof));
    let recorder = EvidenceRecorder::new(&shared, &request, &evidence);
    let mut call = ServiceCall::new(
        Arc::clone(&shared),
        service,
        Arc::clone(&route),
        state,
        Arc::clone(&request),
        Arc::clone(&evidence),
    );
    if let RequestClearance::Suspect(suspicions) = clearance {
        let lost = suspicions.into_iter().flat_map(|suspicion| suspicion.lost);
        call = call.into_canary(lost.collect());
    }
    let result = call.run().await;
    drop(recorder);
    match result {
        Ok(answer) => {
            memory.record_success(proof, &[], shared.now());
            Ok(caller_answer(answer))
        }
        Err(failure) => match failure {
            ServiceFailure {
                leaf_answer: Some(answer),
                ..
            } => Ok(caller_answer(answer)),
            failure => Err(refusal_for(&failure)),
        },
    }
}

/// Returns the refusal of a request that must not run here.
pub(crate) fn refusal_for_clearance(
    shared: &Shared,
    clearance: &RequestClearance,
) -> Option<Refusal> {
    match clearance {
        RequestClearance::Quarantined { left } => Some(Refusal::quarantined(*left)),
        RequestClearance::Unverified => Some(Refusal::NoLeaf),
        // A daemon that is cut off does not know what equal requests did elsewhere.
        RequestClearance::Suspect(_) if shared.is_isolated() => Some(Refusal::NoLeaf),
        RequestClearance::Suspect(_) | RequestClearance::Clear => None,
    }
}

/// Returns the refusal that a caller gets if a service gave no answer.
pub(crate) fn refusal_for(failure: &ServiceFailure) -> Refusal {
    match failure {
        failure if failure.may_have_run && failure.timed_out => Refusal::TimedOut,
        failure if failure.may_have_run => Refusal::LeafsFailed,
        failure if failure.timed_out => Refusal::Expired,
        ServiceFailure {
            last: Some(LeafFailure::Shed | LeafFailure::ConnectionLimit),
            ..
        } => Refusal::LeafsFull,
        ServiceFailure {
            rate_wait: Some(wait),
            ..
        } => Refusal::rate_limited(*wait, rand::random()),
        failure if failure.may_have_arrived || failure.has_no_leaf => Refusal::NoLeaf,
        _ => Refusal::Unreachable,
    }
}

fn caller_answer(answer: LeafAnswer) -> Answer {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    let headers = response.headers_mut();
    for (name, value) in &answer.headers {
        let is_replaced = platform::is_hop_by_hop(name) || *name == hyper::header::CONTENT_LENGTH;
        if !is_replaced {
            headers.append(name.clone(), value.clone());
        }
    }
    response
}
