use std::sync::Arc;

use client_connections::HeldMemory;
use parking_lot::Mutex;

/// Memory of a connection besides its buffers: its task and the state of the HTTP library.
const STATE_BYTES: usize = 4 << 10;
/// Size of a read buffer at least.
const READ_BUFFER_BYTES_MIN: usize = 8 << 10;

/// Sizes of the buffers that a connection needs for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BufferSizes {
    /// Length of the head of the request, which the library copies.
    pub head_bytes: usize,
    /// Expected size of the read buffer.
    pub read_bytes: usize,
}

impl BufferSizes {
    /// Returns the memory that a connection with these buffers takes.
    #[must_use]
    pub fn connection_bytes(self) -> usize {
        STATE_BYTES + self.head_bytes + self.read_bytes.max(READ_BUFFER_BYTES_MIN)
    }

    fn max(self, other: Self) -> Self {
        Self {
            head_bytes: self.head_bytes.max(other.head_bytes),
            read_bytes: self.read_bytes.max(other.read_bytes),
        }
    }
}

/// Memory of a connection and its buffers. The HTTP library keeps buffers at their largest size until the
/// connection is closed.
#[derive(Debug, Clone)]
pub struct BufferMemory(Arc<Mutex<Buffers>>);

#[derive(Debug)]
struct Buffers {
    memory: HeldMemory,
    /// Sizes that the memory covers at least.
    sizes: BufferSizes,
    /// Largest read buffer so far.
    read_bytes: usize,
}

impl BufferMemory {
    pub(crate) fn new(memory: HeldMemory) -> Self {
        Self(Arc::new(Mutex::new(Buffers {
            memory,
            sizes: BufferSizes::default(),
            read_bytes: 0,
        })))
    }

    /// Returns the memory that the connection lacks for a request.
    #[must_use]
    pub fn missing_bytes(&self, needed: BufferSizes) -> usize {
        let buffers = self.0.lock();
        let bytes = buffers.sizes.max(needed).connection_bytes();
        bytes.saturating_sub(buffers.memory.bytes())
    }

    /// Adds memory for a request.
    pub fn cover(&self, memory: HeldMemory, needed: BufferSizes) {
        let mut buffers = self.0.lock();
        buffers.memory.merge(memory);
        buffers.sizes = buffers.sizes.max(needed);
    }

    /// Returns true if the buffers of all connections take more than the memory for them.
    #[must_use]
    pub fn is_overdrawn(&self) -> bool {
        self.0.lock().memory.is_overdrawn()
    }

    /// Returns the size of the read buffer so far.
    #[must_use]
    pub fn read_bytes(&self) -> usize {
        self.0.lock().read_bytes
    }

    /// Counts a read buffer that exists already, also beyond the limit.
    pub(crate) fn reads_into(&self, read_bytes: usize) {
        let mut buffers = self.0.lock();
        buffers.read_bytes = buffers.read_bytes.max(read_bytes);
        if read_bytes > buffers.sizes.read_bytes {
            buffers.sizes.read_bytes = read_bytes;
            let bytes = buffers.sizes.connection_bytes();
            let missing = bytes.saturating_sub(buffers.memory.bytes());
            buffers.memory.take(missing);
        }
    }
}
