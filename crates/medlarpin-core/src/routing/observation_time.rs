use std::time::{Duration, Instant};

/// Age of the previous contact from which the store counts as having been away. Longer than the
/// delays with which changes normally arrive over other daemons, and shorter than the three
/// heartbeats after which the entry of a silent leaf expires.
pub const OUTAGE_MIN: Duration = Duration::from_secs(3);

/// When a change of the published entries was observed, and since when it may have been in effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservationTime {
    /// Time at which the entries were last known to be up to date with the store before the change;
    /// `None` for the first entries of a process.
    pub known_until: Option<Instant>,
    /// Time at which this daemon learned of the change.
    pub now: Instant,
    /// True if the store was restored from a copy since the change before. Leafs that started after
    /// the copy are not listed then until they publish their entries again.
    pub is_restored: bool,
}

impl ObservationTime {
    /// Returns true if the store, or the way to it, was away before the change was observed.
    #[must_use]
    pub fn is_after_outage(&self) -> bool {
        self.is_restored
            || self
                .known_until
                .is_none_or(|at| self.now.saturating_duration_since(at) >= OUTAGE_MIN)
    }
}
