//! HTTP client for the tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// Far longer than any deadline that a test sets, so a call that exceeds it is hanging.
const REPLY_TIMEOUT: Duration = Duration::from_mins(1);

/// A reply of a daemon.
#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub headers: HeaderMap,
    pub text: String,
    /// Null if the text is not JSON.
    pub body: Value,
}

impl Reply {
    /// Returns the outcome named in the body.
    pub fn outcome(&self) -> &str {
        self.body["outcome"].as_str().unwrap_or_default()
    }

    /// Returns the shards that the answer covers.
    pub fn covered(&self) -> Vec<u64> {
        let covered = self.body["covered"].as_array().into_iter().flatten();
        covered.filter_map(Value::as_u64).collect()
    }

    /// Returns the shards that the answer does not cover, with their reasons.
    pub fn uncovered(&self) -> Vec<(u64, String)> {
        let uncovered = self.body["uncovered"].as_array().into_iter().flatten();
        uncovered
            .filter_map(|entry| {
                Some((
                    entry["shard"].as_u64()?,
                    entry["reason"].as_str()?.to_owned(),
                ))
            })
            .collect()
    }
}

/// A client that opens a new connection for each request, like callers behind a load balancer, and
/// never retries: a hidden retry would distort the leafs' run counts.
#[derive(Debug, Clone)]
pub struct HttpClient(Client<HttpConnector, Full<Bytes>>);

impl HttpClient {
    pub fn new() -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build_http();
        Self(client)
    }

    /// Sends a GET request; `None` if the connection was refused or lost.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<Reply> {
        self.send("GET", address, path, None, String::new()).await
    }

    /// Posts JSON; `None` if the connection was refused or lost.
    pub async fn post(&self, address: SocketAddr, path: &str, body: &Value) -> Option<Reply> {
        self.send(
            "POST",
            address,
            path,
            Some("application/json"),
            body.to_string(),
        )
        .await
    }

    /// Sends a request; `None` if the connection was refused or lost.
    pub async fn send(
        &self,
        method: &str,
        address: SocketAddr,
        path: &str,
        content_type: Option<&str>,
        body: String,
    ) -> Option<Reply> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        if let Some(content_type) = content_type {
            request = request.header(CONTENT_TYPE, content_type);
        }
        let request = request.body(Full::from(body)).expect("a valid request");
        let exchange = async {
            let (head, body) = self.0.request(request).await.ok()?.into_parts();
            Some((head, body.collect().await.ok()?.to_bytes()))
        };
        let exchange = tokio::time::timeout(REPLY_TIMEOUT, exchange).await;
        let (head, body) = exchange.unwrap_or_else(|_| {
            panic!("no reply to {method} {path} from {address} within {REPLY_TIMEOUT:?}")
        })?;
        let text = String::from_utf8(body.to_vec()).ok()?;
        Some(Reply {
            status: head.status.as_u16(),
            headers: head.headers,
            body: serde_json::from_str(&text).unwrap_or(Value::Null),
            text,
        })
    }
}
