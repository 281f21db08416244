use std::time::Instant;

use super::{RequestRate, StatedRate};

/// The limit that a leaf states for the rate of requests from all daemons together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LeafRateLimit {
    /// `None` while the leaf states no limit.
    limit: Option<Limit>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Limit {
    rate: RequestRate,
    /// Time at which the leaf last stated the limit.
    stated_at: Instant,
}

impl LeafRateLimit {
    /// Records what the leaf stated in its answer to a request that was sent at `sent_at`. Returns
    /// true if the limit started, changed or ended.
    ///
    /// An answer ends the limit only if its request was sent after the limit was last stated, since
    /// answers can overtake each other.
    pub fn record(&mut self, stated: StatedRate, sent_at: Instant, now: Instant) -> bool {
        match (stated, &mut self.limit) {
            (StatedRate::Limited(rate), Some(limit)) => {
                let is_changed = limit.rate != rate;
                limit.rate = rate;
                limit.stated_at = now;
                is_changed
            }
            (StatedRate::Limited(rate), None) => {
                self.limit = Some(Limit {
                    rate,
                    stated_at: now,
                });
                true
            }
            (StatedRate::Unlimited, Some(limit)) if limit.stated_at <= sent_at => {
                self.limit = None;
                true
            }
            (StatedRate::Unlimited | StatedRate::Unreadable, _) => false,
        }
    }

    /// Returns the rate that the leaf states for all daemons together, if it states one.
    #[must_use]
    pub fn stated(&self) -> Option<RequestRate> {
        self.limit.map(|limit| limit.rate)
    }
}
