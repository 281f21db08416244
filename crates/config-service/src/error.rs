use std::net::SocketAddr;
use std::time::Duration;

/// Error of a call to the platform.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum PlatformError {
    /// no platform address is configured
    NoAddress,
    /// platform {address} did not answer within {limit:?}
    Timeout {
        /// Replica that was called.
        address: SocketAddr,
        /// Timeout of the call.
        limit: Duration,
    },
    /// request to platform {address} failed: {source}
    Request {
        /// Replica that was called.
        address: SocketAddr,
        /// Underlying error.
        source: hyper_util::client::legacy::Error,
    },
    /// platform {address} answered with status {status}
    Status {
        /// Replica that was called.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
    },
    /// body from platform {address} was cut off: {source}
    BodyInterrupted {
        /// Replica that was called.
        address: SocketAddr,
        /// Underlying error.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// body from platform {address} exceeds {limit_bytes} bytes
    #[expect(clippy::doc_markdown, reason = "the message names its field")]
    BodyTooLarge {
        /// Replica that was called.
        address: SocketAddr,
        /// Maximum size of the body.
        limit_bytes: usize,
    },
    /// body from platform {address} does not follow the protocol: {source}
    Malformed {
        /// Replica that was called.
        address: SocketAddr,
        /// Underlying error.
        source: serde_json::Error,
    },
    /// platform {address} lists VM {vm:?} with an invalid {field}
    InvalidVm {
        /// Replica that was called.
        address: SocketAddr,
        /// Name of the VM as listed.
        vm: String,
        /// Name of the invalid field.
        field: &'static str,
    },
    /// platform {address} published revision {found}, which is not above {after}
    Stale {
        /// Replica that was called.
        address: SocketAddr,
        /// Revision in the response.
        found: u64,
        /// Revision that was already known.
        after: u64,
    },
    /// all {count} platform addresses failed; the last error: {last}
    AllFailed {
        /// Number of replicas that were called.
        count: usize,
        /// Error of the replica that was called last.
        last: Box<PlatformError>,
    },
}
