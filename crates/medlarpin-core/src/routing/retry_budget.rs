use std::time::{Duration, Instant};

/// Limits on retries and hedges of one service: the leaf requests beyond the first one of each
/// request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed for each request within the window.
    pub ratio: f64,
    /// Retries that this daemon may send within the window in addition to the ratio.
    pub reserve: f64,
    /// Parts of the window, from 1 to [`RESERVE_PARTS_MAX`], in each of which at most an equal part
    /// of the reserve is used. A restarted process, which does not know what the previous one sent,
    /// has to wait only for one part.
    pub reserve_parts: u32,
    /// Length of the window.
    pub window: Duration,
}

/// Fraction of a service's retry ratio that a daemon uses. The rest covers retries that fall into
/// another window than their request, and requests that count at two daemons in one window, since
/// their callers moved from one that had spent its budget to another.
pub const RETRY_RATIO_USED: f64 = 0.85;

/// Maximum number of parts into which the window is divided for the reserve.
pub const RESERVE_PARTS_MAX: u32 = 4;
/// Least retries in a part; smaller parts would lose much of the reserve to rounding.
const RESERVE_PART_MIN: f64 = 4.0;

/// Returns the number of parts of the window for a reserve.
#[must_use]
pub fn reserve_parts(reserve: f64) -> u32 {
    (1..=RESERVE_PARTS_MAX)
        .rev()
        .find(|parts| reserve / f64::from(*parts) >= RESERVE_PART_MIN)
        .unwrap_or(1)
}

/// Number of buckets in a window. The current, incomplete bucket is counted in addition to this
/// number of complete ones, so that the limits hold for a window at any position.
const BUCKETS: usize = 80;

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    tick: u64,
    requests: u32,
    retries: u32,
}

/// Budget of the retries and hedges that this daemon may send to a service.
///
/// It depends only on the daemon's own requests, so all daemons together keep the service's limit
/// without coordination.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    origin: Instant,
    buckets: [Bucket; BUCKETS + 1],
}

impl RetryBudget {
    /// Creates the budget of a service without requests so far.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            origin: now,
            buckets: [Bucket::default(); BUCKETS + 1],
        }
    }

    /// Records the first leaf request of a request.
    pub fn record_request(&mut self, limits: &RetryLimits, now: Instant) {
        self.bucket(limits, now).requests += 1;
    }

    /// Takes one retry from the budget; returns false if the limits do not allow it.
    pub fn try_retry(&mut self, limits: &RetryLimits, now: Instant) -> bool {
        let parts = limits.reserve_parts.max(1);
        let part_buckets = BUCKETS.div_ceil(usize::try_from(parts).unwrap_or(1));
        let part_reserve = limits.reserve / f64::from(parts);
        let granted = self.has_room(BUCKETS, limits.reserve, limits, now)
            && (parts == 1 || self.has_room(part_buckets, part_reserve, limits, now));
        if granted {
            self.bucket(limits, now).retries += 1;
        }
        granted
    }

    /// Returns true if one more retry stays within the ratio and `reserve` over the last `buckets`
    /// complete buckets and the current one.
    fn has_room(&self, buckets: usize, reserve: f64, limits: &RetryLimits, now: Instant) -> bool {
        let tick = self.tick(limits, now);
        let recent = self
            .buckets
            .iter()
            .filter(|bucket| bucket.tick + buckets as u64 >= tick);
        let (requests, retries) = recent.fold((0, 0), |(requests, retries), bucket| {
            (requests + bucket.requests, retries + bucket.retries)
        });
        f64::from(retries) + 1.0 <= limits.ratio * f64::from(requests) + reserve
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
        // Tick 0 marks unused buckets, so that they do not count as recent.
        u64::try_from(elapsed_ms / bucket_ms).unwrap_or(u64::MAX - BUCKETS as u64) + 1
    }
}
