use std::time::{Duration, Instant};

use crate::latency_window::LatencyWindow;

/// Quantile of the latency after which a hedge is sent; the requests above it are the extra load.
const HEDGE_QUANTILE: f64 = 0.9;
/// Minimum hedge delay; below it, network jitter alone would trigger hedges.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(4);
/// Maximum hedge delay, as a share of the target latency; a later hedge rarely answers in time.
const HEDGE_DELAY_MAX_SHARE: f64 = 0.4;
/// Typical latency before enough answers were measured, as a share of the target latency.
const TYPICAL_SHARE: f64 = 0.2;
/// Number of answers in the window from which the measured latencies are used.
const MIN_ANSWERS: u64 = 20;
/// Interval at which the derived latencies are recomputed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// Typical latency of a route's leafs and the hedge delay derived from it.
#[derive(Debug, Clone)]
pub struct RouteLatency {
    target_latency: Duration,
    latencies: LatencyWindow,
    typical: Duration,
    hedge_delay: Duration,
    refreshed_at: Instant,
}

impl RouteLatency {
    /// Creates the estimate of a route without measurements.
    #[must_use]
    pub fn new(target_latency: Duration, now: Instant) -> Self {
        Self {
            target_latency,
            latencies: LatencyWindow::new(),
            typical: target_latency.mul_f64(TYPICAL_SHARE),
            hedge_delay: target_latency.mul_f64(HEDGE_DELAY_MAX_SHARE),
            refreshed_at: now,
        }
    }

    /// Records the latency of a request, from its first leaf request to the answer.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        self.latencies.record(latency, now);
    }

    /// Returns the median latency over the last 10 s, or a share of the target latency until enough
    /// answers were measured.
    pub fn typical(&mut self, now: Instant) -> Duration {
        self.refresh(now);
        self.typical
    }

    /// Returns the time after which an unanswered leaf request is hedged.
    pub fn hedge_delay(&mut self, now: Instant) -> Duration {
        self.refresh(now);
        self.hedge_delay
    }

    fn refresh(&mut self, now: Instant) {
        if now.saturating_duration_since(self.refreshed_at) < REFRESH_INTERVAL {
            return;
        }
        self.refreshed_at = now;
        if self.latencies.count(now) < MIN_ANSWERS {
            return;
        }
        let max = self.target_latency.mul_f64(HEDGE_DELAY_MAX_SHARE);
        if let Some(median) = self.latencies.quantile(0.5, now) {
            self.typical = median;
        }
        if let Some(quantile) = self.latencies.quantile(HEDGE_QUANTILE, now) {
            self.hedge_delay = quantile.max(HEDGE_DELAY_MIN).min(max.max(HEDGE_DELAY_MIN));
        }
    }
}
