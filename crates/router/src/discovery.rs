//! Follows the published configuration and leafs.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use medlarpin_core::prelude::Revision;
use medlarpin_core::routing::{LeafDirectory, LeafPhase, NextRead, RoutingConfig, WatchCursor};
use platform::{Change, Item, Snapshot, Store, StoreError};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::event::Event;
use crate::peers;
use crate::shared::Shared;

/// Time for which a watch waits at the store. A watch on a connection that went silent is noticed
/// after it, so it is short against the time in which a configuration has to be in force.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// Pause between watches; changes that come in quick succession take one call together.
const WATCH_PAUSE: Duration = Duration::from_millis(700);
/// First pause after a failed call.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(100);
/// Longest pause after failed calls.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(800);
/// Time for the first read of a start; doubles with each failed one. The store answers in
/// milliseconds.
const START_READ_TIMEOUT: Duration = Duration::from_millis(150);
/// Daemons that are asked for the published items after each failed call of a start: the seeds may
/// have just started as well.
const DAEMONS_ASKED: u32 = 4;
/// Part of the drain time for which a leaving leaf is used if its service has no other leaf; the
/// rest covers the delay of its announcement.
const LEAVING_USE_SHARE: f64 = 0.6;
/// Interval at which leafs that are gone and idle connections are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the store for as long as the process runs.
pub(crate) struct Discovery {
    shared: Arc<Shared>,
    store: Store,
    directory: LeafDirectory,
    cursor: WatchCursor,
    /// Failed calls in a row.
    failures: u32,
}

impl Discovery {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        let settings = shared.settings.load_full();
        let leaving_use = settings.drain.mul_f64(LEAVING_USE_SHARE);
        Self {
            store: Store::new(settings.store_address),
            directory: LeafDirectory::new(leaving_use),
            shared,
            cursor: WatchCursor::default(),
            failures: 0,
        }
    }

    /// Runs until the task is dropped.
    pub(crate) async fn run(mut self) {
        loop {
            let started = self.shared.now();
            let was_failing = self.failures > 0 || self.cursor.known().is_none();
            self.shared.metrics.store_calls.inc();
            match self.follow().await {
                Ok(()) => {
                    if was_failing {
                        Event::StoreReached {
                            after_ms: (self.shared.now() - started).as_millis(),
                            revision: self.cursor.known().unwrap_or_default().0,
                        }
                        .log();
                    }
                    self.failures = 0;
                    sleep(WATCH_PAUSE).await;
                }
                Err(error) => self.failed(&error).await,
            }
            self.expire();
        }
    }

    /// Reads all items or waits for the next changes.
    async fn follow(&mut self) -> Result<(), StoreError> {
        match self.cursor.next() {
            NextRead::All => {
                let snapshot = self.read_all().await?;
                self.cursor.all_read(snapshot.revision);
                self.take_all(&snapshot.items, snapshot.revision);
                let mut published = self.shared.published.lock();
                published.replace_all(snapshot.items, snapshot.revision);
            }
            NextRead::ChangesAfter(after) => {
                let watched = self.store.watch(after, WATCH_WAIT).await?;
                if !self.cursor.watched(watched.total, watched.revision) {
                    Event::ChangesMissed {
                        known: after.0,
                        revision: watched.revision.0,
                    }
                    .log();
                }
                if !watched.changes.is_empty() {
                    self.take_changes(&watched.changes, watched.revision);
                    let mut published = self.shared.published.lock();
                    published.change(watched.changes, watched.revision);
                }
            }
        }
        Ok(())
    }

    /// Reads all items. While nothing is known, the first reads are short, so that other daemons are
    /// asked soon if the store hangs.
    async fn read_all(&mut self) -> Result<Snapshot, StoreError> {
        if self.shared.leafs_known.load(Ordering::Relaxed) {
            return self.store.read_all().await;
        }
        let limit = START_READ_TIMEOUT * (1 << self.failures.min(4));
        timeout(limit, self.store.read_all())
            .await
            .unwrap_or(Err(StoreError::TimedOut(limit)))
    }

    /// Takes a complete list; leafs that are not in it are withdrawn.
    fn take_all(&mut self, items: &[Item], revision: Revision) {
        let entries = items
            .iter()
            .filter_map(|item| match item.decode() {
                Some(Change::Leaf(entry)) => Some(entry),
                _ => None,
            })
            .collect();
        self.directory.replace_all(entries, self.shared.now());
        self.take_changes(items, revision);
        self.shared.leafs_known.store(true, Ordering::Relaxed);
    }

    fn take_changes(&mut self, items: &[Item], revision: Revision) {
        for change in items.iter().filter_map(Item::decode) {
            self.apply(change, revision);
        }
        self.publish_leafs();
    }

    fn apply(&mut self, change: Change, revision: Revision) {
        let now = self.shared.now();
        match change {
            Change::Config(config) => self.take_config(*config, revision),
            Change::Leaf(entry) => {
                let (leaf, service) = (entry.id.clone(), entry.service.clone());
                let is_leaving = entry.phase == LeafPhase::Draining;
                if self.directory.publish(entry, now) {
                    Event::LeafChanged {
                        leaf: leaf.as_str(),
                        service: service.as_str(),
                        is_leaving,
                        revision: revision.0,
                    }
                    .log();
                }
            }
            Change::LeafGone(leaf) => {
                if self.directory.withdraw(&leaf, now) {
                    Event::LeafWithdrawn {
                        leaf: leaf.as_str(),
                        revision: revision.0,
                    }
                    .log();
                }
            }
            Change::Unusable { key, error } => Event::EntryUnusable {
                key: &key,
                error: &error,
            }
            .log(),
        }
    }

    /// Puts a configuration in force unless a newer one is.
    fn take_config(&self, config: RoutingConfig, revision: Revision) {
        let in_force = self
            .shared
            .config
            .load()
            .as_ref()
            .map(|known| known.version);
        let previous = in_force.unwrap_or_default();
        if in_force.is_some_and(|known| config.version <= known) {
            if config.version < previous {
                Event::ConfigIgnored {
                    version: config.version.0,
                    in_force: previous.0,
                }
                .log();
            }
            return;
        }
        Event::ConfigInForce {
            version: config.version.0,
            previous_version: previous.0,
            revision: revision.0,
        }
        .log();
        let version = i64::try_from(config.version.0).unwrap_or(i64::MAX);
        self.shared.metrics.config_version.set(version);
        self.shared.config.store(Some(Arc::new(config)));
    }

    async fn failed(&mut self, error: &StoreError) {
        self.cursor.failed();
        Event::StoreFailed {
            error,
            attempt: self.failures,
        }
        .log();
        self.shared.metrics.store_failures.inc();
        for _ in 0..DAEMONS_ASKED {
            if !self.shared.leafs_known.load(Ordering::Relaxed) {
                self.ask_daemon().await;
            }
        }
        let factor = 1_u32 << self.failures.min(3);
        self.failures = self.failures.saturating_add(1);
        let pause = (RETRY_PAUSE_MIN * factor).min(RETRY_PAUSE_MAX);
        sleep(pause.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
    }

    /// Takes the items from another daemon, for a start while the store is away.
    async fn ask_daemon(&mut self) {
        let Some(partner) = peers::next_partner(&self.shared) else {
            return;
        };
        match peers::fetch_published(partner).await {
            Ok((items, revision)) if revision > Revision::default() => {
                Event::ItemsFromDaemon {
                    daemon: partner,
                    revision: revision.0,
                    items: items.len(),
                }
                .log();
                self.take_all(&items, revision);
            }
            Ok(_) => {}
            Err(error) => Event::DaemonUnreachable {
                daemon: partner,
                error: &error,
            }
            .log(),
        }
    }

    /// Drops the leafs whose time is over.
    fn expire(&mut self) {
        if !self.directory.expire(self.shared.now()).is_empty() {
            self.publish_leafs();
        }
    }

    fn publish_leafs(&self) {
        let count = i64::try_from(self.directory.len()).unwrap_or(i64::MAX);
        self.shared.metrics.leafs.set(count);
        self.shared.leafs.update(&self.directory);
    }
}

/// Closes idle connections whose time is over, for as long as the process runs.
pub(crate) async fn close_idle_connections(shared: Arc<Shared>) {
    let mut ticks = interval(SWEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.leafs.close_idle(shared.now());
    }
}
