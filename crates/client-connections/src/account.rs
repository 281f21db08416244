use medlarpin_core::routing::MemoryBudget;

use crate::common_memory::CommonMemory;

/// The memory of one group of clients, as a part of the memory of all groups.
#[derive(Debug)]
pub(crate) struct Account {
    budget: MemoryBudget,
    /// Committed to this account whether it is used or not.
    guaranteed_bytes: usize,
    common: CommonMemory,
}

impl Account {
    /// Creates an account of which nothing is used.
    pub(crate) fn new(budget: MemoryBudget, guaranteed_bytes: usize, common: CommonMemory) -> Self {
        common.commit(guaranteed_bytes);
        Self {
            budget,
            guaranteed_bytes,
            common,
        }
    }

    /// Creates an account that shares no memory with others.
    pub(crate) fn separate(budget: MemoryBudget) -> Self {
        Self::new(budget, 0, CommonMemory::new(usize::MAX))
    }

    /// Takes `more_bytes` for a holder that has `held_bytes`; returns false if it may not have them.
    pub(crate) fn try_grow(&mut self, held_bytes: usize, more_bytes: usize) -> bool {
        let reachable_bytes = self.reachable_bytes();
        let commitment = self.commitment(self.budget.used_bytes().saturating_add(more_bytes));
        let more_committed = commitment - self.commitment(self.budget.used_bytes());
        if !self.common.try_commit(more_committed) {
            return false;
        }
        let is_granted = self
            .budget
            .try_grow_within(reachable_bytes, held_bytes, more_bytes);
        if !is_granted {
            self.common.release(more_committed);
        }
        is_granted
    }

    /// Counts memory that is in use already, also beyond the limit.
    pub(crate) fn take(&mut self, bytes: usize) {
        let before = self.commitment(self.budget.used_bytes());
        self.budget.take(bytes);
        let after = self.commitment(self.budget.used_bytes());
        self.common.commit(after - before);
    }

    /// Returns memory.
    pub(crate) fn release(&mut self, bytes: usize) {
        let before = self.commitment(self.budget.used_bytes());
        self.budget.release(bytes);
        let after = self.commitment(self.budget.used_bytes());
        self.common.release(before - after);
    }

    /// Returns the memory in use, in bytes.
    pub(crate) fn used_bytes(&self) -> usize {
        self.budget.used_bytes()
    }

    /// Returns the memory that the account could use at present, as far as the other accounts leave it, in bytes.
    pub(crate) fn reachable_bytes(&self) -> usize {
        let commitment = self.commitment(self.budget.used_bytes());
        commitment
            .saturating_add(self.common.free_bytes())
            .min(self.budget.limit_bytes())
    }

    /// Returns the memory that a single holder may have while there is no other, in bytes.
    pub(crate) fn holder_bytes_max(&self) -> usize {
        self.budget.holder_bytes_max()
    }

    fn commitment(&self, used_bytes: usize) -> usize {
        used_bytes.max(self.guaranteed_bytes)
    }
}
