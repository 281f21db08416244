//! Sliding window with the count, sum, minimum and maximum of the last second.

use std::time::{Duration, Instant};

/// Number of buckets of a window.
const BUCKETS: usize = 10;
/// Length of one bucket; 10 buckets cover one second.
const BUCKET_MS: u128 = 100;

/// Aggregate of the values recorded within one interval of [`BUCKET_MS`].
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// Number of the interval, counted from the window's origin.
    tick: u64,
    count: u64,
    sum: u64,
    min: u64,
    max: u64,
}

/// Aggregates over the last second in buckets of 100 ms, with constant memory.
#[derive(Debug, Clone, Default)]
pub struct SlidingWindow {
    /// Time of the first recorded value; ticks are counted from it.
    origin: Option<Instant>,
    buckets: [Bucket; BUCKETS],
}

impl SlidingWindow {
    /// Creates an empty window.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a value.
    pub fn record(&mut self, value: u64, now: Instant) {
        let origin = *self.origin.get_or_insert(now);
        let tick = tick_of(origin, now);
        let bucket = &mut self.buckets[bucket_index(tick)];
        if bucket.count == 0 || bucket.tick != tick {
            *bucket = Bucket {
                tick,
                min: value,
                ..Bucket::default()
            };
        }
        bucket.count += 1;
        bucket.sum = bucket.sum.saturating_add(value);
        bucket.min = bucket.min.min(value);
        bucket.max = bucket.max.max(value);
    }

    /// Returns the number of values in the window.
    #[must_use]
    pub fn count(&self, now: Instant) -> u64 {
        self.recent(now).map(|bucket| bucket.count).sum()
    }

    /// Returns the sum of the values in the window; saturates.
    #[must_use]
    pub fn sum(&self, now: Instant) -> u64 {
        self.recent(now)
            .fold(0, |sum, bucket| sum.saturating_add(bucket.sum))
    }

    /// Returns the smallest value in the window; `None` if it is empty.
    #[must_use]
    pub fn min(&self, now: Instant) -> Option<u64> {
        self.recent(now).map(|bucket| bucket.min).min()
    }

    /// Returns the largest value in the window; `None` if it is empty.
    #[must_use]
    pub fn max(&self, now: Instant) -> Option<u64> {
        self.recent(now).map(|bucket| bucket.max).max()
    }

    fn recent(&self, now: Instant) -> impl Iterator<Item = &Bucket> {
        let tick = self.origin.map_or(0, |origin| tick_of(origin, now));
        self.buckets.iter().filter(move |bucket| {
            bucket.count > 0 && bucket.tick <= tick && tick - bucket.tick < BUCKETS as u64
        })
    }
}

/// Returns the duration in whole microseconds; saturates.
#[must_use]
pub fn as_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn tick_of(origin: Instant, now: Instant) -> u64 {
    let elapsed_ms = now.saturating_duration_since(origin).as_millis();
    u64::try_from(elapsed_ms / BUCKET_MS).unwrap_or(u64::MAX)
}

fn bucket_index(tick: u64) -> usize {
    usize::try_from(tick % BUCKETS as u64).unwrap_or(0)
}
