//! Latencies of one leaf as measured by its holder.

use medlarpin_core::latency_window::LatencyWindow;
use medlarpin_core::prelude::*;

/// Maximum age of the cached percentile; merging the window's histograms for each request would be
/// too expensive.
const P95_MAX_AGE: Duration = Duration::from_millis(100);

/// Latencies of all requests to a leaf, answered or not.
///
/// A leaf that stops answering would leave no latencies to measure. So a request that was given up
/// counts with the time until then, and a request in flight counts with its age.
#[derive(Debug, Default)]
pub struct LeafLatency {
    window: LatencyWindow,
    /// Send times of the requests in flight, oldest first.
    in_flight: Vec<Instant>,
    /// The cached 95th percentile and when it was computed.
    p95: Option<(Instant, Option<Duration>)>,
}

impl LeafLatency {
    /// Records that a request was sent.
    pub fn sent(&mut self, now: Instant) {
        self.in_flight.push(now);
    }

    /// Records the latency of a request that was answered or given up.
    pub fn record(&mut self, sent_at: Instant, now: Instant) {
        self.discard(sent_at);
        self.window
            .record(now.saturating_duration_since(sent_at), now);
    }

    /// Removes a request without recording a latency, because it was not sent or the leaf shed it.
    pub fn discard(&mut self, sent_at: Instant) {
        if let Some(index) = self.in_flight.iter().position(|at| *at == sent_at) {
            self.in_flight.remove(index);
        }
    }

    /// Returns the 95th percentile, at most [`P95_MAX_AGE`] old.
    pub fn p95(&mut self, now: Instant) -> Option<Duration> {
        if let Some((at, p95)) = self.p95
            && now.saturating_duration_since(at) < P95_MAX_AGE
        {
            return p95;
        }
        let p95 = self.window.quantile(0.95, now);
        self.p95 = Some((now, p95));
        p95
    }

    /// Returns the 95th percentile or the age of the oldest request in flight, whichever is longer.
    pub fn effective(&mut self, now: Instant) -> Option<Duration> {
        let age = self.in_flight.first();
        let age = age.map(|sent_at| now.saturating_duration_since(*sent_at));
        self.p95(now).max(age)
    }
}
