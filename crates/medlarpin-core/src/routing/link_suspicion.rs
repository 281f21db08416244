use std::time::Instant;

use super::LEAF_SILENCE_TIMEOUT;

/// Least number of leafs out of reach for a suspicion. A VM that has just started has heard from few
/// leafs, and one or two of them may be down.
const UNREACHABLE_MIN: usize = 3;

/// Whether the links of this VM to its leafs have probably failed.
///
/// Leafs that are out of reach and leafs that have answered are evidence. Leafs of which nothing is
/// known are none: right after a new set of shards is published, they can be the majority.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkSuspicion {
    /// Time since which a leaf must have answered to count as reached; `None` while the links are
    /// not suspect.
    unheard_since: Option<Instant>,
}

impl LinkSuspicion {
    /// Updates the suspicion from the number of leafs that are out of reach, and of those within reach
    /// that have ever answered.
    ///
    /// Returns the time since which a leaf must have answered to get requests without a probe; `None`
    /// unless the links are suspect. It stays the same while they are, so that each leaf needs only one
    /// answer.
    pub fn observe(
        &mut self,
        unreachable: usize,
        reachable: usize,
        now: Instant,
    ) -> Option<Instant> {
        let is_suspect = unreachable >= UNREACHABLE_MIN && unreachable > reachable;
        self.unheard_since = is_suspect.then(|| {
            let recently = now.checked_sub(LEAF_SILENCE_TIMEOUT).unwrap_or(now);
            self.unheard_since.unwrap_or(recently)
        });
        self.unheard_since
    }

    /// Returns true if the links were suspect when they were last observed.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.unheard_since.is_some()
    }
}
