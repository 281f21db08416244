use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};
use serde::Serialize;

/// A leaf's whole answer.
#[derive(Debug)]
pub(crate) struct LeafAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// Signature of the answer.
    pub(crate) stamp: HeaderValue,
    pub(crate) body: Bytes,
}

/// Why a leaf gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum LeafFailure {
    /// No connection could be opened.
    Connect,
    /// All connections that this daemon may open to the leaf are in use.
    ConnectionLimit,
    /// The leaf turned the request away.
    Shed,
    /// Another leaf has the address.
    OtherLeaf,
    /// The exchange broke off after the request was sent.
    BrokenOff,
    /// The answer belongs to another request or has no signature.
    Foreign,
    /// The request could not be written in the leafs' protocol.
    Encoding,
}

impl LeafFailure {
    /// Returns the failure's label in metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::ConnectionLimit => "connection_limit",
            Self::Shed => "shed",
            Self::OtherLeaf => "other_leaf",
            Self::BrokenOff => "broken_off",
            Self::Foreign => "foreign",
            Self::Encoding => "encoding",
        }
    }

    /// Returns true if the leaf may have run the request.
    pub(crate) fn may_have_run(self) -> bool {
        match self {
            Self::BrokenOff | Self::Foreign => true,
            Self::Connect
            | Self::ConnectionLimit
            | Self::Shed
            | Self::OtherLeaf
            | Self::Encoding => false,
        }
    }
}

/// How one leaf request ended.
pub(crate) type AttemptEnd = Result<LeafAnswer, LeafFailure>;
