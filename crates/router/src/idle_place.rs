use std::sync::Arc;

use crate::connection_place::ConnectionPlace;

/// The place of an idle connection, which is returned when the pool closes the connection by dropping this.
#[derive(Debug)]
pub(crate) struct IdlePlace {
    place: Arc<ConnectionPlace>,
    is_reused: bool,
}

impl IdlePlace {
    pub(crate) fn new(place: Arc<ConnectionPlace>) -> Self {
        Self {
            place,
            is_reused: false,
        }
    }

    /// Keeps the place for a connection that is used again.
    pub(crate) fn reuse(mut self) -> Arc<ConnectionPlace> {
        self.is_reused = true;
        Arc::clone(&self.place)
    }
}

impl Drop for IdlePlace {
    fn drop(&mut self) {
        if !self.is_reused {
            self.place.give_back();
        }
    }
}
