//! Slow clients of a daemon that serves teams: the process lives within its memory and its descriptors and
//! serves ordinary callers. One test at a time.

mod fleet;
mod slow_readers;

use crate::fleet::Fleet;
use crate::fleet::config::{FleetConfig, query};
use crate::slow_readers::{Bounds, Crowd, ONE_AT_A_TIME, Reading, Script, check_served, watch};

/// Memory of the VM in MiB.
const MEMORY_MB: u64 = 64;
/// Descriptor limit of the process.
const DESCRIPTORS: usize = 1_024;
/// Resident memory must stay within the VM's, and a part of the descriptors must stay free.
const BOUNDS: Bounds = Bounds {
    resident_mb: MEMORY_MB,
    descriptors: DESCRIPTORS - 100,
};
/// Maximum length of a body in these settings.
const BODY_BYTES: usize = 262_144;

/// Returns a request with a JSON body.
fn post(body: &str) -> String {
    post_of_length(body, body.len())
}

/// Returns a request with a long head, which fills the read buffers with fewer requests.
fn post_with_long_head(body: &str) -> String {
    let head = format!(
        "POST /v1/query HTTP/1.1\r\nx-filler: {}\r\n",
        "x".repeat(6_000)
    );
    post(body).replacen("POST /v1/query HTTP/1.1\r\n", &head, 1)
}

fn post_of_length(body: &str, length: usize) -> String {
    format!(
        "POST /v1/query HTTP/1.1\r\nhost: a.example\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Connects a crowd, watches the process, and checks that it serves an ordinary caller while the crowd is
/// connected and after it has left.
async fn check(name: &str, clients: usize, script: &Script) {
    let _guard = ONE_AT_A_TIME.lock().await;
    let mut config = FleetConfig::new();
    config.daemons = 1;
    config.descriptors = Some(DESCRIPTORS);
    config.set("body_limit_bytes", BODY_BYTES.into());
    config.set("memory_mb", MEMORY_MB.into());
    config.team().rate_limit_per_s = 1_000_000;
    let fleet = Fleet::start(config).await;
    let crowd = Crowd::start(fleet.query_address(0), clients, script);
    watch(name, fleet.process_id(0), &crowd, BOUNDS).await;
    let is_answered = async || {
        let reply = fleet.try_query(0, &query("ordinary", 2_000)).await;
        reply.is_some_and(|reply| reply.outcome() == "complete")
    };
    check_served(name, is_answered).await;
    drop(crowd);
    check_served(name, is_answered).await;
}

/// Guards against requests that accumulate in read buffers, and against answers that nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_queries_whose_answers_are_not_read() {
    let request = post_with_long_head(&query("pipelined", 2_000).to_string());
    check("pipelined-queries", 400, &Script::pipelined(&request)).await;
}

/// Guards against the same with answers to requests that are refused, which are cheaper to cause.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_whose_refusals_are_not_read() {
    let request = post_with_long_head("{}");
    check("pipelined-refusals", 400, &Script::pipelined(&request)).await;
}

/// Guards against callers that read, but hardly anything.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_are_read_byte_by_byte() {
    let request = post_with_long_head(&query("trickled", 2_000).to_string());
    let script = Script {
        reading: Reading::ByteEachSecond,
        ..Script::pipelined(&request)
    };
    check("trickled-answers", 400, &script).await;
}

/// Guards against callers that have closed their sending direction.
#[tokio::test(flavor = "multi_thread")]
async fn answers_after_a_half_close() {
    let requests = post(&query("half-closed", 2_000).to_string()).repeat(2_000);
    let script = Script {
        reading: Reading::HalfClosed,
        ..Script::once(&requests)
    };
    check("half-closed", 400, &script).await;
}

/// Guards against connections without requests that take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_connections() {
    check("abandoned", 1_300, &Script::once("")).await;
}

/// Guards against heads that are broken off, whose bytes stay in the read buffers.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_heads() {
    let start = format!(
        "POST /v1/query HTTP/1.1\r\nx-filler: {}",
        "x".repeat(300_000)
    );
    check("abandoned-heads", 800, &Script::once(&start)).await;
}

/// Guards against bodies that arrive byte by byte.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_are_sent_byte_by_byte() {
    let start = post_of_length(&"x".repeat(BODY_BYTES - 1_000), BODY_BYTES);
    let script = Script {
        trickles: true,
        ..Script::once(&start)
    };
    check("slow-bodies", 400, &script).await;
}

/// Guards against long answers that nobody reads, from the replies of the leafs on. The stand-in's leafs repeat the
/// text of a query in each of their rows, of which an answer has twelve.
#[tokio::test(flavor = "multi_thread")]
async fn long_answers_that_are_not_read() {
    let text = "long".repeat(5_000);
    let request = post(&query(&text, 2_000).to_string());
    check("long-answers", 400, &Script::pipelined(&request)).await;
}

/// Guards against the same with the longest queries that are accepted, whose answers take a large part of the memory.
#[tokio::test(flavor = "multi_thread")]
async fn longest_answers_that_are_not_read() {
    let text = "long".repeat(16_000);
    let request = post(&query(&text, 2_000).to_string());
    check("longest-answers", 200, &Script::pipelined(&request)).await;
}

/// Guards against a limit that a single long answer meets while there is nothing else.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_answer_is_served_in_calm() {
    let _guard = ONE_AT_A_TIME.lock().await;
    let mut config = FleetConfig::new();
    config.daemons = 1;
    config.set("body_limit_bytes", BODY_BYTES.into());
    config.set("memory_mb", MEMORY_MB.into());
    let fleet = Fleet::start(config).await;
    let text = "long".repeat(16_000);
    let reply = fleet.try_query(0, &query(&text, 5_000)).await;
    let reply = reply.expect("an answer");
    assert_eq!(reply.outcome(), "complete");
    assert!(reply.text.len() > 12 * text.len());
}
