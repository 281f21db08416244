use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use hyper::body::Incoming;
use medlarpin_core::prelude::Clock;

use crate::attempt_end::{AttemptEnd, LeafAnswer, LeafFailure};
use crate::caller_request::CallerRequest;
use crate::leaf::{Leaf, LeafConnection};
use crate::shared::Shared;

/// Largest answer of a leaf; larger ones would not fit beside others into a small VM's memory.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

/// Records the load of a leaf while a request is in flight; dropping it abandons the request.
struct InFlight {
    leaf: Arc<Leaf>,
    clock: Arc<dyn Clock>,
    sent_at: Instant,
    usual: Duration,
    is_recorded: bool,
}

impl InFlight {
    fn start(shared: &Shared, leaf: &Arc<Leaf>, usual: Duration) -> Self {
        let sent_at = shared.now();
        leaf.load.lock().sent(sent_at);
        Self {
            leaf: Arc::clone(leaf),
            clock: Arc::clone(&shared.clock),
            sent_at,
            usual,
            is_recorded: false,
        }
    }

    fn finish(mut self, end: &AttemptEnd) {
        self.is_recorded = true;
        let now = self.clock.now();
        let mut load = self.leaf.load.lock();
        match end {
            Ok(_) => load.answered(now.saturating_duration_since(self.sent_at), self.usual, now),
            Err(LeafFailure::Shed) => load.shed(now),
            Err(LeafFailure::ConnectionLimit | LeafFailure::Encoding) => {}
            Err(LeafFailure::BrokenOff | LeafFailure::Foreign) => load.answer_lost(now),
            Err(LeafFailure::Connect | LeafFailure::OtherLeaf) => load.failed(now),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.clock.now();
        let mut load = self.leaf.load.lock();
        load.ended(self.sent_at);
        if !self.is_recorded {
            let waited = now.saturating_duration_since(self.sent_at);
            load.abandoned(waited, self.usual, now);
        }
    }
}

/// Sends a request to a leaf and reads the whole answer.
pub(crate) async fn run_attempt(
    shared: Arc<Shared>,
    leaf: Arc<Leaf>,
    request: Arc<CallerRequest>,
    at_most_once: bool,
    usual: Duration,
) -> AttemptEnd {
    let in_flight = InFlight::start(&shared, &leaf, usual);
    let end = exchange(&shared, &leaf, &request, at_most_once).await;
    in_flight.finish(&end);
    end
}

async fn exchange(
    shared: &Shared,
    leaf: &Arc<Leaf>,
    request: &CallerRequest,
    at_most_once: bool,
) -> AttemptEnd {
    let connections_max = shared.connections_max(&leaf.entry.service);
    let mut connection = leaf
        .connect(connections_max, at_most_once, shared.now())
        .await?;
    loop {
        let leaf_request = request
            .for_leaf(leaf.entry.id.as_str(), shared.now())
            .ok_or(LeafFailure::Encoding)?;
        let LeafConnection {
            mut sender,
            is_kept,
        } = connection;
        match sender.try_send_request(leaf_request).await {
            Ok(response) => return read_answer(shared, leaf, request, response, sender).await,
            Err(mut error) => {
                // The message comes back if nothing of it was written.
                let not_written = error.take_message().is_some();
                if !not_written {
                    return Err(LeafFailure::BrokenOff);
                }
                if !is_kept {
                    return Err(LeafFailure::Connect);
                }
                connection = leaf.open_new(connections_max).await?;
            }
        }
    }
}

async fn read_answer(
    shared: &Shared,
    leaf: &Leaf,
    request: &CallerRequest,
    response: Response<Incoming>,
    sender: hyper::client::conn::http1::SendRequest<http_body_util::Full<Bytes>>,
) -> AttemptEnd {
    let (parts, body) = response.into_parts();
    let head = platform::parse_leaf_head(parts.status, &parts.headers, &request.id);
    if !head.matches_request {
        return Err(LeafFailure::Foreign);
    }
    let body = Limited::new(body, ANSWER_LIMIT_BYTES)
        .collect()
        .await
        .map_err(|_error| LeafFailure::BrokenOff)?
        .to_bytes();
    if head.is_other_leaf {
        return Err(LeafFailure::OtherLeaf);
    }
    leaf.put_back(sender, head.idle_timeout, shared.now());
    if head.not_executed {
        return Err(LeafFailure::Shed);
    }
    Ok(LeafAnswer {
        status: parts.status,
        headers: parts.headers,
        stamp: head.stamp.ok_or(LeafFailure::Foreign)?,
        body,
    })
}
