//! Crowds at the addresses of operators and of readiness checks: the process lives within its memory and its
//! descriptors, and callers, operators and readiness checks are served. One test at a time.

mod fleet;
mod slow_readers;

use std::net::SocketAddr;

use hyper::StatusCode;

use crate::fleet::Fleet;
use crate::fleet::config::{FleetConfig, query};
use crate::slow_readers::fixture::{Fixture, Setup};
use crate::slow_readers::{Bounds, Crowd, ONE_AT_A_TIME, Reading, Script, check_served, watch};

/// The daemon that serves published routes, with the limits of `slow_readers_routes.rs`.
const ROUTES: Setup = Setup {
    memory_mb: 48,
    descriptors: 1_024,
    long_bytes: 256 << 10,
    body_bytes: 262_144,
    shards: 0,
};
const ROUTES_BOUNDS: Bounds = Bounds {
    resident_mb: ROUTES.memory_mb,
    descriptors: ROUTES.descriptors - 100,
};
/// Memory of the VM of a daemon that serves teams, in MiB, as in `slow_readers_teams.rs`.
const TEAMS_MEMORY_MB: u64 = 64;
const TEAMS_DESCRIPTORS: usize = 1_024;
const TEAMS_BOUNDS: Bounds = Bounds {
    resident_mb: TEAMS_MEMORY_MB,
    descriptors: TEAMS_DESCRIPTORS - 100,
};

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a.example\r\n\r\n")
}

/// Returns the start of a head of 300 KB.
fn long_head() -> String {
    format!("GET /ready HTTP/1.1\r\nx-filler: {}", "x".repeat(300_000))
}

/// Connects a crowd to an address of a daemon that serves published routes.
async fn check_routes(
    name: &str,
    address: impl Fn(&Fixture) -> SocketAddr,
    clients: usize,
    script: &Script,
) {
    let _guard = ONE_AT_A_TIME.lock().await;
    let fixture = Fixture::start(name, ROUTES).await;
    let crowd = Crowd::start(address(&fixture), clients, script);
    watch(name, fixture.process.id(), &crowd, ROUTES_BOUNDS).await;
    let check_all = async || {
        let is_ok =
            async |address, path| Fixture::get_from(address, path).await == Some(StatusCode::OK);
        check_served(name, async || is_ok(fixture.query, "/one/1").await).await;
        check_served(name, async || is_ok(fixture.operator, "/state").await).await;
        check_served(name, async || is_ok(fixture.readiness, "/api/ready").await).await;
    };
    check_all().await;
    drop(crowd);
    check_all().await;
}

/// Connects a crowd to the operators' address of a daemon that serves teams.
async fn check_teams(name: &str, clients: usize, script: &Script) {
    let _guard = ONE_AT_A_TIME.lock().await;
    let mut config = FleetConfig::new();
    config.daemons = 1;
    config.descriptors = Some(TEAMS_DESCRIPTORS);
    config.set("memory_mb", TEAMS_MEMORY_MB.into());
    let fleet = Fleet::start(config).await;
    let crowd = Crowd::start(fleet.operator_address(0), clients, script);
    watch(name, fleet.process_id(0), &crowd, TEAMS_BOUNDS).await;
    let check_all = async || {
        let is_answered = async || {
            let reply = fleet.try_query(0, &query("ordinary", 2_000)).await;
            reply.is_some_and(|reply| reply.outcome() == "complete")
        };
        check_served(name, is_answered).await;
        check_served(name, async || fleet.state(0).await.is_some()).await;
    };
    check_all().await;
    drop(crowd);
    check_all().await;
}

/// Guards against connections to the operators' address that take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_operator_connections() {
    let script = Script::once("");
    check_routes(
        "operator-abandoned",
        |daemon| daemon.operator,
        1_300,
        &script,
    )
    .await;
}

/// Guards against state dumps that accumulate because nobody reads them.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_state_dumps_that_are_not_read() {
    let script = Script::pipelined(&get("/state"));
    check_routes("operator-state", |daemon| daemon.operator, 800, &script).await;
}

/// Guards against state dumps that are read, but hardly.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_state_dumps_that_are_read_byte_by_byte() {
    let script = Script {
        reading: Reading::ByteEachSecond,
        ..Script::pipelined(&get("/state"))
    };
    check_routes("operator-trickled", |daemon| daemon.operator, 800, &script).await;
}

/// Guards against metrics that accumulate because nobody reads them.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_metrics_that_are_not_read() {
    let script = Script::pipelined(&get("/metrics"));
    check_routes("operator-metrics", |daemon| daemon.operator, 300, &script).await;
}

/// Guards against heads that stay in the read buffers of the operators' address.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_operator_heads() {
    let script = Script::once(&long_head());
    check_routes("operator-heads", |daemon| daemon.operator, 800, &script).await;
}

/// Guards against connections to the readiness address that take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_readiness_connections() {
    let script = Script::once("");
    check_routes(
        "readiness-abandoned",
        |daemon| daemon.readiness,
        1_300,
        &script,
    )
    .await;
}

/// Guards against heads that stay in the read buffers of the readiness address.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_readiness_heads() {
    let script = Script::once(&long_head());
    check_routes("readiness-heads", |daemon| daemon.readiness, 800, &script).await;
}

/// Guards against connections that take all descriptors of a daemon that serves teams.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_operator_connections_of_teams() {
    check_teams("teams-operator-abandoned", 1_300, &Script::once("")).await;
}

/// Guards against state dumps of a daemon that serves teams.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_state_dumps_of_teams_that_are_not_read() {
    let script = Script::pipelined(&get("/state"));
    check_teams("teams-operator-state", 800, &script).await;
}

/// Guards against heads that stay in the read buffers of a daemon that serves teams.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_operator_heads_of_teams() {
    let script = Script::once(&long_head());
    check_teams("teams-operator-heads", 800, &script).await;
}
