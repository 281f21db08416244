use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The descriptors that connections of several kinds share.
#[derive(Debug, Clone)]
pub struct Sockets(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    open: AtomicUsize,
    open_max: usize,
}

impl Sockets {
    /// Creates a count of which nothing is used.
    #[must_use]
    pub fn new(open_max: usize) -> Self {
        Self(Arc::new(Inner {
            open: AtomicUsize::new(0),
            open_max,
        }))
    }

    /// Counts a connection until the result is dropped; `None` if too many are open.
    #[must_use]
    pub fn open(&self) -> Option<OpenSocket> {
        let socket = OpenSocket(self.clone());
        let before = self.0.open.fetch_add(1, Ordering::Relaxed);
        (before < self.0.open_max).then_some(socket)
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.0.open.load(Ordering::Relaxed)
    }

    /// Returns the limit of [`Self::open_count`].
    #[must_use]
    pub fn open_max(&self) -> usize {
        self.0.open_max
    }

    /// Returns true if so many are open that idle ones should be closed.
    #[must_use]
    pub fn are_short(&self) -> bool {
        self.open_count() > self.0.open_max / 8 * 7
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub struct OpenSocket(Sockets);

impl Drop for OpenSocket {
    fn drop(&mut self) {
        self.0.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
