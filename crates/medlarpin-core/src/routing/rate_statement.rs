use std::time::Instant;

use super::StatedRate;

/// What a leaf stated to some daemon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateStatement {
    /// What the answer states.
    pub stated: StatedRate,
    /// Time at which the answered request was sent.
    pub asked_at: Instant,
    /// Time at which the answer arrived.
    pub heard_at: Instant,
}
