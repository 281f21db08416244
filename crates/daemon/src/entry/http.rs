//! HTTP endpoints for callers.

use std::sync::Arc;

use axum::Router;
use axum::body::Body;
use axum::extract::{Extension, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use bytes::Bytes;
use client_connections::Client;
use medlarpin_core::prelude::*;
use serde::Serialize;
use tokio::sync::oneshot;

use crate::entry::answer::AnswerBody;
use crate::entry::body::read_body;
use crate::entry::request::{Query, QueryBody, RequestError, TicketBody, check_query, parse_body};
use crate::entry::{run, ticketed};
use crate::query_memory::QueryMemory;
use crate::shared::{AppState, Shared};

/// Time after which a query that found no room may be tried again: slow callers are disconnected after a second
/// under pressure.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Builds the router of the callers' endpoints; a request has its connection, a [`Client`], as an extension.
pub fn router(state: Arc<AppState>) -> Router {
    Router::new()
        .route("/v1/query", post(post_query).fallback(refuse_method))
        .route("/v1/tickets", post(post_ticket).fallback(refuse_method))
        .fallback(refuse_path)
        .with_state(state)
}

async fn post_query(
    State(state): State<Arc<AppState>>,
    Extension(client): Extension<Client>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let shared = &state.shared;
    let arrived_at = shared.clock.now();
    let body = read_body(
        &shared.clients.callers,
        body,
        shared.settings.body_limit_bytes,
    )
    .await;
    client.is_served();
    match parse_query(shared, &headers, body, arrived_at) {
        Ok((query, ticket)) => answer_query(&state, query, ticket, arrived_at).await,
        Err(QueryRejection::Invalid(error)) => error_response(shared, &error),
        Err(QueryRejection::NotRun(body)) => {
            shared.record_recent_answer(&body);
            answer_response(shared, &body)
        }
    }
}

async fn post_ticket(
    State(state): State<Arc<AppState>>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let shared = &state.shared;
    let body = read_body(
        &shared.clients.callers,
        body,
        shared.settings.body_limit_bytes,
    )
    .await;
    let parsed = check_body(&headers, body)
        .and_then(|body| parse_body::<TicketBody>(&body))
        .and_then(|body| {
            let view = shared.view();
            view.team(&body.team)
                .map(|team| team.name.clone())
                .ok_or(RequestError::UnknownTeam(body.team))
        });
    match parsed {
        Ok(team) => ticketed::issue(shared, &team),
        Err(error) => error_response(shared, &error),
    }
}

async fn refuse_path(State(state): State<Arc<AppState>>) -> Response {
    error_response(&state.shared, &RequestError::UnknownPath)
}

async fn refuse_method(State(state): State<Arc<AppState>>) -> Response {
    error_response(&state.shared, &RequestError::Method)
}

enum QueryRejection {
    Invalid(RequestError),
    NotRun(Box<AnswerBody>),
}

impl From<RequestError> for QueryRejection {
    fn from(error: RequestError) -> Self {
        Self::Invalid(error)
    }
}

fn parse_query(
    shared: &Shared,
    headers: &HeaderMap,
    body: Result<Bytes, RequestError>,
    now: Instant,
) -> Result<(Query, Option<String>), QueryRejection> {
    let body = check_body(headers, body)?;
    let body: QueryBody = parse_body(&body)?;
    let request = RequestId(rand::random());
    let view = shared.view();
    check_joined(shared, &body, request)?;
    let Some(team) = view.team(&body.team) else {
        return Err(RequestError::UnknownTeam(body.team).into());
    };
    if view.service(&body.service).is_none() {
        return Err(RequestError::UnknownService(body.service).into());
    }
    Ok(check_query(body, team, request, now)?)
}

/// Refuses queries until the daemon has joined the fleet: until then its settings may be missing or
/// older than those in force on other VMs.
fn check_joined(
    shared: &Shared,
    body: &QueryBody,
    request: RequestId,
) -> Result<(), QueryRejection> {
    if shared.lifecycle.is_joined() {
        return Ok(());
    }
    let outcome = Outcome::NotRun {
        reason: NotRunReason::Starting,
        retry_after: shared.probe_interval(),
    };
    Err(QueryRejection::NotRun(Box::new(AnswerBody::without_rows(
        request,
        &TeamName::new(&body.team),
        &ServiceName::new(&body.service),
        outcome,
    ))))
}

fn check_body(
    headers: &HeaderMap,
    body: Result<Bytes, RequestError>,
) -> Result<Bytes, RequestError> {
    let is_json = headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.split(';').next())
        .is_some_and(|value| value.trim().eq_ignore_ascii_case("application/json"));
    if is_json {
        body
    } else {
        Err(RequestError::ContentType)
    }
}

async fn answer_query(
    state: &AppState,
    query: Query,
    ticket: Option<String>,
    arrived_at: Instant,
) -> Response {
    let shared = &state.shared;
    // Without room for the answer, no leaf gets the query.
    let expected_bytes = shared.answer_size.expected_bytes();
    let callers = &shared.clients.callers;
    let memory = QueryMemory::reserve(callers, query.text.len(), expected_bytes).await;
    let Some(memory) = memory.map(Arc::new) else {
        let body = no_room_answer(&query);
        shared.record_recent_answer(&body);
        return answer_response(shared, &body);
    };
    let _in_flight = shared.lifecycle.track_request();
    let no_answer = AnswerBody::without_rows(
        query.request,
        &query.team,
        &query.service,
        Outcome::Unknown {
            reason: UnknownReason::NoAnswer,
        },
    );
    let (sender, receiver) = oneshot::channel();
    let query_memory = Arc::clone(&memory);
    state.workers.spawn(move |worker| async move {
        match ticket {
            Some(ticket) => ticketed::run(&worker, query, &ticket, query_memory, sender).await,
            None => run::run_for_caller(&worker, query, &query_memory, sender).await,
        }
    });
    // The sender is dropped without an answer only if the worker's task panicked or was cancelled.
    let result = receiver.await.unwrap_or(Ok(no_answer));
    match result {
        Ok(mut body) => {
            let elapsed = shared.clock.now().saturating_duration_since(arrived_at);
            if !body.replayed {
                body.elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
            }
            shared.record_answer(&body, elapsed);
            held_answer_response(shared, &body, &memory)
        }
        Err(error) => error_response(shared, &error),
    }
}

/// Returns the answer to a query that is not run because there is no memory for its answer.
fn no_room_answer(query: &Query) -> AnswerBody {
    let outcome = Outcome::NotRun {
        reason: NotRunReason::Overloaded,
        retry_after: NO_ROOM_RETRY_AFTER,
    };
    AnswerBody::without_rows(query.request, &query.team, &query.service, outcome)
}

/// Returns an answer that holds its part of the memory until the caller has read it.
fn held_answer_response(shared: &Shared, body: &AnswerBody, memory: &QueryMemory) -> Response {
    let bytes = memory.attach(body.to_json());
    shared.answer_size.record(bytes.len());
    encoded_answer_response(shared, body, bytes)
}

pub(super) fn answer_response(shared: &Shared, body: &AnswerBody) -> Response {
    encoded_answer_response(shared, body, body.to_json().into())
}

fn encoded_answer_response(shared: &Shared, body: &AnswerBody, bytes: Bytes) -> Response {
    if let (Some(reason), Some(_)) = (&body.reason, body.retry_after_ms) {
        // While the daemon starts, queries are refused before the team is checked. An unknown team
        // must not become a label value, since the number of label values must stay bounded.
        let view = shared.view();
        let team = view.team(&body.team).map_or("", |team| team.name.as_str());
        let labels = [team, reason.as_str()];
        shared.metrics.refusals.with_label_values(&labels).inc();
    }
    let mut response = json_response(body.outcome.status(), bytes);
    if let Some(retry_after_ms) = body.retry_after_ms {
        // The header has whole seconds, so the wait is rounded up, to at least one second.
        let seconds = retry_after_ms.div_ceil(1000).max(1);
        if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
    message: String,
}

pub(super) fn error_response(shared: &Shared, error: &RequestError) -> Response {
    let labels = [error.code()];
    shared
        .metrics
        .invalid_requests
        .with_label_values(&labels)
        .inc();
    let body = ErrorBody {
        error: error.code(),
        message: error.to_string(),
    };
    // The body holds only strings, which always serialise.
    json_response(
        error.status(),
        serde_json::to_vec(&body).unwrap_or_default().into(),
    )
}

pub(super) fn json_response(status: StatusCode, body: Bytes) -> Response {
    (status, [(header::CONTENT_TYPE, "application/json")], body).into_response()
}
