//! Hands requests over to other daemons: queries that are too large for this VM, and requests whose
//! leafs this VM does not reach.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use medlarpin_core::prelude::ServiceName;
use medlarpin_core::routing::{
    DelegateSelector, KnownDaemon, LEAF_SILENCE_TIMEOUT, Repeatability, Route, RouteTarget, Scatter,
};
use tokio::time::{sleep_until, timeout_at};

use crate::caller_request::CallerRequest;
use crate::callers::Answer;
use crate::delegation::DelegationOutcome;
use crate::event::Event;
use crate::forward::forward;
use crate::refusal::Refusal;
use crate::route_state::RouteState;
use crate::scatter::gather;
use crate::shared::Shared;

/// Maximum number of daemons that are asked to serve a request. Those that cannot are left out for a
/// while, so that the next request finds others.
const HANDOVERS_MAX: usize = 6;

/// Serves a request: on this VM, or on another one that can gather it in time or reaches its leafs.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    route: &Arc<Route>,
    request: CallerRequest,
) -> Result<Answer, Refusal> {
    let request = Arc::new(request);
    if let RouteTarget::Scatter(scatter) = &route.target
        && let Some(result) = delegate(shared, scatter, route, &request).await
    {
        return result;
    }
    let served = match single_service(shared, route) {
        Some(service) if route.repeatability == Repeatability::Idempotent => {
            serve_despite_silence(shared, route, service, &request).await
        }
        service => serve_here(shared, route, service, &request).await,
    };
    match served {
        // No leaf got the request, so that another daemon may still run it.
        Err(Refusal::NoLeaf) => hand_over(shared, route, &request)
            .await
            .unwrap_or(Err(Refusal::NoLeaf)),
        served => served,
    }
}

/// Serves a request on the leafs that this VM reaches.
pub(crate) async fn serve_on_own_leafs(
    shared: &Arc<Shared>,
    route: &Arc<Route>,
    request: &Arc<CallerRequest>,
) -> Result<Answer, Refusal> {
    let service = single_service(shared, route);
    serve_here(shared, route, service, request).await
}

/// Returns the service that gets the next request of a route to a single leaf; `None` for a route to
/// all shards.
fn single_service(shared: &Shared, route: &Route) -> Option<ServiceName> {
    match &route.target {
        RouteTarget::Scatter(_) => None,
        RouteTarget::Service(service) => Some(service.clone()),
        RouteTarget::Split(parts) => {
            let state = shared.route_state(route);
            // A part is always chosen, since a split without a positive weight is rejected when it
            // is decoded. The empty name would match no leaf.
            let chosen = state.traffic_split.lock().next(parts);
            Some(chosen.map_or_else(|| ServiceName::new(""), |part| parts[part].service.clone()))
        }
    }
}

async fn serve_here(
    shared: &Arc<Shared>,
    route: &Arc<Route>,
    service: Option<ServiceName>,
    request: &Arc<CallerRequest>,
) -> Result<Answer, Refusal> {
    let state: Arc<RouteState> = shared.route_state(route);
    let shared = Arc::clone(shared);
    match (&route.target, service) {
        (RouteTarget::Scatter(scatter), _) => gather(shared, scatter, route, &state, request).await,
        (_, Some(service)) => {
            let (route, request) = (Arc::clone(route), Arc::clone(request));
            forward(shared, service, route, state, request).await
        }
        (_, None) => Err(Refusal::NoLeaf),
    }
}

/// Serves a request that may run more than once; if no leaf of the service is heard, the request is
/// handed over as well, as its leafs may be out of reach without any connection having failed.
async fn serve_despite_silence(
    shared: &Arc<Shared>,
    route: &Arc<Route>,
    service: ServiceName,
    request: &Arc<CallerRequest>,
) -> Result<Answer, Refusal> {
    let here = serve_here(shared, route, Some(service.clone()), request);
    tokio::pin!(here);
    let check_at = request.arrived_at + LEAF_SILENCE_TIMEOUT.max(route.target_latency);
    tokio::select! {
        served = &mut here => return served,
        () = sleep_until(check_at.into()) => {}
    }
    let is_silent = !shared.has_heard_leaf(&service, request.arrived_at);
    // A leaf may still get the request, so that the one on the other VM is extra load.
    if !is_silent || !shared.try_retry(&service, shared.now()) {
        return here.await;
    }
    let elsewhere = hand_over(shared, route, request);
    tokio::pin!(elsewhere);
    tokio::select! {
        served = &mut here => match served {
            Ok(answer) => Ok(answer),
            Err(refusal) => elsewhere.await.unwrap_or(Err(refusal)),
        },
        handed_over = &mut elsewhere => match handed_over {
            Some(Ok(answer)) => Ok(answer),
            // The refusal of the other daemon says nothing of the leafs that this one has asked.
            Some(Err(_)) | None => here.await,
        },
    }
}

/// Delegates a query that this VM is too small to gather; `None` if it has to be gathered here.
async fn delegate(
    shared: &Arc<Shared>,
    scatter: &Scatter,
    route: &Arc<Route>,
    request: &Arc<CallerRequest>,
) -> Option<Result<Answer, Refusal>> {
    for _ in 0..HANDOVERS_MAX {
        let now = shared.now();
        let daemon = shared.delegate_for(scatter.shards.len(), route.target_latency, now)?;
        shared.metrics.delegated.inc();
        Event::Delegated {
            request: request.id_text(),
            daemon,
        }
        .log();
        let back_off = || shared.back_off_delegate(daemon, shared.now());
        if let Some(result) = send(shared, daemon, route, request, back_off).await {
            return Some(result);
        }
    }
    None
}

/// Hands a request over that no leaf has got from this daemon; `None` if no other daemon serves it.
async fn hand_over(
    shared: &Arc<Shared>,
    route: &Arc<Route>,
    request: &Arc<CallerRequest>,
) -> Option<Result<Answer, Refusal>> {
    let selector = shared.handover_selector.as_ref()?;
    let cpu_millicores_min = cpu_millicores_needed(route);
    for _ in 0..HANDOVERS_MAX {
        let now = shared.now();
        let others: Vec<KnownDaemon> = shared.daemons.as_ref()?.lock().others(now).collect();
        let daemon = selector.lock().choose(
            &route.name,
            &others,
            cpu_millicores_min,
            rand::random(),
            now,
        )?;
        shared.metrics.handed_over.inc();
        Event::HandedOver {
            request: request.id_text(),
            daemon,
        }
        .log();
        let back_off = || {
            let now = shared.now();
            selector.lock().declined(daemon, &route.name, now);
        };
        if let Some(result) = send(shared, daemon, route, request, back_off).await {
            return Some(result);
        }
    }
    None
}

/// Sends a request to another daemon; `None` if that one did not serve it, in which case no leaf got
/// it. Calls `back_off` if the daemon did not serve it, failed or was late.
async fn send(
    shared: &Shared,
    daemon: SocketAddr,
    route: &Route,
    request: &Arc<CallerRequest>,
    back_off: impl Fn(),
) -> Option<Result<Answer, Refusal>> {
    let sent = shared.delegations.send(daemon, Arc::clone(request));
    tokio::pin!(sent);
    let outcome = match timeout_at(late_at(shared.now(), route, request).into(), &mut sent).await {
        Ok(outcome) => outcome,
        Err(_late) => {
            back_off();
            timeout_at(request.deadline.into(), sent)
                .await
                .unwrap_or(DelegationOutcome::TimedOut)
        }
    };
    match outcome {
        DelegationOutcome::Answered(answer) => Some(Ok(answer)),
        DelegationOutcome::NotServed => {
            back_off();
            Event::HandoverDeclined {
                request: request.id_text(),
                daemon,
            }
            .log();
            None
        }
        DelegationOutcome::Failed(error) => {
            back_off();
            Event::DelegationFailed {
                request: request.id_text(),
                daemon,
                error: &error,
            }
            .log();
            Some(Err(Refusal::DaemonFailed))
        }
        DelegationOutcome::TimedOut => {
            back_off();
            Some(Err(Refusal::TimedOut))
        }
    }
}

/// Returns the CPU capacity that a VM needs to serve a request of the route in time.
fn cpu_millicores_needed(route: &Route) -> u32 {
    match &route.target {
        RouteTarget::Scatter(scatter) => {
            let shards = scatter.shards.len();
            DelegateSelector::cpu_millicores_needed(shards, route.target_latency)
        }
        RouteTarget::Service(_) | RouteTarget::Split(_) => 0,
    }
}

/// Returns the time from which a daemon that was sent a request now counts as late.
fn late_at(now: Instant, route: &Route, request: &CallerRequest) -> Instant {
    let by_target = request.arrived_at + route.target_latency;
    // A request that is handed over late needs its time on the other VM all the same.
    let half_of_rest: Duration = request.time_left(now) / 2;
    by_target.max(now + half_of_rest).min(request.deadline)
}
