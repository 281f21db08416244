//! Crowds at the addresses of operators and of readiness checks: the process lives within its memory and its
//! descriptors, and callers, operators and readiness checks are served. One test at a time.

mod fleet;
mod slow_readers;
mod teams_crowd;

use std::net::SocketAddr;

use crate::slow_readers::fixture::{Fixture, Setup};
use crate::slow_readers::{Crowd, ONE_AT_A_TIME, Reading, Script, watch};

const SETUP: Setup = Setup::SMALL;

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
    let fixture = Fixture::start(name, SETUP).await;
    let crowd = Crowd::start(address(&fixture), clients, script);
    watch(name, fixture.process.id(), &crowd, SETUP.bounds()).await;
    fixture.check_all_served(name).await;
    drop(crowd);
    fixture.check_all_served(name).await;
}

/// Connects a crowd to the operators' address of a daemon that serves teams.
async fn check_teams(name: &str, clients: usize, script: &Script) {
    teams_crowd::check(name, |fleet| fleet.operator_address(0), clients, script).await;
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
