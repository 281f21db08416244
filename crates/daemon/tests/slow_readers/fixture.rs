//! A daemon that serves published routes, with its store and leafs.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use platform_stand_in::{FakeLeaf, FakeStore, RawServer, RawStep};
use serde_json::{Value, json};
use stand_ins::server::reserve_port;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::{Bounds, Crowd, ONE_AT_A_TIME, Script, check_served, watch};

/// Limits of the daemon, and the size of what clients and leafs send.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// Memory of the VM in MiB.
    pub memory_mb: u64,
    /// Descriptor limit of the process.
    pub descriptors: usize,
    /// Length of the answers of the service `long`.
    pub long_bytes: usize,
    /// Published limit of callers' bodies.
    pub body_bytes: usize,
    /// Number of shards of the route `many`, each with one leaf; without shards there is no such route.
    pub shards: usize,
}

impl Setup {
    /// A VM that is smaller than any in use, so that a small crowd shows a missing bound. It has the limits of
    /// `slow_readers_routes.rs`.
    pub const SMALL: Self = Self {
        memory_mb: 48,
        descriptors: 1_024,
        long_bytes: 256 << 10,
        body_bytes: 262_144,
        shards: 0,
    };

    /// Returns the bounds of the process: the VM's memory, and a part of the descriptors that stays free.
    pub const fn bounds(self) -> Bounds {
        Bounds {
            resident_mb: self.memory_mb,
            descriptors: self.descriptors - 100,
        }
    }
}

/// Length of a shard's part of the answers of the route `many`.
const PART_BYTES: usize = 20_000;
/// Time that its leafs work.
const PART_TIME: Duration = Duration::from_millis(500);

/// A daemon with its store and leafs; dropping it ends the process.
pub struct Fixture {
    pub process: Child,
    pub query: SocketAddr,
    pub peer: SocketAddr,
    pub operator: SocketAddr,
    pub readiness: SocketAddr,
    store: FakeStore,
    setup: Setup,
    _leafs: (FakeLeaf, RawServer, RawServer),
    /// Accepts connections and reads nothing from them.
    _deaf: TcpListener,
}

impl Drop for Fixture {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Fixture {
    pub async fn start(name: &str, setup: Setup) -> Self {
        let store = FakeStore::start().unwrap();
        let good = FakeLeaf::start("g0", [7; 16]).unwrap();
        store.put("servers/g0", &good.entry("good", "ready", 1));
        let long = RawServer::start(answer(setup.long_bytes)).unwrap();
        store.put("servers/l0", &long.entry("long"));
        let deaf = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut entry = long.entry("deaf");
        entry["address"] = deaf.local_addr().unwrap().to_string().into();
        store.put("servers/d0", &entry);
        // Items that other daemons fetch; their service has no route.
        for number in 0..400 {
            let mut entry = long.entry("unused");
            entry["address"] = format!("127.0.0.1:{}", 20_000 + number).into();
            store.put(&format!("servers/unused-{number}"), &entry);
        }
        let part = RawServer::start_choosing(|id| {
            if id.is_empty() {
                return answer(0);
            }
            let mut steps = vec![RawStep::Pause(PART_TIME)];
            steps.extend(answer(PART_BYTES));
            steps
        })
        .unwrap();
        for name in shard_names(setup.shards) {
            store.put(&format!("servers/{name}"), &part.entry(&name));
        }
        store.put("op/config", &config(setup, 1));
        let (reserved_query, query) = reserve_port().unwrap();
        let (reserved_readiness, readiness) = reserve_port().unwrap();
        let (reserved_peer, peer) = reserve_port().unwrap();
        let (reserved_operator, operator) = reserve_port().unwrap();
        let text = json!({
            "vm": "vm-1", "failure_domain": "z1", "region": "r1",
            "query_address": query, "readiness_address": readiness, "peer_address": peer,
            "operator_address": operator, "store_address": store.address(),
            "drain_s": 3, "shutdown_grace_s": 6,
            "repeat_ratio": 0.2, "repeat_window_s": 10, "repeat_slack": 129,
            "memory_mb": setup.memory_mb, "first_start": true,
        });
        let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.jsonc"));
        std::fs::write(&file, text.to_string()).expect("the settings are written");
        let process = Command::new("sh")
            .args(["-c", "ulimit -n $0 && exec \"$@\""])
            .arg(setup.descriptors.to_string())
            .arg(env!("CARGO_BIN_EXE_medlarpind"))
            .arg("--platform")
            .arg(&file)
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let fixture = Self {
            process,
            query,
            peer,
            operator,
            readiness,
            store,
            setup,
            _leafs: (good, long, part),
            _deaf: deaf,
        };
        check_served(name, async || {
            fixture.get("/one/1").await == Some(StatusCode::OK)
        })
        .await;
        drop((
            reserved_query,
            reserved_readiness,
            reserved_peer,
            reserved_operator,
        ));
        fixture
    }

    /// Checks that an ordinary caller is answered.
    pub async fn check_caller_served(&self, name: &str) {
        self.check_ok(name, self.query, "/one/1").await;
    }

    /// Checks that an ordinary caller, an operator and a readiness check are answered.
    pub async fn check_all_served(&self, name: &str) {
        self.check_caller_served(name).await;
        self.check_ok(name, self.operator, "/state").await;
        self.check_ok(name, self.readiness, "/api/ready").await;
    }

    /// Checks that a path is served with 200.
    pub async fn check_ok(&self, name: &str, address: SocketAddr, path: &str) {
        let is_ok = async || Self::get_from(address, path).await == Some(StatusCode::OK);
        check_served(name, is_ok).await;
    }

    /// Publishes the same configuration under another version.
    pub fn publish(&self, version: u64) {
        self.store.put("op/config", &config(self.setup, version));
    }

    /// Evacuates the failure domain of all leafs, or returns it to service.
    pub fn set_evacuated(&self, is_evacuated: bool) {
        if is_evacuated {
            self.store.put("op/evacuate/z1", &json!({}));
        } else {
            self.store.delete("op/evacuate/z1");
        }
    }

    /// Asks the process to stop, as the platform does.
    pub fn terminate(&self) {
        let process = self.process.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &process]).status();
        assert!(sent.is_ok_and(|status| status.success()));
    }

    /// Sends an ordinary request on a connection of its own.
    pub async fn get(&self, path: &str) -> Option<StatusCode> {
        Self::get_from(self.query, path).await
    }

    /// Sends a request to any of the daemon's HTTP addresses.
    pub async fn get_from(address: SocketAddr, path: &str) -> Option<StatusCode> {
        let exchange = async {
            let stream = TcpStream::connect(address).await.ok()?;
            let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
            let (mut sender, connection) = handshake.await.ok()?;
            let connection = tokio::spawn(connection);
            let request = Request::get(path)
                .header("host", "a.example")
                .header("x-medlarpin-request-id", "ordinary")
                .header("x-medlarpin-deadline-ms", "800")
                .body(Full::new(Bytes::new()))
                .expect("a valid request");
            let response = sender.send_request(request).await.ok()?;
            let status = response.status();
            response.into_body().collect().await.ok()?;
            connection.abort();
            Some(status)
        };
        timeout(Duration::from_secs(5), exchange).await.ok()?
    }
}

/// Returns the steps of a leaf that answers with a body of this length.
fn answer(length: usize) -> Vec<RawStep> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-medlarpin-request-id: {{id}}\r\nx-medlarpin-server-stamp: s\r\ncontent-length: {length}\r\n\r\n"
    );
    vec![RawStep::Send(head), RawStep::Send("x".repeat(length))]
}

fn shard_names(shards: usize) -> Vec<String> {
    (0..shards)
        .map(|number| format!("shard-{number}"))
        .collect()
}

/// Publishes the services `good`, `long` and `deaf` and the shards, each with a route, the shards with one in common.
fn config(setup: Setup, version: u64) -> Value {
    let route = |name: &str, service: &str| {
        json!({
            "name": name, "host": "a.example", "prefix": format!("/{name}/"), "type": "idempotent",
            "timeoutMs": 3_000, "targetLatencyMs": 2_000, "priority": 1, "attempts": 1,
            "service": service,
        })
    };
    let service = |name: &str| json!({"name": name, "healthPath": "/health", "maxConns": 6_000});
    let mut routes = vec![
        route("one", "good"),
        route("long", "long"),
        route("deaf", "deaf"),
    ];
    let mut services = vec![service("good"), service("long"), service("deaf")];
    let shards = shard_names(setup.shards);
    if !shards.is_empty() {
        services.extend(shards.iter().map(|name| service(name)));
        routes.push(json!({
            "name": "many", "host": "a.example", "prefix": "/many/", "type": "idempotent",
            "timeoutMs": 3_000, "targetLatencyMs": 2_000, "priority": 1, "attempts": 1,
            "fanout": shards, "topK": 10, "minCoverage": 0.75,
        }));
    }
    json!({
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": setup.body_bytes,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000,
        },
    })
}

/// Returns the head of a request up to the last line.
pub fn head(method: &str, path: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-medlarpin-request-id: r1\r\nx-medlarpin-deadline-ms: 3000\r\n{more}\r\n"
    )
}

/// Watches the process while other daemons `call` its address for them, and checks that it serves an ordinary caller
/// meanwhile.
pub fn check_calling_daemons<T>(
    name: &str,
    setup: Setup,
    daemons: usize,
    call: impl Fn(SocketAddr) -> T,
) where
    T: Future<Output = ()> + 'static,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let _guard = ONE_AT_A_TIME.lock().await;
        let fixture = Fixture::start(name, setup).await;
        let mut peers = JoinSet::new();
        for _ in 0..daemons {
            peers.spawn_local(call(fixture.peer));
        }
        let nobody = Crowd::start(fixture.query, 0, &Script::once(""));
        watch(name, fixture.process.id(), &nobody, setup.bounds()).await;
        fixture.check_caller_served(name).await;
    });
}
