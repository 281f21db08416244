use std::cmp::Reverse;
use std::time::{Duration, Instant};

use crate::ids::LeafId;

/// Time for which a leaf's word that it is leaving is remembered: longer than any leaf that leaves
/// is published, or published again by a store that lags behind or was restored from a copy.
pub const STATED_DEPARTURE_MEMORY: Duration = Duration::from_mins(10);
/// Maximum number of leafs that are remembered, a multiple of the leafs that leave within the time.
const DEPARTURES_MAX: usize = 16_384;

/// Leafs that have said in an answer that they are leaving.
///
/// This holds whatever the store publishes: the leaf knows it first, and this daemon may be cut off
/// from the store.
#[derive(Debug, Clone, Default)]
pub struct StatedDepartures {
    /// Runs of leafs, each with the time of its first such answer; sorted by run, without duplicates,
    /// at most [`DEPARTURES_MAX`].
    departures: Vec<(LeafId, Instant)>,
}

impl StatedDepartures {
    /// Records that a run of a leaf said that it is leaving; returns true if that is news.
    pub fn record(&mut self, run: &LeafId, now: Instant) -> bool {
        let Err(index) = self.position(run) else {
            return false;
        };
        self.departures.insert(index, (run.clone(), now));
        if self.departures.len() > DEPARTURES_MAX {
            self.departures
                .retain(|(_, at)| now.saturating_duration_since(*at) < STATED_DEPARTURE_MEMORY);
            self.departures.truncate(DEPARTURES_MAX);
        }
        true
    }

    /// Returns the time of the first answer in which a run of a leaf said that it is leaving.
    #[must_use]
    pub fn stated_at(&self, run: &LeafId) -> Option<Instant> {
        self.position(run)
            .ok()
            .map(|index| self.departures[index].1)
    }

    /// Returns the runs of leafs that have said so since then, the latest first, at most `max`.
    #[must_use]
    pub fn since(&self, at: Instant, max: usize) -> Vec<LeafId> {
        let mut latest: Vec<&(LeafId, Instant)> = self
            .departures
            .iter()
            .filter(|(_, stated_at)| *stated_at >= at)
            .collect();
        latest.sort_by_key(|(_, stated_at)| Reverse(*stated_at));
        let runs = latest.into_iter().take(max).map(|(run, _)| run.clone());
        runs.collect()
    }

    fn position(&self, run: &LeafId) -> Result<usize, usize> {
        self.departures
            .binary_search_by(|(known, _)| known.cmp(run))
    }
}
