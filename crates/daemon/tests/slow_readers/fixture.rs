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
use tokio::time::timeout;

use super::check_served;

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
}

/// A daemon with its store and leafs; dropping it ends the process.
pub struct Fixture {
    pub process: Child,
    pub query: SocketAddr,
    pub peer: SocketAddr,
    pub operator: SocketAddr,
    pub readiness: SocketAddr,
    _store: FakeStore,
    _leafs: (FakeLeaf, RawServer),
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
        let long_bytes = setup.long_bytes;
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-medlarpin-request-id: {{id}}\r\nx-medlarpin-server-stamp: s\r\ncontent-length: {long_bytes}\r\n\r\n"
        );
        let steps = vec![
            RawStep::Send(head),
            RawStep::Send("x".repeat(setup.long_bytes)),
        ];
        let long = RawServer::start(steps).unwrap();
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
        store.put("op/config", &config(setup.body_bytes));
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
            _store: store,
            _leafs: (good, long),
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

/// Publishes the services `good`, `long` and `deaf`, each with a route.
fn config(body_bytes: usize) -> Value {
    let route = |name: &str, service: &str| {
        json!({
            "name": name, "host": "a.example", "prefix": format!("/{name}/"), "type": "idempotent",
            "timeoutMs": 3_000, "targetLatencyMs": 2_000, "priority": 1, "attempts": 1,
            "service": service,
        })
    };
    let service = |name: &str| json!({"name": name, "healthPath": "/health", "maxConns": 6_000});
    json!({
        "version": 1,
        "routes": [route("one", "good"), route("long", "long"), route("deaf", "deaf")],
        "services": [service("good"), service("long"), service("deaf")],
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": body_bytes,
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
