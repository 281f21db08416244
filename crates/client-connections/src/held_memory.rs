use bytes::Bytes;
use displaydoc::Display;
use parking_lot::Mutex;
use thiserror::Error;

use crate::clients::Clients;

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum BodyError {
    /// the connection failed before the end of the body, or the body is malformed
    BrokenOff,
    /// the body exceeds its limit
    TooLarge,
    /// the memory held for others has no room for the body
    OutOfMemory,
}

/// A part of the memory that is held for others; dropping it returns the part.
#[derive(Debug)]
pub struct HeldMemory {
    clients: Clients,
    bytes: usize,
}

impl HeldMemory {
    pub(crate) fn new(clients: Clients) -> Self {
        Self { clients, bytes: 0 }
    }

    /// Returns the number of bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes more memory; returns false if there is no room for it.
    #[must_use]
    pub fn try_grow(&mut self, more_bytes: usize) -> bool {
        let is_granted = more_bytes == 0 || self.clients.try_grow(self.bytes, more_bytes);
        if is_granted {
            self.bytes += more_bytes;
        }
        is_granted
    }

    /// Counts bytes that exist already, also beyond the limit.
    pub fn take(&mut self, bytes: usize) {
        self.clients.take(bytes);
        self.bytes += bytes;
    }

    /// Returns true if more memory is used than there is, as some was in use before it was counted.
    #[must_use]
    pub fn is_overdrawn(&self) -> bool {
        self.clients.used_bytes() > self.clients.limits().held_bytes_max
    }

    /// Adds another part of the same memory.
    pub fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Moves up to `bytes` to a part of its own.
    #[must_use]
    pub fn split(&mut self, bytes: usize) -> Self {
        let mut part = self.clients.hold();
        part.bytes = bytes.min(self.bytes);
        self.bytes -= part.bytes;
        part
    }

    /// Returns a number of bytes, or all if there are fewer.
    pub fn shrink(&mut self, bytes: usize) {
        let returned = bytes.min(self.bytes);
        self.bytes -= returned;
        self.clients.release(returned);
    }

    /// Returns the bytes with this part attached to them, until their last reference is dropped.
    #[must_use]
    pub fn into_bytes(mut self, bytes: Vec<u8>) -> Bytes {
        if bytes.is_empty() {
            return Bytes::new();
        }
        self.shrink(self.bytes.saturating_sub(bytes.capacity()));
        Bytes::from_owner(OwnedBytes {
            bytes,
            _memory: self,
        })
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.clients.release(self.bytes);
    }
}

/// Bytes with the memory that they take.
struct OwnedBytes {
    bytes: Vec<u8>,
    _memory: HeldMemory,
}

impl AsRef<[u8]> for OwnedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Memory that is reserved for the answers to one request, from which their readers take parts.
#[derive(Debug)]
pub struct Room(Mutex<HeldMemory>);

impl From<HeldMemory> for Room {
    fn from(memory: HeldMemory) -> Self {
        Self(Mutex::new(memory))
    }
}

impl Room {
    /// Moves up to `bytes` to another part of the memory; returns the number moved.
    pub(crate) fn move_to(&self, memory: &mut HeldMemory, bytes: usize) -> usize {
        let mut room = self.0.lock();
        let moved = bytes.min(room.bytes);
        room.bytes -= moved;
        memory.bytes += moved;
        moved
    }

    /// Takes up to `bytes` out of the room.
    #[must_use]
    pub fn split(&self, bytes: usize) -> HeldMemory {
        self.0.lock().split(bytes)
    }

    /// Attaches memory to an answer that exists already: from the room, and more if the answer is larger, also
    /// beyond the limit.
    #[must_use]
    pub fn attach(&self, bytes: Vec<u8>) -> Bytes {
        let capacity = bytes.capacity();
        let mut memory = self.split(capacity);
        memory.take(capacity - memory.bytes());
        memory.into_bytes(bytes)
    }
}
