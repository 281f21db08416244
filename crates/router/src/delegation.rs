//! Delegation of queries: another daemon fans the query out and gathers the answers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

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
use tokio::time::timeout_at;
use wire::peer_capnp::{header, route_peer};

use crate::caller_request::CallerRequest;
use crate::callers::{Answer, find_route, refusal_answer};
use crate::event::Event;
use crate::peer_pool::PeerPool;
use crate::peers::millis_u32;
use crate::refusal::Refusal;
use crate::route_state::RouteState;
use crate::scatter::gather;
use crate::shared::Shared;

/// Time that delegation adds to an answer: two hops of 1.4 ms each, and some 250 us of processor
/// time on a VM with a twelfth of a core. The other daemon treats the query as having arrived that
/// much earlier, so that its answer is in time.
const DELEGATION_DELAY: Duration = Duration::from_millis(6);
/// Outcome of a query that was delegated to another daemon.
#[derive(Debug)]
enum DelegationOutcome {
    /// The daemon gathered the query, or gave a final refusal.
    Answered(Answer),
    /// The daemon was unreachable or could not serve the query; no leaf ran it.
    NotServed,
    /// The RPC failed after the query was sent; leafs may have run it.
    Failed(DelegationError),
    /// The daemon did not answer by the deadline; leafs may have run the query.
    TimedOut,
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
}

/// A query for another daemon, and where its outcome is sent.
#[derive(Debug)]
struct DelegatedQuery {
    daemon: SocketAddr,
    request: Arc<CallerRequest>,
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

    /// Sends a query to another daemon; dropping the future cancels the query there.
    async fn send(&self, daemon: SocketAddr, request: Arc<CallerRequest>) -> DelegationOutcome {
        let (reply, answer) = oneshot::channel();
        let query = DelegatedQuery {
            daemon,
            request,
            reply,
        };
        // The receiving task runs until the process ends, so this fails only at shutdown.
        if self.queries.send(query).is_err() {
            return DelegationOutcome::NotServed;
        }
        answer.await.unwrap_or(DelegationOutcome::NotServed)
    }
}

impl DelegationTask {
    /// Sends queries until the process ends. The connections are bound to this task's thread.
    pub(crate) async fn run(mut self, clock: Arc<dyn Clock>) {
        let pool = Rc::new(PeerPool::default());
        while let Some(query) = self.queries.recv().await {
            let pool = Rc::clone(&pool);
            let clock = Arc::clone(&clock);
            spawn_local(async move {
                let DelegatedQuery {
                    daemon,
                    request,
                    mut reply,
                } = query;
                tokio::select! {
                    outcome = send(&pool, daemon, &request, &*clock) => {
                        // Fails only if the caller has disconnected, in which case the outcome is
                        // not needed.
                        let _ = reply.send(outcome);
                    }
                    () = reply.closed() => {}
                }
            });
        }
    }
}

/// Gathers a query, or delegates it if this VM is too small to gather it in time.
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
            DelegationOutcome::Answered(answer) => return Ok(answer),
            DelegationOutcome::NotServed => Event::DelegateUnavailable {
                request: request.id_text(),
                daemon,
            }
            .log(),
            DelegationOutcome::Failed(error) => {
                Event::DelegationFailed {
                    request: request.id_text(),
                    daemon,
                    error: &error,
                }
                .log();
                return Err(Refusal::DaemonFailed);
            }
            DelegationOutcome::TimedOut => return Err(Refusal::TimedOut),
        }
    }
    gather(Arc::clone(shared), scatter, route, state, request).await
}

async fn delegate_to(
    shared: &Shared,
    daemon: SocketAddr,
    route: &Route,
    request: &Arc<CallerRequest>,
) -> DelegationOutcome {
    Event::Delegated {
        request: request.id_text(),
        daemon,
    }
    .log();
    shared.metrics.delegated.inc();
    let sent = shared.delegations.send(daemon, Arc::clone(request));
    tokio::pin!(sent);
    let late_at = (request.arrived_at + route.target_latency).min(request.deadline);
    let outcome = match timeout_at(late_at.into(), &mut sent).await {
        Ok(outcome) => outcome,
        Err(_late) => {
            shared.back_off_delegate(daemon, shared.now());
            timeout_at(request.deadline.into(), sent)
                .await
                .unwrap_or(DelegationOutcome::TimedOut)
        }
    };
    if !matches!(outcome, DelegationOutcome::Answered(_)) {
        shared.back_off_delegate(daemon, shared.now());
    }
    outcome
}

async fn send(
    pool: &PeerPool,
    daemon: SocketAddr,
    request: &CallerRequest,
    clock: &dyn Clock,
) -> DelegationOutcome {
    let Some(client) = pool.client(daemon, clock).await else {
        return DelegationOutcome::NotServed;
    };
    match call_gather_query(&client, request, clock).await {
        Ok(Some(answer)) => DelegationOutcome::Answered(answer),
        Ok(None) => DelegationOutcome::NotServed,
        Err(error) => {
            pool.remove(daemon);
            DelegationOutcome::Failed(error)
        }
    }
}

/// Calls the other daemon and returns its answer; `None` if it did not serve the query, in which
/// case no leaf ran it.
async fn call_gather_query(
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
    params.set_age_ms(millis_u32(age + DELEGATION_DELAY));
    params.set_time_left_ms(millis_u32(request.time_left(now)));
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

/// Serves the RPC with which another daemon delegates a query to this one.
pub(crate) async fn serve_gather_query(
    shared: &Arc<Shared>,
    params: route_peer::gather_query_params::Reader<'_>,
    mut results: route_peer::GatherQueryResults,
) -> Result<(), capnp::Error> {
    let (request, route) = match decode_query(shared, params) {
        Ok(Some(query)) => query,
        Ok(None) => return Ok(()),
        Err(error) => return Err(capnp::Error::failed(error.to_string())),
    };
    let RouteTarget::Scatter(scatter) = &route.target else {
        return Ok(());
    };
    let _in_progress = shared.start_delegated();
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
        // The sender may be able to reach leafs that this daemon cannot, so it gathers the query.
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

/// Decodes the query and finds its route; `None` if this daemon has no such route, is not ready or
/// has no memory for the body.
fn decode_query(
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
    let body = params.get_body()?;
    let mut memory = shared.request_memory.hold();
    if !memory.try_grow(body.len()) {
        return Ok(None);
    }
    let request = CallerRequest {
        id: caller.request_id,
        head,
        body: Bytes::copy_from_slice(body),
        _memory: memory,
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
