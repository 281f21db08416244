use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use client_connections::Room;
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Uri};
use medlarpin_core::ids::stable_hash;
use medlarpin_core::routing::{Dispatch, RunLedger};

use crate::attempt_result::LeafFailure;
use crate::leaf_room::LeafRoom;

/// A caller's request with its complete body.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// Identifier of the request, which is one attempt of the caller.
    pub(crate) id: HeaderValue,
    pub(crate) head: Parts,
    /// Holds its part of the memory for clients, also while a connection to a leaf refers to it.
    pub(crate) body: Bytes,
    /// Memory that is reserved for the answers.
    pub(crate) room: Room,
    pub(crate) arrived_at: Instant,
    /// The earlier of the caller's deadline and the end of the route's timeout.
    pub(crate) deadline: Instant,
    /// Deadline that leafs get while it lies ahead; after it they get `deadline`. A leaf that
    /// cannot answer by its deadline drops the request from its queue.
    pub(crate) answer_by: Instant,
    /// Has each dispatch of the request to a leaf or another daemon, from before its first byte is sent.
    pub(crate) ledger: RunLedger,
    /// Set before a leaf of this daemon gets the request.
    pub(crate) leaf_room: OnceLock<LeafRoom>,
    /// Set when a leaf gets the request.
    pub(crate) identity: OnceLock<Arc<RequestIdentity>>,
}

/// What tells a request from others, and equal ones from each other.
#[derive(Debug)]
pub(crate) struct RequestIdentity {
    /// Hash of the method, host, target and body; equal requests have the same one.
    pub(crate) content_hash: u64,
    /// Hash of the request's identifier.
    pub(crate) id_hash: u64,
    id: HeaderValue,
}

impl RequestIdentity {
    /// Returns the identifier for log lines, or "unreadable" if it is not visible ASCII.
    pub(crate) fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("unreadable")
    }
}

impl CallerRequest {
    /// Returns the identifier for log lines, or "unreadable" if it is not visible ASCII.
    pub(crate) fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("unreadable")
    }

    /// Returns what tells the request from others.
    pub(crate) fn identity(&self) -> &Arc<RequestIdentity> {
        self.identity.get_or_init(|| {
            let host = self.head.headers.get(HOST);
            let target = self.head.uri.path_and_query();
            Arc::new(RequestIdentity {
                content_hash: stable_hash(&[
                    self.head.method.as_str().as_bytes(),
                    host.map_or(&[], |host| host.as_bytes()),
                    target.map_or("/", |path| path.as_str()).as_bytes(),
                    &self.body,
                ]),
                id_hash: stable_hash(&[self.id.as_bytes()]),
                id: self.id.clone(),
            })
        })
    }

    /// Returns the approximate length of the head that a leaf gets.
    pub(crate) fn head_bytes(&self) -> usize {
        /// Separators of a line of the head.
        const LINE_BYTES: usize = 4;
        /// The first line without the path, and the headers that are added.
        const ADDED_BYTES: usize = 160;
        let path = self.head.uri.path_and_query();
        let headers = self.head.headers.iter();
        let lines = headers.map(|(name, value)| name.as_str().len() + value.len() + LINE_BYTES);
        ADDED_BYTES + path.map_or(0, |path| path.as_str().len()) + lines.sum::<usize>()
    }

    /// Returns the time until the deadline.
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Records a dispatch to a leaf and returns it with the request to send.
    ///
    /// # Errors
    ///
    /// Fails if the head cannot be encoded, or if the ledger allows no further dispatch.
    pub(crate) fn dispatch_to_leaf(
        &self,
        leaf: &str,
        now: Instant,
    ) -> Result<(Request<Full<Bytes>>, Dispatch<'_>), LeafFailure> {
        let request = self.for_leaf(leaf, now).ok_or(LeafFailure::Encoding)?;
        let dispatch = self.ledger.dispatch().ok_or(LeafFailure::NotAllowed)?;
        Ok((request, dispatch))
    }

    /// Returns the request for a leaf; `None` if its head cannot be encoded.
    fn for_leaf(&self, leaf: &str, now: Instant) -> Option<Request<Full<Bytes>>> {
        let leaf_deadline = if now < self.answer_by {
            self.answer_by.min(self.deadline)
        } else {
            self.deadline
        };
        let time_left = leaf_deadline.saturating_duration_since(now);
        let headers = platform::leaf_request_headers(&self.head.headers, leaf, time_left).ok()?;
        let path = self.head.uri.path_and_query()?.clone();
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = Uri::from(path);
        *request.headers_mut() = headers;
        Some(request)
    }
}
