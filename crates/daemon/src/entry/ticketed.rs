//! Single-use tickets: issues them, forwards ticketed queries to the issuer and runs each ticket's
//! query at most once.

use std::rc::Rc;
use std::sync::Arc;

use axum::http::StatusCode;
use axum::response::Response;
use medlarpin_core::prelude::*;
use medlarpin_core::tickets::{RedeemOutcome, Ticket};
use serde::Serialize;
use tokio::sync::oneshot;
use wire::{CallerAnswer, CallerQuery};

use crate::entry::answer::{AnswerBody, OutcomeName};
use crate::entry::http::{answer_response, json_response};
use crate::entry::request::{Query, RequestError};
use crate::entry::run::{QueryResult, run_query};
use crate::logging::ENTRY;
use crate::query_memory::QueryMemory;
use crate::shared::Shared;
use crate::workers::Worker;

/// Retry-after time of a team that has too many unused tickets.
const TICKET_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Debug, Serialize)]
struct IssuedBody {
    ticket: String,
    expires_in_ms: u64,
}

/// Issues a ticket to a team.
pub fn issue(shared: &Shared, team: &TeamName) -> Response {
    let now = shared.clock.now();
    let random = rand::random();
    let issued = shared.tickets.lock().issue(team, random, now);
    let events = &shared.metrics.tickets;
    match issued {
        Ok(ticket) => {
            events.with_label_values(&["issued"]).inc();
            let body = IssuedBody {
                ticket: ticket.to_string(),
                expires_in_ms: shared.settings.ticket_lifetime_ms,
            };
            // The body holds only a string and a number, which always serialise.
            json_response(
                StatusCode::OK,
                serde_json::to_vec(&body).unwrap_or_default().into(),
            )
        }
        Err(refusal) => {
            events.with_label_values(&["refused"]).inc();
            log::info!(target: ENTRY, "Team {team} was refused a ticket: {refusal}.");
            let outcome = not_run(NotRunReason::TicketLimit, TICKET_RETRY_AFTER);
            let request = RequestId(rand::random());
            let service = ServiceName::new("");
            let body = AnswerBody::without_rows(request, team, &service, outcome);
            shared.record_recent_answer(&body);
            answer_response(shared, &body)
        }
    }
}

/// Runs a caller's ticketed query here or at the ticket's issuer.
pub async fn run(
    worker: &Rc<Worker>,
    query: Query,
    ticket: &str,
    memory: Arc<QueryMemory>,
    sender: oneshot::Sender<QueryResult>,
) {
    let result = match ticket.parse::<Ticket>() {
        Ok(ticket) if ticket.issuer == *worker.shared.local_vm() => {
            run_as_issuer(worker, query, ticket, memory).await
        }
        Ok(ticket) => forward_to_issuer(worker, &query, &ticket).await,
        Err(error) => Err(RequestError::TicketMalformed(error.to_string())),
    };
    // A caller that has disconnected gets the recorded outcome when it submits the ticket again.
    let _ = sender.send(result);
}

/// Runs a ticketed query that another daemon's entry forwarded to this one.
pub async fn run_forwarded(worker: &Rc<Worker>, forwarded: CallerQuery) -> CallerAnswer {
    let now = worker.shared.clock.now();
    let ticket = forwarded.ticket.parse::<Ticket>();
    let query = Query {
        request: forwarded.request,
        team: forwarded.team,
        service: forwarded.service,
        text: forwarded.query.into(),
        shards: forwarded.shards,
        deadline: now + forwarded.time_left,
        idempotent: false,
    };
    let result = match ticket {
        Ok(ticket) => {
            let memory = QueryMemory::new(&worker.shared.clients.callers);
            run_as_issuer(worker, query, ticket, Arc::new(memory)).await
        }
        Err(error) => Err(RequestError::TicketMalformed(error.to_string())),
    };
    match result {
        Ok(body) => CallerAnswer {
            http_status: body.outcome.status().as_u16(),
            body: body.to_json(),
        },
        Err(error) => CallerAnswer {
            http_status: error.status().as_u16(),
            body: Vec::new(),
        },
    }
}

async fn run_as_issuer(
    worker: &Rc<Worker>,
    query: Query,
    ticket: Ticket,
    memory: Arc<QueryMemory>,
) -> QueryResult {
    let shared = Arc::clone(&worker.shared);
    // A ticket is bound to one exact request, so the fingerprint includes the requested shards.
    let fingerprint = ticket_fingerprint(&query);
    loop {
        let finished = shared.ticket_run_finished.notified();
        tokio::pin!(finished);
        // Registers before the check, so that a run that finishes in between is not missed.
        finished.as_mut().enable();
        let now = shared.clock.now();
        if shared.check_pause(now).is_err() {
            // An earlier submission may have run before the pause, so the outcome cannot be
            // `not_run`. The ticket's state stays unchanged.
            return Ok(unknown(&query, UnknownReason::NoAnswer));
        }
        if shared.lifecycle.is_drained() {
            return Ok(unknown(&query, UnknownReason::IssuerLost));
        }
        let outcome = shared
            .tickets
            .lock()
            .redeem(&ticket, &query.team, fingerprint, now);
        match outcome {
            RedeemOutcome::MayRun => {
                return Ok(run_and_record(worker, query, ticket, memory).await);
            }
            RedeemOutcome::Running => {
                let time_left = query.deadline.saturating_duration_since(now);
                if tokio::time::timeout(time_left, finished).await.is_err() {
                    return Ok(unknown(&query, UnknownReason::NoAnswer));
                }
            }
            RedeemOutcome::Finished(bytes) => return Ok(replay(&shared, &query, &bytes)),
            RedeemOutcome::OutcomeDropped | RedeemOutcome::Unknown => {
                return Ok(unknown(&query, UnknownReason::OutcomeForgotten));
            }
            RedeemOutcome::WrongIssuer => return Ok(unknown(&query, UnknownReason::IssuerLost)),
            RedeemOutcome::Expired => {
                let outcome = not_run(NotRunReason::TicketInvalid, Duration::ZERO);
                return Ok(AnswerBody::without_rows(
                    query.request,
                    &query.team,
                    &query.service,
                    outcome,
                ));
            }
            RedeemOutcome::Mismatch => return Err(RequestError::TicketMismatch),
        }
    }
}

/// Runs the query to completion and records its outcome, even if the caller or the forwarding entry
/// disconnects.
async fn run_and_record(
    worker: &Rc<Worker>,
    query: Query,
    ticket: Ticket,
    memory: Arc<QueryMemory>,
) -> AnswerBody {
    let no_answer = unknown(&query, UnknownReason::NoAnswer);
    let worker = Rc::clone(worker);
    let run = tokio::task::spawn_local(async move {
        let shared = &worker.shared;
        let _in_flight = shared.lifecycle.track_request();
        let started_at = shared.clock.now();
        let mut body = run_query(&worker, &query, &memory).await;
        let now = shared.clock.now();
        let elapsed = now.saturating_duration_since(started_at);
        body.elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        let mut tickets = shared.tickets.lock();
        if body.outcome == OutcomeName::NotRun {
            tickets.release(&ticket);
        } else {
            tickets.finish(&ticket, body.to_json().into(), now);
        }
        drop(tickets);
        shared.metrics.tickets.with_label_values(&["run"]).inc();
        shared.ticket_run_finished.notify_waiters();
        body
    });
    run.await.unwrap_or(no_answer)
}

fn replay(shared: &Shared, query: &Query, bytes: &[u8]) -> AnswerBody {
    shared
        .metrics
        .tickets
        .with_label_values(&["replayed"])
        .inc();
    let Ok(mut body) = serde_json::from_slice::<AnswerBody>(bytes) else {
        return unknown(query, UnknownReason::OutcomeForgotten);
    };
    body.replayed = true;
    body
}

async fn forward_to_issuer(worker: &Rc<Worker>, query: &Query, ticket: &Ticket) -> QueryResult {
    let shared = &worker.shared;
    let view = shared.view();
    let restarted = {
        let fleet = shared.fleet.lock();
        let known = fleet.membership.incarnation(&ticket.issuer);
        known.is_some_and(|known| known > ticket.incarnation)
    };
    let Some(issuer) = view.vm_list().get(&ticket.issuer) else {
        return Ok(unknown(query, UnknownReason::IssuerLost));
    };
    if restarted {
        return Ok(unknown(query, UnknownReason::IssuerLost));
    }
    let time_left = query.deadline.saturating_duration_since(shared.clock.now());
    let forwarded = CallerQuery {
        request: query.request,
        team: query.team.clone(),
        service: query.service.clone(),
        query: query.text.to_string(),
        shards: query.shards.clone(),
        time_left,
        ticket: ticket.to_string(),
    };
    shared
        .metrics
        .tickets
        .with_label_values(&["forwarded"])
        .inc();
    match worker
        .peers
        .run(issuer.rpc_address, &forwarded, time_left)
        .await
    {
        Ok(reply) if reply.http_status == RequestError::TicketMismatch.status().as_u16() => {
            Err(RequestError::TicketMismatch)
        }
        Ok(reply) => Ok(serde_json::from_slice(&reply.body)
            .unwrap_or_else(|_error| unknown(query, UnknownReason::NoAnswer))),
        Err(error) => {
            // Even if this submission did not reach the issuer, an earlier one through another VM
            // may have run.
            let request = query.request;
            log::info!(
                target: ENTRY, "Request {request}: the call to the ticket's issuer failed: {error}."
            );
            Ok(unknown(query, UnknownReason::IssuerLost))
        }
    }
}

fn ticket_fingerprint(query: &Query) -> Fingerprint {
    let shards: Vec<u8> = query
        .shards
        .iter()
        .flat_map(|shard| shard.0.to_le_bytes())
        .collect();
    Fingerprint(medlarpin_core::ids::stable_hash(&[
        query.team.as_str().as_bytes(),
        query.service.as_str().as_bytes(),
        query.text.as_bytes(),
        &shards,
    ]))
}

fn unknown(query: &Query, reason: UnknownReason) -> AnswerBody {
    AnswerBody::without_rows(
        query.request,
        &query.team,
        &query.service,
        Outcome::Unknown { reason },
    )
}

fn not_run(reason: NotRunReason, retry_after: Duration) -> Outcome {
    Outcome::NotRun {
        reason,
        retry_after,
    }
}
