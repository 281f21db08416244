//! Refusal of whole queries while their shards are refused for overload.
//!
//! Without it, an overloaded service runs a part of each query: all leafs work at capacity and
//! almost no answer is complete. Fewer queries that run whole use the same capacity better.

use std::time::{Duration, Instant};

/// Time over which results are collected before the share changes; the latency target, because the
/// results of a change arrive only after it.
pub const INTERVAL: Duration = Duration::from_millis(300);

/// Refused shards in a hundred above which the share falls. A single overloaded leaf stays below it
/// in most queries, and its shards are better left uncovered than whole queries refused.
pub const REFUSED_PERCENT_MAX: u64 = 10;

/// Least share of queries admitted, so that the end of the overload is noticed.
pub const SHARE_MIN: f64 = 0.05;

/// Rise of the share in each interval without overload, as a factor; the share that twice the
/// capacity leads to is back at 1 within 1 s, and the least one within 3 s.
const RISE: f64 = 1.5;

/// Largest fall of the share in one interval, as a factor.
const FALL_MIN: f64 = 0.5;

/// Share of one team's queries to one service that is admitted.
#[derive(Debug, Clone)]
pub struct LoadShedder {
    /// From [`SHARE_MIN`] to 1.
    share: f64,
    interval_start: Instant,
    refused: u64,
    total: u64,
}

impl LoadShedder {
    /// Creates an open gate.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            share: 1.0,
            interval_start: now,
            refused: 0,
            total: 0,
        }
    }

    /// Decides whether a query is admitted; `random` is uniform in [0, 1).
    pub fn admits(&mut self, random: f64, now: Instant) -> bool {
        self.advance(now);
        random < self.share
    }

    /// Records a query's shards: how many were refused for overload, and how many were asked.
    pub fn record(&mut self, refused: u64, total: u64, now: Instant) {
        self.advance(now);
        self.refused += refused;
        self.total += total;
    }

    /// Returns the share of queries admitted.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.share
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.interval_start);
        if elapsed < INTERVAL {
            return;
        }
        if self.refused * 100 > self.total * REFUSED_PERCENT_MAX {
            let kept = 1.0 - self.refused as f64 / self.total as f64;
            self.share = (self.share * kept.max(FALL_MIN)).max(SHARE_MIN);
        } else {
            // Idle intervals count as well, so a gate does not stay closed after its last query.
            let intervals = elapsed.as_secs_f64() / INTERVAL.as_secs_f64();
            self.share = (self.share * RISE.powf(intervals.floor())).min(1.0);
        }
        self.interval_start = now;
        (self.refused, self.total) = (0, 0);
    }
}
