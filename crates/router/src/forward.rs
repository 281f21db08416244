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
use crate::canary_slots::{CanarySlot, SlotHolder};
use crate::evidence_recorder::EvidenceRecorder;
use crate::proof_key::ProofKey;
use crate::refusal::Refusal;
use crate::request_clearance::{RequestClearance, Suspicion};
use crate::route_state::RouteState;
use crate::service_call::{ServiceCall, ServiceFailure};
use crate::shared::Shared;

/// Forwards a request to one leaf of the service, with hedges and retries on others, unless it is suspicious
/// and an equal one is being tried.
pub(crate) async fn forward(
    shared: Arc<Shared>,
    service: ServiceName,
    route: Arc<Route>,
    state: Arc<RouteState>,
    request: Arc<CallerRequest>,
) -> Result<Answer, Refusal> {
    let services = std::slice::from_ref(&service);
    let memory = &shared.crash_memory;
    let clearance = memory.clearance(&request, services, shared.now());
    let (suspicions, slot) = admit_clearance(&shared, &request, clearance)?;
    let proof = ProofKey::new(&request, services);
    let evidence = Arc::new(CallEvidence::new(proof));
    let recorder = EvidenceRecorder::new(&shared, &request, &evidence);
    let mut call = ServiceCall::new(
        Arc::clone(&shared),
        service,
        Arc::clone(&route),
        Arc::clone(&state),
        Arc::clone(&request),
        Arc::clone(&evidence),
    );
    if !suspicions.is_empty() {
        let lost = suspicions.into_iter().flat_map(|suspicion| suspicion.lost);
        call = call.into_canary(lost.collect());
    }
    let result = call.run().await;
    drop(recorder);
    if result.is_ok() {
        memory.record_success(proof, &[], shared.now());
    }
    let result = match result {
        Ok(answer)
        | Err(ServiceFailure {
            leaf_answer: Some(answer),
            ..
        }) => {
            state.answer_size.record(answer.body.len());
            Ok(caller_answer(answer))
        }
        Err(failure) => Err(refusal_for(&failure)),
    };
    release_slot(slot, &result);
    result
}

/// Refuses a request that must not run here; otherwise returns the services of which it may have ended leafs,
/// and the slot that it holds if there are any.
pub(crate) fn admit_clearance(
    shared: &Shared,
    request: &CallerRequest,
    clearance: RequestClearance,
) -> Result<(Vec<Suspicion>, Option<CanarySlot>), Refusal> {
    match clearance {
        RequestClearance::Clear => Ok((Vec::new(), None)),
        RequestClearance::Quarantined { left } => Err(Refusal::quarantined(left)),
        RequestClearance::Withheld { left } => Err(Refusal::withheld(left)),
        RequestClearance::Unverified => Err(Refusal::NoLeaf),
        // A daemon that is cut off does not know what equal requests did elsewhere.
        RequestClearance::Suspect(_) if shared.is_isolated() => Err(Refusal::NoLeaf),
        // The links of this VM may have failed, which further requests show soonest.
        RequestClearance::Suspect(suspicions)
            if suspicions.iter().all(|suspicion| !suspicion.is_confirmed) =>
        {
            Ok((suspicions, None))
        }
        RequestClearance::Suspect(suspicions) => {
            match shared.crash_memory.start_canary(request, &shared.clock) {
                Ok(slot) => Ok((suspicions, Some(slot))),
                Err(SlotHolder::Running) => Err(Refusal::NoLeaf),
                // This VM may not reach the leafs, in which case another daemon can tell.
                Err(SlotHolder::Undecided) => Err(Refusal::Unreachable),
            }
        }
    }
}

/// Ends the trial of a suspicious request. One that timed out has shown nothing yet.
pub(crate) fn release_slot(slot: Option<CanarySlot>, result: &Result<Answer, Refusal>) {
    if let Some(slot) = slot
        && !matches!(result, Err(Refusal::TimedOut))
    {
        slot.decided();
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
            last: Some(LeafFailure::NoMemory),
            ..
        } => Refusal::OutOfMemory,
        ServiceFailure {
            rate_wait: Some(wait),
            ..
        } => Refusal::rate_limited(*wait, rand::random()),
        ServiceFailure {
            last: Some(LeafFailure::Cold),
            ..
        } => Refusal::LeafsFull,
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
