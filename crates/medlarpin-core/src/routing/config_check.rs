use std::time::{Duration, Instant};

use super::{ProcessStart, StoreRevision};

/// Time after the start for which a daemon waits for another one that has a configuration: enough
/// for two exchanges, the first of which may have met a daemon that is starting as well.
pub const CONFIG_CHECK_TIME_MAX: Duration = Duration::from_secs(2);

/// Whether a daemon that has started knows the newest configuration that another daemon knows.
///
/// A configuration that was in force must not be replaced by an older one. A store that was restored
/// from a copy does not show this, and a process that starts remembers nothing.
#[derive(Debug, Clone)]
pub struct ConfigCheck {
    /// End of the wait; `None` once the check is complete.
    pending_until: Option<Instant>,
}

impl ConfigCheck {
    /// Begins the check of a process; `has_peers` is true if it knows addresses of other daemons.
    #[must_use]
    pub fn new(start: &ProcessStart, has_peers: bool) -> Self {
        // Before the first start of the system, no configuration was in force.
        let is_needed = has_peers && !start.is_first_start;
        Self {
            pending_until: is_needed.then_some(start.at + CONFIG_CHECK_TIME_MAX),
        }
    }

    /// Records that this daemon has every configuration that another one has in force.
    pub fn compared(&mut self) {
        self.pending_until = None;
    }

    /// Records that the whole content of the store was read. One that was never restored has every
    /// configuration that was ever in force.
    pub fn store_read(&mut self, revision: StoreRevision) {
        if !revision.is_after_restore() {
            self.pending_until = None;
        }
    }

    /// Returns true if the configuration may be relied on: it comes from a store that was never
    /// restored, was compared with that of another daemon, or no other daemon answered in time.
    #[must_use]
    pub fn is_complete(&self, now: Instant) -> bool {
        self.pending_until.is_none_or(|until| now >= until)
    }
}
