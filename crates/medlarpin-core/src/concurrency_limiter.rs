//! Permits for queries at once over a team's concurrency units.

/// Permit count bounded by the units available at the moment.
#[derive(Debug, Clone, Default)]
pub struct ConcurrencyLimiter {
    in_use: u64,
}

impl ConcurrencyLimiter {
    /// Creates a limiter without permits in use.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a permit if the units allow it.
    ///
    /// `available_units` is what the ledger has available until the query's deadline, because a
    /// permit cannot be taken back from a running query when a lease ends.
    #[must_use]
    pub fn try_acquire(&mut self, available_units: u64) -> bool {
        let granted = self.in_use < available_units;
        if granted {
            self.in_use += 1;
        }
        granted
    }

    /// Returns a permit.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Returns the permits in use.
    #[must_use]
    pub fn in_use(&self) -> u64 {
        self.in_use
    }
}
