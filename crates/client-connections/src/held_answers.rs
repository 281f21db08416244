use std::sync::Arc;

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{HeaderValue, StatusCode, header};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use http_body_util::BodyExt;

use crate::answer_size::AnswerSize;
use crate::clients::Clients;

/// `Retry-After` of a refusal, in seconds: slow clients are disconnected after a second under pressure.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("1");

/// The memory for the answers of one router.
#[derive(Debug)]
struct AnswerMemory {
    clients: Clients,
    size: AnswerSize,
}

/// Lets the answers of a router take memory of a group of clients until they have been written. A request for
/// whose answer there is no room is refused with 503.
///
/// For routers whose handlers do not hold memory themselves.
pub fn hold_answers(router: Router, clients: Clients) -> Router {
    let memory = AnswerMemory {
        clients,
        size: AnswerSize::default(),
    };
    router.layer(from_fn_with_state(Arc::new(memory), hold_answer))
}

async fn hold_answer(
    State(memory): State<Arc<AnswerMemory>>,
    request: Request,
    next: Next,
) -> Response {
    let expected_bytes = memory.size.expected_bytes();
    let Some(room) = memory.clients.reserve(expected_bytes).await else {
        let retry_after = [(header::RETRY_AFTER, RETRY_AFTER_S)];
        return (StatusCode::SERVICE_UNAVAILABLE, retry_after).into_response();
    };
    let (head, body) = next.run(request).await.into_parts();
    // Handlers return whole bodies, which cannot fail.
    let Ok(body) = body.collect().await else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    let bytes = Vec::from(body.to_bytes());
    memory.size.record(bytes.len());
    Response::from_parts(head, Body::from(room.attach(bytes)))
}
