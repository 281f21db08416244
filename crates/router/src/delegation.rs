//! Queries that another daemon gathers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::{BodyExt, Full};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response};
use medlarpin_core::prelude::Clock;
use medlarpin_core::routing::{Route, RouteTarget, Scatter};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at};
use wire::peer_capnp::{header, route_peer};

use crate::caller_request::CallerRequest;
use crate::callers::{Answer, find_route, refusal_answer};
use crate::event::Event;
use crate::peers::{PeerConnection, USE_FOR, whole_ms};
use crate::refusal::Refusal;
use crate::route_state::RouteState;
use crate::scatter::gather;
use crate::shared::Shared;

/// Time that an answer of another daemon takes to the caller, beyond that of an own answer. The
/// daemon gathers as if the query had arrived earlier by as much: two hops of 1.4 ms, and some
/// 250 us of processor time on a VM with a twelfth of a core.
const WAY_BACK: Duration = Duration::from_millis(6);
/// Time for a new connection to another daemon; a VM that is gone does not answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(40);

/// How another daemon dealt with a query.
#[derive(Debug)]
enum Delegated {
    /// It gathered the query, or refused it for good.
    Answered(Answer),
    /// No leaf got the query.
    NotSent,
    /// It may have run the query.
    Failed(DelegationError),
    /// It did not answer until the deadline, and may have run the query.
    TimedOut,
}

/// Why a query that another daemon gathers has no answer.
#[derive(Debug, Display, Error)]
pub(crate) enum DelegationError {
    /// the exchange failed: {0}
    Rpc(#[from] capnp::Error),
    /// a text is not UTF-8: {0}
    Text(#[from] std::str::Utf8Error),
    /// the answer is not valid HTTP: {0}
    Http(#[from] hyper::http::Error),
}

/// A query for another daemon.
#[derive(Debug)]
struct PendingQuery {
    daemon: SocketAddr,
    request: Arc<CallerRequest>,
    reply: oneshot::Sender<Delegated>,
}

/// Hands queries to the task that holds the connections to other daemons.
#[derive(Debug, Clone)]
pub(crate) struct Delegations {
    queries: mpsc::UnboundedSender<PendingQuery>,
}

/// Sends queries to other daemons.
#[derive(Debug)]
pub(crate) struct DelegationTask {
    queries: mpsc::UnboundedReceiver<PendingQuery>,
}

/// A connection to another daemon and the time at which it was opened.
struct Connection {
    peer: PeerConnection,
    since: Instant,
}

/// A query and its route.
type RoutedQuery = (Arc<CallerRequest>, Arc<Route>);

/// Sorted by address, without duplicates.
type Connections = Rc<RefCell<Vec<(SocketAddr, Connection)>>>;

impl Delegations {
    pub(crate) fn new() -> (Self, DelegationTask) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (
            Self { queries: sender },
            DelegationTask { queries: receiver },
        )
    }

    /// Sends a query to another daemon; dropping the future cancels the query there.
    async fn send(&self, daemon: SocketAddr, request: Arc<CallerRequest>) -> Delegated {
        let (reply, answer) = oneshot::channel();
        let query = PendingQuery {
            daemon,
            request,
            reply,
        };
        // The task ends with the process only.
        if self.queries.send(query).is_err() {
            return Delegated::NotSent;
        }
        answer.await.unwrap_or(Delegated::NotSent)
    }
}

impl DelegationTask {
    /// Sends queries until the process ends. The connections stay on this task's thread.
    pub(crate) async fn run(mut self, clock: Arc<dyn Clock>) {
        let connections = Connections::default();
        while let Some(query) = self.queries.recv().await {
            let connections = Rc::clone(&connections);
            let clock = Arc::clone(&clock);
            spawn_local(async move {
                let PendingQuery {
                    daemon,
                    request,
                    mut reply,
                } = query;
                tokio::select! {
                    delegated = send(&connections, daemon, &request, &*clock) => {
                        // A caller that has left needs no answer.
                        let _ = reply.send(delegated);
                    }
                    () = reply.closed() => {}
                }
            });
        }
    }
}

/// Gathers a query, on another daemon if this VM is too small for it.
pub(crate) async fn gather_or_delegate(
    shared: &Arc<Shared>,
    scatter: &Scatter,
    route: &Arc<Route>,
    state: &Arc<RouteState>,
    request: &Arc<CallerRequest>,
) -> Result<Answer, Refusal> {
    let now = shared.now();
    let delegate = shared.delegate_for(scatter.shards.len(), route.target_latency, now);
    if let Some(daemon) = delegate {
        match delegate_to(shared, daemon, route, request).await {
            Delegated::Answered(answer) => return Ok(answer),
            Delegated::NotSent => Event::DelegateUnavailable {
                request: request.id_text(),
                daemon,
            }
            .log(),
            Delegated::Failed(error) => {
                Event::DelegationFailed {
                    request: request.id_text(),
                    daemon,
                    error: &error,
                }
                .log();
                return Err(Refusal::DaemonFailed);
            }
            Delegated::TimedOut => return Err(Refusal::TimedOut),
        }
    }
    gather(Arc::clone(shared), scatter, route, state, request).await
}

async fn delegate_to(
    shared: &Shared,
    daemon: SocketAddr,
    route: &Route,
    request: &Arc<CallerRequest>,
) -> Delegated {
    Event::Delegated {
        request: request.id_text(),
        daemon,
    }
    .log();
    shared.metrics.delegated.inc();
    let sent = shared.delegations.send(daemon, Arc::clone(request));
    tokio::pin!(sent);
    let late_at = (request.arrived_at + route.target_latency).min(request.deadline);
    let delegated = match timeout_at(late_at.into(), &mut sent).await {
        Ok(delegated) => delegated,
        Err(_late) => {
            shared.avoid_delegate(daemon, shared.now());
            timeout_at(request.deadline.into(), sent)
                .await
                .unwrap_or(Delegated::TimedOut)
        }
    };
    if !matches!(delegated, Delegated::Answered(_)) {
        shared.avoid_delegate(daemon, shared.now());
    }
    delegated
}

async fn send(
    connections: &Connections,
    daemon: SocketAddr,
    request: &CallerRequest,
    clock: &dyn Clock,
) -> Delegated {
    let Some(client) = client(connections, daemon, clock).await else {
        return Delegated::NotSent;
    };
    match exchange(&client, request, clock).await {
        Ok(Some(answer)) => Delegated::Answered(answer),
        Ok(None) => Delegated::NotSent,
        Err(error) => {
            forget(connections, daemon);
            Delegated::Failed(error)
        }
    }
}

/// Returns a client on a kept or a new connection; `None` if the daemon cannot be reached.
async fn client(
    connections: &Connections,
    daemon: SocketAddr,
    clock: &dyn Clock,
) -> Option<route_peer::Client> {
    let now = clock.now();
    let position = |connections: &[(SocketAddr, Connection)]| {
        connections.binary_search_by_key(&daemon, |(known, _)| *known)
    };
    if let Ok(index) = position(&connections.borrow()) {
        let kept = &connections.borrow()[index].1;
        if !kept.peer.is_closed() && now.saturating_duration_since(kept.since) < USE_FOR {
            return Some(kept.peer.client.clone());
        }
    }
    let opened = timeout(CONNECT_TIMEOUT, PeerConnection::open(daemon)).await;
    let peer = opened.ok()?.ok()?;
    let client = peer.client.clone();
    let kept = Connection { peer, since: now };
    let mut connections = connections.borrow_mut();
    match position(&connections) {
        Ok(index) => connections[index].1 = kept,
        Err(index) => connections.insert(index, (daemon, kept)),
    }
    Some(client)
}

fn forget(connections: &Connections, daemon: SocketAddr) {
    let mut connections = connections.borrow_mut();
    if let Ok(index) = connections.binary_search_by_key(&daemon, |(known, _)| *known) {
        connections.remove(index);
    }
}

/// Returns the other daemon's answer; `None` if it sent nothing to a leaf.
async fn exchange(
    client: &route_peer::Client,
    request: &CallerRequest,
    clock: &dyn Clock,
) -> Result<Option<Answer>, DelegationError> {
    let now = clock.now();
    let mut call = client.gather_query_request();
    let mut params = call.get();
    params.set_method(request.head.method.as_str());
    let path = request.head.uri.path_and_query();
    params.set_path(path.map_or("/", |path| path.as_str()));
    let age = now.saturating_duration_since(request.arrived_at);
    params.set_age_ms(whole_ms(age + WAY_BACK));
    params.set_time_left_ms(whole_ms(request.time_left(now)));
    params.set_body(&request.body);
    let headers = &request.head.headers;
    let list = params.init_headers(u32::try_from(headers.len()).unwrap_or(u32::MAX));
    write_headers(headers, list);
    let response = call.send().promise.await?;
    let reply = response.get()?;
    if !reply.get_is_served() {
        return Ok(None);
    }
    let body = Bytes::copy_from_slice(reply.get_body()?);
    let mut answer = Response::builder().status(reply.get_status());
    if let Some(headers) = answer.headers_mut() {
        *headers = read_headers(reply.get_headers()?)?;
    }
    Ok(Some(answer.body(Full::new(body))?))
}

/// Gathers a query of another daemon's caller.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    params: route_peer::gather_query_params::Reader<'_>,
    mut results: route_peer::GatherQueryResults,
) -> Result<(), capnp::Error> {
    let (request, route) = match read(shared, params) {
        Ok(Some(read)) => read,
        Ok(None) => return Ok(()),
        Err(error) => return Err(capnp::Error::failed(error.to_string())),
    };
    let RouteTarget::Scatter(scatter) = &route.target else {
        return Ok(());
    };
    let state = shared.route_state(&route);
    let gathered = gather(Arc::clone(shared), scatter, &route, &state, &request).await;
    Event::GatheredForDaemon {
        request: request.id_text(),
        refusal: gathered.as_ref().err().copied(),
        after_ms: (shared.now() - request.arrived_at).as_millis(),
    }
    .log();
    let answer = match gathered {
        Ok(answer) => answer,
        // The sender may still reach leafs that this daemon does not.
        Err(Refusal::NoLeaf) => return Ok(()),
        Err(refusal) => refusal_answer(refusal, Some(&request.id)),
    };
    let (head, body) = answer.into_parts();
    let Ok(body) = body.collect().await;
    let mut reply = results.get();
    reply.set_is_served(true);
    reply.set_status(head.status.as_u16());
    reply.set_body(&body.to_bytes());
    let list = reply.init_headers(u32::try_from(head.headers.len()).unwrap_or(u32::MAX));
    write_headers(&head.headers, list);
    Ok(())
}

/// Returns the query and its route; `None` if this daemon has no such route.
fn read(
    shared: &Shared,
    params: route_peer::gather_query_params::Reader<'_>,
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
    let found = find_route(shared, &caller, head.uri.path());
    let Some((_, route)) = found.ok().filter(|_| shared.is_ready()) else {
        return Ok(None);
    };
    let now = shared.now();
    let age = Duration::from_millis(params.get_age_ms().into());
    let time_left = Duration::from_millis(params.get_time_left_ms().into());
    let arrived_at = now.checked_sub(age).unwrap_or(now);
    let request = CallerRequest {
        id: caller.request_id,
        head,
        body: Bytes::copy_from_slice(params.get_body()?),
        arrived_at,
        deadline: (now + time_left).min(arrived_at + route.timeout),
        answer_by: arrived_at + route.target_latency,
    };
    Ok(Some((Arc::new(request), route)))
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
