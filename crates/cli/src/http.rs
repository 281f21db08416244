//! HTTP requests to a daemon.

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

/// Maximum size of a response body; a daemon's state in a deployment of the design size is a few MB.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Characters of a response body that an error message quotes.
const MAX_EXCERPT_CHARS: usize = 300;

/// A response with a JSON object as its body.
#[derive(Debug)]
pub(crate) struct JsonResponse {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

/// Sends a `POST` with `body`, or a `GET` if it is `None`, and parses the response as a JSON object.
pub(crate) async fn send_request(
    address: SocketAddr,
    path: &'static str,
    body: Option<&Value>,
    timeout: Duration,
) -> Result<JsonResponse, CliError> {
    let (method, bytes) = match body {
        Some(body) => (Method::POST, Bytes::from(body.to_string())),
        None => (Method::GET, Bytes::new()),
    };
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(bytes))
        .map_err(|source| CliError::BuildRequest { path, source })?;
    let (status, bytes) = tokio::time::timeout(timeout, send_http(address, request))
        .await
        .unwrap_or(Err(CliError::Timeout { address, timeout }))?;
    match serde_json::from_slice(&bytes) {
        Ok(body @ Value::Object(_)) => Ok(JsonResponse { status, body }),
        _ if status >= 300 => Err(CliError::UnexpectedStatus {
            address,
            path,
            status,
            body: excerpt(&bytes),
        }),
        _ => Err(CliError::NotJsonObject {
            address,
            path,
            body: excerpt(&bytes),
        }),
    }
}

async fn send_http(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(u16, Bytes), CliError> {
    // A retry by the HTTP client after a lost connection could run a query twice.
    let client = Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build_http();
    let response = client.request(request).await.map_err(|source| {
        if source.is_connect() {
            CliError::Connect { address, source }
        } else {
            CliError::ConnectionLost {
                address,
                source: Box::new(source),
            }
        }
    })?;
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|source| CliError::ConnectionLost { address, source })?;
    Ok((status, body.to_bytes()))
}

/// Returns the start of a response body for an error message.
pub(crate) fn excerpt(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let start: String = text.chars().take(MAX_EXCERPT_CHARS).collect();
    printable(&start)
}
