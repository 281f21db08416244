//! Fake of an upstream leaf.

mod counters;
mod faults;
mod holdings;
mod search;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::{Mutex, RwLock};
use tokio::sync::Semaphore;

pub use self::counters::Run;
pub use self::faults::{CrashRule, Faults, HealthReport, HealthState, Refusal, ReplyFault};
pub use self::holdings::Shards;
pub use self::search::rows;

use self::counters::Counters;
use self::holdings::Holdings;
use self::search::Waiting;
use crate::server::{Control, Server};

/// Settings of a fake leaf.
#[derive(Debug, Clone)]
pub struct LeafConfig {
    /// Identifier, unique within the service.
    pub id: String,
    /// Service whose shards the leaf holds; part of every row.
    pub service: String,
    /// Number of requests processed at once; the others wait.
    pub slots: usize,
    /// Open connections allowed; further ones are closed at once.
    pub connection_limit: usize,
    /// Mean time of one run.
    pub service_time: Duration,
    /// Seed of the service times.
    pub seed: u64,
    /// Index versions and the shards held of each.
    pub versions: Vec<(u64, Shards)>,
}

#[derive(Debug)]
struct Leaf {
    config: LeafConfig,
    control: Control,
    slots: Semaphore,
    faults: RwLock<Arc<Faults>>,
    holdings: RwLock<Holdings>,
    waiting: Mutex<Waiting>,
    counters: Counters,
}

impl Leaf {
    fn go_down(self: &Arc<Self>, down_for: Option<Duration>) {
        self.control.go_down();
        if let Some(down_for) = down_for {
            let control = self.control.clone();
            tokio::spawn(async move {
                tokio::time::sleep(down_for).await;
                control.set_listening(true);
            });
        }
    }
}

/// A running fake leaf; dropping it closes its port and its connections.
#[derive(Debug)]
pub struct FakeLeaf {
    leaf: Arc<Leaf>,
    server: Server,
}

impl FakeLeaf {
    /// Starts a leaf without faults.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    #[expect(
        clippy::unused_async,
        reason = "makes the need for a tokio runtime visible"
    )]
    pub async fn start(config: LeafConfig) -> io::Result<Self> {
        let control = Control::new();
        let leaf = Arc::new(Leaf {
            control: control.clone(),
            slots: Semaphore::new(config.slots),
            faults: RwLock::default(),
            holdings: RwLock::new(Holdings::new(config.versions.clone())),
            waiting: Mutex::default(),
            counters: Counters::new(config.seed),
            config,
        });
        let server = Server::start(Arc::clone(&leaf), control)?;
        Ok(Self { leaf, server })
    }

    /// Returns the leaf's identifier.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.leaf.config.id
    }

    /// Returns the address of the HTTP listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults in force.
    pub fn update_faults(&self, change: impl FnOnce(&mut Faults)) {
        let mut faults = self.leaf.faults.write();
        change(Arc::make_mut(&mut faults));
    }

    /// Ends all faults; a leaf that is down stays down.
    pub fn clear_faults(&self) {
        self.update_faults(|faults| *faults = Faults::default());
    }

    /// Accepts or refuses new connections; open ones are kept.
    pub fn accept_connections(&self, accept: bool) {
        self.leaf.control.set_listening(accept);
    }

    /// Closes all connections without a reply and refuses new ones, for the time given or for good.
    pub fn go_down(&self, down_for: Option<Duration>) {
        self.leaf.go_down(down_for);
    }

    /// Accepts connections again.
    pub fn come_up(&self) {
        self.leaf.control.set_listening(true);
    }

    /// Returns whether the leaf accepts connections.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.leaf.control.is_listening()
    }

    /// Serves a further version, or other shards of a version already served.
    pub fn add_version(&self, version: u64, shards: Shards) {
        self.leaf.holdings.write().add(version, shards);
    }

    /// Answers requests for the version with 409 from now on, also those that wait for a slot.
    pub fn drop_version(&self, version: u64) {
        self.leaf.holdings.write().remove(version);
    }

    /// Returns the versions served, sorted.
    #[must_use]
    pub fn versions(&self) -> Vec<u64> {
        self.leaf.holdings.read().versions()
    }

    /// Returns the most recent runs, oldest first; the number kept is bounded.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.leaf.counters.runs()
    }

    /// Returns the number of requests that the leaf began to work on.
    #[must_use]
    pub fn run_count(&self) -> u64 {
        self.leaf.counters.run_count()
    }

    /// Returns the number of search requests received, with those refused.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.leaf.counters.requests.count()
    }

    /// Returns the number of requests for a version or shard that the leaf does not hold.
    #[must_use]
    pub fn version_gone_replies(&self) -> u64 {
        self.leaf.counters.version_gone.count()
    }

    /// Returns the highest number of open connections, with those above the limit.
    #[must_use]
    pub fn peak_connections(&self) -> u64 {
        self.leaf.counters.connections.peak()
    }

    /// Returns the number of connections closed because of the limit.
    #[must_use]
    pub fn rejected_connections(&self) -> u64 {
        self.leaf.counters.rejected_connections.count()
    }

    /// Returns the highest number of requests that waited or were worked on at once.
    #[must_use]
    pub fn peak_in_flight(&self) -> u64 {
        self.leaf.counters.in_flight.peak()
    }

    /// Returns the number of requests that a cancellation took out of the wait.
    #[must_use]
    pub fn cancelled(&self) -> u64 {
        self.leaf.counters.cancelled.count()
    }

    /// Returns the number of crashes caused by queries.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        self.leaf.counters.crashes.count()
    }

    /// Returns when the latest search request arrived.
    #[must_use]
    pub fn last_request_at(&self) -> Option<Instant> {
        self.leaf.counters.last_request_at()
    }
}
