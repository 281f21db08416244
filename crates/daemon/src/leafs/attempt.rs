//! One attempt to fetch a shard's rows from one leaf.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use medlarpin_core::prelude::*;
use tokio::sync::oneshot;

use crate::leafs::connection::{ConnectError, Connection};
use crate::leafs::permit::Permit;
use crate::leafs::protocol::{CancelBody, ExchangeError, LeafReply, LeafRequest, exchange};
use crate::leafs::slot::{Grant, LeafSlot};
use crate::logging::LEAF;
use crate::query_memory::QueryMemory;
use crate::workers::Worker;

/// How long after the deadline a late answer is still awaited, so that the request keeps its
/// connection and its slot while the leaf may still be working on it. Also the timeout of the
/// request that cancels it.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an attempt sent nothing to the leaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotSentReason {
    /// The queue could not serve the request before its deadline.
    QueueFull,
    /// The leaf is draining or lost.
    Unavailable,
    /// No connection could be opened.
    NoConnection,
    /// The deadline passed before the request was sent.
    DeadlinePassed,
    /// This daemon was paused and has not rejoined the fleet.
    Paused,
    /// This daemon does not hold the leaf.
    NotHeld,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The shard's rows.
    Rows(Vec<String>),
    /// The leaf no longer holds the version and did not run the request.
    VersionGone,
    /// The leaf is overloaded and did not run the request.
    Refused,
    /// The leaf is draining and did not run the request.
    Draining,
    /// Nothing was sent to the leaf.
    NotSent(NotSentReason),
    /// The connection was lost while the leaf may have run the request.
    Lost,
    /// The reply cannot be used; the leaf may have run the request.
    InvalidReply,
    /// There is no memory for the reply; the leaf may have run the request.
    NoMemory,
    /// The deadline passed without an answer; the leaf may have run the request.
    DeadlinePassed,
}

/// Sends one request to a held leaf and waits for its answer until the deadline.
///
/// Dropping the future cancels the request at the leaf. `on_sent` is called with the queue wait
/// just before the request is sent.
pub async fn attempt(
    worker: &Rc<Worker>,
    slot: &Arc<LeafSlot>,
    request: LeafRequest,
    memory: Arc<QueryMemory>,
    weight: u32,
    deadline: Instant,
    on_sent: impl FnOnce(Duration),
) -> AttemptOutcome {
    let permit = match wait_for_permit(worker, slot, &request, weight, deadline).await {
        Ok(permit) => permit,
        Err(reason) => return AttemptOutcome::NotSent(reason),
    };
    let connection = match slot.connections.acquire().await {
        Ok(connection) => connection,
        Err(error) => {
            drop(permit);
            if !matches!(error, ConnectError::ShareExhausted | ConnectError::Closed) {
                slot.record_connection_lost();
            }
            return AttemptOutcome::NotSent(NotSentReason::NoConnection);
        }
    };
    // This process may have been paused while it waited for the permit and the connection.
    if let Err(reason) = check_still_allowed(worker, deadline) {
        connection.recycle();
        return AttemptOutcome::NotSent(reason);
    }
    on_sent(permit.queue_wait());
    let (sender, receiver) = oneshot::channel();
    let request_in_flight = InFlightRequest {
        slot: Arc::clone(slot),
        request,
        memory,
        permit,
        connection,
        deadline,
        clock: Arc::clone(&worker.shared.clock),
    };
    tokio::task::spawn_local(request_in_flight.run(sender));
    let time_left = deadline.saturating_duration_since(worker.shared.clock.now());
    match tokio::time::timeout(time_left, receiver).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_task_lost)) => AttemptOutcome::Lost,
        Err(_elapsed) => AttemptOutcome::DeadlinePassed,
    }
}

async fn wait_for_permit(
    worker: &Worker,
    slot: &Arc<LeafSlot>,
    request: &LeafRequest,
    weight: u32,
    deadline: Instant,
) -> Result<Permit, NotSentReason> {
    let receiver = slot
        .enqueue(&request.team, weight, deadline)
        .map_err(|_refusal| NotSentReason::QueueFull)?;
    let time_left = deadline.saturating_duration_since(worker.shared.clock.now());
    let grant = tokio::time::timeout(time_left, receiver).await;
    match grant {
        Ok(Ok(Grant::Permit(permit))) => Ok(permit),
        Ok(Ok(Grant::Unavailable)) => Err(NotSentReason::Unavailable),
        Ok(Ok(Grant::Expired) | Err(_)) | Err(_) => Err(NotSentReason::DeadlinePassed),
    }
}

fn check_still_allowed(worker: &Worker, deadline: Instant) -> Result<(), NotSentReason> {
    let now = worker.shared.clock.now();
    if worker.shared.check_pause(now).is_err() {
        return Err(NotSentReason::Paused);
    }
    if now >= deadline {
        return Err(NotSentReason::DeadlinePassed);
    }
    Ok(())
}

type Exchanged = Result<(StatusCode, Bytes), ExchangeError>;

/// A request being sent.
///
/// It runs in its own task that outlives a cancelled attempt, so that the leaf's slot stays
/// occupied until the leaf has answered.
struct InFlightRequest {
    slot: Arc<LeafSlot>,
    request: LeafRequest,
    /// Memory of the query, which its replies use.
    memory: Arc<QueryMemory>,
    permit: Permit,
    connection: Connection,
    deadline: Instant,
    clock: Arc<dyn Clock>,
}

impl InFlightRequest {
    async fn run(mut self, mut sender: oneshot::Sender<AttemptOutcome>) {
        let outcome = match self.send(&mut sender).await {
            Some(result) => self.finish(result),
            None => AttemptOutcome::DeadlinePassed,
        };
        // Fails only if the attempt was cancelled.
        let _ = sender.send(outcome);
    }

    /// Sends the request and reads the reply.
    ///
    /// Returns `None` if a cancelled request gets no reply within [`LATE_ANSWER_TIMEOUT`] after its
    /// deadline.
    async fn send(&mut self, waiter: &mut oneshot::Sender<AttemptOutcome>) -> Option<Exchanged> {
        let time_left = self.deadline.saturating_duration_since(self.clock.now());
        let body = self.request.to_json(time_left);
        let connection = self.connection.sender()?;
        let authority = self.slot.connections.authority();
        let memory = Some(&*self.memory);
        let reply = exchange(connection, Method::POST, "/search", authority, body, memory);
        tokio::pin!(reply);
        tokio::select! {
            result = &mut reply => Some(result),
            () = waiter.closed() => {
                let late = tokio::time::timeout(time_left + LATE_ANSWER_TIMEOUT, &mut reply);
                let cancel = cancel(&self.slot, &self.request);
                tokio::join!(late, cancel).0.ok()
            }
        }
    }

    fn finish(self, result: Exchanged) -> AttemptOutcome {
        let (status, body) = match result {
            Ok(reply) => reply,
            Err(ExchangeError::NotSent) => {
                return AttemptOutcome::NotSent(NotSentReason::NoConnection);
            }
            Err(ExchangeError::Lost(error)) => {
                log::debug!(
                    target: LEAF, "Request {}: connection to leaf {} lost: {error}.",
                    self.request.id(), self.slot.leaf.id
                );
                drop(self.permit);
                self.slot.record_connection_lost();
                return AttemptOutcome::Lost;
            }
            Err(ExchangeError::NoMemory) => return AttemptOutcome::NoMemory,
            Err(ExchangeError::Status(_) | ExchangeError::Body | ExchangeError::Request(_)) => {
                return AttemptOutcome::InvalidReply;
            }
        };
        match self.request.parse_reply(status, &body) {
            Ok(reply) => {
                self.connection.recycle();
                accept_reply(&self.slot, self.permit, self.request.version, reply)
            }
            Err(error) => {
                // After one wrong reply the next one on this connection may be wrong too, so the
                // connection is closed.
                let id = self.request.id();
                log::debug!(
                    target: LEAF, "Request {id}: leaf {} sent an invalid reply: {error}.",
                    self.slot.leaf.id
                );
                AttemptOutcome::InvalidReply
            }
        }
    }
}

fn accept_reply(
    slot: &Arc<LeafSlot>,
    permit: Permit,
    version: IndexVersion,
    reply: LeafReply,
) -> AttemptOutcome {
    match reply {
        LeafReply::Rows(rows) => {
            permit.answered();
            AttemptOutcome::Rows(rows)
        }
        LeafReply::VersionGone { versions } => {
            permit.answered();
            slot.clear_gone_versions(&versions);
            slot.mark_version_gone(version);
            AttemptOutcome::VersionGone
        }
        LeafReply::Shedding { retry_after } => {
            permit.shed(retry_after);
            AttemptOutcome::Refused
        }
        LeafReply::Draining => {
            drop(permit);
            slot.record_draining();
            AttemptOutcome::Draining
        }
    }
}

/// Asks the leaf to cancel a request; the request's reply still arrives on its own connection.
async fn cancel(slot: &LeafSlot, request: &LeafRequest) {
    let id = request.id();
    let Ok(body) = serde_json::to_vec(&CancelBody { request_id: &id }) else {
        return;
    };
    let Ok(mut connection) = slot.connections.acquire().await else {
        return;
    };
    let Some(sender) = connection.sender() else {
        return;
    };
    let authority = slot.connections.authority();
    let reply = exchange(
        sender,
        Method::POST,
        "/cancel",
        authority,
        body.into(),
        None,
    );
    let reply = tokio::time::timeout(LATE_ANSWER_TIMEOUT, reply).await;
    if matches!(reply, Ok(Ok(_))) {
        connection.recycle();
    }
}
