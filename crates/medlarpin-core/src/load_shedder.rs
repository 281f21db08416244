//! Load shedding: refuses whole queries while their shards are refused because of overload.
//!
//! Otherwise, an overloaded service runs some shards of every query, so its leafs are at capacity
//! but almost no answer is complete. Running fewer queries completely makes better use of the
//! capacity.

use std::time::{Duration, Instant};

/// Interval at which the admitted share is adjusted; equal to the latency target, because the
/// effect of a change is visible only after it.
pub const INTERVAL: Duration = Duration::from_millis(300);

/// Percentage of refused shards above which the share is reduced. A single overloaded leaf causes
/// fewer refusals in most queries; leaving its shards uncovered is better than refusing the
/// queries.
pub const REFUSED_PERCENT_MAX: u64 = 10;

/// Minimum share of admitted queries, so that the end of the overload is detected.
pub const SHARE_MIN: f64 = 0.05;

/// Factor by which the share grows in each interval without overload. The share of a service at
/// twice its capacity recovers to 1 within 1 s, and the minimum share within 3 s.
const GROWTH_FACTOR: f64 = 1.5;

/// Lower bound of the factor by which the share is reduced in one interval.
const REDUCTION_FACTOR_MIN: f64 = 0.5;

/// Load shedder for one team's queries to one service.
#[derive(Debug, Clone)]
pub struct LoadShedder {
    /// Percentage of refused shards above which the share is reduced.
    refused_percent_max: u64,
    /// Share of queries admitted, from [`SHARE_MIN`] to 1.
    share: f64,
    interval_start: Instant,
    refused: u64,
    total: u64,
}

impl LoadShedder {
    /// Creates a load shedder that admits all queries.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self::with_limit(REFUSED_PERCENT_MAX, now)
    }

    /// Creates a load shedder that admits all queries, and reduces the share above this percentage
    /// of refused shards.
    #[must_use]
    pub fn with_limit(refused_percent_max: u64, now: Instant) -> Self {
        Self {
            refused_percent_max,
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

    /// Records the shards of a query: those refused because of overload, and the total.
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
        // Intervals without queries count as well, so that the share recovers while no queries arrive.
        let mut without_overload = (elapsed.as_secs_f64() / INTERVAL.as_secs_f64()).floor();
        if self.refused * 100 > self.total * self.refused_percent_max {
            let accepted = 1.0 - self.refused as f64 / self.total as f64;
            self.share = (self.share * accepted.max(REDUCTION_FACTOR_MIN)).max(SHARE_MIN);
            without_overload -= 1.0;
        }
        self.share = (self.share * GROWTH_FACTOR.powf(without_overload)).min(1.0);
        self.interval_start = now;
        (self.refused, self.total) = (0, 0);
    }
}
