//! Hands requests over to other daemons: queries that are too large for this VM, and requests whose
//! leafs this VM does not reach.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Body;
use medlarpin_core::prelude::ServiceName;
use medlarpin_core::routing::{DelegateSelector, NoRunReason, Route, RouteTarget, Scatter};
use tokio::time::timeout_at;

use crate::caller_request::CallerRequest;
use crate::callers::Answer;
use crate::delegation::DelegationOutcome;
use crate::event::Event;
use crate::forward::forward;
use crate::leaf_room::LeafRoom;
use crate::refusal::Refusal;
use crate::route_state::RouteState;
use crate::scatter::gather;
use crate::shared::Shared;

/// Serves a request: on this VM, or on another one that can gather it in time or reaches its leafs.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    route: &Arc<Route>,
    request: &Arc<CallerRequest>,
) -> Result<Answer, Refusal> {
    if let RouteTarget::Scatter(scatter) = &route.target {
        match hand_over(shared, route, request, HandoverReason::TooLarge(scatter)).await {
            Handover::Served(result) => return result,
            // This VM could gather the query only late, and may not reach the leafs either.
            Handover::Declined => {
                let asked = hand_over(shared, route, request, HandoverReason::OutOfReach).await;
                if let Handover::Served(result) = asked {
                    return result;
                }
            }
            Handover::NotPossible => {}
        }
    }
    match serve_on_own_leafs(shared, route, request).await {
        Err(Refusal::Unreachable) => {
            match hand_over(shared, route, request, HandoverReason::OutOfReach).await {
                Handover::Served(result) => result,
                Handover::Declined | Handover::NotPossible => Err(Refusal::Unreachable),
            }
        }
        served => served,
    }
}

/// Serves a request on the leafs that this VM reaches.
pub(crate) async fn serve_on_own_leafs(
    shared: &Arc<Shared>,
    route: &Arc<Route>,
    request: &Arc<CallerRequest>,
) -> Result<Answer, Refusal> {
    let state: Arc<RouteState> = shared.route_state(route);
    let leaf_room = LeafRoom::reserve(shared, route, &state, request).await?;
    // Already set only if the request was here before, in which case it has its room.
    let _ = request.leaf_room.set(leaf_room);
    let shared = Arc::clone(shared);
    let service = match &route.target {
        RouteTarget::Scatter(scatter) => {
            return gather(shared, scatter, route, &state, request).await;
        }
        RouteTarget::Service(service) => service.clone(),
        RouteTarget::Split(parts) => {
            // A part is always chosen, since a split without a positive weight is rejected when it
            // is decoded. The empty name would match no leaf.
            let chosen = state.traffic_split.lock().next(parts);
            chosen.map_or_else(|| ServiceName::new(""), |part| parts[part].service.clone())
        }
    };
    let (route, request) = (Arc::clone(route), Arc::clone(request));
    forward(shared, service, route, state, request).await
}

/// Why a request goes to another daemon.
#[derive(Debug, Clone, Copy)]
enum HandoverReason<'a> {
    /// This VM is too small to gather the query in time.
    TooLarge(&'a Scatter),
    /// This VM does not reach the leafs, and no leaf has got the request.
    OutOfReach,
}

/// What came of a handover.
enum Handover {
    /// Another daemon served the request, or refused it for good.
    Served(Result<Answer, Refusal>),
    /// Daemons declined the request, and none that suits is left to ask.
    Declined,
    /// There was no daemon to ask.
    NotPossible,
}

/// Asks other daemons in turn to serve a request.
async fn hand_over(
    shared: &Arc<Shared>,
    route: &Arc<Route>,
    request: &Arc<CallerRequest>,
    reason: HandoverReason<'_>,
) -> Handover {
    let Some(selector) = &shared.handover_selector else {
        return Handover::NotPossible;
    };
    let mut outcome = Handover::NotPossible;
    let asks_max = selector.lock().asks_max(&route.name, shared.now());
    for _ in 0..asks_max {
        let now = shared.now();
        let name = &route.name;
        let chosen = match reason {
            HandoverReason::TooLarge(scatter) => {
                let shards = scatter.shards.len();
                let delegates = shared.delegates_for(shards, route.target_latency, now);
                let content_hash = request.identity().content_hash;
                let selector = selector.lock();
                selector.choose_by_content(name, &delegates, content_hash, now)
            }
            HandoverReason::OutOfReach => {
                let others = shared.other_daemons(now);
                let needed = cpu_millicores_needed(route);
                let selector = selector.lock();
                selector.choose(name, &others, needed, rand::random(), now)
            }
        };
        let Some(daemon) = chosen else {
            break;
        };
        record_handover(shared, request, daemon, reason);
        if let Some(result) = send(shared, daemon, route, request).await {
            return Handover::Served(result);
        }
        outcome = Handover::Declined;
    }
    if matches!(reason, HandoverReason::OutOfReach) {
        selector.lock().search_failed(&route.name, shared.now());
    }
    outcome
}

fn record_handover(
    shared: &Shared,
    request: &CallerRequest,
    daemon: SocketAddr,
    reason: HandoverReason<'_>,
) {
    let request = request.id_text();
    match reason {
        HandoverReason::TooLarge(_) => {
            shared.metrics.delegated.inc();
            Event::Delegated { request, daemon }.log();
        }
        HandoverReason::OutOfReach => {
            shared.metrics.handed_over.inc();
            Event::HandedOver { request, daemon }.log();
        }
    }
}

/// Sends a request to another daemon; `None` if that one did not serve it, in which case no leaf got
/// it. The daemon is left out for a while if it did not serve the request, failed or was late.
async fn send(
    shared: &Shared,
    daemon: SocketAddr,
    route: &Route,
    request: &Arc<CallerRequest>,
) -> Option<Result<Answer, Refusal>> {
    let declined = || {
        if let Some(selector) = &shared.handover_selector {
            let now = shared.now();
            selector.lock().declined(daemon, &route.name, now);
        }
    };
    // One that merely declined stays in use for other purposes, such as permits.
    let back_off = || {
        shared.back_off_delegate(daemon, shared.now());
        declined();
    };
    let Some(dispatch) = request.ledger.dispatch() else {
        return Some(Err(Refusal::LeafsFailed));
    };
    let memory = &shared.crash_memory;
    let is_proven = memory.is_proven_for_route(request, &route.target, shared.now());
    let sent = shared
        .delegations
        .send(daemon, Arc::clone(request), is_proven);
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
        DelegationOutcome::Answered(answer) => {
            let length = answer.body().size_hint().exact().unwrap_or_default();
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            shared.route_state(route).answer_size.record(length);
            if let Some(selector) = &shared.handover_selector {
                selector.lock().served(daemon, shared.now());
            }
            if answer.status().is_success() {
                record_answer_elsewhere(shared, route, request);
            }
            if platform::promises_not_run(answer.status()) {
                dispatch.disproved(NoRunReason::Declined);
            }
            Some(Ok(answer))
        }
        DelegationOutcome::NotServed { reaching } => {
            dispatch.disproved(NoRunReason::Declined);
            declined();
            record_hints(shared, &reaching);
            Event::HandoverDeclined {
                request: request.id_text(),
                daemon,
            }
            .log();
            None
        }
        // The daemon serves the request if it is asked again.
        DelegationOutcome::ConfigFetched => {
            dispatch.disproved(NoRunReason::Declined);
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

/// Records that a leaf has answered a request that another daemon served: it does not end the leafs that
/// this daemon has lost.
fn record_answer_elsewhere(shared: &Shared, route: &Route, request: &CallerRequest) {
    let memory = &shared.crash_memory;
    match &route.target {
        RouteTarget::Service(service) => memory.record_answer(request, service),
        RouteTarget::Split(parts) => {
            for part in parts {
                memory.record_answer(request, &part.service);
            }
        }
        // Some of the shards may be missing.
        RouteTarget::Scatter(_) => return,
    }
    memory.record_success_elsewhere(request, &route.target, shared.now());
}

/// Records the daemons that another one has named as those that serve its requests.
fn record_hints(shared: &Shared, reaching: &[SocketAddr]) {
    let (Some(selector), Some(daemons)) = (&shared.handover_selector, &shared.daemons) else {
        return;
    };
    let own = daemons.lock().own().address;
    let mut selector = selector.lock();
    for daemon in reaching.iter().filter(|daemon| **daemon != own) {
        selector.served(*daemon, shared.now());
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
