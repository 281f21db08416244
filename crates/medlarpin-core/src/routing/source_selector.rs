use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::KnownDaemon;
use crate::ids::stable_hash;

/// Number of followers that one watcher is planned for. A follower polls about once a second, which
/// costs the watcher some 100 us of CPU time, so 48 followers take half a percent of a core.
pub const FOLLOWERS_MAX: usize = 48;
/// Minimum number of daemons that watch the store, so that the loss of one does not make all others
/// call the store at the same time.
pub const WATCHERS_MIN: usize = 2;
/// First back-off of a daemon that could not be followed. It is short because all daemons start at
/// about the same time, and the first ones to start cannot reach the others yet.
pub const SOURCE_BACK_OFF_MIN: Duration = Duration::from_secs(1);
/// Maximum back-off of a daemon that fails repeatedly.
pub const SOURCE_BACK_OFF_MAX: Duration = Duration::from_secs(10);
/// Retry interval of a watcher whose call to the store failed; in between, it follows another
/// daemon.
pub const WATCHER_RETRY_INTERVAL: Duration = Duration::from_millis(800);
/// Retry interval of other daemons whose call to the store failed. While the store is down, all
/// daemons make these calls; the watchers are the ones to notice its recovery.
pub const FOLLOWER_RETRY_INTERVAL: Duration = Duration::from_millis(2_500);

/// Source of the next changes of the published items.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Watch the store, as one of the watchers.
    Store,
    /// Call the store once without waiting, because the followed daemon may be stale.
    CheckStore,
    /// Follow another daemon.
    Daemon(SocketAddr),
}

impl Source {
    /// Returns the daemon that is followed; `None` for the store.
    #[must_use]
    pub fn daemon(self) -> Option<SocketAddr> {
        match self {
            Self::Store | Self::CheckStore => None,
            Self::Daemon(daemon) => Some(daemon),
        }
    }
}

/// Back-off of a daemon that could not be followed.
#[derive(Debug, Clone, Copy)]
struct BackOff {
    daemon: SocketAddr,
    until: Instant,
    /// Length of the back-off; doubles with each failure.
    duration: Duration,
}

/// Chooses whether a daemon watches the store or follows another daemon.
///
/// All daemons rank each other in the same order, by descending CPU capacity, because a small VM
/// under load would delay its followers. The first ones that can be reached watch the store, and
/// each of the others follows one of them. Daemons with different views need no agreement: any
/// daemon that is followed watches the store as well.
#[derive(Debug, Clone)]
pub struct SourceSelector {
    own: SocketAddr,
    /// Back-offs, sorted by daemon, without duplicates.
    back_offs: Vec<BackOff>,
    /// Time of the last call to the store if it failed.
    store_failed_at: Option<Instant>,
    /// True if the followed daemon may be stale, so the store must be checked.
    is_check_due: bool,
    /// Followed daemon with stale data. The next call to the store shows whether that daemon is
    /// partitioned from the store or the store is down.
    suspect: Option<SocketAddr>,
}

impl SourceSelector {
    /// Creates the selector of a daemon.
    #[must_use]
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            back_offs: Vec::new(),
            store_failed_at: None,
            is_check_due: false,
            suspect: None,
        }
    }

    /// Chooses the next source: the store for a watcher, else a check of the store if one is due,
    /// else another watcher. After a failed call, the store is skipped until the retry interval has
    /// passed, unless there is no other watcher.
    ///
    /// `all` contains all daemons including this one; `is_followed` is true if others follow this
    /// one.
    #[must_use]
    pub fn choose(&self, all: &[KnownDaemon], is_followed: bool, now: Instant) -> Source {
        let ranked = self.ranked(all, now);
        let watchers = watcher_count(all.len()).min(ranked.len());
        let is_watcher = is_followed || ranked[..watchers].contains(&self.own);
        let retry_interval = if is_watcher {
            WATCHER_RETRY_INTERVAL
        } else {
            FOLLOWER_RETRY_INTERVAL
        };
        let may_call_store = self
            .store_failed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= retry_interval);
        if may_call_store && is_watcher {
            return Source::Store;
        }
        if may_call_store && self.is_check_due {
            return Source::CheckStore;
        }
        let other_watchers: Vec<SocketAddr> = ranked[..watchers]
            .iter()
            .copied()
            .filter(|daemon| *daemon != self.own)
            .collect();
        match other_watchers.get(watcher_index(self.own, other_watchers.len())) {
            Some(daemon) => Source::Daemon(*daemon),
            None => Source::Store,
        }
    }

    /// Records that a call to the store succeeded.
    pub fn store_answered(&mut self, now: Instant) {
        self.store_failed_at = None;
        self.is_check_due = false;
        if let Some(suspect) = self.suspect.take() {
            self.start_back_off(suspect, now);
        }
    }

    /// Records that a call to the store failed.
    pub fn store_failed(&mut self, now: Instant) {
        self.store_failed_at = Some(now);
        // The store is down, so the stale daemon is as good a source as any other.
        self.suspect = None;
    }

    /// Records that the followed daemon answered and was in contact with the store recently.
    pub fn daemon_answered(&mut self) {
        self.is_check_due = false;
        self.suspect = None;
    }

    /// Records that a daemon was not in contact with the store recently.
    pub fn daemon_is_stale(&mut self, daemon: SocketAddr) {
        self.is_check_due = true;
        self.suspect = Some(daemon);
    }

    /// Records that a daemon cannot be followed.
    pub fn daemon_failed(&mut self, daemon: SocketAddr, now: Instant) {
        self.is_check_due = true;
        self.start_back_off(daemon, now);
    }

    fn start_back_off(&mut self, daemon: SocketAddr, now: Instant) {
        // Keeps an expired back-off for a while, so that a repeated failure doubles it.
        self.back_offs
            .retain(|known| now < known.until + SOURCE_BACK_OFF_MAX);
        let position = self
            .back_offs
            .binary_search_by_key(&daemon, |known| known.daemon);
        let duration = position.map_or(SOURCE_BACK_OFF_MIN, |index| {
            (self.back_offs[index].duration * 2).min(SOURCE_BACK_OFF_MAX)
        });
        let back_off = BackOff {
            daemon,
            until: now + duration,
            duration,
        };
        match position {
            Ok(index) => self.back_offs[index] = back_off,
            Err(index) => self.back_offs.insert(index, back_off),
        }
    }

    /// Returns the daemons that are not in back-off, in ranking order.
    fn ranked(&self, all: &[KnownDaemon], now: Instant) -> Vec<SocketAddr> {
        let is_backing_off = |daemon: &KnownDaemon| {
            let found = self
                .back_offs
                .binary_search_by_key(&daemon.address, |known| known.daemon);
            found.is_ok_and(|index| now < self.back_offs[index].until)
        };
        let mut ranked: Vec<KnownDaemon> = all
            .iter()
            .copied()
            .filter(|daemon| !is_backing_off(daemon))
            .collect();
        ranked.sort_by_cached_key(|daemon| {
            let descending_capacity = u32::MAX - daemon.cpu_millicores;
            (descending_capacity, hash(daemon.address), daemon.address)
        });
        ranked.into_iter().map(|daemon| daemon.address).collect()
    }
}

/// Returns the number of daemons that watch the store.
fn watcher_count(daemons: usize) -> usize {
    daemons.div_ceil(FOLLOWERS_MAX + 1).max(WATCHERS_MIN)
}

/// Returns the index of the watcher that a daemon follows.
fn watcher_index(daemon: SocketAddr, watchers: usize) -> usize {
    let count = u64::try_from(watchers).unwrap_or(1).max(1);
    usize::try_from(hash(daemon) % count).unwrap_or(0)
}

fn hash(daemon: SocketAddr) -> u64 {
    stable_hash(&[daemon.to_string().as_bytes()])
}
