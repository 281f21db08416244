use std::time::{Duration, Instant};

use crate::routing::LoadStatement;

/// Half-life of what a statement says. The queue of a leaf is another one after some requests.
const HALF_LIFE: Duration = Duration::from_millis(200);
/// Weight of a statement in the average of the leaf's statements.
const USUAL_WEIGHT: f64 = 0.02;
/// Maximum deviation of a statement from the average, as a logarithm; a factor of 4.5.
const DEVIATION_MAX: f64 = 1.5;
/// Maximum difference of an answer's latency from the expected one that counts, as a logarithm.
const SURPRISE_MAX: f64 = 2.0;
/// Trust in a leaf whose answers have not shown anything yet, and its weight as a sum of squared
/// deviations. In the model of `tests/routing_balance.rs`, a leaf that states random numbers costs nothing
/// measurable at this trust.
const INITIAL_TRUST: f64 = 0.5;
const INITIAL_WEIGHT: f64 = 2.0;
/// Factor by which older observations count less with each answer, so that the last 500 or so count.
const MEMORY: f64 = 0.998;

/// How far a leaf's statements of its load foretell the latency of its answers, and the latest one.
///
/// Only the deviation of a statement from the leaf's average statement counts, so a leaf that always
/// states the same neither gains nor loses requests. The deviation counts as far as it has foretold
/// latencies: the slope of their regression on it, which tends to 0 for a leaf that states nonsense.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StatementTrust {
    latest: Option<LoadStatement>,
    /// Average of the logarithms of the stated ratios; `None` without a statement.
    usual_log: Option<f64>,
    /// Deviation of the latest statement, within `DEVIATION_MAX`.
    deviation: f64,
    /// Sum of the products of deviations and surprises.
    products: f64,
    /// Sum of the squared deviations; at least 0.
    squares: f64,
}

impl StatementTrust {
    /// Records a statement.
    pub(super) fn record(&mut self, statement: LoadStatement) {
        let log = statement.stated.expected_ratio().ln();
        let usual = self.usual_log.unwrap_or(log);
        self.deviation = (log - usual).clamp(-DEVIATION_MAX, DEVIATION_MAX);
        self.usual_log = Some(usual + (log - usual) * USUAL_WEIGHT);
        self.latest = Some(statement);
    }

    /// Returns the latest statement.
    pub(super) fn latest(&self) -> Option<LoadStatement> {
        self.latest
    }

    /// Returns the deviation of the latest statement from the average, which decays to 0.
    pub(super) fn deviation(&self, now: Instant) -> f64 {
        let Some(latest) = self.latest else {
            return 0.0;
        };
        let age = now.saturating_duration_since(latest.heard_at);
        self.deviation * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Records the latency of a request, as a multiple of what was expected without the statements;
    /// `deviation` is the one at the time when it was sent.
    pub(super) fn observe(&mut self, deviation: f64, latency_ratio: f64) {
        let surprise = latency_ratio.max(0.01).ln();
        let surprise = surprise.clamp(-SURPRISE_MAX, SURPRISE_MAX);
        self.products = self.products * MEMORY + deviation * surprise;
        self.squares = self.squares * MEMORY + deviation * deviation;
    }

    /// Returns the share of a deviation that is believed, from 0 to 1.
    pub(super) fn trust(&self) -> f64 {
        let believed = self.products + INITIAL_WEIGHT * INITIAL_TRUST;
        (believed / (self.squares + INITIAL_WEIGHT)).clamp(0.0, 1.0)
    }

    /// Returns the factor on the expected latency that follows from the statements.
    pub(super) fn factor(&self, now: Instant) -> f64 {
        (self.trust() * self.deviation(now)).exp()
    }
}
