//! Sliding window of latencies, and the hedge delay derived from it.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::sliding_window::as_micros;

/// Length of a window. Whole slices expire at once, so the actual length varies by up to a slice.
pub const WINDOW: Duration = Duration::from_secs(10);
/// Minimum hedge delay; below it, network jitter alone would trigger hedges.
pub const HEDGE_DELAY_MIN: Duration = Duration::from_millis(5);

/// Number of slices of a window.
const SLICES: u64 = 5;
/// Upper bound of the histogram; longer latencies are recorded as this value.
const LATENCY_MAX_US: u64 = 60_000_000;
/// Precision of the histogram. One significant digit keeps a slice under 2 KB with an error below a
/// sixteenth.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Histogram of one slice of the window.
#[derive(Debug, Clone)]
struct Slice {
    /// Number of the slice, counted from the window's origin.
    tick: u64,
    latencies_us: Histogram<u32>,
}

/// Sliding window over the latencies of the last 10 s, as five histograms of constant size.
#[derive(Debug, Clone, Default)]
pub struct LatencyWindow {
    /// Time of the first recorded latency; ticks are counted from it.
    origin: Option<Instant>,
    /// At most `SLICES` slices. A slice is reused for the tick that is `SLICES` later.
    slices: Vec<Slice>,
}

impl LatencyWindow {
    /// Creates an empty window.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a latency.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        let origin = *self.origin.get_or_insert(now);
        let tick = tick_of(origin, now);
        let us = as_micros(latency).max(1);
        let slot = self
            .slices
            .iter()
            .position(|slice| slice.tick % SLICES == tick % SLICES);
        let Some(slice) = slot.and_then(|slot| self.slices.get_mut(slot)) else {
            let mut latencies_us = new_histogram();
            latencies_us.saturating_record(us);
            self.slices.push(Slice { tick, latencies_us });
            return;
        };
        if slice.tick != tick {
            slice.tick = tick;
            slice.latencies_us.reset();
        }
        slice.latencies_us.saturating_record(us);
    }

    /// Returns the number of latencies in the window.
    #[must_use]
    pub fn count(&self, now: Instant) -> u64 {
        self.recent(now).map(Histogram::len).sum()
    }

    /// Returns a quantile from 0 to 1 of the latencies; `None` if the window is empty.
    #[must_use]
    pub fn quantile(&self, quantile: f64, now: Instant) -> Option<Duration> {
        let mut recent = self.recent(now);
        let mut merged = recent.next()?.clone();
        for histogram in recent {
            // All histograms have the same bounds, so adding cannot fail.
            merged.add(histogram).ok()?;
        }
        Some(Duration::from_micros(merged.value_at_quantile(quantile)))
    }

    fn recent(&self, now: Instant) -> impl Iterator<Item = &Histogram<u32>> {
        let tick = self.origin.map_or(0, |origin| tick_of(origin, now));
        let recent = move |slice: &&Slice| slice.tick <= tick && tick - slice.tick < SLICES;
        self.slices
            .iter()
            .filter(recent)
            .map(|slice| &slice.latencies_us)
    }
}

/// Returns the time after which an unanswered leaf request is hedged.
///
/// It is the window's 95th percentile, at least [`HEDGE_DELAY_MIN`] and at most half of the time
/// left. The upper bound takes precedence, and it is the hedge delay of an empty window.
#[must_use]
pub fn hedge_delay(window: &LatencyWindow, time_left: Duration, now: Instant) -> Duration {
    hedge_delay_for_p95(window.quantile(0.95, now), time_left)
}

/// Returns the hedge delay for a known 95th percentile; see [`hedge_delay`].
#[must_use]
pub fn hedge_delay_for_p95(p95: Option<Duration>, time_left: Duration) -> Duration {
    let limit = time_left / 2;
    p95.map_or(limit, |p95| p95.max(HEDGE_DELAY_MIN).min(limit))
}

/// Returns the 95th percentile from which a leaf's hedge delay is derived: the leaf's own one or
/// the lower median of its group's, whichever is smaller.
///
/// With its own percentile alone, requests to a leaf that has become slow would be hedged too late
/// to help the query.
#[must_use]
pub fn hedge_threshold(own: Option<Duration>, mut group: Vec<Duration>) -> Option<Duration> {
    group.sort_unstable();
    let middle = group.len().saturating_sub(1) / 2;
    own.into_iter().chain(group.get(middle).copied()).min()
}

fn tick_of(origin: Instant, now: Instant) -> u64 {
    let slice_ms = WINDOW.as_millis() / u128::from(SLICES);
    let elapsed_ms = now.saturating_duration_since(origin).as_millis();
    u64::try_from(elapsed_ms / slice_ms).unwrap_or(u64::MAX)
}

fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, LATENCY_MAX_US, SIGNIFICANT_DIGITS)
        .expect("the constant bounds and precision are valid")
}
