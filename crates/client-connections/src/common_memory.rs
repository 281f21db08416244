use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory that several accounts share. Each has a guaranteed part, and takes more while the others leave it.
#[derive(Debug, Clone)]
pub(crate) struct CommonMemory(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    total_bytes: usize,
    /// Sum over the accounts of what each uses or has as its guaranteed part, whichever is larger. At most
    /// `total_bytes`, unless memory was counted that was in use already.
    committed_bytes: AtomicUsize,
}

impl CommonMemory {
    /// Creates memory of which nothing is used.
    pub(crate) fn new(total_bytes: usize) -> Self {
        Self(Arc::new(Inner {
            total_bytes,
            committed_bytes: AtomicUsize::new(0),
        }))
    }

    /// Commits more memory; returns false if there is not enough.
    pub(crate) fn try_commit(&self, bytes: usize) -> bool {
        let committed = &self.0.committed_bytes;
        let grown = committed.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |committed| {
            let grown = committed.saturating_add(bytes);
            (bytes == 0 || grown <= self.0.total_bytes).then_some(grown)
        });
        grown.is_ok()
    }

    /// Commits memory that is in use already.
    pub(crate) fn commit(&self, bytes: usize) {
        self.0.committed_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns the memory that is not committed, in bytes.
    pub(crate) fn free_bytes(&self) -> usize {
        let committed_bytes = self.0.committed_bytes.load(Ordering::Relaxed);
        self.0.total_bytes.saturating_sub(committed_bytes)
    }

    /// Returns committed memory.
    pub(crate) fn release(&self, bytes: usize) {
        self.0.committed_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}
