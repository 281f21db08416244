//! The leaf's HTTP protocol: search, cancellation and health.

use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::{SemaphorePermit, oneshot};

use super::Leaf;
use super::counters::{GaugeGuard, Run};
use super::faults::{Faults, HealthReport, HealthState, Refusal, ReplyFault};
use crate::server::{self, CloseConnection, Handler, Reply};

/// Backoff in the refusal of a queued request whose deadline passed or which was cancelled; small,
/// as a busy leaf would ask for.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(10);

/// Requests that wait for a slot, by request identifier; dropping the sender cancels the request.
pub(super) type QueuedRequests = HashMap<String, oneshot::Sender<()>>;

/// Returns the rows of a correct reply to a request.
#[must_use]
pub fn expected_rows(service: &str, version: u64, shard: u32, query: &str) -> Vec<String> {
    let row = |n| format!("lot={query} shard={shard} version={version} service={service} row={n}");
    vec![row(0), row(1)]
}

#[derive(Debug, Deserialize)]
struct SearchRequest<'a> {
    #[serde(borrow)]
    request_id: Cow<'a, str>,
    #[serde(borrow)]
    team: Cow<'a, str>,
    #[serde(borrow)]
    query: Cow<'a, str>,
    index_version: u64,
    shard: u32,
    deadline_ms: u64,
}

#[derive(Debug, Deserialize)]
struct CancelRequest<'a> {
    #[serde(borrow)]
    request_id: Cow<'a, str>,
}

#[derive(Debug, Serialize)]
struct SearchReply<'a> {
    request_id: &'a str,
    index_version: u64,
    shard: u32,
    rows: Vec<String>,
}

#[derive(Debug, Serialize)]
struct RefusalReply {
    error: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    versions: Option<Vec<u64>>,
}

impl Handler for Leaf {
    type Connection = GaugeGuard;

    fn connect(self: &Arc<Self>) -> Option<GaugeGuard> {
        let guard = self.counters.connections.enter();
        if guard.current > self.config.connection_limit as u64 {
            self.counters.rejected_connections.add_one();
            return None;
        }
        Some(guard)
    }

    async fn handle(self: &Arc<Self>, request: Request<Incoming>) -> Reply {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/search") => self.search(&read_body(request).await?).await,
            (&Method::POST, "/cancel") => Ok(self.cancel(&read_body(request).await?)),
            (&Method::GET, "/health") => Ok(self.health()),
            _ => Ok(server::empty(StatusCode::NOT_FOUND)),
        }
    }
}

async fn read_body(request: Request<Incoming>) -> Result<Bytes, CloseConnection> {
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|_error| CloseConnection)?;
    Ok(body.to_bytes())
}

impl Leaf {
    async fn search(self: &Arc<Self>, body: &[u8]) -> Reply {
        let Ok(request) = serde_json::from_slice::<SearchRequest<'_>>(body) else {
            return Ok(server::empty(StatusCode::BAD_REQUEST));
        };
        let arrived_at = Instant::now();
        self.counters.record_request();
        let _in_flight = self.counters.in_flight.enter();
        let faults = Arc::clone(&self.faults.read());
        if let Some(refusal) = faults.refusal {
            return Ok(refuse(refusal));
        }
        let Some(slot) = self.wait_for_slot(&request, arrived_at).await else {
            return Ok(refuse(Refusal::Shedding {
                retry_after: SHED_RETRY_AFTER,
            }));
        };
        if !self
            .index_versions
            .read()
            .contains(request.index_version, request.shard)
        {
            return Ok(self.version_gone());
        }
        self.run(&request, &faults, slot).await
    }

    /// Waits for a slot; returns `None` if the deadline passes or the request is cancelled.
    async fn wait_for_slot(
        &self,
        request: &SearchRequest<'_>,
        arrived_at: Instant,
    ) -> Option<SemaphorePermit<'_>> {
        if request.deadline_ms == 0 {
            return None;
        }
        if let Ok(slot) = self.slots.try_acquire() {
            return Some(slot);
        }
        let deadline = arrived_at + Duration::from_millis(request.deadline_ms);
        let (_queued, cancelled) = QueuedRequest::add(self, &request.request_id);
        tokio::select! {
            slot = self.slots.acquire() => slot.ok(),
            _ = cancelled => None,
            () = tokio::time::sleep_until(deadline.into()) => None,
        }
    }

    async fn run(
        self: &Arc<Self>,
        request: &SearchRequest<'_>,
        faults: &Faults,
        slot: SemaphorePermit<'_>,
    ) -> Reply {
        let run_number = self.counters.record_run(Run {
            request_id: request.request_id.to_string(),
            team: request.team.to_string(),
            query: request.query.to_string(),
            shard: request.shard,
            index_version: request.index_version,
            at: Instant::now(),
        });
        let service_time = self
            .counters
            .service_time(self.config.service_time, run_number);
        tokio::time::sleep(service_time + faults.extra_delay).await;
        if let Some(rule) = &faults.crash
            && request.query.contains(&rule.text)
        {
            self.counters.crashes.add_one();
            self.go_down(rule.down_for);
            return Err(CloseConnection);
        }
        drop(slot);
        if let ReplyFault::Late(delay) = faults.reply {
            tokio::time::sleep(delay).await;
        }
        self.reply(request, faults.reply)
    }

    fn reply(&self, request: &SearchRequest<'_>, fault: ReplyFault) -> Reply {
        let mut request_id = request.request_id.as_ref();
        let (mut version, mut shard) = (request.index_version, request.shard);
        match fault {
            ReplyFault::Garbage => return Ok(server::json(StatusCode::OK, "{\"request_id\": [")),
            ReplyFault::OtherRequest => request_id = "00000000000000000000000000000000-1",
            ReplyFault::OtherShard => shard += 1,
            ReplyFault::OtherVersion => version += 1,
            ReplyFault::None | ReplyFault::Late(_) | ReplyFault::Oversized(_) => {}
        }
        let rows = match fault {
            ReplyFault::Oversized(size) => vec!["x".repeat(size)],
            ReplyFault::OtherRequest => {
                expected_rows(&self.config.service, version, shard, "other query")
            }
            _ => expected_rows(&self.config.service, version, shard, &request.query),
        };
        render(
            StatusCode::OK,
            &SearchReply {
                request_id,
                index_version: version,
                shard,
                rows,
            },
        )
    }

    fn version_gone(&self) -> Response<Full<Bytes>> {
        self.counters.version_gone.add_one();
        let versions = Some(self.index_versions.read().versions());
        render_refusal(
            StatusCode::CONFLICT,
            &RefusalReply {
                error: "version_gone",
                retry_after_ms: None,
                versions,
            },
        )
    }

    fn cancel(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(request) = serde_json::from_slice::<CancelRequest<'_>>(body) else {
            return server::empty(StatusCode::BAD_REQUEST);
        };
        if self
            .queue
            .lock()
            .remove(request.request_id.as_ref())
            .is_some()
        {
            self.counters.cancelled.add_one();
        }
        server::empty(StatusCode::NO_CONTENT)
    }

    fn health(&self) -> Response<Full<Bytes>> {
        let faults = Arc::clone(&self.faults.read());
        let true_report = || HealthReport {
            state: match faults.refusal {
                Some(Refusal::Draining) => HealthState::Draining,
                Some(Refusal::Shedding { .. }) | None => HealthState::Ready,
            },
            load: (self.counters.in_flight.current() as f64 / self.config.slots as f64).min(1.0),
            versions: self.index_versions.read().versions(),
        };
        let report = faults.health.clone().unwrap_or_else(true_report);
        render(StatusCode::OK, &report)
            .unwrap_or_else(|CloseConnection| server::empty(StatusCode::INTERNAL_SERVER_ERROR))
    }
}

/// A queued request. Dropping it removes it from the queue, also if the connection is lost.
struct QueuedRequest<'a> {
    leaf: &'a Leaf,
    request_id: &'a str,
}

impl<'a> QueuedRequest<'a> {
    fn add(leaf: &'a Leaf, request_id: &'a str) -> (Self, oneshot::Receiver<()>) {
        let (cancel, cancelled) = oneshot::channel();
        leaf.queue.lock().insert(request_id.to_owned(), cancel);
        (Self { leaf, request_id }, cancelled)
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.leaf.queue.lock().remove(self.request_id);
    }
}

fn refuse(refusal: Refusal) -> Response<Full<Bytes>> {
    let (error, retry_after) = match refusal {
        Refusal::Shedding { retry_after } => ("shedding", retry_after),
        Refusal::Draining => ("draining", Duration::ZERO),
    };
    let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
    render_refusal(
        StatusCode::SERVICE_UNAVAILABLE,
        &RefusalReply {
            error,
            retry_after_ms: Some(retry_after_ms),
            versions: None,
        },
    )
}

fn render_refusal(status: StatusCode, refusal: &RefusalReply) -> Response<Full<Bytes>> {
    render(status, refusal)
        .unwrap_or_else(|CloseConnection| server::empty(StatusCode::INTERNAL_SERVER_ERROR))
}

fn render(status: StatusCode, value: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(value).map_err(|_error| CloseConnection)?;
    Ok(server::json(status, body))
}
