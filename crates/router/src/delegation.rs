//! The RPC with which one daemon serves a request for another one, both sides.

use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use client_connections::PeerResults;
use displaydoc::Display;
use http_body_util::{BodyExt, Full};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response};
use medlarpin_core::ids::LeafId;
use medlarpin_core::routing::{ConfigVersion, HINTS_MAX, Route, RunLedger};
use platform::LeafHeadError;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use wire::peer_capnp::{daemon_address, header, route_peer};

use crate::backed_reply::BackedReply;
use crate::caller_request::CallerRequest;
use crate::callers::{Answer, answer_by, find_route};
use crate::config_sync::{self, ConfigFetch};
use crate::event::Event;
use crate::handover::serve_on_own_leafs;
use crate::peer_pool::PeerPool;
use crate::peers::{len_u32, millis_u32};
use crate::refusal::Refusal;
use crate::shared::Shared;

#[cfg(test)]
mod tests;

/// Time that delegation adds to an answer: two hops of 1.4 ms each, and some 250 us of processor
/// time on a VM with a twelfth of a core. The other daemon treats the query as having arrived that
/// much earlier, so that its answer is in time.
const DELEGATION_DELAY: Duration = Duration::from_millis(6);
/// Age up to which another daemon is told, with an answer, that a leaf has said it is leaving: longer than a
/// request takes.
const DEPARTURES_AGE_MAX: Duration = Duration::from_secs(10);
/// Maximum number of such leafs in an answer; each takes some 40 bytes.
const DEPARTURES_MAX: usize = 64;
/// Outcome of a request that was sent to another daemon.
#[derive(Debug)]
pub(crate) enum DelegationOutcome {
    /// The daemon served the request, or gave a final refusal.
    Answered(Answer),
    /// The daemon was unreachable or could not serve the request; no leaf got it.
    NotServed {
        /// Daemons that have served requests of that daemon lately.
        reaching: Vec<SocketAddr>,
    },
    /// The daemon had a newer configuration in force, which this one has fetched; no leaf got the
    /// request.
    ConfigFetched,
    /// The RPC failed after the request was sent; leafs may have run it.
    Failed(DelegationError),
    /// The daemon did not answer by the deadline; leafs may have run the request.
    TimedOut,
}

impl DelegationOutcome {
    /// The daemon got nothing.
    fn not_reached() -> Self {
        let reaching = Vec::new();
        Self::NotServed { reaching }
    }
}

/// Why a delegated query got no usable answer from the daemon.
#[derive(Debug, Display, Error)]
pub(crate) enum DelegationError {
    /// RPC to the daemon failed: {0}
    Rpc(#[from] capnp::Error),
    /// the RPC has a text that is not UTF-8: {0}
    Text(#[from] std::str::Utf8Error),
    /// the RPC has an invalid HTTP head: {0}
    Http(#[from] hyper::http::Error),
    /// the RPC has an invalid status: {0}
    Status(#[from] LeafHeadError),
    /// the task of the RPC ended before its result was known
    Aborted,
}

/// A query for another daemon, and where its outcome is sent.
#[derive(Debug)]
struct DelegatedQuery {
    daemon: SocketAddr,
    request: Arc<CallerRequest>,
    /// True if leafs have answered an equal request lately.
    is_proven: bool,
    reply: oneshot::Sender<DelegationOutcome>,
}

/// Hands queries to the task that holds the connections to other daemons.
#[derive(Debug, Clone)]
pub(crate) struct Delegations {
    queries: mpsc::UnboundedSender<DelegatedQuery>,
}

/// The task that sends queries to other daemons and holds the connections to them.
#[derive(Debug)]
pub(crate) struct DelegationTask {
    queries: mpsc::UnboundedReceiver<DelegatedQuery>,
}

/// A query and its route.
type RoutedQuery = (Arc<CallerRequest>, Arc<Route>);

impl Delegations {
    pub(crate) fn new() -> (Self, DelegationTask) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (
            Self { queries: sender },
            DelegationTask { queries: receiver },
        )
    }

    /// Sends a request to another daemon; dropping the future cancels it there.
    pub(crate) async fn send(
        &self,
        daemon: SocketAddr,
        request: Arc<CallerRequest>,
        is_proven: bool,
    ) -> DelegationOutcome {
        let (reply, answer) = oneshot::channel();
        let query = DelegatedQuery {
            daemon,
            request,
            is_proven,
            reply,
        };
        // The receiving task runs until the process ends, so this fails only at shutdown.
        if self.queries.send(query).is_err() {
            return DelegationOutcome::not_reached();
        }
        // The task may have sent the request before it ended.
        let aborted = || DelegationOutcome::Failed(DelegationError::Aborted);
        answer.await.unwrap_or_else(|_ended| aborted())
    }
}

impl DelegationTask {
    /// Sends queries until the process ends. The connections are bound to this task's thread.
    pub(crate) async fn run(mut self, shared: Arc<Shared>) {
        let pool = Rc::new(PeerPool::default());
        while let Some(query) = self.queries.recv().await {
            let pool = Rc::clone(&pool);
            let shared = Arc::clone(&shared);
            spawn_local(async move {
                let DelegatedQuery {
                    daemon,
                    request,
                    is_proven,
                    mut reply,
                } = query;
                tokio::select! {
                    outcome = send(&pool, daemon, &request, is_proven, &shared) => {
                        // Fails only if the caller has disconnected, in which case the outcome is
                        // not needed.
                        let _ = reply.send(outcome);
                    }
                    () = reply.closed() => {
                        // The daemon did not answer in time, so that the connection may be silent.
                        if shared.now() >= request.deadline {
                            pool.remove(daemon);
                        }
                    }
                }
            });
        }
    }
}

async fn send(
    pool: &PeerPool,
    daemon: SocketAddr,
    request: &CallerRequest,
    is_proven: bool,
    shared: &Shared,
) -> DelegationOutcome {
    let Some(client) = pool.client(daemon, shared).await else {
        return DelegationOutcome::not_reached();
    };
    match call_serve_request(&client, request, is_proven, shared).await {
        Ok((DelegationOutcome::NotServed { reaching }, theirs)) => {
            match config_sync::fetch_newer(shared, daemon, theirs).await {
                Ok(ConfigFetch::Fetched) => DelegationOutcome::ConfigFetched,
                Ok(ConfigFetch::NotNeeded | ConfigFetch::Unusable) => {
                    DelegationOutcome::NotServed { reaching }
                }
                Err(error) => {
                    Event::DaemonUnreachable {
                        daemon,
                        error: &error,
                    }
                    .log();
                    DelegationOutcome::NotServed { reaching }
                }
            }
        }
        Ok((outcome, _)) => outcome,
        Err(error) => {
            pool.remove(daemon);
            DelegationOutcome::Failed(error)
        }
    }
}

/// Calls the other daemon and returns its answer, or that it did not serve the request, and the version
/// of its configuration.
async fn call_serve_request(
    client: &route_peer::Client,
    request: &CallerRequest,
    is_proven: bool,
    shared: &Shared,
) -> Result<(DelegationOutcome, ConfigVersion), DelegationError> {
    let now = shared.now();
    let mut call = client.serve_request_request();
    let mut params = call.get();
    params.set_method(request.head.method.as_str());
    let path = request.head.uri.path_and_query();
    params.set_path(path.map_or("/", |path| path.as_str()));
    let age = now.saturating_duration_since(request.arrived_at);
    params.set_age_ms(millis_u32(age + DELEGATION_DELAY));
    params.set_time_left_ms(millis_u32(request.time_left(now)));
    params.set_config_version(shared.config_version());
    params.set_is_proven(is_proven);
    params.set_body(&request.body);
    let headers = &request.head.headers;
    let list = params.init_headers(u32::try_from(headers.len()).unwrap_or(u32::MAX));
    write_headers(headers, list);
    let response = call.send().promise.await?;
    let reply = response.get()?;
    let config_version = ConfigVersion(reply.get_config_version());
    if !reply.get_is_served() {
        let reaching = read_addresses(reply.get_reaching()?);
        return Ok((DelegationOutcome::NotServed { reaching }, config_version));
    }
    for run in reply.get_leaving()?.iter().take(DEPARTURES_MAX) {
        shared.record_departure(&LeafId::new(run?.to_str()?));
    }
    let body = request.room.attach(reply.get_body()?.to_vec());
    let mut answer = Response::builder().status(reply.get_status());
    if let Some(headers) = answer.headers_mut() {
        *headers = read_headers(reply.get_headers()?)?;
    }
    let answer = answer.body(Full::new(body))?;
    // The other daemon may be of an older release, which passes on any number.
    platform::check_answer_status(answer.status())?;
    Ok((DelegationOutcome::Answered(answer), config_version))
}

/// Serves the RPC with which another daemon delegates a query to this one.
///
/// The results take memory of the connection until they are written; if there is none, the request is not
/// served, and no leaf gets it.
pub(crate) async fn answer_serve_request(
    shared: &Arc<Shared>,
    connection: &PeerResults,
    params: route_peer::ServeRequestParams,
    mut results: route_peer::ServeRequestResults,
) -> Result<(), capnp::Error> {
    results.get().set_config_version(shared.config_version());
    let decoded = decode_query(shared, params.get()?);
    // The message takes memory, which the request no longer needs.
    drop(params);
    let (request, route) = match decoded {
        Ok(Some(query)) => query,
        Ok(None) => return Ok(()),
        Err(error) => return Err(capnp::Error::failed(error.to_string())),
    };
    let expected_bytes = shared.route_state(&route).answer_size.expected_bytes();
    let Some(room) = connection.reserve(expected_bytes) else {
        return Ok(());
    };
    let _in_progress = shared.start_delegated();
    // A request is handed over once, so that it cannot go round between daemons.
    let served = serve_on_own_leafs(shared, &route, &request);
    let served = shared.planned_stop.limit(served).await;
    Event::GatheredForDaemon {
        request: request.id_text(),
        refusal: served.as_ref().err().copied(),
        after_ms: (shared.now() - request.arrived_at).as_millis(),
    }
    .log();
    let not_run = request.ledger.seal();
    // No leaf got the request, and the sender or a third daemon may reach one.
    if matches!(served, Err(Refusal::Unreachable)) && not_run.is_some() {
        let selector = shared.handover_selector.as_ref();
        let reaching = selector.map(|selector| selector.lock().latest_served(shared.now()));
        let reaching = reaching.unwrap_or_default();
        let list = results.get().init_reaching(len_u32(&reaching));
        write_addresses(&reaching, list);
        return Ok(());
    }
    let id = Some(&request.id);
    let answer = BackedReply::new(served, not_run, id).into_answer(id);
    let (head, body) = answer.into_parts();
    let Ok(body) = body.collect().await;
    let body = body.to_bytes();
    room.fill(body.len());
    let mut reply = results.get();
    let since = shared.now().checked_sub(DEPARTURES_AGE_MAX);
    let leaving = since.map(|since| shared.leafs.departures_since(since, DEPARTURES_MAX));
    write_runs(&leaving.unwrap_or_default(), reply.reborrow());
    reply.set_is_served(true);
    reply.set_status(head.status.as_u16());
    reply.set_body(&body);
    let list = reply.init_headers(u32::try_from(head.headers.len()).unwrap_or(u32::MAX));
    write_headers(&head.headers, list);
    Ok(())
}

/// Decodes the query and finds its route; `None` if this daemon has another configuration or no such
/// route, is starting, takes no more requests as it is stopping, or has no memory for the body.
fn decode_query(
    shared: &Shared,
    params: route_peer::serve_request_params::Reader<'_>,
) -> Result<Option<RoutedQuery>, DelegationError> {
    let mut head = Request::builder()
        .method(params.get_method()?.to_str()?)
        .uri(params.get_path()?.to_str()?);
    if let Some(headers) = head.headers_mut() {
        *headers = read_headers(params.get_headers()?)?;
    }
    let (head, ()) = head.body(())?.into_parts();
    let Ok(caller) = platform::parse_caller_head(&head) else {
        return Ok(None);
    };
    // The sender must not handle later requests as an older configuration says than this one. A daemon
    // of an older release states version 0.
    let theirs = params.get_config_version();
    if theirs != 0 && theirs != shared.config_version() {
        return Ok(None);
    }
    let found = find_route(shared, &caller, head.uri.path());
    let Some((_, route)) = found.ok().filter(|_| shared.is_started()) else {
        return Ok(None);
    };
    let now = shared.now();
    let age = Duration::from_millis(params.get_age_ms().into());
    let time_left = Duration::from_millis(params.get_time_left_ms().into());
    let arrived_at = now.checked_sub(age).unwrap_or(now);
    let body = params.get_body()?;
    let mut memory = shared.clients.callers.hold();
    let mut room = shared.clients.callers.hold();
    let answer_bytes = shared.route_state(&route).answer_size.expected_bytes();
    if !memory.try_grow(body.len()) || !room.try_grow(answer_bytes) {
        return Ok(None);
    }
    let request = CallerRequest {
        id: caller.request_id,
        head,
        body: memory.into_bytes(body.to_vec()),
        room: room.into(),
        arrived_at,
        deadline: (now + time_left).min(arrived_at + route.timeout),
        answer_by: answer_by(&route, arrived_at),
        ledger: RunLedger::new(route.repeatability),
        leaf_room: OnceLock::new(),
        identity: OnceLock::new(),
    };
    if params.get_is_proven() {
        let memory = &shared.crash_memory;
        memory.record_success_elsewhere(&request, &route.target, now);
    }
    let admitted = shared.planned_stop.admit_of_daemon(&route, &request, now);
    Ok(admitted.ok().map(|()| (Arc::new(request), route)))
}

fn write_runs(runs: &[LeafId], reply: route_peer::serve_request_results::Builder<'_>) {
    let mut list = reply.init_leaving(len_u32(runs));
    for (index, run) in (0..).zip(runs) {
        list.set(index, run.as_str());
    }
}

fn write_addresses(
    daemons: &[SocketAddr],
    mut list: capnp::struct_list::Builder<'_, daemon_address::Owned>,
) {
    for (index, daemon) in (0..).zip(daemons) {
        // VMs have only IPv4 addresses; the peer could not use any other.
        if let SocketAddr::V4(address) = daemon {
            let mut entry = list.reborrow().get(index);
            entry.set_ipv4(address.ip().to_bits());
            entry.set_port(address.port());
        }
    }
}

fn read_addresses(list: capnp::struct_list::Reader<'_, daemon_address::Owned>) -> Vec<SocketAddr> {
    let daemons = list.iter().take(HINTS_MAX);
    daemons
        .map(|entry| SocketAddrV4::new(entry.get_ipv4().into(), entry.get_port()).into())
        .collect()
}

fn write_headers(headers: &HeaderMap, mut list: capnp::struct_list::Builder<'_, header::Owned>) {
    for (index, (name, value)) in (0..).zip(headers) {
        let mut entry = list.reborrow().get(index);
        entry.set_name(name.as_str());
        entry.set_value(value.as_bytes());
    }
}

fn read_headers(
    list: capnp::struct_list::Reader<'_, header::Owned>,
) -> Result<HeaderMap, DelegationError> {
    let mut headers = HeaderMap::with_capacity(list.len() as usize);
    for entry in list {
        let name = HeaderName::from_bytes(entry.get_name()?.as_bytes())
            .map_err(hyper::http::Error::from)?;
        let value =
            HeaderValue::from_bytes(entry.get_value()?).map_err(hyper::http::Error::from)?;
        headers.append(name, value);
    }
    Ok(headers)
}
