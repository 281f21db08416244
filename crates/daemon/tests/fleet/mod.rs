//! Test harness: a fleet of real `medlarpind` processes with a fake platform and fake leafs.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

pub mod config;
pub mod http;
pub mod load;
pub mod process;
pub mod relay;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::sync::Once;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::Value;
use stand_ins::prelude::*;
use tokio::sync::{Semaphore, SemaphorePermit};

use self::config::FleetConfig;
use self::http::{HttpClient, Reply};
use self::process::{Daemon, Signal};
use self::relay::Relay;

pub const REGION: &str = "region-0";
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Far longer than any awaited state takes to appear, so that a busy machine fails no test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Each fleet runs several processes; more fleets at once would overload a small machine.
static RUNNING_FLEETS: Semaphore = Semaphore::const_new(2);
static FLEET_COUNT: AtomicU32 = AtomicU32::new(0);

/// A running fleet; dropping it kills all its processes.
#[derive(Debug)]
pub struct Fleet {
    daemons: Vec<Mutex<Daemon>>,
    query_addresses: Vec<SocketAddr>,
    operator_addresses: Vec<SocketAddr>,
    deployment: Deployment,
    /// Number of shards of the service at the start.
    shards: u32,
    links: Option<Links>,
    pub client: HttpClient,
    directory: PathBuf,
    _permit: SemaphorePermit<'static>,
}

/// Relays between each ordered pair of daemons and between each daemon and the platform.
#[derive(Debug)]
struct Links {
    /// Relays between daemons, indexed by `from` and then `to`.
    peers: Vec<Vec<Relay>>,
    platform: Vec<Relay>,
    /// Each daemon's view of the platform, which lists its peers under their relays' addresses.
    views: Vec<PlatformView>,
}

impl Fleet {
    /// Starts the deployment and the daemons and waits until every daemon's answers are complete.
    ///
    /// A ready daemon may refuse queries until its peers have acknowledged the first VM list, so
    /// queries are sent until then. Leafs count them too, so tests must compare counts with earlier
    /// ones.
    pub async fn start(config: FleetConfig) -> Self {
        let fleet = Self::prepare(config).await;
        for daemon in 0..fleet.len() {
            fleet.start_daemon(daemon);
        }
        for daemon in 0..fleet.len() {
            fleet.wait_ready(daemon).await;
        }
        for daemon in 0..fleet.len() {
            fleet.wait_complete(daemon).await;
        }
        fleet
    }

    /// Starts the deployment and publishes the VM list, but starts no daemon.
    pub async fn prepare(config: FleetConfig) -> Self {
        let shards = config.deployment.services[0].shards;
        let permit = RUNNING_FLEETS.acquire().await.expect("an open semaphore");
        let deployment = Deployment::start(config.deployment)
            .await
            .expect("a deployment");
        record_panics();
        let directory = new_directory();
        let domains = deployment.failure_domains();
        let daemons: Vec<Daemon> = (0..config.daemons)
            .map(|position| {
                let domain = &domains[position % domains.len()];
                let mut daemon = Daemon::new(position, domain, &directory).expect("free ports");
                daemon.descriptors = config.descriptors;
                daemon
            })
            .collect();
        let links = if config.relays {
            Some(Links::start(&daemons, &deployment).await)
        } else {
            None
        };
        for (position, daemon) in daemons.iter().enumerate() {
            let platform = links.as_ref().map_or_else(
                || deployment.platform().address(),
                |links| links.platform[position].address(),
            );
            daemon
                .write_settings(&[platform], &config.settings)
                .expect("a settings file");
        }
        let fleet = Self {
            query_addresses: daemons.iter().map(|daemon| daemon.ports.query).collect(),
            operator_addresses: daemons.iter().map(|daemon| daemon.ports.operator).collect(),
            daemons: daemons.into_iter().map(Mutex::new).collect(),
            deployment,
            shards,
            links,
            client: HttpClient::new(),
            directory,
            _permit: permit,
        };
        fleet.publish_vms(&(0..fleet.len()).collect::<Vec<_>>());
        fleet
    }

    /// Returns the number of daemons.
    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    pub fn platform(&self) -> &FakePlatform {
        self.deployment.platform()
    }

    /// Publishes a VM list that names these daemons, all in state `live`.
    pub fn publish_vms(&self, daemons: &[usize]) {
        let entry = |position: &usize| {
            let daemon = self.daemons[*position].lock();
            VmEntry {
                name: daemon.name.clone(),
                rpc_address: daemon.ports.rpc.to_string(),
                failure_domain: daemon.failure_domain.clone(),
                region: REGION.to_owned(),
                state: VmEntryState::Live,
            }
        };
        self.platform().set_vms(daemons.iter().map(entry).collect());
    }

    /// Starts a daemon that is down, without waiting until it is ready.
    pub fn start_daemon(&self, daemon: usize) {
        self.daemons[daemon]
            .lock()
            .start()
            .expect("the daemon's program");
    }

    /// Starts a daemon that is down and waits until it is ready.
    pub async fn restart(&self, daemon: usize) {
        self.start_daemon(daemon);
        self.wait_ready(daemon).await;
    }

    pub fn signal(&self, daemon: usize, signal: Signal) {
        self.daemons[daemon].lock().signal(signal);
    }

    /// Returns the identifier of a daemon's process.
    pub fn process_id(&self, daemon: usize) -> u32 {
        self.daemons[daemon].lock().process_id()
    }

    /// Returns what a daemon has logged.
    pub fn log(&self, daemon: usize) -> String {
        self.daemons[daemon].lock().log().expect("a log file")
    }

    /// Kills a daemon's process.
    pub fn kill(&self, daemon: usize) {
        self.daemons[daemon].lock().kill();
    }

    /// Waits until a daemon exits by itself and returns its exit status.
    pub async fn wait_exit(&self, daemon: usize) -> ExitStatus {
        let mut status = None;
        wait_until(&format!("vm-{daemon} exits"), WAIT_TIMEOUT, async || {
            status = self.daemons[daemon].lock().exit_status();
            status.is_some()
        })
        .await;
        status.expect("an exit status")
    }

    /// Waits until a daemon reports that it is ready, and fails at once if it exits instead.
    pub async fn wait_ready(&self, daemon: usize) {
        wait_until(&format!("vm-{daemon} is ready"), WAIT_TIMEOUT, async || {
            let status = self.daemons[daemon].lock().exit_status();
            assert!(
                status.is_none(),
                "vm-{daemon} exited with {status:?}, see the logs in {}",
                self.directory.display()
            );
            self.is_ready(daemon).await
        })
        .await;
    }

    pub async fn is_ready(&self, daemon: usize) -> bool {
        let reply = self
            .client
            .get(self.operator_addresses[daemon], "/ready")
            .await;
        reply.is_some_and(|reply| reply.status == 200)
    }

    /// Returns a daemon's state dump; `None` if it does not answer.
    pub async fn state(&self, daemon: usize) -> Option<Value> {
        let reply = self
            .client
            .get(self.operator_addresses[daemon], "/state")
            .await?;
        (reply.status == 200).then_some(reply.body)
    }

    /// Waits until a daemon's state dump satisfies the predicate.
    pub async fn wait_state(&self, daemon: usize, what: &str, holds: impl Fn(&Value) -> bool) {
        let what = format!("vm-{daemon}: {what}");
        wait_until(&what, WAIT_TIMEOUT, async || {
            self.state(daemon).await.is_some_and(|state| holds(&state))
        })
        .await;
    }

    /// Returns the text of a daemon's metrics.
    pub async fn metrics(&self, daemon: usize) -> String {
        let reply = self
            .client
            .get(self.operator_addresses[daemon], "/metrics")
            .await;
        reply.expect("metrics").text
    }

    /// Sends a query through a daemon; `None` if the connection was refused or lost.
    pub async fn try_query(&self, daemon: usize, body: &Value) -> Option<Reply> {
        self.client
            .post(self.query_addresses[daemon], "/v1/query", body)
            .await
    }

    /// Sends a query through a daemon that must answer.
    pub async fn query(&self, daemon: usize, body: &Value) -> Reply {
        let reply = self.try_query(daemon, body).await;
        reply.unwrap_or_else(|| {
            panic!(
                "vm-{daemon} does not answer, see the logs in {}",
                self.directory.display()
            )
        })
    }

    /// Waits until a daemon's answers are complete; each answer until then must pass
    /// [`config::check_answer`].
    pub async fn wait_complete(&self, daemon: usize) {
        let text = "is it complete";
        wait_until(
            &format!("vm-{daemon} answers completely"),
            WAIT_TIMEOUT,
            async || {
                let reply = self.query(daemon, &config::query(text, 2000)).await;
                config::check_answer(&reply, text, self.shards);
                reply.outcome() == "complete"
            },
        )
        .await;
    }

    /// Returns the address at which other daemons reach a daemon.
    pub fn rpc_address(&self, daemon: usize) -> SocketAddr {
        self.daemons[daemon].lock().ports.rpc
    }

    /// Returns the address of a daemon's operator endpoints.
    pub fn operator_address(&self, daemon: usize) -> SocketAddr {
        self.operator_addresses[daemon]
    }

    /// Returns the folder of the daemons' settings and logs.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Returns what all daemons have logged.
    pub fn logs(&self) -> String {
        let names = self.daemons.iter().map(|daemon| daemon.lock().name.clone());
        let paths = names.map(|name| self.directory.join(format!("{name}.log")));
        let logs = paths.map(|path| std::fs::read_to_string(path).expect("a log"));
        logs.collect()
    }

    /// Returns the address at which a daemon accepts queries.
    pub fn query_address(&self, daemon: usize) -> SocketAddr {
        self.query_addresses[daemon]
    }

    /// Requests a ticket from a daemon.
    pub async fn ticket(&self, daemon: usize, team: &str) -> String {
        let body = serde_json::json!({ "team": team });
        let reply = self
            .client
            .post(self.query_addresses[daemon], "/v1/tickets", &body)
            .await;
        let reply = reply.expect("a reply");
        assert_eq!(reply.status, 200, "{}", reply.text);
        reply.body["ticket"].as_str().expect("a ticket").to_owned()
    }

    /// Returns the relay for connections that daemon `from` opens to daemon `to`.
    pub fn relay(&self, from: usize, to: usize) -> &Relay {
        &self.links.as_ref().expect("a fleet with relays").peers[from][to]
    }

    /// Returns the relay between a daemon and the platform.
    pub fn platform_relay(&self, daemon: usize) -> &Relay {
        &self.links.as_ref().expect("a fleet with relays").platform[daemon]
    }

    /// Partitions the fleet: stops traffic between the side and the other daemons, and between the
    /// side and the platform.
    pub fn partition(&self, side: &BTreeSet<usize>) {
        for from in 0..self.len() {
            for to in (0..self.len()).filter(|to| side.contains(&from) != side.contains(to)) {
                self.relay(from, to).hold();
            }
        }
        for daemon in side {
            self.platform_relay(*daemon).hold();
        }
    }

    /// Ends all partitions; traffic held back by them is delivered late.
    pub fn heal(&self) {
        let links = self.links.as_ref().expect("a fleet with relays");
        for relay in links.peers.iter().flatten().chain(&links.platform) {
            relay.heal();
        }
    }
}

/// True once any thread of the test process has panicked; the logs of all fleets are kept from then on.
static HAS_PANICKED: AtomicBool = AtomicBool::new(false);

fn record_panics() {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let previous = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            HAS_PANICKED.store(true, Ordering::Relaxed);
            previous(info);
        }));
    });
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in &self.daemons {
            daemon.lock().kill();
        }
        // The last owner may be another thread than the one that has panicked.
        if HAS_PANICKED.load(Ordering::Relaxed) {
            eprintln!("the daemons' logs are in {}", self.directory.display());
        } else {
            // Files that cannot be removed stay in cargo's directory for temporary files.
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

impl Links {
    async fn start(daemons: &[Daemon], deployment: &Deployment) -> Self {
        let mut links = Self {
            peers: Vec::new(),
            platform: Vec::new(),
            views: Vec::new(),
        };
        for _ in daemons {
            let mut row = Vec::new();
            for to in daemons {
                row.push(Relay::start(to.ports.rpc).await.expect("a free port"));
            }
            let addresses = daemons.iter().zip(&row);
            let addresses = addresses
                .map(|(to, relay)| (to.name.clone(), relay.address().to_string()))
                .collect();
            let view = deployment
                .platform()
                .start_view(addresses)
                .expect("a free port");
            links
                .platform
                .push(Relay::start(view.address()).await.expect("a free port"));
            links.peers.push(row);
            links.views.push(view);
        }
        links
    }
}

/// Polls until the condition holds; panics after the timeout.
pub async fn wait_until(what: &str, timeout: Duration, mut holds: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let outcome = tokio::time::timeout(timeout, wait).await;
    assert!(outcome.is_ok(), "not reached within {timeout:?}: {what}");
}

fn new_directory() -> PathBuf {
    let number = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("fleet-{}-{number}", std::process::id());
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).expect("a writable directory");
    directory
}
