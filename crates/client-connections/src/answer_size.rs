use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory that is reserved for the answers to a request at least: most answers are smaller.
const RESERVED_BYTES_MIN: usize = 4 << 10;
/// A smaller answer lowers the expected size by this part.
const FADING_DIVISOR: usize = 8;

/// The expected size of the answers to requests of one kind: the largest recent one.
#[derive(Debug, Default)]
pub struct AnswerSize(AtomicUsize);

impl AnswerSize {
    /// Returns the memory to reserve for the answers to a request.
    #[must_use]
    pub fn expected_bytes(&self) -> usize {
        self.0.load(Ordering::Relaxed).max(RESERVED_BYTES_MIN)
    }

    /// Records the size of all answers to a request. Requests that end at the same time may overwrite each
    /// other's record, which a later one corrects.
    pub fn record(&self, bytes: usize) {
        let known = self.0.load(Ordering::Relaxed);
        self.0
            .store(bytes.max(known - known / FADING_DIVISOR), Ordering::Relaxed);
    }
}
