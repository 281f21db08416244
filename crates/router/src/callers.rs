//! Handling of callers' requests.

use std::convert::Infallible;
use std::sync::{Arc, OnceLock};
use std::time::Instant;

use bytes::Bytes;
use client_connections::{BodyError, Client};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use medlarpin_core::routing::{Route, RouteTarget, RoutingConfig};
use platform::CallerHead;
use tokio::time::timeout;

use crate::caller_request::CallerRequest;
use crate::event::Event;
use crate::handover::serve;
use crate::refusal::Refusal;
use crate::shared::Shared;

/// An answer to a caller.
pub(crate) type Answer = Response<Full<Bytes>>;

/// Handles one request of a caller; failures become refusals.
pub(crate) async fn handle_request(
    shared: Arc<Shared>,
    client: Client,
    request: Request<Incoming>,
) -> Result<Answer, Infallible> {
    // An answer that is not read must not be followed by others that wait as well.
    client.has_read().await;
    client.sends();
    let answer = answer_request(&shared, &client, request).await;
    let length = answer.body().size_hint().exact().unwrap_or_default();
    client.receives(usize::try_from(length).unwrap_or(usize::MAX));
    Ok(answer)
}

async fn answer_request(
    shared: &Arc<Shared>,
    client: &Client,
    request: Request<Incoming>,
) -> Answer {
    let arrived_at = shared.now();
    let (head, body) = request.into_parts();
    let caller = match platform::parse_caller_head(&head) {
        Ok(caller) => caller,
        Err(error) => {
            Event::BadRequest { error: &error }.log();
            let refused = Err(Refusal::BadRequest);
            return complete_request(shared, refused, None, None, arrived_at);
        }
    };
    let id = caller.request_id.clone();
    let (config, route) = match find_route(shared, &caller, head.uri.path()) {
        Ok(found) => found,
        Err(refusal) => {
            return complete_request(shared, Err(refusal), Some(&id), None, arrived_at);
        }
    };
    let read = read_request(shared, &config, &route, caller, head, body, arrived_at).await;
    client.is_served();
    let result = match read {
        Ok(request) => {
            let stop = &shared.planned_stop;
            match stop.admit(&route, &request, shared.now()) {
                Ok(()) => stop.limit(serve(shared, &route, request)).await,
                Err(refusal) => Err(refusal),
            }
        }
        Err(refusal) => Err(refusal),
    };
    let name = Some(&*route.name);
    complete_request(shared, result, Some(&id), name, arrived_at)
}

/// Returns the configuration in force and the route of a request.
pub(crate) fn find_route(
    shared: &Shared,
    caller: &CallerHead,
    path: &str,
) -> Result<(Arc<RoutingConfig>, Arc<Route>), Refusal> {
    let config = shared.config.load_full().ok_or(Refusal::NoConfig)?;
    let route = config.routes.find(&caller.host, path).cloned();
    let route = route.ok_or_else(|| {
        if shared.is_config_checked() {
            Refusal::NoRoute
        } else {
            // A newer configuration may have the route.
            Refusal::NoConfig
        }
    })?;
    Ok((config, route))
}

/// Reads the body of a request, reserves memory for its answers and works out its deadlines.
async fn read_request(
    shared: &Shared,
    config: &RoutingConfig,
    route: &Route,
    caller: CallerHead,
    head: hyper::http::request::Parts,
    body: Incoming,
    arrived_at: Instant,
) -> Result<CallerRequest, Refusal> {
    let time_left = caller.time_left.unwrap_or(route.timeout).min(route.timeout);
    let clients = &shared.clients;
    let read = clients.read(body, config.limits.body_bytes, None, || {});
    let body = match timeout(time_left, read).await {
        Ok(read) => read.map_err(|error| match error {
            BodyError::BrokenOff => Refusal::BodyBrokenOff,
            BodyError::TooLarge => Refusal::BodyTooLarge,
            BodyError::OutOfMemory => Refusal::OutOfMemory,
        })?,
        Err(_elapsed) => return Err(Refusal::BodyTimedOut),
    };
    let room = clients.reserve(shared.route_state(route).answer_size.expected_bytes());
    let room = room.await.ok_or(Refusal::OutOfMemory)?;
    Ok(CallerRequest {
        id: caller.request_id,
        head,
        body,
        room,
        arrived_at,
        deadline: arrived_at + time_left,
        answer_by: answer_by(route, arrived_at),
        identity: OnceLock::new(),
    })
}

/// Returns the deadline that leafs get for a request while it lies ahead.
pub(crate) fn answer_by(route: &Route, arrived_at: Instant) -> Instant {
    match route.target {
        RouteTarget::Scatter(_) => arrived_at + route.target_latency,
        RouteTarget::Service(_) | RouteTarget::Split(_) => arrived_at,
    }
}

/// Logs and counts the result of a request, and turns a refusal into an answer.
fn complete_request(
    shared: &Shared,
    result: Result<Answer, Refusal>,
    request_id: Option<&HeaderValue>,
    route: Option<&str>,
    arrived_at: Instant,
) -> Answer {
    let elapsed = shared.now().saturating_duration_since(arrived_at);
    let request = request_id.and_then(|id| id.to_str().ok()).unwrap_or("none");
    match result {
        Ok(answer) => {
            shared
                .metrics
                .record_answer(route.unwrap_or("none"), elapsed);
            Event::Answered {
                request,
                route: route.unwrap_or("none"),
                status: answer.status().as_u16(),
                after_ms: elapsed.as_millis(),
            }
            .log();
            answer
        }
        Err(refusal) => {
            shared.metrics.record_refusal(refusal);
            Event::Refused {
                request,
                route: route.unwrap_or("none"),
                reason: refusal,
                config_version: shared.config_version(),
                after_ms: elapsed.as_millis(),
            }
            .log();
            refusal_answer(refusal, request_id)
        }
    }
}

/// Returns the answer that tells a caller of a refusal.
pub(crate) fn refusal_answer(refusal: Refusal, request_id: Option<&HeaderValue>) -> Answer {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = refusal.status();
    *response.headers_mut() = platform::refusal_headers(request_id, refusal.retry_after());
    response
}
