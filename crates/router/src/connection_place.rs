use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

/// One of the connections that this daemon may have open to a leaf.
///
/// The task of the connection returns it at its end. The pool returns it earlier when it closes a connection that is
/// idle: the task has nothing left to write, and closes the socket when it runs next.
#[derive(Debug)]
pub(crate) struct ConnectionPlace {
    /// Number of places that are taken.
    taken: Arc<AtomicU32>,
    /// True once `taken` no longer counts the place.
    is_returned: AtomicBool,
}

impl ConnectionPlace {
    /// Takes a place unless `connections_max` are taken.
    pub(crate) fn take(taken: &Arc<AtomicU32>, connections_max: u32) -> Option<Arc<Self>> {
        if taken.fetch_add(1, Ordering::Relaxed) >= connections_max {
            taken.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        Some(Arc::new(Self {
            taken: Arc::clone(taken),
            is_returned: AtomicBool::new(false),
        }))
    }

    /// Returns the place; further calls have no effect.
    pub(crate) fn give_back(&self) {
        if !self.is_returned.swap(true, Ordering::Relaxed) {
            self.taken.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.give_back();
    }
}
