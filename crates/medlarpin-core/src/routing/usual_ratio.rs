use std::time::{Duration, Instant};

use crate::routing::RatioEvidence;

/// Half-life of an observation. Leafs differ in speed for as long as they run, and a daemon of a large
/// fleet sends a leaf only a few requests a minute.
const HALF_LIFE: Duration = Duration::from_mins(1);
/// Time between two observations for which the second one counts in full, and the greatest weight of
/// one. Many observations of a short slow phase count little.
const FULL_WEIGHT_INTERVAL: Duration = Duration::from_secs(1);
const WEIGHT_MAX: f64 = 3.0;
/// Maximum distance of the logarithm of an observation from the estimate, a factor of 2. Phases in which
/// a leaf is many times slower pass within seconds, and the recent average takes account of them.
const STEP_MAX: f64 = std::f64::consts::LN_2;

/// A leaf's latency ratio over minutes, which tells slower and faster leafs apart.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UsualRatio {
    evidence: RatioEvidence,
    observed_at: Option<Instant>,
}

impl UsualRatio {
    /// Records a latency ratio.
    pub(super) fn observe(&mut self, ratio: f64, now: Instant) {
        let before = self.observed_at.replace(now).unwrap_or(now);
        let elapsed_s = now.saturating_duration_since(before).as_secs_f64();
        let decay = 0.5_f64.powf(elapsed_s / HALF_LIFE.as_secs_f64());
        let weight = (elapsed_s / FULL_WEIGHT_INTERVAL.as_secs_f64()).min(WEIGHT_MAX);
        let known = self.evidence.ratio_among(RatioEvidence::default()).ln();
        let log = ratio
            .max(0.01)
            .ln()
            .clamp(known - STEP_MAX, known + STEP_MAX);
        self.evidence = RatioEvidence {
            weight: self.evidence.weight * decay + weight,
            log_sum: self.evidence.log_sum * decay + weight * log,
        };
    }

    /// Returns the observations.
    pub(super) fn evidence(&self) -> RatioEvidence {
        self.evidence
    }
}
