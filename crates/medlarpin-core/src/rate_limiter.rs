//! Token bucket that enforces a team's rate limit.

use std::time::{Duration, Instant};

use crate::team_share::{LEASE_DURATION, UNITS_PER_QUERY};

/// Capacity of the bucket as time at the current rate, but at least one query.
const BURST: Duration = Duration::from_millis(100);
/// Tokens of one query. One rate unit, a thousandth of a query per second, adds one token per
/// nanosecond.
const TOKENS_PER_QUERY: u128 = UNITS_PER_QUERY as u128 * 1_000_000_000;

/// Token bucket whose rate follows the rate units that are currently available.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    tokens: u128,
    refilled_at: Instant,
    rate_units: u64,
}

impl RateLimiter {
    /// Creates an empty bucket, so that a restart does not allow a burst.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 0,
            refilled_at: now,
            rate_units: 0,
        }
    }

    /// Takes the tokens of one query.
    ///
    /// # Errors
    ///
    /// Returns the time until a query can be admitted at the current rate.
    pub fn try_take(&mut self, now: Instant, rate_units: u64) -> Result<(), Duration> {
        self.refill(now, rate_units);
        if let Some(rest) = self.tokens.checked_sub(TOKENS_PER_QUERY) {
            self.tokens = rest;
            return Ok(());
        }
        let missing = TOKENS_PER_QUERY - self.tokens;
        // Without any rate units, the next lease is the earliest time at which that can change.
        let wait_ns = missing.div_ceil(u128::from(rate_units.max(1)));
        let wait = u64::try_from(wait_ns).map_or(Duration::MAX, Duration::from_nanos);
        Err(if rate_units == 0 {
            LEASE_DURATION
        } else {
            wait
        })
    }

    /// Returns true if a query would be admitted now.
    pub fn would_admit(&mut self, now: Instant, rate_units: u64) -> bool {
        self.refill(now, rate_units);
        self.tokens >= TOKENS_PER_QUERY
    }

    /// Adds the tokens for the elapsed time and changes the rate.
    ///
    /// The elapsed time counts at the lower of the old and the new rate, because units that were
    /// just borrowed were used by another daemon before.
    pub fn refill(&mut self, now: Instant, rate_units: u64) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let rate = u128::from(self.rate_units.min(rate_units));
        let limit = (u128::from(rate_units) * BURST.as_nanos()).max(TOKENS_PER_QUERY);
        self.tokens = (self.tokens + rate * elapsed.as_nanos()).min(limit);
        self.refilled_at = self.refilled_at.max(now);
        self.rate_units = rate_units;
    }
}
