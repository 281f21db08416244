//! HTTP client that sends requests as a caller does.

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

/// Far above the deadline of every query: a request that takes longer is treated as hung.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// A response with a JSON body.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl Reply {
    /// Returns a string field of the body; empty if it is missing.
    pub(crate) fn text(&self, key: &str) -> &str {
        self.body[key].as_str().unwrap_or_default()
    }

    /// Returns the length of a list in the body; 0 if it is missing.
    pub(crate) fn list_len(&self, key: &str) -> usize {
        self.body[key].as_array().map_or(0, Vec::len)
    }
}

/// An HTTP client without automatic retries, which would distort the number of runs that the steps
/// check.
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

    /// Posts a body as JSON without validating it.
    pub(crate) async fn post(
        &self,
        address: SocketAddr,
        path: &'static str,
        body: String,
    ) -> Result<Reply, QuickstartError> {
        let reply = tokio::time::timeout(REPLY_TIMEOUT, self.try_post(address, path, body)).await;
        let reply = reply.ok().flatten();
        reply.ok_or(QuickstartError::NoAnswer { address, path })
    }

    async fn try_post(&self, address: SocketAddr, path: &str, body: String) -> Option<Reply> {
        let request = Request::post(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .body(Full::from(body))
            .ok()?;
        let (parts, body) = self.0.request(request).await.ok()?.into_parts();
        let bytes = body.collect().await.ok()?.to_bytes();
        Some(Reply {
            status: parts.status.as_u16(),
            body: serde_json::from_slice(&bytes).ok()?,
        })
    }
}
