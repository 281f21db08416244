//! HTTP client of the tests.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// An HTTP client with its own connection pool; clones share the pool.
#[derive(Debug, Clone)]
pub struct TestClient(Client<HttpConnector, Full<Bytes>>);

impl TestClient {
    pub fn new() -> Self {
        Self(Client::builder(TokioExecutor::new()).build_http())
    }

    /// Returns the status and the JSON body, or `None` if the connection was refused or lost.
    pub async fn send(
        &self,
        address: SocketAddr,
        path: &str,
        body: Option<&Value>,
    ) -> Option<(StatusCode, Value)> {
        let method = if body.is_some() { "POST" } else { "GET" };
        let body = body.map(Value::to_string).unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::from(body))
            .expect("a valid request");
        let response = self.0.request(request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
    }
}
