use std::sync::Arc;
use std::time::{Duration, Instant};

use medlarpin_core::routing::{LeafEntry, PAUSE_MAX};

use crate::leaf::Leaf;

/// Time for which a leaf that is no longer listed is remembered: the longest of the requests that
/// leafs make of a daemon.
const MEMORY: Duration = PAUSE_MAX;
/// Maximum number of leafs that are remembered; each takes about a kilobyte.
const LEAFS_MAX: usize = 1_024;

/// Leafs that are no longer listed. An entry may expire while its leaf lives, for example because the
/// leaf does not reach the store, and what the leaf has asked for still holds when it is back.
#[derive(Debug, Default)]
pub(crate) struct UnlistedLeafs {
    /// Oldest first, each with the time at which it was found to be missing; at most [`LEAFS_MAX`].
    leafs: Vec<(Instant, Arc<Leaf>)>,
}

impl UnlistedLeafs {
    /// Adds a leaf, and closes its idle connections.
    pub(crate) fn insert(&mut self, leaf: Arc<Leaf>, now: Instant) {
        leaf.close_idle();
        self.leafs
            .retain(|(at, _)| now.saturating_duration_since(*at) < MEMORY);
        if self.leafs.len() >= LEAFS_MAX {
            self.leafs.remove(0);
        }
        self.leafs.push((now, leaf));
    }

    /// Removes the leaf whose process an entry names and returns it; `None` if it is not known.
    pub(crate) fn take(&mut self, entry: &LeafEntry) -> Option<Arc<Leaf>> {
        let is_same = |(_, leaf): &(Instant, Arc<Leaf>)| leaf.entry.is_of_same_process(entry);
        let index = self.leafs.iter().position(is_same)?;
        Some(self.leafs.remove(index).1)
    }
}
