use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use medlarpin_core::routing::NotRun;

use crate::callers::Answer;
use crate::event::Event;
use crate::refusal::Refusal;

/// What a caller or another daemon is told about a request.
#[derive(Debug)]
pub(crate) struct BackedReply {
    /// Has a status that promises that the request has not run only if that was proven.
    result: Result<Answer, Refusal>,
}

impl BackedReply {
    /// Creates the reply. A result that promises too much becomes a failure that promises nothing.
    pub(crate) fn new(
        result: Result<Answer, Refusal>,
        not_run: Option<NotRun>,
        request_id: Option<&HeaderValue>,
    ) -> Self {
        let status = match &result {
            Ok(answer) => answer.status(),
            Err(refusal) => refusal.status(),
        };
        if not_run.is_some() || !platform::promises_not_run(status) {
            return Self { result };
        }
        Event::PromiseUnproven {
            request: id_text(request_id),
            status: status.as_u16(),
            reason: result.err(),
        }
        .log();
        Self {
            result: Err(Refusal::LeafsFailed),
        }
    }

    /// Returns the status of the answer, or the refusal.
    pub(crate) fn outcome(&self) -> Result<StatusCode, Refusal> {
        match &self.result {
            Ok(answer) => Ok(answer.status()),
            Err(refusal) => Err(*refusal),
        }
    }

    /// Returns the answer to send.
    pub(crate) fn into_answer(self, request_id: Option<&HeaderValue>) -> Answer {
        self.result.unwrap_or_else(|refusal| {
            let mut response = Response::new(Full::new(Bytes::new()));
            *response.status_mut() = refusal.status();
            *response.headers_mut() = platform::refusal_headers(request_id, refusal.retry_after());
            response
        })
    }
}

/// Returns an identifier for log lines, or "none" if it is missing or not visible ASCII.
pub(crate) fn id_text(request_id: Option<&HeaderValue>) -> &str {
    request_id.and_then(|id| id.to_str().ok()).unwrap_or("none")
}
