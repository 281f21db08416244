use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

const NANOS_PER_MS: f64 = 1e6;

/// A duration, serialized as fractional milliseconds with nanosecond precision.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(from = "f64", into = "f64")]
pub struct Millis(pub Duration);

impl From<f64> for Millis {
    fn from(ms: f64) -> Self {
        let rounded = (ms * NANOS_PER_MS).round() / 1e9;
        Self(Duration::try_from_secs_f64(rounded).unwrap_or_default())
    }
}

impl From<Millis> for f64 {
    fn from(ms: Millis) -> Self {
        ms.0.as_nanos() as Self / NANOS_PER_MS
    }
}

/// A time in milliseconds relative to the start of a trace.
///
/// It is negative for an earlier time, which the state of a leaf can refer to when recording
/// starts.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SignedMillis(pub f64);

/// Converts between instants and times of a trace.
#[derive(Debug, Clone, Copy)]
pub struct Timeline {
    start: Instant,
}

impl Timeline {
    /// Creates the timeline of a trace that starts at `start`.
    #[must_use]
    pub fn new(start: Instant) -> Self {
        Self { start }
    }

    /// Returns the instant of a time of the trace.
    #[must_use]
    pub fn instant(&self, at: Millis) -> Instant {
        self.start + at.0
    }

    /// Returns the time since the start of the trace, or zero for an earlier instant.
    #[must_use]
    pub fn millis(&self, at: Instant) -> Millis {
        Millis(at.saturating_duration_since(self.start))
    }

    /// Returns the time since the start of the trace in whole milliseconds, as used in outcomes.
    #[must_use]
    pub fn whole_ms(&self, at: Instant) -> u64 {
        u64::try_from(self.millis(at).0.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the time relative to the start of the trace, negative for an earlier instant.
    #[must_use]
    pub fn signed_millis(&self, at: Instant) -> SignedMillis {
        let after = f64::from(self.millis(at));
        let before = f64::from(Millis(self.start.saturating_duration_since(at)));
        SignedMillis(after - before)
    }

    /// Returns the instant of a signed time, or the start of the trace if the clock cannot
    /// represent the instant.
    #[must_use]
    pub fn instant_at_signed(&self, at: SignedMillis) -> Instant {
        if at.0 >= 0.0 {
            return self.instant(Millis::from(at.0));
        }
        let before = Millis::from(-at.0).0;
        self.start.checked_sub(before).unwrap_or(self.start)
    }
}
