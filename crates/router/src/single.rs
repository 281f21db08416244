//! Requests that go to one leaf.

use std::sync::Arc;

use http_body_util::Full;
use hyper::Response;
use medlarpin_core::prelude::ServiceName;
use medlarpin_core::routing::Route;

use crate::attempt_end::{LeafAnswer, LeafFailure};
use crate::caller_request::CallerRequest;
use crate::callers::Answer;
use crate::refusal::Refusal;
use crate::route_state::RouteState;
use crate::service_call::{ServiceCall, ServiceFailure};
use crate::shared::Shared;

/// Forwards a request to one leaf of the service.
pub(crate) async fn forward(
    shared: Arc<Shared>,
    service: ServiceName,
    route: Arc<Route>,
    state: Arc<RouteState>,
    request: Arc<CallerRequest>,
) -> Result<Answer, Refusal> {
    let call = ServiceCall::new(shared, service, route, state, request);
    match call.run().await {
        Ok(answer) => Ok(passed_on(answer)),
        Err(failure) => match failure {
            ServiceFailure {
                leaf_answer: Some(answer),
                ..
            } => Ok(passed_on(answer)),
            failure => Err(refusal_of(&failure)),
        },
    }
}

/// Returns why a caller gets no answer.
pub(crate) fn refusal_of(failure: &ServiceFailure) -> Refusal {
    match failure {
        failure if failure.may_have_run && failure.timed_out => Refusal::TimedOut,
        failure if failure.may_have_run => Refusal::LeafsFailed,
        failure if failure.timed_out => Refusal::Expired,
        ServiceFailure {
            last: Some(LeafFailure::Shed | LeafFailure::ConnectionLimit),
            ..
        } => Refusal::LeafsFull,
        _ => Refusal::NoLeaf,
    }
}

fn passed_on(answer: LeafAnswer) -> Answer {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    let headers = response.headers_mut();
    for (name, value) in &answer.headers {
        let is_own = platform::is_hop_by_hop(name) || *name == hyper::header::CONTENT_LENGTH;
        if !is_own {
            headers.append(name.clone(), value.clone());
        }
    }
    response
}
