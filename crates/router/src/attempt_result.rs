use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};
use serde::Serialize;

/// A complete answer of a leaf that ran the request.
#[derive(Debug)]
pub(crate) struct LeafAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// Signature of the answer by the leaf.
    pub(crate) stamp: HeaderValue,
    /// Holds its part of the memory for clients.
    pub(crate) body: Bytes,
}

/// Why a leaf request gave no answer; the variants' names appear in log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum LeafFailure {
    /// No connection could be opened.
    Connect,
    /// All connections that this daemon may open to the leaf are in use.
    ConnectionLimit,
    /// There is no memory for the buffers of a connection.
    NoMemory,
    /// The leaf asked for no requests before this one was sent.
    Paused,
    /// The leaf's failure domain was evacuated before the request was sent.
    Evacuated,
    /// The leaf is cold and got another request of this daemon before this one was sent.
    Cold,
    /// The leaf rejected the request without running it, because of its load.
    Shed,
    /// The address now belongs to another leaf, which did not run the request.
    OtherLeaf,
    /// The connection failed after the request was sent, or the answer is malformed.
    BrokenOff,
    /// The answer exceeds the limit, or the memory that the answers in progress leave.
    TooLarge,
    /// No answer has such a status.
    Status,
    /// The answer has the identifier of another request or none, or no signature.
    Foreign,
    /// The request cannot be encoded as an HTTP request to a leaf.
    Encoding,
    /// The request may run at most once and may be running already, or its caller was told that it never runs.
    NotAllowed,
}

impl LeafFailure {
    /// Returns the value of the `failure` label in metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::ConnectionLimit => "connection_limit",
            Self::NoMemory => "no_memory",
            Self::Paused => "paused",
            Self::Evacuated => "evacuated",
            Self::Cold => "cold",
            Self::Shed => "shed",
            Self::OtherLeaf => "other_leaf",
            Self::BrokenOff => "broken_off",
            Self::TooLarge => "too_large",
            Self::Status => "status",
            Self::Foreign => "foreign",
            Self::Encoding => "encoding",
            Self::NotAllowed => "not_allowed",
        }
    }

    /// Returns true if the request reached no leaf of its service.
    pub(crate) fn is_not_arrived(self) -> bool {
        match self {
            Self::Connect
            | Self::ConnectionLimit
            | Self::NoMemory
            | Self::Paused
            | Self::Evacuated
            | Self::Cold
            | Self::OtherLeaf
            | Self::Encoding
            | Self::NotAllowed => true,
            Self::Shed | Self::BrokenOff | Self::TooLarge | Self::Status | Self::Foreign => false,
        }
    }

    /// Returns true if the leaf may have run the request.
    pub(crate) fn may_have_run(self) -> bool {
        match self {
            Self::BrokenOff | Self::TooLarge | Self::Status | Self::Foreign | Self::NotAllowed => {
                true
            }
            Self::Connect
            | Self::ConnectionLimit
            | Self::NoMemory
            | Self::Paused
            | Self::Evacuated
            | Self::Cold
            | Self::Shed
            | Self::OtherLeaf
            | Self::Encoding => false,
        }
    }
}

/// The result of one leaf request.
pub(crate) type AttemptResult = Result<LeafAnswer, LeafFailure>;
