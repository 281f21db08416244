use std::sync::Arc;
use std::time::{Duration, Instant};

use client_connections::BodyError;
use hyper::Response;
use hyper::body::Incoming;
use medlarpin_core::prelude::Clock;
use medlarpin_core::routing::{LeafPhase, NoRunReason, RateStatement, StatedRate};

use crate::attempt_result::{AttemptResult, LeafAnswer, LeafFailure};
use crate::call_evidence::CallEvidence;
use crate::caller_request::CallerRequest;
use crate::event::Event;
use crate::leaf::{Leaf, LeafConnection};
use crate::leaf_rates::LeafRates;
use crate::shared::Shared;

/// Limit of the size of a leaf's answer. The memory for answers may allow less.
const ANSWER_BYTES_MAX: usize = 16 << 20;

/// Counts a request in the load of its leaf while it is in flight. Dropping the guard before
/// `finish` records the request as abandoned.
struct InFlightGuard {
    leaf: Arc<Leaf>,
    clock: Arc<dyn Clock>,
    sent_at: Instant,
    typical_latency: Duration,
    is_recorded: bool,
}

impl InFlightGuard {
    fn start(shared: &Shared, leaf: &Arc<Leaf>, typical_latency: Duration) -> Self {
        let sent_at = shared.now();
        leaf.load().sent(sent_at);
        Self {
            leaf: Arc::clone(leaf),
            clock: Arc::clone(&shared.clock),
            sent_at,
            typical_latency,
            is_recorded: false,
        }
    }

    fn finish(mut self, result: &AttemptResult) {
        self.is_recorded = true;
        let now = self.clock.now();
        let mut load = self.leaf.load();
        match result {
            Ok(_) => load.answered(
                now.saturating_duration_since(self.sent_at),
                self.typical_latency,
                now,
            ),
            Err(LeafFailure::Shed) => load.shed(now),
            Err(
                LeafFailure::ConnectionLimit
                | LeafFailure::NoMemory
                | LeafFailure::Paused
                | LeafFailure::Evacuated
                | LeafFailure::Cold
                | LeafFailure::Encoding
                | LeafFailure::NotAllowed,
            ) => {}
            Err(
                LeafFailure::BrokenOff
                | LeafFailure::Status
                | LeafFailure::Foreign
                | LeafFailure::TooLarge,
            ) => {
                load.answer_lost(now);
            }
            Err(LeafFailure::Connect) => load.failed(now),
            Err(LeafFailure::OtherLeaf) => load.replaced(),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let now = self.clock.now();
        let mut load = self.leaf.load();
        load.remove_in_flight(self.sent_at);
        if !self.is_recorded {
            let waited = now.saturating_duration_since(self.sent_at);
            load.abandoned(waited, self.typical_latency, now);
        }
    }
}

/// Sends a request to a leaf, reads the whole answer and records the result in the leaf's load.
///
/// With `at_most_once`, only connections that the leaf is unlikely to close meanwhile are reused.
pub(crate) async fn run_attempt(
    shared: Arc<Shared>,
    leaf: Arc<Leaf>,
    request: Arc<CallerRequest>,
    evidence: Arc<CallEvidence>,
    at_most_once: bool,
    typical_latency: Duration,
) -> AttemptResult {
    let was_reachable = leaf.load().unreachable().is_none();
    let in_flight = InFlightGuard::start(&shared, &leaf, typical_latency);
    let result = send_request(&shared, &leaf, &request, &evidence, at_most_once).await;
    in_flight.finish(&result);
    if was_reachable && matches!(result, Err(LeafFailure::Connect)) {
        LeafRates::new(&shared).assume_restarted(&leaf, shared.now());
    }
    result
}

async fn send_request(
    shared: &Shared,
    leaf: &Arc<Leaf>,
    request: &CallerRequest,
    evidence: &Arc<CallEvidence>,
    at_most_once: bool,
) -> AttemptResult {
    let connections_max = shared.connections_max(&leaf.entry.service);
    let request_hash = request.identity().id_hash;
    let mut connection = leaf
        .acquire(request_hash, connections_max, at_most_once, shared)
        .await?;
    if let Some(room) = request.leaf_room.get()
        && let Err(failure) = room.cover(shared, &connection.buffers)
    {
        leaf.release(connection, None, shared.now());
        return Err(failure);
    }
    let mut is_counted = false;
    loop {
        // The leaf may have asked for no requests while the connection was being opened.
        if leaf.load().pause_until(shared.now()).is_some() {
            leaf.release(connection, None, shared.now());
            return Err(LeafFailure::Paused);
        }
        // So may the operator; the connection is of no use then.
        if shared.leafs.is_evacuated(leaf) {
            shared.metrics.evacuation.unsent_requests.inc();
            return Err(LeafFailure::Evacuated);
        }
        let sent_at = shared.now();
        if !is_counted && !LeafRates::new(shared).take_cold_request(leaf, sent_at) {
            leaf.release(connection, None, sent_at);
            return Err(LeafFailure::Cold);
        }
        is_counted = true;
        let (leaf_request, dispatch) = request.dispatch_to_leaf(leaf.entry.id.as_str(), sent_at)?;
        connection.progress_limit.restart();
        connection.carried.record(request_hash);
        let on_wire = evidence.writing();
        let run = leaf
            .runs()
            .start(request, evidence, !connection.is_reused, &shared.clock);
        match connection.sender.try_send_request(leaf_request).await {
            Ok(response) => {
                connection.progress_limit.restart();
                let answer = read_answer(shared, leaf, request, sent_at, response, connection);
                let result = answer.await;
                if let Err(LeafFailure::Shed | LeafFailure::OtherLeaf) = result {
                    dispatch.disproved(NoRunReason::Rejected);
                }
                if !matches!(result, Err(LeafFailure::BrokenOff)) {
                    run.answered();
                }
                return result;
            }
            Err(mut error) => {
                // The error returns the message if no byte of it was written.
                let is_unsent = error.take_message().is_some();
                if !is_unsent {
                    return Err(LeafFailure::BrokenOff);
                }
                dispatch.disproved(NoRunReason::Unsent);
                run.not_sent();
                if !connection.is_reused {
                    return Err(LeafFailure::Connect);
                }
                drop(on_wire);
                connection = leaf.open_new(connections_max, shared).await?;
            }
        }
    }
}

fn record_pause(shared: &Shared, leaf: &Leaf, pause: Duration) {
    let now = shared.now();
    leaf.load().asked_for_pause(pause, now);
    Event::LeafAskedForPause {
        leaf: leaf.entry.id.as_str(),
        service: leaf.entry.service.as_str(),
        pause_ms: pause.as_millis(),
    }
    .log();
}

async fn read_answer(
    shared: &Shared,
    leaf: &Leaf,
    request: &CallerRequest,
    sent_at: Instant,
    response: Response<Incoming>,
    connection: LeafConnection,
) -> AttemptResult {
    let (parts, body) = response.into_parts();
    let head = platform::parse_leaf_head(parts.status, &parts.headers, &request.id)
        .map_err(|_status| LeafFailure::Status)?;
    if !head.matches_request {
        return Err(LeafFailure::Foreign);
    }
    if !head.is_other_leaf {
        leaf.record_stated_load(head.stated_load, shared.now());
    }
    let progress = || connection.progress_limit.restart();
    let body = shared
        .clients
        .callers
        .read(body, ANSWER_BYTES_MAX, Some(&request.room), progress);
    let body = body.await.map_err(|error| match error {
        BodyError::BrokenOff => LeafFailure::BrokenOff,
        BodyError::TooLarge | BodyError::OutOfMemory => LeafFailure::TooLarge,
    })?;
    if head.is_other_leaf {
        return Err(LeafFailure::OtherLeaf);
    }
    if let Some(pause) = head.pause {
        record_pause(shared, leaf, pause);
    }
    if head.phase == LeafPhase::Draining {
        shared.record_departure(&leaf.entry.run_id());
    }
    // A rejection without a limit does not end one: it may come from the leaf's listener.
    if !head.not_executed || head.stated_rate != StatedRate::Unlimited {
        let statement = RateStatement {
            stated: head.stated_rate,
            asked_at: sent_at,
            heard_at: shared.now(),
        };
        LeafRates::new(shared).record_statement(leaf, statement);
    }
    if let Some(room) = request.leaf_room.get() {
        room.record(&connection.buffers);
    }
    leaf.release(connection, head.idle_timeout, shared.now());
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
