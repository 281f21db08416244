//! Memory of a daemon that serves published routes while many leafs send bodies without end.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use platform_stand_in::RawStep::{Send, SendEndlessly};
use platform_stand_in::{FakeLeaf, FakeStore, RawServer};
use serde_json::{Value, json};
use stand_ins::server::reserve_port;
use tokio::task::JoinSet;

/// Memory of the VM in MiB, as in the daemon's settings.
const MEMORY_MB: u64 = 128;
const SHARDS: usize = 40;
const LEAFS_PER_SHARD: usize = 2;
/// Queries in progress at the same time.
const QUERIES: usize = 10;
const LOAD_TIME: Duration = Duration::from_secs(3);
/// Requests to the good service that are answered while the queries are in progress. The load goes on
/// until then, since a busy machine answers few of them within `LOAD_TIME`.
const ANSWERS_MIN: u32 = 21;
const LOAD_TIME_MAX: Duration = Duration::from_mins(1);
const START_TIMEOUT: Duration = Duration::from_secs(20);

type HttpClient = Client<HttpConnector, Empty<Bytes>>;

/// A running daemon; dropping it ends the process.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    fn start(settings: &Path) -> Self {
        let child = Command::new(env!("CARGO_BIN_EXE_medlarpind"))
            .arg("--platform")
            .arg(settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        Self(child)
    }

    /// Returns the largest resident memory of the process so far, in MiB.
    fn peak_memory_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id()));
        let status = status.expect("the daemon runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next());
        kilobytes
            .and_then(|text| text.parse::<u64>().ok())
            .expect("a number")
            / 1_024
    }
}

/// Publishes the hostile shards, and the good service `good` with the route `/one/`.
fn config() -> Value {
    let route = |name: &str, prefix: &str| {
        json!({
            "name": name, "host": "a.example", "prefix": prefix, "type": "idempotent",
            "timeoutMs": 800, "targetLatencyMs": 200, "priority": 1, "attempts": 2,
        })
    };
    let mut scattered = route("scattered", "/all/");
    let shards: Vec<String> = (0..SHARDS).map(|number| format!("s{number}")).collect();
    scattered["fanout"] = json!(shards);
    scattered["topK"] = json!(2);
    scattered["minCoverage"] = json!(0.5);
    let mut single = route("single", "/one/");
    single["service"] = json!("good");
    json!({
        "version": 1, "routes": [scattered, single], "services": [],
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 1_000,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000,
        },
    })
}

fn write_settings(query: SocketAddr, readiness: SocketAddr, store: SocketAddr) -> PathBuf {
    let text = json!({
        "vm": "vm-1", "failure_domain": "z1", "region": "r1",
        "query_address": query, "readiness_address": readiness,
        "operator_address": "127.0.0.1:0", "store_address": store,
        "drain_s": 3, "shutdown_grace_s": 6,
        "repeat_ratio": 0.2, "repeat_window_s": 10, "repeat_slack": 129,
        "memory_mb": MEMORY_MB, "first_start": true,
    });
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("routes-memory.jsonc");
    std::fs::write(&file, text.to_string()).expect("the settings are written");
    file
}

async fn get(client: &HttpClient, address: SocketAddr, path: &str) -> Option<StatusCode> {
    let request = Request::get(format!("http://{address}{path}"))
        .header("host", "a.example")
        .header("x-medlarpin-request-id", "r1")
        .header("x-medlarpin-deadline-ms", "800")
        .body(Empty::new())
        .expect("a valid request");
    let response = client.request(request).await.ok()?;
    let status = response.status();
    response.into_body().collect().await.ok()?;
    Some(status)
}

/// Guards against a process that exceeds the memory of its VM because all leafs of many shards send
/// bodies without end, and against other requests that fail meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_of_many_leafs_stay_within_the_memory() {
    let store = FakeStore::start().unwrap();
    let head =
        "HTTP/1.1 200 OK\r\nx-medlarpin-request-id: {id}\r\nx-medlarpin-server-stamp: s\r\n\r\n";
    let steps = [Send(head.into()), SendEndlessly("0123456789abcdef".into())];
    let mut hostile = Vec::new();
    for shard in 0..SHARDS {
        for number in 0..LEAFS_PER_SHARD {
            let leaf = RawServer::start(steps.to_vec()).unwrap();
            let key = format!("servers/s{shard}-{number}");
            store.put(&key, &leaf.entry(&format!("s{shard}")));
            hostile.push(leaf);
        }
    }
    let good = FakeLeaf::start("g0", [7; 16]).unwrap();
    store.put("servers/g0", &good.entry("good", "ready", 1));
    store.put("op/config", &config());
    let (reserved_query, query) = reserve_port().unwrap();
    let (reserved_readiness, readiness) = reserve_port().unwrap();
    let process = Process::start(&write_settings(query, readiness, store.address()));

    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let started = Instant::now();
    while get(&client, query, "/one/1").await != Some(StatusCode::OK) {
        assert!(started.elapsed() < START_TIMEOUT, "the daemon is not ready");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    drop((reserved_query, reserved_readiness));
    let load_started = Instant::now();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut queries = JoinSet::new();
    for _ in 0..QUERIES {
        let (client, is_over) = (client.clone(), Arc::clone(&is_over));
        queries.spawn(async move {
            while !is_over.load(Ordering::Relaxed) {
                let status = get(&client, query, "/all/1").await;
                assert_ne!(status, Some(StatusCode::OK), "no shard has answered");
                assert!(status.is_some(), "the caller got no answer");
            }
        });
    }
    let (mut answered, mut failed) = (0_u32, 0_u32);
    while load_started.elapsed() < LOAD_TIME || answered < ANSWERS_MIN {
        assert!(
            load_started.elapsed() < LOAD_TIME_MAX,
            "{answered} answered"
        );
        match get(&client, query, "/one/1").await {
            Some(StatusCode::OK) => answered += 1,
            _ => failed += 1,
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    is_over.store(true, Ordering::Relaxed);
    queries.join_all().await;
    let sent: u64 = hostile.iter().map(RawServer::bytes_sent).sum();
    let peak = process.peak_memory_mb();
    println!("peak {peak} MiB, {sent} hostile bytes, {answered} answered, {failed} failed");
    assert!(sent > 0);
    assert!(peak < MEMORY_MB, "{peak} MiB");
    assert_eq!(failed, 0, "{answered} answered");
}
