/// Part of the free memory that a single holder may have. Some holders that grow without end thus
/// always leave room for many small ones.
const FREE_PART_DIVISOR: usize = 4;
/// Divisor of the limit; the quotient is left to small holders.
const HEADROOM_DIVISOR: usize = 16;
/// Divisor of what a single holder may have of the headroom; a holder that has at most the quotient
/// is small.
const SMALL_HOLDER_DIVISOR: usize = 16;

/// Memory that many holders share, such as the answers that are being read.
///
/// The more memory is in use, the less a single holder may have, so that a few large ones cannot
/// take all of it (dynamic thresholds, as in shared-memory switches). The last part of it, the
/// headroom, is for small holders alone: it also covers what others take of the reachable memory
/// after large holders have taken theirs.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    limit_bytes: usize,
    /// A single holder may have this part of the free memory.
    free_part_divisor: usize,
    /// At most `limit_bytes`, unless memory was taken that was in use already.
    used_bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is used.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            free_part_divisor: FREE_PART_DIVISOR,
            used_bytes: 0,
        }
    }

    /// Creates a budget of which nothing is used and of whose free memory a single holder may have this part.
    #[must_use]
    pub fn with_free_part(limit_bytes: usize, free_part_divisor: usize) -> Self {
        Self {
            free_part_divisor,
            ..Self::new(limit_bytes)
        }
    }

    /// Returns the memory that a single holder may have while there is no other, in bytes.
    #[must_use]
    pub fn holder_bytes_max(&self) -> usize {
        let free_part = self.limit_bytes / self.free_part_divisor;
        free_part.min(self.limit_bytes - self.headroom_bytes())
    }

    /// Takes `more_bytes` for a holder that has `held_bytes`; returns false if it may not have them.
    pub fn try_grow(&mut self, held_bytes: usize, more_bytes: usize) -> bool {
        self.try_grow_within(self.limit_bytes, held_bytes, more_bytes)
    }

    /// Like [`Self::try_grow`], while only `reachable_bytes` of the limit can be used. Holders then leave each other
    /// room within these.
    pub fn try_grow_within(
        &mut self,
        reachable_bytes: usize,
        held_bytes: usize,
        more_bytes: usize,
    ) -> bool {
        let limit_bytes = self.limit_bytes.min(reachable_bytes);
        let free_bytes = limit_bytes.saturating_sub(self.used_bytes);
        let holder_bytes = held_bytes.saturating_add(more_bytes);
        let is_small = holder_bytes <= self.small_holder_bytes_max();
        let headroom_bytes = if is_small { 0 } else { self.headroom_bytes() };
        let is_granted = holder_bytes <= free_bytes / self.free_part_divisor
            && more_bytes <= free_bytes.saturating_sub(headroom_bytes);
        if is_granted {
            self.used_bytes += more_bytes;
        }
        is_granted
    }

    /// Counts memory that is in use already, such as a message that has arrived, also beyond the limit.
    pub fn take(&mut self, bytes: usize) {
        self.used_bytes = self.used_bytes.saturating_add(bytes);
    }

    /// Returns the memory of a holder.
    pub fn release(&mut self, held_bytes: usize) {
        self.used_bytes = self.used_bytes.saturating_sub(held_bytes);
    }

    /// Returns the memory that all holders may have together, in bytes.
    #[must_use]
    pub fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Returns the memory in use, in bytes.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    fn headroom_bytes(&self) -> usize {
        self.limit_bytes / HEADROOM_DIVISOR
    }

    fn small_holder_bytes_max(&self) -> usize {
        self.headroom_bytes() / self.free_part_divisor / SMALL_HOLDER_DIVISOR
    }
}
