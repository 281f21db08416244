//! HTTP as a caller uses it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::error::QuickstartError;

/// Far above each deadline: a call that takes longer hangs.
const REPLY_LIMIT: Duration = Duration::from_secs(10);

/// A JSON reply.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl Reply {
    /// Returns a text of the body; empty if it is missing.
    pub(crate) fn text(&self, key: &str) -> &str {
        self.body[key].as_str().unwrap_or_default()
    }

    /// Returns the length of a list of the body.
    pub(crate) fn count(&self, key: &str) -> usize {
        self.body[key].as_array().map_or(0, Vec::len)
    }
}

/// A client that never repeats a request: a hidden repetition would spoil the counts of runs.
#[derive(Debug)]
pub(crate) struct CallerClient(Client<HttpConnector, Full<Bytes>>);

impl CallerClient {
    pub(crate) fn new() -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build_http();
        Self(client)
    }

    /// Posts JSON, valid or not.
    pub(crate) async fn post(
        &self,
        address: SocketAddr,
        path: &'static str,
        body: String,
    ) -> Result<Reply, QuickstartError> {
        let reply = tokio::time::timeout(REPLY_LIMIT, self.exchange(address, path, body)).await;
        let reply = reply.ok().flatten();
        reply.ok_or(QuickstartError::NoAnswer { address, path })
    }

    async fn exchange(&self, address: SocketAddr, path: &str, body: String) -> Option<Reply> {
        let request = Request::post(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .body(Full::from(body))
            .ok()?;
        let (head, body) = self.0.request(request).await.ok()?.into_parts();
        let bytes = body.collect().await.ok()?.to_bytes();
        Some(Reply {
            status: head.status.as_u16(),
            body: serde_json::from_slice(&bytes).ok()?,
        })
    }
}
