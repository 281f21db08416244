//! Reads request bodies up to a size limit.

use axum::body::Body;
use bytes::Bytes;
use client_connections::{BodyError, Clients};
use http_body_util::BodyExt;
use medlarpin_core::prelude::*;

use crate::entry::request::RequestError;

#[cfg(test)]
mod tests;

/// Maximum bytes of an oversized body that are read and discarded before the refusal.
const DISCARD_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Maximum time in which a body has to arrive; a caller that stops in the middle would otherwise
/// hold its connection for ever.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time spent on discarding an oversized body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads a body.
///
/// The rest of an oversized body is read and discarded, up to a limit of bytes and time: if the
/// connection were closed while the caller still sends, it would see a connection reset instead of
/// the refusal.
///
/// # Errors
///
/// Fails if the body exceeds the limit, the transfer breaks off, it takes too long, or no memory is left.
pub async fn read_body(
    clients: &Clients,
    body: Body,
    limit_bytes: usize,
) -> Result<Bytes, RequestError> {
    tokio::time::timeout(BODY_TIMEOUT, read_all(clients, body, limit_bytes))
        .await
        .unwrap_or(Err(RequestError::BodyTimedOut))
}

async fn read_all(
    clients: &Clients,
    mut body: Body,
    limit_bytes: usize,
) -> Result<Bytes, RequestError> {
    let error = match clients.read(&mut body, limit_bytes, None, || {}).await {
        Ok(bytes) => return Ok(bytes),
        Err(BodyError::BrokenOff) => return Err(RequestError::BodyLost),
        Err(BodyError::TooLarge) => RequestError::BodyTooLarge { limit_bytes },
        Err(BodyError::OutOfMemory) => RequestError::OutOfMemory,
    };
    // The request is refused whether or not the rest arrives before the time-out.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard(body)).await;
    Err(error)
}

async fn discard(mut body: Body) {
    let mut discarded_bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
        if discarded_bytes > DISCARD_LIMIT_BYTES {
            return;
        }
    }
}
