use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Request, Uri};

/// A caller's request with its whole body.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// Identifier of this attempt of the caller.
    pub(crate) id: HeaderValue,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) arrived_at: Instant,
    /// The earlier of the caller's deadline and the route's timeout.
    pub(crate) deadline: Instant,
}

impl CallerRequest {
    /// Returns the request's identifier for log lines.
    pub(crate) fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("unreadable")
    }

    /// Returns the time until the deadline.
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Creates the request for a leaf.
    pub(crate) fn for_leaf(&self, leaf: &str, now: Instant) -> Option<Request<Full<Bytes>>> {
        let headers =
            platform::leaf_request_headers(&self.head.headers, leaf, self.time_left(now)).ok()?;
        let path = self.head.uri.path_and_query()?.clone();
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = Uri::from(path);
        *request.headers_mut() = headers;
        Some(request)
    }
}
