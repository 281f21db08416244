use crate::held_memory::BodyError;

/// Collects a body in one buffer: a peer that sends tiny chunks would otherwise take many times their size.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    bytes_max: usize,
    /// Length that the head of the body states; 0 if the buffer grows as the body arrives.
    stated_bytes: usize,
}

impl BodyBuffer {
    /// Creates a buffer without memory for a body of at most `bytes_max`. It grows to `stated_bytes` at once, or as
    /// the body arrives if that is `None`.
    ///
    /// # Errors
    ///
    /// Fails if the stated length exceeds the limit.
    pub fn new(bytes_max: usize, stated_bytes: Option<u64>) -> Result<Self, BodyError> {
        let stated_bytes = usize::try_from(stated_bytes.unwrap_or_default());
        let stated_bytes = stated_bytes.unwrap_or(usize::MAX);
        if stated_bytes > bytes_max {
            return Err(BodyError::TooLarge);
        }
        Ok(Self {
            bytes: Vec::new(),
            bytes_max,
            stated_bytes,
        })
    }

    /// Returns the memory that the buffer lacks for a chunk, in bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body then exceeds its limit.
    pub fn missing_bytes(&self, chunk: &[u8]) -> Result<usize, BodyError> {
        if chunk.len() > self.bytes_max - self.bytes.len() {
            return Err(BodyError::TooLarge);
        }
        Ok(self.capacity_with(chunk) - self.bytes.capacity())
    }

    /// Adds a chunk for which there is memory.
    pub fn push(&mut self, chunk: &[u8]) {
        let capacity = self.capacity_with(chunk);
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.bytes.extend_from_slice(chunk);
    }

    /// Returns the whole body.
    #[must_use]
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    fn capacity_with(&self, chunk: &[u8]) -> usize {
        let needed = self.bytes.len() + chunk.len();
        if needed <= self.bytes.capacity() {
            return self.bytes.capacity();
        }
        let doubled = (self.bytes.capacity() * 2).min(self.bytes_max);
        needed.max(doubled).max(self.stated_bytes)
    }
}
