//! Semaphore that enforces a team's concurrency limit.

/// Semaphore whose size follows the concurrency units that are currently available.
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

    /// Takes a permit; returns false if none is available.
    ///
    /// `available_units` must be the units available up to the query's deadline, because a permit
    /// cannot be revoked from a running query when a lease expires.
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

    /// Returns the number of permits in use.
    #[must_use]
    pub fn in_use(&self) -> u64 {
        self.in_use
    }
}
