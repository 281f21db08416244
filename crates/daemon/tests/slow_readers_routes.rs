//! Slow clients of a daemon that serves published routes: the process lives within its memory and its
//! descriptors and serves ordinary callers. One test at a time.

mod slow_readers;

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use hyper::StatusCode;
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncWriteCompatExt;
use wire::peer_capnp::route_peer;

use crate::slow_readers::fixture::{Fixture, Setup, check_calling_daemons, head};
use crate::slow_readers::{Bounds, Crowd, ONE_AT_A_TIME, Reading, Script, check_served, watch};

/// Memory of the VM in MiB, as in the daemon's settings.
const MEMORY_MB: u64 = 48;
/// Descriptor limit of the process.
const DESCRIPTORS: usize = 1_024;
/// Resident memory must stay within the VM's, and a part of the descriptors must stay free.
const BOUNDS: Bounds = Bounds {
    resident_mb: MEMORY_MB,
    descriptors: DESCRIPTORS - 100,
};
/// Length of a long answer.
const LONG_BYTES: usize = 256 << 10;
/// Length of the bodies that callers send, which is the published limit.
const BODY_BYTES: usize = 262_144;

const SETUP: Setup = Setup {
    memory_mb: MEMORY_MB,
    descriptors: DESCRIPTORS,
    long_bytes: LONG_BYTES,
    body_bytes: BODY_BYTES,
    shards: 0,
};

/// Connects a crowd, watches the process, and checks that it serves an ordinary caller while the crowd is
/// connected and after it has left.
async fn check(name: &str, clients: usize, script: &Script) {
    let _guard = ONE_AT_A_TIME.lock().await;
    let fixture = Fixture::start(name, SETUP).await;
    let crowd = Crowd::start(fixture.query, clients, script);
    watch(name, fixture.process.id(), &crowd, BOUNDS).await;
    let is_answered = async || fixture.get("/one/1").await == Some(StatusCode::OK);
    check_served(name, is_answered).await;
    drop(crowd);
    check_served(name, is_answered).await;
}

/// Guards against answers that wait for callers and are not counted as used memory.
#[tokio::test(flavor = "multi_thread")]
async fn long_answers_that_are_not_read() {
    check(
        "long-unread",
        700,
        &Script::once(&head("GET", "/long/1", "")),
    )
    .await;
}

/// Guards against the same with callers that read, but hardly anything.
#[tokio::test(flavor = "multi_thread")]
async fn long_answers_that_are_read_byte_by_byte() {
    let script = Script {
        reading: Reading::ByteEachSecond,
        ..Script::once(&head("GET", "/long/1", ""))
    };
    check("long-trickled", 700, &script).await;
}

/// Guards against answers to callers that have closed their sending direction.
#[tokio::test(flavor = "multi_thread")]
async fn long_answers_after_a_half_close() {
    let script = Script {
        reading: Reading::HalfClosed,
        ..Script::once(&head("GET", "/long/1", ""))
    };
    check("long-half-closed", 700, &script).await;
}

/// Guards against answers to pipelined requests that accumulate because nobody reads them.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_whose_answers_are_not_read() {
    let script = Script::pipelined(&head("GET", "/one/1", ""));
    check("pipelined-answers", 300, &script).await;
}

/// Guards against heads of refusals without a body, which accumulate in another buffer.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_whose_refusals_are_not_read() {
    let script = Script::pipelined(&head("GET", "/no-such-route/1", ""));
    check("pipelined-refusals", 300, &script).await;
}

/// Guards against connections without requests that take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_connections() {
    check("abandoned", 1_300, &Script::once("")).await;
}

/// Guards against heads that are broken off, whose bytes stay in the read buffers.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_heads() {
    let filler = format!("x-filler: {}", "x".repeat(15_000));
    let start = format!("GET /one/1 HTTP/1.1\r\nhost: a.example\r\n{filler}");
    check("abandoned-heads", 1_300, &Script::once(&start)).await;
}

/// Guards against bodies that arrive byte by byte and take the memory of all others.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_are_sent_byte_by_byte() {
    let more = format!("content-length: {BODY_BYTES}\r\n");
    let start = head("POST", "/one/1", &more) + &"x".repeat(BODY_BYTES - 1_000);
    let script = Script {
        trickles: true,
        ..Script::once(&start)
    };
    check("slow-bodies", 400, &script).await;
}

/// Guards against bodies that wait for a leaf that does not read them.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_for_a_leaf_that_does_not_read() {
    let more = format!("content-length: {BODY_BYTES}\r\n");
    let request = head("POST", "/deaf/1", &more) + &"x".repeat(BODY_BYTES);
    check("deaf-leaf", 400, &Script::once(&request)).await;
}

/// A stream that never yields a byte.
struct Unread;

impl futures::AsyncRead for Unread {
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        _buf: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        Poll::Pending
    }
}

/// Sends calls to another daemon without reading a result.
async fn call_without_reading(peer: SocketAddr) {
    /// Calls of each connection; the results of one take about 100 KB.
    const CALLS: usize = 100;
    let Ok(stream) = TcpStream::connect(peer).await else {
        return;
    };
    let (_reader, writer) = stream.into_split();
    let network = twoparty::VatNetwork::new(
        Unread,
        writer.compat_write(),
        rpc_twoparty_capnp::Side::Client,
        capnp::message::ReaderOptions::default(),
    );
    let mut rpc = RpcSystem::new(Box::new(network), None);
    let client: route_peer::Client = rpc.bootstrap(rpc_twoparty_capnp::Side::Server);
    let calls: Vec<_> = (0..CALLS)
        .map(|_| client.published_items_request().send().promise)
        .collect();
    // The server may close the connection.
    let _ = rpc.await;
    drop(calls);
    std::future::pending::<()>().await;
}

/// Guards against results of RPCs that wait for a daemon that does not read them.
#[test]
fn a_daemon_that_does_not_read_its_results() {
    check_calling_daemons("unread-results", SETUP, 20, call_without_reading);
}

/// Guards against connections of other daemons that take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_connections_of_daemons() {
    let name = "abandoned-daemons";
    let _guard = ONE_AT_A_TIME.lock().await;
    let fixture = Fixture::start(name, SETUP).await;
    let crowd = Crowd::start(fixture.peer, 1_300, &Script::once(""));
    watch(name, fixture.process.id(), &crowd, BOUNDS).await;
    let is_answered = async || fixture.get("/one/1").await == Some(StatusCode::OK);
    check_served(name, is_answered).await;
}

/// Guards against limits that refuse a request within the published ones while there is no crowd.
#[tokio::test(flavor = "multi_thread")]
async fn a_single_long_answer_is_served() {
    let _guard = ONE_AT_A_TIME.lock().await;
    let fixture = Fixture::start("single-long", SETUP).await;
    assert_eq!(fixture.get("/long/1").await, Some(StatusCode::OK));
    assert_eq!(fixture.get("/one/1").await, Some(StatusCode::OK));
}

/// Guards against limits that refuse a long answer of a leaf in calm, on the smallest VM in use.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_of_a_sixteenth_of_the_memory_is_served() {
    let setup = Setup {
        memory_mb: 112,
        descriptors: 2_870,
        long_bytes: 7_000_000,
        ..SETUP
    };
    let _guard = ONE_AT_A_TIME.lock().await;
    let fixture = Fixture::start("single-longest", setup).await;
    for _ in 0..3 {
        assert_eq!(fixture.get("/long/1").await, Some(StatusCode::OK));
    }
}
