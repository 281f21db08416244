use std::net::SocketAddr;
use std::time::Duration;

/// Why the platform gave no usable answer.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum PlatformError {
    /// no platform address is configured
    NoAddress,
    /// platform {address} did not answer within {limit:?}
    Timeout {
        /// Replica that was asked.
        address: SocketAddr,
        /// Time that it had.
        limit: Duration,
    },
    /// request to platform {address} failed: {source}
    Request {
        /// Replica that was asked.
        address: SocketAddr,
        /// Cause.
        source: hyper_util::client::legacy::Error,
    },
    /// platform {address} answered with status {status}
    Status {
        /// Replica that was asked.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
    },
    /// body from platform {address} broke off: {source}
    BodyInterrupted {
        /// Replica that was asked.
        address: SocketAddr,
        /// Cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// body from platform {address} exceeds {limit_bytes} bytes
    #[expect(clippy::doc_markdown, reason = "the message names its field")]
    BodyTooLarge {
        /// Replica that was asked.
        address: SocketAddr,
        /// Limit of the body.
        limit_bytes: usize,
    },
    /// body from platform {address} does not follow the protocol: {source}
    Malformed {
        /// Replica that was asked.
        address: SocketAddr,
        /// Cause.
        source: serde_json::Error,
    },
    /// platform {address} lists VM {vm:?} with an invalid {field}
    InvalidVm {
        /// Replica that was asked.
        address: SocketAddr,
        /// Name of the VM as listed.
        vm: String,
        /// Field that is not valid.
        field: &'static str,
    },
    /// platform {address} published revision {found}, which is not above {after}
    Stale {
        /// Replica that was asked.
        address: SocketAddr,
        /// Revision in the answer.
        found: u64,
        /// Revision that was already known.
        after: u64,
    },
    /// all {count} platform addresses failed; the last error: {last}
    AllFailed {
        /// Replicas that were asked.
        count: usize,
        /// Error of the replica that was asked last.
        last: Box<PlatformError>,
    },
}
