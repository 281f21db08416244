//! HTTP endpoints for operators, served on a separate address.

use std::sync::Arc;

use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use client_connections::hold_answers;

use crate::logging::{CONFIG, ENTRY};
use crate::operators::dump;
use crate::shared::Shared;

/// Builds the router of the operator endpoints.
pub fn router(shared: Arc<Shared>) -> Router {
    let clients = shared.clients.operators.clone();
    let router = Router::new()
        .route("/metrics", get(metrics))
        .route("/ready", get(ready))
        .route("/live", get(live))
        .route("/state", get(state))
        .route("/trace", get(trace))
        .route("/trace/start", post(start_trace))
        .route("/trace/stop", post(stop_trace))
        .with_state(shared);
    hold_answers(router, clients)
}

async fn metrics(State(shared): State<Arc<Shared>>) -> Response {
    dump::update_metrics(&shared);
    match shared.metrics.encode() {
        Ok(text) => ([(header::CONTENT_TYPE, "text/plain; version=0.0.4")], text).into_response(),
        Err(error) => {
            log::error!(target: ENTRY, "Cannot encode the metrics: {error}.");
            StatusCode::SERVICE_UNAVAILABLE.into_response()
        }
    }
}

async fn ready(State(shared): State<Arc<Shared>>) -> Response {
    if shared.is_ready() {
        (StatusCode::OK, "ready\n").into_response()
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response()
    }
}

async fn live() -> &'static str {
    "live\n"
}

async fn state(State(shared): State<Arc<Shared>>) -> Response {
    Json(dump::dump(&shared)).into_response()
}

async fn trace(State(shared): State<Arc<Shared>>) -> Response {
    Json(shared.recorder.trace(shared.local_vm())).into_response()
}

async fn start_trace(State(shared): State<Arc<Shared>>) -> StatusCode {
    shared.recorder.start(shared.clock.now());
    log::info!(target: CONFIG, "Trace recording started.");
    StatusCode::NO_CONTENT
}

async fn stop_trace(State(shared): State<Arc<Shared>>) -> StatusCode {
    shared.recorder.stop();
    log::info!(target: CONFIG, "Trace recording stopped.");
    StatusCode::NO_CONTENT
}
