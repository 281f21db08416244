//! Fake of an upstream leaf.

mod counters;
mod faults;
mod index_versions;
mod search;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::{Mutex, RwLock};
use tokio::sync::Semaphore;

pub use self::counters::Run;
pub use self::faults::{CrashRule, Faults, HealthReport, HealthState, Refusal, ReplyFault};
pub use self::index_versions::Shards;
pub use self::search::expected_rows;

use self::counters::Counters;
use self::index_versions::IndexVersions;
use self::search::QueuedRequests;
use crate::server::{Server, ServerControl};

/// Configuration of a fake leaf.
#[derive(Debug, Clone)]
pub struct LeafConfig {
    /// Identifier, unique within the service.
    pub id: String,
    /// Service whose shards the leaf holds; its name is part of each row.
    pub service: String,
    /// Number of requests processed at once; further ones are queued.
    pub slots: usize,
    /// Maximum number of open connections; further ones are closed at once.
    pub connection_limit: usize,
    /// Mean service time of a request.
    pub service_time: Duration,
    /// Seed of the pseudo-random service times.
    pub seed: u64,
    /// Index versions with the shards held of each.
    pub versions: Vec<(u64, Shards)>,
}

#[derive(Debug)]
struct Leaf {
    config: LeafConfig,
    control: ServerControl,
    slots: Semaphore,
    faults: RwLock<Arc<Faults>>,
    index_versions: RwLock<IndexVersions>,
    queue: Mutex<QueuedRequests>,
    counters: Counters,
}

impl Leaf {
    /// Closes the port and all connections; opens the port again after `down_for`, if it is given.
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
        let control = ServerControl::new();
        let leaf = Arc::new(Leaf {
            control: control.clone(),
            slots: Semaphore::new(config.slots),
            faults: RwLock::default(),
            index_versions: RwLock::new(IndexVersions::new(config.versions.clone())),
            queue: Mutex::default(),
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

    /// Changes the faults; requests already received keep the earlier ones.
    pub fn update_faults(&self, change: impl FnOnce(&mut Faults)) {
        let mut faults = self.leaf.faults.write();
        change(Arc::make_mut(&mut faults));
    }

    /// Removes all faults; a leaf that is down stays down.
    pub fn clear_faults(&self) {
        self.update_faults(|faults| *faults = Faults::default());
    }

    /// Accepts or refuses new connections; open ones are kept.
    pub fn accept_connections(&self, accept: bool) {
        self.leaf.control.set_listening(accept);
    }

    /// Closes all connections without a reply and refuses new ones for the given time, or until
    /// `come_up` is called.
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

    /// Adds a version, or replaces the shards of a version already served.
    pub fn add_version(&self, version: u64, shards: Shards) {
        self.leaf.index_versions.write().add(version, shards);
    }

    /// Removes a version: requests for it get 409 from now on, including those that are queued.
    pub fn drop_version(&self, version: u64) {
        self.leaf.index_versions.write().remove(version);
    }

    /// Returns the index versions served, in ascending order.
    #[must_use]
    pub fn versions(&self) -> Vec<u64> {
        self.leaf.index_versions.read().versions()
    }

    /// Returns the most recent runs, oldest first; the number kept is bounded.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.leaf.counters.runs()
    }

    /// Returns the number of search requests that the leaf began to process.
    #[must_use]
    pub fn run_count(&self) -> u64 {
        self.leaf.counters.run_count()
    }

    /// Returns the number of search requests received, including refused ones.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.leaf.counters.requests.count()
    }

    /// Returns the number of search requests for a version or shard that the leaf does not hold.
    #[must_use]
    pub fn version_gone_replies(&self) -> u64 {
        self.leaf.counters.version_gone.count()
    }

    /// Returns the highest number of open connections, including those closed because of the limit.
    #[must_use]
    pub fn peak_connections(&self) -> u64 {
        self.leaf.counters.connections.peak()
    }

    /// Returns the number of connections closed because of the limit.
    #[must_use]
    pub fn rejected_connections(&self) -> u64 {
        self.leaf.counters.rejected_connections.count()
    }

    /// Returns the highest number of search requests that were in flight at once, queued or
    /// processed.
    #[must_use]
    pub fn peak_in_flight(&self) -> u64 {
        self.leaf.counters.in_flight.peak()
    }

    /// Returns the number of queued requests that were cancelled.
    #[must_use]
    pub fn cancelled(&self) -> u64 {
        self.leaf.counters.cancelled.count()
    }

    /// Returns the number of crashes caused by queries.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        self.leaf.counters.crashes.count()
    }

    /// Returns the arrival time of the latest search request.
    #[must_use]
    pub fn last_request_at(&self) -> Option<Instant> {
        self.leaf.counters.last_request_at()
    }
}
