//! Follows the published configuration and leafs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use medlarpin_core::prelude::Revision;
use medlarpin_core::routing::{
    LeafDirectory, LeafPhase, NextRead, RoutingConfig, Source, SourceSelector, WatchCursor,
};
use platform::{Change, Item, Snapshot, Store, StoreError};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::event::Event;
use crate::peers::{self, Followed, PeerError};
use crate::published::Update;
use crate::shared::Shared;

/// Time for which a watch waits at the store. A watch on a connection that went silent is noticed
/// after it, so it is short against the time in which a configuration has to be in force.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// Time for which a watch waits while other daemons follow this one. Its end shows them that the
/// store can be reached.
const FOLLOWED_WATCH_WAIT: Duration = Duration::from_secs(1);
/// Time for which a watch waits that only checks whether a followed daemon is out of date.
const CHECK_WAIT: Duration = Duration::from_millis(50);
/// Time after its last call for which a daemon counts as a follower; it calls once a second.
const FOLLOWED_FOR: Duration = Duration::from_secs(3);
/// Pause after changes; those that come in quick succession take one call together.
const CHANGE_PAUSE: Duration = Duration::from_millis(700);
/// The same on a path of two daemons, each of which pauses.
const RELAYED_CHANGE_PAUSE: Duration = Duration::from_millis(400);
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

/// End of a call to the store that did not fail.
enum StoreRead {
    Answered,
    /// Another daemon began to follow this one, and needs an answer of the store sooner than a
    /// long watch ends.
    Interrupted,
}

/// Follows the store, or a daemon that does, for as long as the process runs.
pub(crate) struct Discovery {
    shared: Arc<Shared>,
    store: Store,
    directory: LeafDirectory,
    cursor: WatchCursor,
    /// Failed calls to the store in a row.
    failures: u32,
    /// `None` if other daemons cannot reach this one.
    choice: Option<SourceSelector>,
    source: Source,
    followed: Option<Followed>,
}

impl Discovery {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        let settings = shared.settings.load_full();
        let leaving_use = settings.drain.mul_f64(LEAVING_USE_SHARE);
        let own = shared
            .daemons
            .as_ref()
            .map(|daemons| daemons.lock().own().address);
        Self {
            store: Store::new(settings.store_address),
            directory: LeafDirectory::new(leaving_use),
            shared,
            cursor: WatchCursor::default(),
            failures: 0,
            choice: own.map(SourceSelector::new),
            source: Source::Store,
            followed: None,
        }
    }

    /// Runs until the task is dropped.
    pub(crate) async fn run(mut self) {
        loop {
            let source = self.choose_source();
            let known = self.shared.published.revision();
            match source {
                Source::Store => self.use_store(self.watch_wait()).await,
                Source::CheckStore => self.use_store(CHECK_WAIT).await,
                Source::Daemon(daemon) => self.use_daemon(daemon).await,
            }
            if self.shared.published.revision() != known {
                sleep(self.change_pause(source)).await;
            }
            self.expire();
        }
    }

    /// Returns where the next changes are learned from.
    fn choose_source(&mut self) -> Source {
        let now = self.shared.now();
        let is_followed = self.is_followed(now);
        let source = match (&self.choice, &self.shared.daemons) {
            // A start reads the store: the others start at the same time.
            (Some(choice), Some(daemons)) if self.shared.leafs_known.load(Ordering::Relaxed) => {
                let seeds = &self.shared.settings.load().seed_addresses;
                let all = daemons.lock().all(seeds, now);
                choice.choose(&all, is_followed, now)
            }
            _ => Source::Store,
        };
        if source != self.source {
            Event::SourceChanged {
                source,
                is_followed,
                revision: self.shared.published.revision().0,
            }
            .log();
            self.source = source;
        }
        self.shared.published.follow(source.daemon());
        if source.daemon().is_none() {
            self.followed = None;
        }
        source
    }

    fn is_followed(&self, now: Instant) -> bool {
        let asked_at = self.shared.published.asked_at();
        asked_at.is_some_and(|at| now.saturating_duration_since(at) < FOLLOWED_FOR)
    }

    /// Returns the time for which the next watch waits at the store.
    fn watch_wait(&self) -> Duration {
        let now = self.shared.now();
        if !self.is_followed(now) {
            return WATCH_WAIT;
        }
        // A daemon that has just begun to follow waits for an answer of the store.
        let is_current = self
            .shared
            .published
            .current_at()
            .is_some_and(|at| now.saturating_duration_since(at) < FOLLOWED_WATCH_WAIT);
        if is_current {
            FOLLOWED_WATCH_WAIT
        } else {
            CHECK_WAIT
        }
    }

    fn change_pause(&self, source: Source) -> Duration {
        if source.daemon().is_some() || self.is_followed(self.shared.now()) {
            RELAYED_CHANGE_PAUSE
        } else {
            CHANGE_PAUSE
        }
    }

    async fn use_store(&mut self, wait: Duration) {
        let started = self.shared.now();
        let was_failing = self.failures > 0 || self.cursor.revision().is_none();
        self.shared.metrics.store_calls.inc();
        match self.read_store(wait).await {
            Ok(StoreRead::Interrupted) => {}
            Ok(StoreRead::Answered) => {
                let now = self.shared.now();
                if was_failing {
                    Event::StoreReached {
                        after_ms: (now - started).as_millis(),
                        revision: self.cursor.revision().unwrap_or_default().0,
                    }
                    .log();
                }
                self.failures = 0;
                if let Some(choice) = &mut self.choice {
                    choice.store_answered(now);
                }
            }
            Err(error) => self.store_failed(&error).await,
        }
    }

    /// Reads all items or waits for the next changes.
    async fn read_store(&mut self, wait: Duration) -> Result<StoreRead, StoreError> {
        let started = self.shared.now();
        match self.cursor.next_read() {
            NextRead::All => {
                let snapshot = self.read_all().await?;
                self.cursor.snapshot_read(snapshot.revision);
                self.take_all(snapshot.items, snapshot.revision, Some(started));
            }
            NextRead::ChangesAfter(after) => {
                let is_long = wait > FOLLOWED_WATCH_WAIT;
                let watched = tokio::select! {
                    watched = self.store.watch(after, wait) => watched?,
                    () = self.shared.published.asked(), if is_long => {
                        return Ok(StoreRead::Interrupted);
                    }
                };
                if self.cursor.advance(watched.total, watched.revision) {
                    let now = self.shared.now();
                    self.take_changes(watched.changes, watched.revision, Some(now));
                } else {
                    Event::ChangesMissed {
                        known: after.0,
                        revision: watched.revision.0,
                    }
                    .log();
                }
            }
        }
        Ok(StoreRead::Answered)
    }

    /// Learns the next changes from another daemon.
    async fn use_daemon(&mut self, daemon: SocketAddr) {
        let update = self.ask_followed(daemon).await;
        let Some(choice) = &mut self.choice else {
            return;
        };
        let now = self.shared.now();
        let update = match update {
            Ok(update) => update,
            Err(error) => {
                Event::DaemonUnreachable {
                    daemon,
                    error: &error,
                }
                .log();
                self.followed = None;
                return choice.daemon_failed(daemon, now);
            }
        };
        let known = self.shared.published.revision();
        match update.current_at {
            Some(_) if update.revision >= known => choice.daemon_answered(),
            _ => {
                Event::DaemonStale {
                    daemon,
                    revision: update.revision.0,
                    known: known.0,
                }
                .log();
                choice.daemon_is_stale(daemon);
            }
        }
        if update.revision < known {
            return;
        }
        // A current daemon is complete up to its revision, so the watch may go on from there. A
        // failed watch must not go on because of one that is not: its history may be gone.
        if update.current_at.is_some() {
            self.cursor.snapshot_read(update.revision);
        }
        if update.is_whole {
            self.take_all(update.items, update.revision, update.current_at);
        } else {
            self.take_changes(update.items, update.revision, update.current_at);
        }
    }

    async fn ask_followed(&mut self, daemon: SocketAddr) -> Result<Update, PeerError> {
        let now = self.shared.now();
        let followed = match self.followed.take() {
            Some(followed) if followed.is_to(daemon, now) => followed,
            _ => Followed::connect(daemon, now).await?,
        };
        let known = self.shared.published.revision();
        let update = followed.update_after(known, &*self.shared.clock).await?;
        self.followed = Some(followed);
        Ok(update)
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
    fn take_all(&mut self, items: Vec<Item>, revision: Revision, current_at: Option<Instant>) {
        let mut entries = Vec::new();
        for change in items.iter().filter_map(Item::decode) {
            match change {
                Change::Leaf(entry) => entries.push(entry),
                change => self.apply(change, revision),
            }
        }
        self.directory.replace_all(entries, self.shared.now());
        self.publish_leafs();
        self.shared.leafs_known.store(true, Ordering::Relaxed);
        let published = &self.shared.published;
        published.replace_all(items, revision, current_at);
    }

    /// Takes changes, oldest first.
    fn take_changes(&mut self, items: Vec<Item>, revision: Revision, current_at: Option<Instant>) {
        if !items.is_empty() {
            for change in items.iter().filter_map(Item::decode) {
                self.apply(change, revision);
            }
            self.publish_leafs();
        }
        self.shared.published.change(items, revision, current_at);
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
            Change::LeafWithdrawn(leaf) => {
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

    async fn store_failed(&mut self, error: &StoreError) {
        self.cursor.reset();
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
        if let Some(choice) = &mut self.choice {
            choice.store_failed(self.shared.now());
        }
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
                self.take_all(items, revision, None);
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
        shared.leafs.close_expired_idle(shared.now());
    }
}
