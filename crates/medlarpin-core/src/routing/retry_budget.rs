use std::time::{Duration, Instant};

/// Limits on the leaf requests beyond the first of each caller's request, for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Repeats for each request within the window.
    pub ratio: f64,
    /// Repeats of this daemon within the window, beside those of the ratio.
    pub reserve: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Number of buckets of a window. The current bucket and all whole ones are counted, so that a
/// window of any position holds at most what was counted.
const BUCKETS: usize = 20;

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    tick: u64,
    requests: u32,
    repeats: u32,
}

/// This daemon's share of the repeats that a service may get.
///
/// The share follows from the daemon's own requests, so the shares of all daemons together keep the
/// limit of the service without messages.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    origin: Instant,
    buckets: [Bucket; BUCKETS + 1],
}

impl RetryBudget {
    /// Creates the budget of a service that has had no requests.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            origin: now,
            buckets: [Bucket::default(); BUCKETS + 1],
        }
    }

    /// Counts a request's first leaf request.
    pub fn record_request(&mut self, limits: &RetryLimits, now: Instant) {
        self.bucket(limits, now).requests += 1;
    }

    /// Takes one repeat if the limits allow it.
    pub fn try_retry(&mut self, limits: &RetryLimits, now: Instant) -> bool {
        let tick = self.tick(limits, now);
        let recent = self
            .buckets
            .iter()
            .filter(|bucket| bucket.tick + BUCKETS as u64 >= tick);
        let (requests, repeats) = recent.fold((0, 0), |(requests, repeats), bucket| {
            (requests + bucket.requests, repeats + bucket.repeats)
        });
        let allowed = limits.ratio * f64::from(requests) + limits.reserve;
        let granted = f64::from(repeats) + 1.0 <= allowed;
        if granted {
            self.bucket(limits, now).repeats += 1;
        }
        granted
    }

    fn bucket(&mut self, limits: &RetryLimits, now: Instant) -> &mut Bucket {
        let tick = self.tick(limits, now);
        let slot = usize::try_from(tick % self.buckets.len() as u64).unwrap_or(0);
        let bucket = &mut self.buckets[slot];
        if bucket.tick != tick {
            *bucket = Bucket {
                tick,
                ..Bucket::default()
            };
        }
        bucket
    }

    fn tick(&self, limits: &RetryLimits, now: Instant) -> u64 {
        let bucket_ms = (limits.window.as_millis() / BUCKETS as u128).max(1);
        let elapsed_ms = now.saturating_duration_since(self.origin).as_millis();
        // Ticks start at 1, so that buckets that were never used do not count as recent.
        u64::try_from(elapsed_ms / bucket_ms).unwrap_or(u64::MAX - BUCKETS as u64) + 1
    }
}
