use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use medlarpin_core::routing::{ChangeLog, StoreRevision};
use parking_lot::Mutex;
use platform::Item;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Number of changes that are kept for daemons that follow this one. A follower is at most seconds
/// behind, in which time no more than the leafs of a few services change.
const CHANGE_LOG_CAPACITY: usize = 1_024;

/// A copy of the store's items, with the latest changes, for daemons that follow this one instead
/// of the store.
#[derive(Debug)]
pub(crate) struct PublishedItems {
    state: Mutex<State>,
    /// Notified after each update of the items, even one that changes none.
    updated: Notify,
    /// Notified when a follower asks for changes.
    requested: Notify,
}

#[derive(Debug)]
struct State {
    /// Revision of the store; zero until all items have been read.
    revision: StoreRevision,
    /// Sorted by key, without duplicates.
    items: Vec<Item>,
    /// The configuration in force, which the store may list in an older version after a restore.
    config: Option<Item>,
    change_log: ChangeLog<Item>,
    /// True if the items include the keys of evacuated failure domains.
    has_evacuations: bool,
    /// Latest time at which the items were known to be up to date with the store.
    current_at: Option<Instant>,
    /// Time at which a follower last asked for changes.
    last_request_at: Option<Instant>,
    /// Daemon from which changes are fetched; `None` if they come from the store.
    followed_daemon: Option<SocketAddr>,
}

/// The difference between a revision and the present one, as sent to a follower.
#[derive(Debug)]
pub(crate) struct Update {
    /// Revision after the changes; zero if the sender has no items yet.
    pub(crate) revision: StoreRevision,
    /// Latest time at which the sender's items were known to be up to date with the store.
    pub(crate) current_at: Option<Instant>,
    /// True if `items` are all items instead of changes.
    pub(crate) is_snapshot: bool,
    /// True if the sender's items include the keys of evacuated failure domains.
    pub(crate) has_evacuations: bool,
    /// The changes, oldest first, or all items.
    pub(crate) items: Vec<Item>,
}

impl PublishedItems {
    pub(crate) fn new() -> Self {
        Self {
            state: Mutex::new(State {
                revision: StoreRevision::default(),
                items: Vec::new(),
                config: None,
                change_log: ChangeLog::new(CHANGE_LOG_CAPACITY),
                has_evacuations: false,
                current_at: None,
                last_request_at: None,
                followed_daemon: None,
            }),
            updated: Notify::new(),
            requested: Notify::new(),
        }
    }

    /// Returns the revision of the store up to which all changes are included.
    pub(crate) fn revision(&self) -> StoreRevision {
        self.state.lock().revision
    }

    /// Returns the latest time at which the items were known to be up to date with the store.
    pub(crate) fn current_at(&self) -> Option<Instant> {
        self.state.lock().current_at
    }

    /// Calls a function with the revision and all items.
    pub(crate) fn with_items<T>(&self, read: impl FnOnce(StoreRevision, &[Item]) -> T) -> T {
        let state = self.state.lock();
        read(state.revision, &state.all_items())
    }

    /// Returns true if the items include the keys of evacuated failure domains.
    pub(crate) fn has_evacuations(&self) -> bool {
        self.state.lock().has_evacuations
    }

    /// Returns the changes after the revision `since`, or all items if the change log does not
    /// reach back to it, or if the store was restored meanwhile: a key that a restore has removed must
    /// not look like one that the operator has deleted.
    pub(crate) fn changes_since(&self, since: StoreRevision) -> Update {
        let state = self.state.lock();
        let changes = if state.revision <= since {
            Some(Vec::new())
        } else if state.revision.era == since.era {
            state.change_log.after(since)
        } else {
            None
        };
        Update {
            revision: state.revision,
            current_at: state.current_at,
            is_snapshot: changes.is_none(),
            has_evacuations: state.has_evacuations,
            items: changes.unwrap_or_else(|| state.all_items()),
        }
    }

    /// Replaces all items; `current_at` is the time at which they were up to date with the store, and
    /// `has_evacuations` tells whether they include the keys of evacuated failure domains.
    pub(crate) fn replace_all(
        &self,
        mut items: Vec<Item>,
        revision: StoreRevision,
        current_at: Option<Instant>,
        has_evacuations: bool,
    ) {
        items.sort_by(|a, b| a.key.cmp(&b.key));
        items.dedup_by(|later, first| later.key == first.key);
        let mut state = self.state.lock();
        let before = state.revision;
        if before > StoreRevision::default() && revision > before {
            let changes = diff(&state.items, &items);
            state.change_log.add_diff(before, revision, changes);
        }
        state.items = items;
        state.has_evacuations = has_evacuations;
        state.advance(revision, current_at);
        drop(state);
        self.updated.notify_waiters();
    }

    /// Applies changes, oldest first; `current_at` is the time at which the items are up to date
    /// with the store after them.
    pub(crate) fn apply_changes(
        &self,
        changes: Vec<Item>,
        revision: StoreRevision,
        current_at: Option<Instant>,
    ) {
        let mut state = self.state.lock();
        for item in &changes {
            state.apply(item);
        }
        let before = state.revision;
        if revision > before {
            state.change_log.add_changes(before, revision, changes);
        }
        state.advance(revision, current_at);
        drop(state);
        self.updated.notify_waiters();
    }

    /// Records the item of the configuration in force, which is passed on in place of the store's.
    pub(crate) fn set_config(&self, item: Item) {
        self.state.lock().config = Some(item);
    }

    /// Returns the item of the configuration in force; `None` if there is none.
    pub(crate) fn config(&self) -> Option<Item> {
        self.state.lock().config.clone()
    }

    /// Records the daemon from which changes are fetched; `None` if they come from the store.
    pub(crate) fn set_followed_daemon(&self, daemon: Option<SocketAddr>) {
        self.state.lock().followed_daemon = daemon;
    }

    /// Returns the daemon from which changes are fetched; `None` if they come from the store.
    pub(crate) fn followed_daemon(&self) -> Option<SocketAddr> {
        self.state.lock().followed_daemon
    }

    /// Returns a future that completes at the next update of the items after this call.
    pub(crate) fn next_update(&self) -> Notified<'_> {
        self.updated.notified()
    }

    /// Records that a follower asks for changes.
    pub(crate) fn record_request(&self, now: Instant) {
        self.state.lock().last_request_at = Some(now);
        self.requested.notify_waiters();
    }

    /// Returns a future that completes when a follower asks for changes after this call.
    pub(crate) fn next_request(&self) -> Notified<'_> {
        self.requested.notified()
    }

    /// Returns the time at which a follower last asked for changes.
    pub(crate) fn last_request_at(&self) -> Option<Instant> {
        self.state.lock().last_request_at
    }
}

impl State {
    /// Returns all items, with the configuration in force.
    fn all_items(&self) -> Vec<Item> {
        let others = self.items.iter().filter(|item| !item.is_config());
        others.chain(&self.config).cloned().collect()
    }

    fn apply(&mut self, item: &Item) {
        let position = self
            .items
            .binary_search_by(|known| known.key.cmp(&item.key));
        match (position, item.value.is_some()) {
            (Ok(index), true) => self.items[index] = item.clone(),
            (Ok(index), false) => drop(self.items.remove(index)),
            (Err(index), true) => self.items.insert(index, item.clone()),
            (Err(_), false) => {}
        }
    }

    fn advance(&mut self, revision: StoreRevision, current_at: Option<Instant>) {
        self.revision = revision;
        self.current_at = self.current_at.max(current_at);
    }
}

/// Returns the changes that turn `before` into `after`; both are sorted by key.
fn diff(before: &[Item], after: &[Item]) -> Vec<Item> {
    let position = |items: &[Item], key: &str| {
        items
            .binary_search_by(|item| item.key.as_str().cmp(key))
            .ok()
    };
    let withdrawn = before
        .iter()
        .filter(|item| position(after, &item.key).is_none())
        .map(|item| Item {
            key: item.key.clone(),
            value: None,
        });
    let changed = after.iter().filter(|item| {
        position(before, &item.key).is_none_or(|index| !has_same_value(&before[index], item))
    });
    withdrawn.chain(changed.cloned()).collect()
}

fn has_same_value(a: &Item, b: &Item) -> bool {
    match (&a.value, &b.value) {
        (Some(a), Some(b)) => Arc::ptr_eq(a, b) || a == b,
        (a, b) => a.is_none() && b.is_none(),
    }
}
