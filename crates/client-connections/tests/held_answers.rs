//! Tests of answers that take memory of their clients' group.

use std::sync::Arc;

use axum::Router;
use axum::body::Body;
use axum::http::{Request, StatusCode, header};
use axum::routing::get;
use client_connections::{Clients, hold_answers};
use http_body_util::BodyExt;
use hyper::service::Service;
use hyper_util::service::TowerToHyperService;
use medlarpin_core::client_pressure::ClientLimits;
use medlarpin_core::prelude::ManualClock;

const ANSWER_BYTES: usize = 6_000;

/// Guards against answers that nobody reads and that are not counted, and against a refusal that does not say when
/// to come back.
#[tokio::test]
async fn answers_take_memory_until_they_are_read() {
    let limits = ClientLimits {
        held_bytes_max: 4 * ANSWER_BYTES,
        connections_max: 8,
        peers_max: 0,
    };
    let clients = Clients::with_limits(limits, Arc::new(ManualClock::new()));
    let router = Router::new().route("/", get(async || vec![7_u8; ANSWER_BYTES]));
    let service = TowerToHyperService::new(hold_answers(router, clients.clone()));
    let ask = async || {
        let request = Request::new(Body::empty());
        service.call(request).await.unwrap()
    };
    let first = ask().await;
    assert_eq!(first.status(), StatusCode::OK);
    assert_eq!(clients.used_bytes(), ANSWER_BYTES);
    let refused = ask().await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.headers()[header::RETRY_AFTER], "1");
    assert_eq!(clients.counts().denied, 1);
    let body = first.into_body().collect().await.unwrap();
    assert_eq!(body.to_bytes().len(), ANSWER_BYTES);
    assert_eq!(clients.used_bytes(), 0);
    assert_eq!(ask().await.status(), StatusCode::OK);
}
