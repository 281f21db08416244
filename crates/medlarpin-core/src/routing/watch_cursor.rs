use crate::ids::Revision;

/// How a store is followed next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRead {
    /// Read all items.
    All,
    /// Wait for changes after this revision.
    ChangesAfter(Revision),
}

/// Position of a watch over all items of a store.
///
/// The watch sees every item, so each revision comes with a change. A revision that advances without
/// one shows that the watch has missed changes, and that its history may be gone before it is asked
/// for again.
#[derive(Debug, Clone, Copy, Default)]
pub struct WatchCursor {
    /// Revision up to which all changes are known; `None` if all items have to be read.
    known: Option<Revision>,
}

impl WatchCursor {
    /// Returns how the store is followed next.
    #[must_use]
    pub fn next_read(&self) -> NextRead {
        self.known.map_or(NextRead::All, NextRead::ChangesAfter)
    }

    /// Returns the revision up to which all changes are known.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.known
    }

    /// Records that all items were read at a revision.
    pub fn snapshot_read(&mut self, revision: Revision) {
        self.known = Some(revision);
    }

    /// Records the result of a watch; returns false if it shows a gap, after which all is read.
    pub fn advance(&mut self, changes: usize, revision: Revision) -> bool {
        let is_gap = match self.known {
            Some(known) => revision < known || (changes == 0 && revision > known),
            None => true,
        };
        self.known = (!is_gap).then_some(revision);
        !is_gap
    }

    /// Records that a call failed, or that the history after the known revision is gone.
    ///
    /// A store that loses its history cuts the watches first; a watch that starts in between hears
    /// nothing until its wait ends. So a failed watch is not resumed.
    pub fn reset(&mut self) {
        self.known = None;
    }
}
