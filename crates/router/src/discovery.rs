//! Keeps the configuration and the leafs in step with the store.
//!
//! Changes come from the store, or from another daemon that watches it, which saves calls to the
//! store.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use medlarpin_core::prelude::LeafId;
use medlarpin_core::routing::{
    LeafDirectory, LeafPhase, NextRead, ObservationTime, Source, SourceSelector, StoreRevision,
    WatchCursor,
};
use platform::{Change, Item, Snapshot, Store, StoreError};
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::config_sync;
use crate::evacuations::{self, KeyChange};
use crate::event::Event;
use crate::first_items::{self, ItemsOfDaemon};
use crate::leaf_probe::report_withdrawn;
use crate::peers::{FetchedItems, FollowedDaemon, PeerError};
use crate::published_items::Update;
use crate::shared::{Shared, drain_grace};

#[cfg(test)]
mod tests;

/// Long-poll time of a watch on the store. A connection that has fallen silent is noticed only after
/// this time and the time limit of a call, and a configuration has to be in force within 3 s. Each
/// answer also shows the daemons that follow this one that the store can be reached.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// The same time while the daemons of a fleet start, when each of them watches the store.
const WATCH_WAIT_AT_START: Duration = Duration::from_secs(4);
/// Time after its start from which a daemon may follow another one.
const START_TIME: Duration = Duration::from_secs(6);
/// Long-poll time of a watch that is meant for an immediate answer, such as one that only checks
/// whether a followed daemon is out of date.
const SHORT_WATCH_WAIT: Duration = Duration::from_millis(50);
/// Time after its last call for which a daemon counts as a follower; followers call once a second.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after changes, so that changes in quick succession are fetched with a single call.
const CHANGE_DEBOUNCE: Duration = Duration::from_millis(700);
/// The same pause if changes pass through two daemons, each of which pauses.
const RELAYED_CHANGE_DEBOUNCE: Duration = Duration::from_millis(400);
/// Back-off after the first failed call; it doubles with each further one.
const RETRY_BACK_OFF_MIN: Duration = Duration::from_millis(100);
/// Upper limit of the back-off.
const RETRY_BACK_OFF_MAX: Duration = Duration::from_millis(800);
/// Interval at which connections that were idle for too long are closed.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// The outcome of a call to the store that did not fail.
enum StoreRead {
    Answered,
    /// The watch was cancelled because another daemon began to follow this one: it needs an answer
    /// of the store sooner than a long watch gives one.
    Interrupted,
}

/// The task that keeps the configuration and the leafs up to date while the process runs.
pub(crate) struct Discovery {
    shared: Arc<Shared>,
    store: Store,
    directory: LeafDirectory,
    cursor: WatchCursor,
    /// Number of consecutive failed calls to the store.
    failures: u32,
    /// Chooses between the store and other daemons; `None` if they cannot reach this one, which
    /// then always uses the store.
    selector: Option<SourceSelector>,
    source: Source,
    followed: Option<FollowedDaemon>,
    started_at: Instant,
}

impl Discovery {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        let settings = shared.settings.load_full();
        let own = shared
            .daemons
            .as_ref()
            .map(|daemons| daemons.lock().own().address);
        Self {
            store: Store::new(settings.store_address, Arc::clone(&shared.clock)),
            started_at: shared.now(),
            directory: LeafDirectory::new(drain_grace(&settings)),
            shared,
            cursor: WatchCursor::default(),
            failures: 0,
            selector: own.map(SourceSelector::new),
            source: Source::Store,
            followed: None,
        }
    }

    /// Runs until the task is dropped.
    pub(crate) async fn run(mut self) {
        if !self.shared.leafs_loaded.load(Ordering::Relaxed) {
            self.load_first_items().await;
        }
        loop {
            let source = self.choose_source();
            let revision_before = self.shared.published_items.revision();
            match source {
                Source::Store => self.update_from_store(self.watch_wait()).await,
                Source::CheckStore => self.update_from_store(SHORT_WATCH_WAIT).await,
                Source::Daemon(daemon) => self.update_from_daemon(daemon).await,
            }
            if self.shared.published_items.revision() != revision_before {
                sleep(self.change_debounce(source)).await;
            }
            self.remove_expired();
        }
    }

    /// Chooses where the next changes are fetched from.
    fn choose_source(&mut self) -> Source {
        let now = self.shared.now();
        let is_followed = self.has_follower(now);
        let source = match (&self.selector, &self.shared.daemons) {
            (Some(selector), Some(daemons)) => {
                let seeds = &self.shared.settings.load().seed_addresses;
                let all = daemons.lock().all(seeds, now);
                selector.choose(&all, is_followed, now)
            }
            _ => Source::Store,
        };
        if source != self.source {
            Event::SourceChanged {
                source,
                is_followed,
                revision: self.shared.published_items.revision().number,
            }
            .log();
            self.source = source;
        }
        self.shared
            .published_items
            .set_followed_daemon(source.daemon());
        if source.daemon().is_none() {
            self.followed = None;
        }
        source
    }

    fn has_follower(&self, now: Instant) -> bool {
        let last_request_at = self.shared.published_items.last_request_at();
        last_request_at.is_some_and(|at| now.saturating_duration_since(at) < FOLLOWER_TIMEOUT)
    }

    /// Returns the long-poll time of the next watch.
    fn watch_wait(&self) -> Duration {
        let now = self.shared.now();
        if !self.has_follower(now) {
            let is_alone = self.shared.settings.load().seed_addresses.is_empty();
            let start_left = (self.started_at + START_TIME).saturating_duration_since(now);
            return if is_alone {
                WATCH_WAIT
            } else {
                start_left.clamp(WATCH_WAIT, WATCH_WAIT_AT_START)
            };
        }
        // A new follower waits until this daemon has a current answer of the store.
        let is_current = self
            .shared
            .published_items
            .current_at()
            .is_some_and(|at| now.saturating_duration_since(at) < WATCH_WAIT);
        if is_current {
            WATCH_WAIT
        } else {
            SHORT_WATCH_WAIT
        }
    }

    fn change_debounce(&self, source: Source) -> Duration {
        if source.daemon().is_some() || self.has_follower(self.shared.now()) {
            RELAYED_CHANGE_DEBOUNCE
        } else {
            CHANGE_DEBOUNCE
        }
    }

    async fn update_from_store(&mut self, wait: Duration) {
        let started = self.shared.now();
        let was_failing = self.failures > 0 || self.cursor.revision().is_none();
        self.shared.metrics.store_calls.inc();
        match self.read_or_watch_store(wait).await {
            Ok(StoreRead::Interrupted) => {}
            Ok(StoreRead::Answered) => self.record_store_answer(started, was_failing),
            Err(error) => {
                self.record_store_failure(&error);
                sleep(self.retry_back_off()).await;
            }
        }
    }

    /// Records that the store has answered a call made at `started`; `is_first` is true after a failed
    /// call or at the start.
    fn record_store_answer(&mut self, started: Instant, is_first: bool) {
        let now = self.shared.now();
        if is_first {
            Event::StoreReached {
                after_ms: (now - started).as_millis(),
                revision: self.cursor.revision().unwrap_or_default().number,
            }
            .log();
        }
        self.failures = 0;
        if let Some(selector) = &mut self.selector {
            selector.store_answered(now);
        }
    }

    /// Reads all items, or waits for the changes after the known revision.
    async fn read_or_watch_store(&mut self, wait: Duration) -> Result<StoreRead, StoreError> {
        let started = self.shared.now();
        match self.cursor.next_read() {
            NextRead::Snapshot => {
                let snapshot = self.store.read_all().await?;
                self.apply_store_snapshot(snapshot, started);
            }
            NextRead::ChangesAfter(after) => {
                let is_interruptible = wait > WATCH_WAIT;
                let watched = tokio::select! {
                    watched = self.store.watch(after, wait) => watched?,
                    () = self.shared.published_items.next_request(), if is_interruptible => {
                        return Ok(StoreRead::Interrupted);
                    }
                };
                log_unreadable(watched.unreadable, watched.revision);
                let invalid = &watched.invalid_evacuations;
                evacuations::record_invalid(&self.shared.metrics, invalid, watched.revision);
                if self.cursor.advance(watched.total, watched.revision) {
                    let now = self.shared.now();
                    self.apply_changes(watched.changes, watched.revision, Some(now));
                } else {
                    Event::ChangesMissed {
                        known: after.number,
                        revision: watched.revision.number,
                    }
                    .log();
                }
            }
        }
        Ok(StoreRead::Answered)
    }

    /// Fetches the next changes from another daemon.
    async fn update_from_daemon(&mut self, daemon: SocketAddr) {
        let update = self.fetch_update(daemon).await;
        let Some(selector) = &mut self.selector else {
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
                return selector.daemon_failed(daemon, now);
            }
        };
        // Its changes would hide those of evacuations.
        if update.revision > StoreRevision::default() && !update.has_evacuations {
            Event::DaemonLacksEvacuations { daemon }.log();
            return selector.daemon_failed(daemon, now);
        }
        let known = self.shared.published_items.revision();
        match update.current_at {
            Some(_) if update.revision >= known => selector.daemon_answered(),
            _ => {
                Event::DaemonStale {
                    daemon,
                    revision: update.revision.number,
                    known: known.number,
                }
                .log();
                selector.daemon_is_stale(daemon);
            }
        }
        if update.revision < known {
            return;
        }
        // A daemon that is up to date with the store has all changes up to its revision, so a watch
        // may resume from there. After a failed watch, the revision of a stale daemon must not be
        // used: the store may have dropped the changes since then.
        if update.current_at.is_some() {
            self.cursor.snapshot_read(update.revision);
        }
        if update.is_snapshot {
            self.apply_snapshot(update.items, update.revision, update.current_at, true);
        } else {
            self.apply_changes(update.items, update.revision, update.current_at);
        }
    }

    async fn fetch_update(&mut self, daemon: SocketAddr) -> Result<Update, PeerError> {
        let now = self.shared.now();
        let followed = match self.followed.take() {
            Some(followed) if followed.can_serve(daemon, now) => followed,
            _ => FollowedDaemon::connect(&self.shared, daemon).await?,
        };
        let published = &self.shared.published_items;
        // Changes alone would leave out the evacuations that began before.
        let known = if published.has_evacuations() {
            published.revision()
        } else {
            StoreRevision::default()
        };
        let update = followed.changes_since(known, &*self.shared.clock).await?;
        self.followed = Some(followed);
        Ok(update)
    }

    /// Loads all items at the start, from the store or from another daemon, whichever has them first.
    async fn load_first_items(&mut self) {
        let shared = Arc::clone(&self.shared);
        let mut from_daemon = pin!(first_items::fetch_from_daemons(&shared));
        loop {
            let started = self.shared.now();
            self.shared.metrics.store_calls.inc();
            tokio::select! {
                biased;
                read = self.store.read_all() => match read {
                    Ok(snapshot) => {
                        self.apply_store_snapshot(snapshot, started);
                        return self.record_store_answer(started, true);
                    }
                    Err(error) => self.record_store_failure(&error),
                },
                loaded = &mut from_daemon => return self.apply_items_of_daemon(loaded),
            }
            tokio::select! {
                biased;
                loaded = &mut from_daemon => return self.apply_items_of_daemon(loaded),
                () = sleep(self.retry_back_off()) => {}
            }
        }
    }

    fn apply_items_of_daemon(&mut self, loaded: ItemsOfDaemon) {
        let ItemsOfDaemon { daemon, fetched } = loaded;
        let FetchedItems {
            items,
            revision,
            has_evacuations,
        } = fetched;
        Event::ItemsFromDaemon {
            daemon,
            revision: revision.number,
            items: items.len(),
        }
        .log();
        self.apply_snapshot(items, revision, None, has_evacuations);
    }

    /// Applies a snapshot of the store that was read from `started` on.
    fn apply_store_snapshot(&mut self, snapshot: Snapshot, started: Instant) {
        log_unreadable(snapshot.unreadable, snapshot.revision);
        let invalid = &snapshot.invalid_evacuations;
        evacuations::record_invalid(&self.shared.metrics, invalid, snapshot.revision);
        self.cursor.snapshot_read(snapshot.revision);
        self.apply_snapshot(snapshot.items, snapshot.revision, Some(started), true);
        self.shared
            .config_check
            .lock()
            .store_read(snapshot.revision);
    }

    /// Replaces all items; leafs without an item are withdrawn. `has_evacuations` tells whether the items
    /// include the keys of evacuated failure domains.
    fn apply_snapshot(
        &mut self,
        items: Vec<Item>,
        revision: StoreRevision,
        current_at: Option<Instant>,
        has_evacuations: bool,
    ) {
        let observed = self.observation_time(revision);
        let mut keys = Vec::new();
        let mut entries = Vec::new();
        let mut usable = Vec::with_capacity(items.len());
        for item in items {
            let Some(change) = item.decode() else {
                continue;
            };
            let is_usable = !matches!(change, Change::Unusable { .. });
            match change {
                Change::Leaf(entry) => entries.push(entry),
                change => self.apply_change(&item, change, revision, observed, &mut keys),
            }
            if is_usable {
                usable.push(item);
            }
        }
        // Before the leafs can be used.
        if has_evacuations {
            let shared = &self.shared;
            evacuations::replace_all(&shared.leafs, &shared.metrics, keys, revision, observed.now);
        }
        self.directory.replace_all(entries, observed);
        self.update_leaf_table();
        self.shared.leafs_loaded.store(true, Ordering::Relaxed);
        let published = &self.shared.published_items;
        published.replace_all(usable, revision, current_at, has_evacuations);
    }

    /// Applies changes, oldest first.
    fn apply_changes(
        &mut self,
        mut items: Vec<Item>,
        revision: StoreRevision,
        current_at: Option<Instant>,
    ) {
        if !items.is_empty() {
            let observed = self.observation_time(revision);
            let mut keys = Vec::new();
            for item in &mut items {
                let Some(change) = item.decode() else {
                    continue;
                };
                // Other daemons get no bytes that name no leaf.
                if matches!(change, Change::Unusable { .. }) {
                    item.value = None;
                }
                self.apply_change(item, change, revision, observed, &mut keys);
            }
            let shared = &self.shared;
            evacuations::apply_changes(
                &shared.leafs,
                &shared.metrics,
                &keys,
                revision,
                observed.now,
            );
            self.update_leaf_table();
        }
        self.shared
            .published_items
            .apply_changes(items, revision, current_at);
    }

    /// Returns the time of changes up to a revision that have just been learned.
    fn observation_time(&self, revision: StoreRevision) -> ObservationTime {
        let known = self.shared.published_items.revision();
        let is_restored = known != StoreRevision::default() && revision.era != known.era;
        if is_restored {
            Event::StoreRestored {
                era: revision.era,
                known_era: known.era,
                revision: revision.number,
                known: known.number,
            }
            .log();
        }
        ObservationTime {
            is_restored,
            known_until: self.shared.published_items.current_at(),
            now: self.shared.now(),
        }
    }

    /// Applies a change; those of evacuations are collected in `keys`.
    fn apply_change(
        &mut self,
        item: &Item,
        change: Change,
        revision: StoreRevision,
        observed: ObservationTime,
        keys: &mut Vec<KeyChange>,
    ) {
        match change {
            Change::Config(config) => config_sync::offer(&self.shared, *config, item),
            Change::Leaf(entry) => {
                let (leaf, service) = (entry.id.clone(), entry.service.clone());
                let is_leaving = entry.phase == LeafPhase::Draining;
                if self.directory.publish(entry, observed) {
                    Event::LeafChanged {
                        leaf: leaf.as_str(),
                        service: service.as_str(),
                        is_leaving,
                        revision: revision.number,
                    }
                    .log();
                }
            }
            Change::LeafWithdrawn(leaf) => self.withdraw_leaf(&leaf, revision, observed),
            Change::Evacuated(domain) => keys.push(KeyChange {
                domain,
                is_evacuated: true,
            }),
            Change::ReturnedToService(domain) => keys.push(KeyChange {
                domain,
                is_evacuated: false,
            }),
            Change::Unusable { key, leaf, error } => {
                Event::EntryUnusable {
                    key: &key,
                    error: &error,
                }
                .log();
                if let Some(leaf) = leaf {
                    self.withdraw_leaf(&leaf, revision, observed);
                }
            }
        }
    }

    fn withdraw_leaf(&mut self, leaf: &LeafId, revision: StoreRevision, observed: ObservationTime) {
        if self.directory.withdraw(leaf, observed) {
            Event::LeafWithdrawn {
                leaf: leaf.as_str(),
                revision: revision.number,
            }
            .log();
        }
    }

    fn record_store_failure(&mut self, error: &StoreError) {
        self.cursor.reset();
        Event::StoreFailed {
            error,
            attempt: self.failures,
        }
        .log();
        self.shared.metrics.store_failures.inc();
        self.failures = self.failures.saturating_add(1);
        if let Some(selector) = &mut self.selector {
            selector.store_failed(self.shared.now());
        }
    }

    /// Returns the pause after the latest failed call to the store, with jitter.
    fn retry_back_off(&self) -> Duration {
        let factor = 1_u32 << self.failures.saturating_sub(1).min(3);
        let back_off = (RETRY_BACK_OFF_MIN * factor).min(RETRY_BACK_OFF_MAX);
        back_off.mul_f64(0.5 + rand::random::<f64>() / 2.0)
    }

    /// Removes the withdrawn leafs whose grace period has passed, and ends the evacuations whose keys a
    /// restore has removed.
    fn remove_expired(&mut self) {
        let shared = &self.shared;
        let revision = shared.published_items.revision();
        evacuations::expire(&shared.leafs, &shared.metrics, revision, shared.now());
        if !self.directory.expire(self.shared.now()).is_empty() {
            self.update_leaf_table();
        }
    }

    fn update_leaf_table(&self) {
        let count = i64::try_from(self.directory.len()).unwrap_or(i64::MAX);
        self.shared.metrics.leafs.set(count);
        let now = self.shared.now();
        let withdrawn = self.shared.leafs.update(&self.directory, now);
        report_withdrawn(&self.shared, &withdrawn);
    }
}

fn log_unreadable(count: usize, revision: StoreRevision) {
    if count > 0 {
        Event::ItemsUnreadable {
            count,
            revision: revision.number,
        }
        .log();
    }
}

/// Runs the task that closes connections that were idle for too long, until the process ends.
pub(crate) async fn close_idle_connections(shared: Arc<Shared>) {
    let mut ticks = interval(IDLE_SWEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.leafs.close_expired_idle(shared.now());
    }
}
