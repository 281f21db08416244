use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;

use crate::shared::Shared;

/// Returns the endpoint of the platform's readiness checks.
pub(crate) fn endpoint(shared: Arc<Shared>) -> Router {
    Router::new()
        .route(platform::READINESS_PATH, get(readiness))
        .with_state(shared)
}

async fn readiness(State(shared): State<Arc<Shared>>) -> StatusCode {
    if shared.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}
