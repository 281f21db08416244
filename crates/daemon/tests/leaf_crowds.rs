//! Callers that let a daemon open many connections to leafs: the process lives within its memory and its
//! descriptors and serves ordinary callers. One test at a time.

mod slow_readers;

use hyper::StatusCode;

use crate::slow_readers::fixture::{Fixture, Setup, head};
use crate::slow_readers::{Crowd, ONE_AT_A_TIME, Script, watch};

const SETUP: Setup = Setup {
    shards: 40,
    ..Setup::SMALL
};
/// Length of a long head, which is inside the published limit.
const HEAD_BYTES: usize = 15_000;

async fn check(name: &str, clients: usize, script: &Script) {
    let _guard = ONE_AT_A_TIME.lock().await;
    let fixture = Fixture::start(name, SETUP).await;
    assert_eq!(fixture.get("/many/1").await, Some(StatusCode::OK));
    let crowd = Crowd::start(fixture.query, clients, script);
    watch(name, fixture.process.id(), &crowd, SETUP.bounds()).await;
    fixture.check_caller_served(name).await;
    drop(crowd);
    fixture.check_caller_served(name).await;
    fixture.check_ok(name, fixture.query, "/many/1").await;
}

/// Guards against connections to leafs that take the descriptors, and against their buffers.
#[tokio::test(flavor = "multi_thread")]
async fn queries_with_long_heads_over_many_shards() {
    let filler = format!("x-filler: {}\r\n", "x".repeat(HEAD_BYTES));
    let script = Script::pipelined(&head("GET", "/many/1", &filler));
    check("leafs-long-heads", 200, &script).await;
}

/// Guards against connections to leafs that take the descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn queries_over_many_shards() {
    let script = Script::pipelined(&head("GET", "/many/1", ""));
    check("leafs-short-heads", 200, &script).await;
}
