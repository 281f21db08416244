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
use medlarpin_core::routing::{NotRun, Route, RouteTarget, RoutingConfig, RunLedger};
use platform::CallerHead;
use tokio::time::timeout;

use crate::backed_reply::{BackedReply, id_text};
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
            let reply = refuse_unread(Refusal::BadRequest, None);
            return complete_request(shared, reply, None, None, arrived_at);
        }
    };
    let id = caller.request_id.clone();
    let (config, route) = match find_route(shared, &caller, head.uri.path()) {
        Ok(found) => found,
        Err(refusal) => {
            let reply = refuse_unread(refusal, Some(&id));
            return complete_request(shared, reply, Some(&id), None, arrived_at);
        }
    };
    let read = read_request(shared, &config, &route, caller, head, body, arrived_at).await;
    client.is_served();
    let (result, not_run) = match read {
        Ok(request) => {
            let request = Arc::new(request);
            let stop = &shared.planned_stop;
            let result = match stop.admit(&route, &request, shared.now()) {
                Ok(()) => stop.limit(serve(shared, &route, &request)).await,
                Err(refusal) => Err(refusal),
            };
            (result, request.ledger.seal())
        }
        Err(refusal) => (Err(refusal), Some(NotRun::unread())),
    };
    let reply = BackedReply::new(result, not_run, Some(&id));
    let name = Some(&*route.name);
    complete_request(shared, reply, Some(&id), name, arrived_at)
}

/// Returns the reply to a request that was refused before all of it was read.
fn refuse_unread(refusal: Refusal, request_id: Option<&HeaderValue>) -> BackedReply {
    BackedReply::new(Err(refusal), Some(NotRun::unread()), request_id)
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
    let clients = &shared.clients.callers;
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
        ledger: RunLedger::new(route.repeatability),
        leaf_room: OnceLock::new(),
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

/// Logs and counts the reply to a request, and returns the answer to send.
fn complete_request(
    shared: &Shared,
    reply: BackedReply,
    request_id: Option<&HeaderValue>,
    route: Option<&str>,
    arrived_at: Instant,
) -> Answer {
    let elapsed = shared.now().saturating_duration_since(arrived_at);
    let request = id_text(request_id);
    match reply.outcome() {
        Ok(status) => {
            shared
                .metrics
                .record_answer(route.unwrap_or("none"), elapsed);
            Event::Answered {
                request,
                route: route.unwrap_or("none"),
                status: status.as_u16(),
                after_ms: elapsed.as_millis(),
            }
            .log();
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
        }
    }
    reply.into_answer(request_id)
}
