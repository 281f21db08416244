/// Era of a store that was never restored.
const FIRST_ERA: u64 = 1;

/// Position in the history of the platform's store; ordered by era, then by number.
///
/// A store that is restored from a copy gives numbers out again, so a number alone does not identify
/// a state of the items.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    /// Rises each time the store is restored from a copy; 0 for a store that does not state it.
    pub era: u64,
    /// Number of the latest change; rises with each change within an era.
    pub number: u64,
}

impl StoreRevision {
    /// Returns true if the store was ever restored from a copy.
    #[must_use]
    pub fn is_after_restore(self) -> bool {
        self.era > FIRST_ERA
    }
}
