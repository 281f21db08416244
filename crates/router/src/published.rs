use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use medlarpin_core::prelude::Revision;
use medlarpin_core::routing::ChangeLog;
use parking_lot::Mutex;
use platform::Item;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Changes that are kept for daemons that follow this one. A follower is seconds behind at most; in
/// that time no more than the leafs of a few services change.
const LOG_MAX: usize = 1_024;

/// The store's items as they were published, for daemons that do not read the store.
#[derive(Debug)]
pub(crate) struct Published {
    state: Mutex<State>,
    /// Notified when the state changes.
    changed: Notify,
    /// Notified when another daemon asks for changes.
    asked: Notify,
}

#[derive(Debug)]
struct State {
    /// Revision of the store; zero until all items were read.
    revision: Revision,
    /// Sorted by key, without duplicates.
    items: Vec<Item>,
    log: ChangeLog<Item>,
    /// Time at which the store had nothing newer.
    current_at: Option<Instant>,
    /// Time at which another daemon last asked for changes.
    asked_at: Option<Instant>,
    /// Daemon from which the changes are learned; `None` if from the store.
    followed: Option<SocketAddr>,
}

/// What a daemon that knows a revision has to learn.
#[derive(Debug)]
pub(crate) struct Update {
    /// Revision after the changes; zero if nothing is known.
    pub(crate) revision: Revision,
    /// Time at which the store had nothing newer.
    pub(crate) current_at: Option<Instant>,
    /// True if `items` are all items.
    pub(crate) is_whole: bool,
    /// The changes, oldest first, or all items.
    pub(crate) items: Vec<Item>,
}

impl Published {
    pub(crate) fn new() -> Self {
        Self {
            state: Mutex::new(State {
                revision: Revision::default(),
                items: Vec::new(),
                log: ChangeLog::new(LOG_MAX),
                current_at: None,
                asked_at: None,
                followed: None,
            }),
            changed: Notify::new(),
            asked: Notify::new(),
        }
    }

    pub(crate) fn revision(&self) -> Revision {
        self.state.lock().revision
    }

    /// Returns the time at which the store had nothing newer.
    pub(crate) fn current_at(&self) -> Option<Instant> {
        self.state.lock().current_at
    }

    /// Calls a function with the revision and all items.
    pub(crate) fn with_items<T>(&self, read: impl FnOnce(Revision, &[Item]) -> T) -> T {
        let state = self.state.lock();
        read(state.revision, &state.items)
    }

    /// Returns what happened after a revision; no items if nothing did.
    pub(crate) fn update_after(&self, known: Revision) -> Update {
        let state = self.state.lock();
        let changes = if state.revision <= known {
            Some(Vec::new())
        } else {
            state.log.after(known)
        };
        Update {
            revision: state.revision,
            current_at: state.current_at,
            is_whole: changes.is_none(),
            items: changes.unwrap_or_else(|| state.items.clone()),
        }
    }

    /// Takes a complete list; `current_at` is the time at which the store had nothing newer.
    pub(crate) fn replace_all(
        &self,
        mut items: Vec<Item>,
        revision: Revision,
        current_at: Option<Instant>,
    ) {
        items.sort_by(|a, b| a.key.cmp(&b.key));
        items.dedup_by(|later, first| later.key == first.key);
        let mut state = self.state.lock();
        let before = state.revision;
        if before > Revision::default() && revision > before {
            let changes = difference(&state.items, &items);
            state.log.add_difference(before, revision, changes);
        }
        state.items = items;
        state.advance(revision, current_at);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Takes changes, oldest first; `current_at` is the time at which the store had nothing newer.
    pub(crate) fn change(
        &self,
        changes: Vec<Item>,
        revision: Revision,
        current_at: Option<Instant>,
    ) {
        let mut state = self.state.lock();
        for item in &changes {
            state.change(item);
        }
        let before = state.revision;
        if revision > before {
            state.log.add_changes(before, revision, changes);
        }
        state.advance(revision, current_at);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Records the daemon from which the changes are learned.
    pub(crate) fn follow(&self, daemon: Option<SocketAddr>) {
        self.state.lock().followed = daemon;
    }

    /// Returns the daemon from which the changes are learned; `None` if from the store.
    pub(crate) fn followed(&self) -> Option<SocketAddr> {
        self.state.lock().followed
    }

    /// Returns a future that waits for the next change of the state after this call.
    pub(crate) fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Records that another daemon asks for changes.
    pub(crate) fn record_asked(&self, now: Instant) {
        self.state.lock().asked_at = Some(now);
        self.asked.notify_waiters();
    }

    /// Returns a future that waits until another daemon asks for changes after this call.
    pub(crate) fn asked(&self) -> Notified<'_> {
        self.asked.notified()
    }

    /// Returns the time at which another daemon last asked for changes.
    pub(crate) fn asked_at(&self) -> Option<Instant> {
        self.state.lock().asked_at
    }
}

impl State {
    fn change(&mut self, item: &Item) {
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

    fn advance(&mut self, revision: Revision, current_at: Option<Instant>) {
        self.revision = revision;
        self.current_at = self.current_at.max(current_at);
    }
}

/// Returns the changes that lead from one list to another; both are sorted by key.
fn difference(before: &[Item], after: &[Item]) -> Vec<Item> {
    let find = |items: &[Item], key: &str| {
        items
            .binary_search_by(|item| item.key.as_str().cmp(key))
            .ok()
    };
    let withdrawn = before
        .iter()
        .filter(|item| find(after, &item.key).is_none())
        .map(|item| Item {
            key: item.key.clone(),
            value: None,
        });
    let changed = after
        .iter()
        .filter(|item| find(before, &item.key).is_none_or(|index| !is_same(&before[index], item)));
    withdrawn.chain(changed.cloned()).collect()
}

fn is_same(a: &Item, b: &Item) -> bool {
    match (&a.value, &b.value) {
        (Some(a), Some(b)) => Arc::ptr_eq(a, b) || a == b,
        (a, b) => a.is_none() && b.is_none(),
    }
}
