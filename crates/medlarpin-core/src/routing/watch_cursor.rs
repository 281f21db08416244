use super::StoreRevision;

/// Next read of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRead {
    /// Read a snapshot of all items.
    Snapshot,
    /// Watch for changes after this revision.
    ChangesAfter(StoreRevision),
}

/// Position of a watch over all items of a store.
///
/// The watch covers every item, so each new revision comes with at least one change. A revision
/// that advances without changes means that the watch missed some, and the store may have compacted
/// them away before they can be requested again.
#[derive(Debug, Clone, Copy, Default)]
pub struct WatchCursor {
    /// StoreRevision up to which all changes were seen; `None` if a snapshot is needed.
    known: Option<StoreRevision>,
}

impl WatchCursor {
    /// Returns the next read of the store.
    #[must_use]
    pub fn next_read(&self) -> NextRead {
        self.known
            .map_or(NextRead::Snapshot, NextRead::ChangesAfter)
    }

    /// Returns the revision up to which all changes were seen; `None` if a snapshot is needed.
    #[must_use]
    pub fn revision(&self) -> Option<StoreRevision> {
        self.known
    }

    /// Records a snapshot of all items at a revision.
    pub fn snapshot_read(&mut self, revision: StoreRevision) {
        self.known = Some(revision);
    }

    /// Records the number of changes that a watch returned and the revision that it reached.
    ///
    /// Returns false if changes were missed, in which case the next read is a snapshot. After the
    /// store was restored from a copy, a watch starts at a number that now stands for other changes.
    pub fn advance(&mut self, changes: usize, revision: StoreRevision) -> bool {
        let is_gap = match self.known {
            Some(known) => {
                revision.era != known.era || revision < known || (changes == 0 && revision > known)
            }
            None => true,
        };
        self.known = (!is_gap).then_some(revision);
        !is_gap
    }

    /// Forces a snapshot after a failed call, or when the store no longer has the changes after the
    /// cursor's revision.
    ///
    /// A failed watch must not be resumed: a store that is losing its history first closes the
    /// watches, and a watch started in between gets no changes until its wait ends.
    pub fn reset(&mut self) {
        self.known = None;
    }
}
