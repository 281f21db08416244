use std::time::{Duration, Instant};

use crate::latency_window::LatencyWindow;

/// Share of answers that arrive before a hedge is sent; the rest is what hedges cost.
const HEDGE_QUANTILE: f64 = 0.9;
/// Shortest hedge delay; below it, network jitter alone would cause hedges.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(4);
/// Longest hedge delay, as a share of the target latency; a later hedge rarely answers in time.
const HEDGE_DELAY_MAX_SHARE: f64 = 0.4;
/// Usual latency before anything is measured, as a share of the target latency.
const TYPICAL_SHARE: f64 = 0.2;
/// Answers from which on the measured latencies are used.
const ANSWERS_MIN: u64 = 20;
/// Age at which the derived figures are computed anew.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// How long the leafs of a route usually take.
#[derive(Debug, Clone)]
pub struct RouteLatency {
    target_latency: Duration,
    latencies: LatencyWindow,
    typical: Duration,
    hedge_delay: Duration,
    refreshed_at: Instant,
}

impl RouteLatency {
    /// Creates the pace of a route of which nothing has been measured.
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

    /// Records the time from a request's first leaf request to its answer.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        self.latencies.record(latency, now);
    }

    /// Returns the median latency of the last seconds.
    pub fn typical(&mut self, now: Instant) -> Duration {
        self.refresh(now);
        self.typical
    }

    /// Returns the time after which an unanswered leaf request is sent to another leaf as well.
    pub fn hedge_delay(&mut self, now: Instant) -> Duration {
        self.refresh(now);
        self.hedge_delay
    }

    fn refresh(&mut self, now: Instant) {
        if now.saturating_duration_since(self.refreshed_at) < REFRESH_INTERVAL {
            return;
        }
        self.refreshed_at = now;
        if self.latencies.count(now) < ANSWERS_MIN {
            return;
        }
        let most = self.target_latency.mul_f64(HEDGE_DELAY_MAX_SHARE);
        if let Some(median) = self.latencies.quantile(0.5, now) {
            self.typical = median;
        }
        if let Some(late) = self.latencies.quantile(HEDGE_QUANTILE, now) {
            self.hedge_delay = late.max(HEDGE_DELAY_MIN).min(most.max(HEDGE_DELAY_MIN));
        }
    }
}
