use std::time::Instant;

use crate::routing::StatedLoad;

/// A leaf's statement of its load, and when it was heard.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadStatement {
    /// What the leaf stated.
    pub stated: StatedLoad,
    /// When this daemon received the statement.
    pub heard_at: Instant,
}
