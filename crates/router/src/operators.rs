//! HTTP endpoints for operators: metrics and a dump of the daemon's state.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};
use medlarpin_core::routing::{RequestRate, Unreachable};
use serde::Serialize;

use crate::shared::Shared;

/// The JSON document of `/state`.
#[derive(Debug, Serialize)]
struct StateDump {
    vm: String,
    is_ready: bool,
    is_stopping: bool,
    config_version: Option<u64>,
    /// Era and revision of the store up to which the daemon has all changes.
    era: u64,
    revision: u64,
    /// Time since the items were last known to be up to date with the store.
    store_silent_ms: Option<u128>,
    /// Daemon from which changes are fetched; `None` if they come from the store.
    followed_daemon: Option<SocketAddr>,
    /// Number of daemons among which the service-wide limits are divided.
    daemons_sharing: usize,
    /// Retries of each service's reserve that this daemon may use in a window.
    retry_reserve: f64,
    /// Number of requests that are refused because they crashed leafs.
    quarantined_requests: usize,
    /// Requests that were sent to another daemon because this VM does not reach their leafs.
    handed_over_requests: u64,
    /// Bytes held for callers, leafs and other daemons, and their limit.
    held_bytes: usize,
    held_bytes_max: usize,
    /// Open connections of callers, and their limit.
    caller_connections: usize,
    caller_connections_max: usize,
    /// Since the start: slow callers disconnected for lack of room, connections closed at once, and requests,
    /// answers and results that found no room.
    clients_disconnected: u64,
    connections_refused: u64,
    room_denied: u64,
    routes: Vec<String>,
    /// Routes to many shards of which a part of the queries is refused because of overload, each
    /// with the share that is admitted, from 0 to 1.
    shed_routes: Vec<(String, f64)>,
    leafs: Vec<LeafDump>,
}

#[derive(Debug, Serialize)]
struct LeafDump {
    leaf: String,
    service: String,
    address: String,
    failure_domain: String,
    slots: u32,
    is_leaving: bool,
    /// True if another leaf answers at the address.
    is_replaced: bool,
    open_connections: u32,
    in_flight: usize,
    latency_ratio: f64,
    is_blocked: bool,
    /// Why the leaf gets no requests until a probe has reached it; `None` if it can be reached.
    unreachable: Option<&'static str>,
    /// Requests per second that the leaf takes from all daemons together, if it states a limit.
    stated_rate_per_s: Option<f64>,
}

/// Returns the operators' endpoints.
pub(crate) fn endpoint(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/metrics", get(metrics))
        .route("/state", get(state))
        .with_state(shared)
}

async fn metrics(State(shared): State<Arc<Shared>>) -> Result<String, (StatusCode, String)> {
    shared
        .metrics
        .encode(&shared.clients)
        .map_err(|error| (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()))
}

async fn state(State(shared): State<Arc<Shared>>) -> Json<StateDump> {
    let now = shared.now();
    let config = shared.config.load();
    let leafs = shared.leafs.all().into_iter().map(|leaf| {
        let load = leaf.load();
        LeafDump {
            leaf: leaf.entry.id.to_string(),
            service: leaf.entry.service.to_string(),
            address: leaf.entry.address.to_string(),
            failure_domain: leaf.entry.failure_domain.to_string(),
            slots: leaf.entry.slots,
            is_leaving: leaf.is_leaving(),
            is_replaced: load.is_replaced(),
            open_connections: leaf.open_connections(),
            in_flight: load.in_flight(),
            latency_ratio: load.ratio(now),
            is_blocked: load.blocked_until(now).is_some(),
            unreachable: load.unreachable().map(Unreachable::as_str),
            stated_rate_per_s: leaf.stated_rate().map(RequestRate::per_s),
        }
    });
    let routes = config.as_ref().map(|config| {
        let routes = config.routes.routes().iter();
        routes
            .map(|route| format!("{} {}{}", route.name, route.host, route.prefix))
            .collect()
    });
    let published = &shared.published_items;
    let (limits, counts) = (shared.clients.limits(), shared.clients.counts());
    Json(StateDump {
        vm: shared.settings.load().vm.to_string(),
        is_ready: shared.is_ready(),
        is_stopping: shared.planned_stop.has_begun(),
        daemons_sharing: shared.daemon_count(),
        retry_reserve: shared.retry_reserve(now),
        quarantined_requests: shared.crash_memory.quarantines(now).len(),
        handed_over_requests: shared.metrics.handed_over.get(),
        held_bytes: shared.clients.used_bytes(),
        held_bytes_max: limits.held_bytes_max,
        caller_connections: shared.clients.open_count(),
        caller_connections_max: limits.connections_max,
        clients_disconnected: counts.disconnected,
        connections_refused: counts.connections_refused,
        room_denied: counts.denied,
        era: published.revision().era,
        revision: published.revision().number,
        store_silent_ms: published
            .current_at()
            .map(|at| now.saturating_duration_since(at).as_millis()),
        followed_daemon: published.followed_daemon(),
        config_version: config.as_ref().map(|config| config.version.0),
        routes: routes.unwrap_or_default(),
        shed_routes: shared.query_admission.lock().shed_routes(),
        leafs: leafs.collect(),
    })
}
