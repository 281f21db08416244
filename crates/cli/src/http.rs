//! One HTTP exchange with a daemon.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::error::CliError;
use crate::report::printable;

/// The state of a daemon at the design size is a few MB.
const BODY_LIMIT_BYTES: usize = 64 << 20;
const QUOTE_LIMIT_CHARS: usize = 300;

/// A JSON answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

/// Sends a request and reads the JSON object in its answer; the body of `None` is a `GET`.
pub(crate) async fn exchange(
    address: SocketAddr,
    path: &'static str,
    body: Option<&Value>,
    limit: Duration,
) -> Result<Answer, CliError> {
    let (method, bytes) = match body {
        Some(body) => (Method::POST, Bytes::from(body.to_string())),
        None => (Method::GET, Bytes::new()),
    };
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(bytes))
        .map_err(|source| CliError::Request { path, source })?;
    let (status, bytes) = tokio::time::timeout(limit, send(address, request))
        .await
        .unwrap_or(Err(CliError::Timeout { address, limit }))?;
    match serde_json::from_slice(&bytes) {
        Ok(body @ Value::Object(_)) => Ok(Answer { status, body }),
        _ if status >= 300 => Err(CliError::Status {
            address,
            path,
            status,
            body: quote(&bytes),
        }),
        _ => Err(CliError::NotJson {
            address,
            path,
            body: quote(&bytes),
        }),
    }
}

async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(u16, Bytes), CliError> {
    // A retry after a lost connection could run a query twice.
    let client = Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build_http();
    let response = client.request(request).await.map_err(|source| {
        if source.is_connect() {
            CliError::Connect { address, source }
        } else {
            CliError::Broken {
                address,
                source: Box::new(source),
            }
        }
    })?;
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), BODY_LIMIT_BYTES)
        .collect()
        .await
        .map_err(|source| CliError::Broken { address, source })?;
    Ok((status, body.to_bytes()))
}

/// Returns the start of a body for an error.
pub(crate) fn quote(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let start: String = text.chars().take(QUOTE_LIMIT_CHARS).collect();
    printable(&start)
}
