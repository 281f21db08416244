//! Latencies of the last seconds and the hedge delay derived from them.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::sliding_window::as_micros;

/// Time that a window covers, rounded to whole slices.
pub const WINDOW: Duration = Duration::from_secs(10);
/// Shortest hedge delay; below it, network jitter alone would cause hedges.
pub const HEDGE_DELAY_MIN: Duration = Duration::from_millis(5);

/// Number of slices of a window.
const SLICES: u64 = 5;
/// Longest latency that is told apart; longer ones count as this one.
const LATENCY_MAX_US: u64 = 60_000_000;
/// One significant digit keeps a slice under 2 KB; the values are within a sixteenth.
const SIGNIFICANT_DIGITS: u8 = 1;

#[derive(Debug, Clone)]
struct Slice {
    tick: u64,
    latencies_us: Histogram<u32>,
}

/// Latencies of the last 10 s, in five histograms of constant size.
#[derive(Debug, Clone, Default)]
pub struct LatencyWindow {
    /// Time of the first record; ticks count from it.
    origin: Option<Instant>,
    /// At most `SLICES`; the slot of a tick is its remainder.
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

    /// Returns a quantile, given as a share from 0 to 1; `None` if the window is empty.
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

/// Returns the time after which an unanswered leaf request is sent to another replica as well.
///
/// It is the window's 95th percentile, at least [`HEDGE_DELAY_MIN`] and at most half the time left;
/// the upper limit takes precedence, and it applies alone while nothing has been measured.
#[must_use]
pub fn hedge_delay(window: &LatencyWindow, time_left: Duration, now: Instant) -> Duration {
    hedge_delay_for_p95(window.quantile(0.95, now), time_left)
}

/// Returns the hedge delay for a 95th percentile that is already known.
#[must_use]
pub fn hedge_delay_for_p95(p95: Option<Duration>, time_left: Duration) -> Duration {
    let limit = time_left / 2;
    p95.map_or(limit, |p95| p95.max(HEDGE_DELAY_MIN).min(limit))
}

/// Returns the 95th percentile after which a request to a leaf counts as late: the leaf's own or the
/// lower median of its group's, whichever is smaller.
///
/// By its own percentile alone, a leaf that has become slow would be hedged only after its own
/// slowness, which no longer helps the query.
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
