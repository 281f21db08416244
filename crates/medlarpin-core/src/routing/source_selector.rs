use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::KnownDaemon;
use crate::ids::stable_hash;

/// Daemons for which one daemon watches the store. A daemon that follows asks about once a second,
/// which costs its watcher some 100 us, so that 48 take half a percent of a core.
pub const FOLLOWERS_MAX: usize = 48;
/// Least number of daemons that watch the store, so that the loss of one does not make all others
/// call the store at the same time.
pub const WATCHERS_MIN: usize = 2;
/// Time for which a daemon that could not be followed is left out. It is short, as all daemons start
/// at about the same time and the first ones find the others missing.
pub const SOURCE_BACK_OFF_MIN: Duration = Duration::from_secs(1);
/// Longest time for which a daemon that fails again and again is left out.
pub const SOURCE_BACK_OFF_MAX: Duration = Duration::from_secs(10);
/// Pause of a watcher between failed calls to the store, within which it asks another daemon.
pub const WATCHER_RETRY_INTERVAL: Duration = Duration::from_millis(800);
/// Pause of a daemon that does not watch between failed calls to the store. All daemons make these
/// calls while the store is away, and the watchers notice its return.
pub const FOLLOWER_RETRY_INTERVAL: Duration = Duration::from_millis(2_500);

/// Where a daemon learns the next changes of the published items.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// From the store, as one of those that watch it.
    Store,
    /// From the store at once, since the followed daemon may be out of date.
    CheckStore,
    /// From another daemon.
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

/// A daemon that could not be followed.
#[derive(Debug, Clone, Copy)]
struct LeftOut {
    daemon: SocketAddr,
    until: Instant,
    /// Time for which it was left out; doubles if it fails again.
    pause: Duration,
}

/// Chooses the source of the published items.
///
/// All daemons rank each other in the same order, those with the most processor time first: a small
/// VM under load is late with what its followers need. The first ones that can be reached watch the
/// store, and each of the others follows one of them. The daemons need not agree: one that is
/// followed watches the store as well.
#[derive(Debug, Clone)]
pub struct SourceSelector {
    own: SocketAddr,
    /// Sorted by daemon, without duplicates.
    failed: Vec<LeftOut>,
    /// Time of the last call to the store, if it failed.
    store_failed_at: Option<Instant>,
    /// True if the followed daemon may be out of date.
    is_check_due: bool,
    /// Daemon whose knowledge is old, until a call to the store shows who of the two is cut off.
    suspect: Option<SocketAddr>,
}

impl SourceSelector {
    /// Creates the choice of a daemon.
    #[must_use]
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            failed: Vec::new(),
            store_failed_at: None,
            is_check_due: false,
            suspect: None,
        }
    }

    /// Returns the next source. `all` are the daemons, this one included; `is_followed` tells whether
    /// others follow this one.
    #[must_use]
    pub fn choose(&self, all: &[KnownDaemon], is_followed: bool, now: Instant) -> Source {
        let ranked = self.ranked(all, now);
        let watchers = watcher_count(all.len()).min(ranked.len());
        let is_watcher = is_followed || ranked[..watchers].contains(&self.own);
        let pause = if is_watcher {
            WATCHER_RETRY_INTERVAL
        } else {
            FOLLOWER_RETRY_INTERVAL
        };
        let may_call = self
            .store_failed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= pause);
        if may_call && is_watcher {
            return Source::Store;
        }
        if may_call && self.is_check_due {
            return Source::CheckStore;
        }
        let followed: Vec<SocketAddr> = ranked[..watchers]
            .iter()
            .copied()
            .filter(|daemon| *daemon != self.own)
            .collect();
        match followed.get(place(self.own, followed.len())) {
            Some(daemon) => Source::Daemon(*daemon),
            None => Source::Store,
        }
    }

    /// Records that a call to the store succeeded.
    pub fn store_answered(&mut self, now: Instant) {
        self.store_failed_at = None;
        self.is_check_due = false;
        if let Some(suspect) = self.suspect.take() {
            self.leave_out(suspect, now);
        }
    }

    /// Records that a call to the store failed.
    pub fn store_failed(&mut self, now: Instant) {
        self.store_failed_at = Some(now);
        // The followed daemon may be as well off as any other.
        self.suspect = None;
    }

    /// Records that a daemon told what it knows, and that it has heard from the store recently.
    pub fn daemon_answered(&mut self) {
        self.is_check_due = false;
        self.suspect = None;
    }

    /// Records that a daemon has not heard from the store recently.
    pub fn daemon_is_stale(&mut self, daemon: SocketAddr) {
        self.is_check_due = true;
        self.suspect = Some(daemon);
    }

    /// Records that a daemon cannot be followed.
    pub fn daemon_failed(&mut self, daemon: SocketAddr, now: Instant) {
        self.is_check_due = true;
        self.leave_out(daemon, now);
    }

    fn leave_out(&mut self, daemon: SocketAddr, now: Instant) {
        self.failed
            .retain(|known| now < known.until + SOURCE_BACK_OFF_MAX);
        let position = self
            .failed
            .binary_search_by_key(&daemon, |known| known.daemon);
        let pause = position.map_or(SOURCE_BACK_OFF_MIN, |index| {
            (self.failed[index].pause * 2).min(SOURCE_BACK_OFF_MAX)
        });
        let left_out = LeftOut {
            daemon,
            until: now + pause,
            pause,
        };
        match position {
            Ok(index) => self.failed[index] = left_out,
            Err(index) => self.failed.insert(index, left_out),
        }
    }

    /// Returns the daemons that are not left out, in the order in which they watch.
    fn ranked(&self, all: &[KnownDaemon], now: Instant) -> Vec<SocketAddr> {
        let is_left_out = |daemon: &KnownDaemon| {
            let found = self
                .failed
                .binary_search_by_key(&daemon.address, |known| known.daemon);
            found.is_ok_and(|index| now < self.failed[index].until)
        };
        let mut ranked: Vec<KnownDaemon> = all
            .iter()
            .copied()
            .filter(|daemon| !is_left_out(daemon))
            .collect();
        ranked.sort_by_cached_key(|daemon| {
            let least_first = u32::MAX - daemon.cpu_millicores;
            (least_first, hash(daemon.address), daemon.address)
        });
        ranked.into_iter().map(|daemon| daemon.address).collect()
    }
}

/// Returns how many of the daemons watch the store.
fn watcher_count(daemons: usize) -> usize {
    daemons.div_ceil(FOLLOWERS_MAX + 1).max(WATCHERS_MIN)
}

/// Returns which of the watchers a daemon follows.
fn place(daemon: SocketAddr, watchers: usize) -> usize {
    let count = u64::try_from(watchers).unwrap_or(1).max(1);
    usize::try_from(hash(daemon) % count).unwrap_or(0)
}

fn hash(daemon: SocketAddr) -> u64 {
    stable_hash(&[daemon.to_string().as_bytes()])
}
