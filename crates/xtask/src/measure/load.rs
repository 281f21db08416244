//! Open-loop load over HTTP with a planned arrival for each query.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy::Client as PooledClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;
use serde_json::json;
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc};

use super::fleet::SERVICE;

/// HTTP client that keeps idle connections for reuse.
pub(super) type Client = PooledClient<HttpConnector, Full<Bytes>>;

/// Limit of queries in flight, which bounds the generator's sockets and tasks; arrivals above it
/// count as not sent.
const MAX_IN_FLIGHT: usize = 4_000;
/// Far above each deadline, so that only a reply that never comes is timed out.
const REPLY_TIMEOUT: Duration = Duration::from_secs(15);
/// Below the daemons' shutdown grace of 2 s, so that no idle connection to a daemon that is about to
/// exit is used again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of the balancer's readiness checks.
const READINESS_INTERVAL: Duration = Duration::from_millis(100);

/// Creates a client that never repeats a request.
pub(super) fn client() -> Client {
    PooledClient::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build_http()
}

/// Sends a GET and returns status and text; `None` if no complete reply came.
pub(super) async fn get(client: &Client, address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let uri = format!("http://{address}{path}");
    let request = Request::get(uri).body(Full::default()).ok()?;
    let (status, body) = send(client, request).await?;
    Some((status, String::from_utf8(body.to_vec()).ok()?))
}

/// Posts a query and returns status and body; `None` if no complete reply came.
pub(super) async fn post(
    client: &Client,
    address: SocketAddr,
    body: String,
) -> Option<(u16, Bytes)> {
    let request = Request::post(format!("http://{address}/v1/query"))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::from(body))
        .ok()?;
    send(client, request).await
}

async fn send(client: &Client, request: Request<Full<Bytes>>) -> Option<(u16, Bytes)> {
    let exchange = async {
        let (head, body) = client.request(request).await.ok()?.into_parts();
        Some((head.status.as_u16(), body.collect().await.ok()?.to_bytes()))
    };
    tokio::time::timeout(REPLY_TIMEOUT, exchange).await.ok()?
}

/// Load balancer that sends queries round-robin to the daemons that report ready.
#[derive(Debug)]
pub(super) struct Balancer {
    targets: Vec<Target>,
    next: AtomicUsize,
}

#[derive(Debug)]
struct Target {
    query: SocketAddr,
    operator: SocketAddr,
    ready: AtomicBool,
}

impl Balancer {
    /// Creates a balancer from pairs of query and operator address; all daemons count as ready.
    pub(super) fn new(addresses: Vec<(SocketAddr, SocketAddr)>) -> Self {
        let target = |(query, operator)| Target {
            query,
            operator,
            ready: AtomicBool::new(true),
        };
        Self {
            targets: addresses.into_iter().map(target).collect(),
            next: AtomicUsize::new(0),
        }
    }

    /// Polls the daemons' readiness until the future is dropped.
    pub(super) async fn poll_readiness(&self, client: &Client) {
        loop {
            for target in &self.targets {
                let reply = get(client, target.operator, "/ready").await;
                let ready = reply.is_some_and(|(status, _)| status == 200);
                target.ready.store(ready, Ordering::Relaxed);
            }
            tokio::time::sleep(READINESS_INTERVAL).await;
        }
    }

    /// Returns the query address of the next ready daemon; if none is ready, of the next daemon.
    fn next_address(&self) -> SocketAddr {
        let count = self.targets.len();
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        let mut candidates = (0..count).map(|offset| &self.targets[(start + offset) % count]);
        let ready = candidates.find(|target| target.ready.load(Ordering::Relaxed));
        ready.unwrap_or(&self.targets[start % count]).query
    }
}

/// Query texts of a load.
#[derive(Debug, Clone, Copy)]
pub(super) enum Texts {
    /// This many texts in rotation, so that their fingerprints stay proven.
    Repeated(usize),
    /// A distinct text for each query, so that no fingerprint is proven.
    Distinct,
}

/// A part of a load with a constant arrival rate.
#[derive(Debug, Clone, Copy)]
pub(super) struct Phase {
    /// Mean arrivals a second.
    pub(super) rate_per_s: f64,
    /// Length of the phase.
    pub(super) duration: Duration,
}

/// Queries of one team with exponentially distributed gaps between the arrivals.
#[derive(Debug, Clone)]
pub(super) struct Load {
    /// Team of the queries.
    pub(super) team: &'static str,
    /// Phases in order.
    pub(super) phases: Vec<Phase>,
    pub(super) texts: Texts,
    /// Deadline of each query.
    pub(super) deadline_ms: u64,
    /// Seed of the arrivals.
    pub(super) seed: u64,
}

impl Load {
    /// Returns a load with one phase, a few repeated texts and a deadline of 2 s.
    pub(super) fn new(team: &'static str, rate_per_s: f64, duration_s: u64, seed: u64) -> Self {
        Self {
            team,
            phases: vec![Phase {
                rate_per_s,
                duration: Duration::from_secs(duration_s),
            }],
            texts: Texts::Repeated(16),
            deadline_ms: 2_000,
            seed,
        }
    }

    /// Returns the planned arrivals, counted from the start of the load.
    pub(super) fn arrivals(&self) -> Vec<Duration> {
        let mut random = SmallRng::seed_from_u64(self.seed);
        let mut arrivals = Vec::new();
        let mut phase_start = Duration::ZERO;
        for phase in &self.phases {
            let phase_end = phase_start + phase.duration;
            let mut at = phase_start;
            loop {
                let uniform: f64 = random.random();
                at += Duration::from_secs_f64(-(1.0 - uniform).ln() / phase.rate_per_s);
                if at >= phase_end {
                    break;
                }
                arrivals.push(at);
            }
            phase_start = phase_end;
        }
        arrivals
    }

    fn body(&self, number: usize) -> String {
        let text = match self.texts {
            Texts::Repeated(count) => format!("lot {}", number % count),
            Texts::Distinct => format!("lot {}-{number}", self.seed),
        };
        json!({
            "team": self.team,
            "service": SERVICE,
            "query": text,
            "deadline_ms": self.deadline_ms,
        })
        .to_string()
    }
}

/// Outcome of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// All shards covered.
    Complete,
    /// Some shards covered.
    Partial,
    /// Refused without running.
    NotRun,
    /// May have run.
    Unknown,
    /// No usable reply: the connection was refused or lost, the reply timed out, or it was not an
    /// answer, as for an invalid request.
    Lost,
    /// The generator had too many queries in flight.
    NotSent,
}

/// Times and outcome of one query.
#[derive(Debug, Clone, Copy)]
pub(super) struct Record {
    /// Planned arrival, counted from the start of the load.
    pub(super) planned: Duration,
    /// Time from the planned arrival until the generator handed the query to its runtime.
    pub(super) lateness: Duration,
    /// Time from the planned arrival to the end of the reply.
    pub(super) latency: Duration,
    pub(super) outcome: Outcome,
    /// Number of shards that the answer covers.
    pub(super) covered: usize,
}

/// The fields of an answer that are evaluated.
#[derive(Debug, Deserialize)]
struct Answer {
    outcome: String,
    covered: Vec<u32>,
}

/// Sends a load and returns all queries in the order of their planned arrivals.
///
/// The load stops early once `stop` is true.
pub(super) async fn run(
    client: &Client,
    balancer: &Arc<Balancer>,
    load: Load,
    stop: &Arc<AtomicBool>,
) -> Vec<Record> {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let generator = Generator {
        handle: Handle::current(),
        client: client.clone(),
        balancer: Arc::clone(balancer),
        stop: Arc::clone(stop),
        in_flight: Arc::new(Semaphore::new(MAX_IN_FLIGHT)),
    };
    // Sleeps on a dedicated thread, because the runtime's timer has a resolution of 1 ms.
    std::thread::spawn(move || generator.send_all(&load, &sender));
    let mut records = Vec::new();
    while let Some(record) = receiver.recv().await {
        records.push(record);
    }
    records.sort_by_key(|record: &Record| record.planned);
    records
}

struct Generator {
    handle: Handle,
    client: Client,
    balancer: Arc<Balancer>,
    stop: Arc<AtomicBool>,
    in_flight: Arc<Semaphore>,
}

impl Generator {
    fn send_all(&self, load: &Load, sender: &mpsc::UnboundedSender<Record>) {
        let started_at = Instant::now();
        for (number, planned) in load.arrivals().into_iter().enumerate() {
            let planned_at = started_at + planned;
            std::thread::sleep(planned_at.saturating_duration_since(Instant::now()));
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let mut record = Record {
                planned,
                lateness: planned_at.elapsed(),
                latency: Duration::ZERO,
                outcome: Outcome::NotSent,
                covered: 0,
            };
            let sender = sender.clone();
            let Ok(permit) = Arc::clone(&self.in_flight).try_acquire_owned() else {
                // Cannot fail: the receiver is dropped only after all senders.
                let _ = sender.send(record);
                continue;
            };
            let (client, address) = (self.client.clone(), self.balancer.next_address());
            let body = load.body(number);
            self.handle.spawn(async move {
                let reply = post(&client, address, body).await;
                record.latency = planned_at.elapsed();
                (record.outcome, record.covered) = parse_answer(reply);
                drop(permit);
                let _ = sender.send(record);
            });
        }
    }
}

fn parse_answer(reply: Option<(u16, Bytes)>) -> (Outcome, usize) {
    let answer = reply.and_then(|(_, body)| serde_json::from_slice::<Answer>(&body).ok());
    let Some(answer) = answer else {
        return (Outcome::Lost, 0);
    };
    let outcome = match answer.outcome.as_str() {
        "complete" => Outcome::Complete,
        "partial" => Outcome::Partial,
        "not_run" => Outcome::NotRun,
        "unknown" => Outcome::Unknown,
        _ => Outcome::Lost,
    };
    (outcome, answer.covered.len())
}
