//! Latencies of one leaf as its holder sees them.

use medlarpin_core::latency_window::LatencyWindow;
use medlarpin_core::prelude::*;

/// Merging the window's histograms for each request would cost more than a slightly older percentile.
const P95_AGE: Duration = Duration::from_millis(100);

/// Times of all requests to a leaf, answered or not.
///
/// A leaf that does not answer at all records no answer's latency, so requests that were given up
/// count with the time until then, and those in flight with their age.
#[derive(Debug, Default)]
pub struct LeafLatency {
    window: LatencyWindow,
    /// When the requests in flight were sent, oldest first.
    in_flight: Vec<Instant>,
    /// The latest 95th percentile and when it was computed.
    p95: Option<(Instant, Option<Duration>)>,
}

impl LeafLatency {
    /// Records that a request was sent.
    pub fn sent(&mut self, now: Instant) {
        self.in_flight.push(now);
    }

    /// Records that a request ended, with or without an answer.
    pub fn ended(&mut self, sent_at: Instant, now: Instant) {
        self.discard(sent_at);
        self.window
            .record(now.saturating_duration_since(sent_at), now);
    }

    /// Forgets a request that was never sent after all, or that the leaf refused at once.
    pub fn discard(&mut self, sent_at: Instant) {
        if let Some(index) = self.in_flight.iter().position(|at| *at == sent_at) {
            self.in_flight.remove(index);
        }
    }

    /// Returns the 95th percentile, at most [`P95_AGE`] old.
    pub fn p95(&mut self, now: Instant) -> Option<Duration> {
        if let Some((at, p95)) = self.p95
            && now.saturating_duration_since(at) < P95_AGE
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
