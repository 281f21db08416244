use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Maximum number of bytes that a leaf may send without progress of its answer, which is a complete
/// head or more of the body. The limit is above the read buffer of the HTTP library, which may hold
/// progress that is not seen yet.
pub const BYTES_WITHOUT_PROGRESS_MAX: usize = 256 << 10;

/// Number of bytes that a leaf may still send without progress of its answer.
#[derive(Debug, Clone)]
pub struct ProgressLimit(Arc<AtomicUsize>);

impl ProgressLimit {
    pub(crate) fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(BYTES_WITHOUT_PROGRESS_MAX)))
    }

    /// Starts the count again, at a new request or after progress of the answer.
    pub fn restart(&self) {
        self.0.store(BYTES_WITHOUT_PROGRESS_MAX, Ordering::Relaxed);
    }

    /// Counts bytes; returns false if the limit is exceeded.
    pub(crate) fn count(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        bytes <= left
    }
}
