//! HTTP endpoints for operators: metrics and a dump of the daemon's state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};
use client_connections::hold_answers;
use medlarpin_core::routing::{LoadStatement, RateAccess, RequestRate, Unreachable};
use serde::Serialize;

use crate::leaf::Leaf;
use crate::leaf_rates::LeafRates;
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
    /// Number of silent leafs that count against requests under which they fell silent, by request.
    silent_losses: usize,
    /// Requests that were sent to another daemon because this VM does not reach their leafs.
    handed_over_requests: u64,
    /// Bytes held for callers, leafs and other daemons, and their limit.
    held_bytes: usize,
    held_bytes_max: usize,
    /// Open connections of callers, and their limit.
    caller_connections: usize,
    caller_connections_max: usize,
    /// Open connections of operators, and their limit.
    operator_connections: usize,
    operator_connections_max: usize,
    /// Open connections of readiness checks, and their limit.
    readiness_connections: usize,
    readiness_connections_max: usize,
    /// Since the start: slow clients disconnected for lack of room, connections closed at once, and requests,
    /// answers and results that found no room.
    clients_disconnected: u64,
    connections_refused: u64,
    room_denied: u64,
    routes: Vec<String>,
    /// Routes to many shards of which a part of the queries is refused because of overload, each
    /// with the share that is admitted, from 0 to 1.
    shed_routes: Vec<(String, f64)>,
    evacuated_domains: Vec<EvacuationDump>,
    leafs: Vec<LeafDump>,
}

#[derive(Debug, Serialize)]
struct EvacuationDump {
    failure_domain: String,
    /// Time since this daemon learned of the evacuation.
    evacuated_ms: u128,
    /// Revision of the store at which it learned of it.
    revision: u64,
    /// Published leafs of the domain.
    leafs: usize,
    /// Requests in progress there, including those that are about to be refused.
    in_flight: usize,
    /// Time left until the domain returns to service because a restored store lacks the key; `None`
    /// while the store lists the key.
    kept_ms: Option<u128>,
}

#[derive(Debug, Serialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the facts are independent of each other"
)]
struct LeafDump {
    leaf: String,
    service: String,
    address: String,
    failure_domain: String,
    slots: u32,
    is_leaving: bool,
    is_evacuated: bool,
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
    /// The load that the leaf stated last, if it states any.
    stated_load: Option<StatedLoadDump>,
    /// How far the stated load is believed, from 0 to 1.
    stated_load_trust: f64,
    /// Time for which the leaf stays cold; `None` if it is warm or its service does not limit cold leafs.
    cold_left_ms: Option<u128>,
    /// Requests per second that this daemon may send while the leaf is cold.
    cold_rate_per_s: Option<f64>,
}

#[derive(Debug, Serialize)]
struct StatedLoadDump {
    running: u32,
    waiting: u32,
    slots: u32,
    /// Time that long work takes, as a multiple of the ordinary time.
    pace: f64,
    /// Time since the statement was received.
    age_ms: u128,
}

impl StatedLoadDump {
    fn new(statement: LoadStatement, now: Instant) -> Self {
        let LoadStatement { stated, heard_at } = statement;
        Self {
            running: stated.running,
            waiting: stated.waiting,
            slots: stated.slots(),
            pace: stated.pace(),
            age_ms: now.saturating_duration_since(heard_at).as_millis(),
        }
    }
}

/// Returns the operators' endpoints.
pub(crate) fn endpoint(shared: Arc<Shared>) -> Router {
    let clients = shared.clients.operators.clone();
    let router = Router::new()
        .route("/metrics", get(metrics))
        .route("/state", get(state))
        .with_state(shared);
    hold_answers(router, clients)
}

async fn metrics(State(shared): State<Arc<Shared>>) -> Result<String, (StatusCode, String)> {
    let (rates, now) = (LeafRates::new(&shared), shared.now());
    let is_cold = |leaf: &Leaf| rates.cold_access(leaf, now).is_some();
    let cold_leafs = shared.leafs.filter(is_cold).len();
    let cold_leafs = i64::try_from(cold_leafs).unwrap_or(i64::MAX);
    shared.metrics.cold_leafs.leafs.set(cold_leafs);
    shared
        .metrics
        .encode(&shared.clients)
        .map_err(|error| (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()))
}

async fn state(State(shared): State<Arc<Shared>>) -> Json<StateDump> {
    let now = shared.now();
    let config = shared.config.load();
    let leafs = shared.leafs.all().into_iter().map(|leaf| {
        let cold_access = LeafRates::new(&shared).cold_access(&leaf, now);
        let cold_until = cold_access.and_then(|_| leaf.cold_until(now));
        let load = leaf.load();
        LeafDump {
            leaf: leaf.entry.id.to_string(),
            service: leaf.entry.service.to_string(),
            address: leaf.entry.address.to_string(),
            failure_domain: leaf.entry.failure_domain.to_string(),
            slots: leaf.entry.slots,
            is_leaving: leaf.is_leaving(),
            is_evacuated: leaf.is_evacuated(),
            is_replaced: load.is_replaced(),
            open_connections: leaf.open_connections(),
            in_flight: load.in_flight(),
            latency_ratio: load.ratio(now),
            is_blocked: load.blocked_until(now).is_some(),
            unreachable: load.unreachable().map(Unreachable::as_str),
            stated_rate_per_s: leaf.stated_rate().map(RequestRate::per_s),
            stated_load: load
                .statement()
                .map(|statement| StatedLoadDump::new(statement, now)),
            stated_load_trust: load.statement_trust(),
            cold_left_ms: cold_until.map(|until| until.saturating_duration_since(now).as_millis()),
            cold_rate_per_s: cold_access.and_then(RateAccess::per_s),
        }
    });
    let routes = config.as_ref().map(|config| {
        let routes = config.routes.routes().iter();
        routes
            .map(|route| format!("{} {}{}", route.name, route.host, route.prefix))
            .collect()
    });
    let published = &shared.published_items;
    let (limits, counts) = (shared.clients.callers.limits(), shared.clients.counts());
    Json(StateDump {
        vm: shared.settings.load().vm.to_string(),
        is_ready: shared.is_ready(),
        is_stopping: shared.planned_stop.has_begun(),
        daemons_sharing: shared.daemon_count(),
        retry_reserve: shared.retry_reserve(now),
        quarantined_requests: shared.crash_memory.quarantines(now).len(),
        silent_losses: shared.crash_memory.silent_losses(now),
        handed_over_requests: shared.metrics.handed_over.get(),
        held_bytes: shared.clients.callers.used_bytes(),
        held_bytes_max: limits.held_bytes_max,
        caller_connections: shared.clients.callers.open_count(),
        caller_connections_max: limits.connections_max,
        operator_connections: shared.clients.operators.open_count(),
        operator_connections_max: shared.clients.operators.limits().connections_max,
        readiness_connections: shared.clients.readiness_checks.open_count(),
        readiness_connections_max: shared.clients.readiness_checks.limits().connections_max,
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
        evacuated_domains: evacuations(&shared, now),
        leafs: leafs.collect(),
    })
}

/// Returns the evacuated domains, with what still runs there.
fn evacuations(shared: &Shared, now: Instant) -> Vec<EvacuationDump> {
    let mut leafs = shared.leafs.filter(Leaf::is_evacuated);
    leafs.sort_by(|a, b| a.entry.failure_domain.cmp(&b.entry.failure_domain));
    shared.leafs.with_evacuations(|domains| {
        let kept: Vec<_> = domains.kept(now).collect();
        let evacuations = domains.evacuations().iter();
        let dumps = evacuations.map(|evacuation| {
            let domain = &evacuation.domain;
            let first = leafs.partition_point(|leaf| leaf.entry.failure_domain < *domain);
            let of_domain = leafs[first..]
                .iter()
                .take_while(|leaf| leaf.entry.failure_domain == *domain);
            let left = kept
                .binary_search_by(|(known, _)| (*known).cmp(domain))
                .map(|index| kept[index].1.as_millis());
            EvacuationDump {
                failure_domain: domain.to_string(),
                evacuated_ms: now.saturating_duration_since(evacuation.since).as_millis(),
                revision: evacuation.revision.number,
                leafs: of_domain.clone().count(),
                in_flight: of_domain.map(|leaf| leaf.load().in_flight()).sum(),
                kept_ms: left.ok(),
            }
        });
        dumps.collect()
    })
}
