use std::iter::Sum;

/// Weight, in observations, of the average of a service's leafs in the estimate of one of them.
const SERVICE_WEIGHT: f64 = 3.0;

/// Latency ratios observed over a long time, as a weighted sum of their logarithms.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RatioEvidence {
    /// Sum of the weights; finite and at least 0.
    pub(super) weight: f64,
    /// Sum of the weighted logarithms; finite.
    pub(super) log_sum: f64,
}

impl RatioEvidence {
    /// Returns the average of the logarithms; 0 without observations.
    pub(super) fn log_mean(self) -> f64 {
        if self.weight > 0.0 {
            self.log_sum / self.weight
        } else {
            0.0
        }
    }

    /// Returns the latency ratio of a leaf with this evidence, drawn towards the average of its
    /// service as long as there is little.
    pub(super) fn ratio_among(self, service: Self) -> f64 {
        let log_sum = self.log_sum + SERVICE_WEIGHT * service.log_mean();
        (log_sum / (self.weight + SERVICE_WEIGHT)).exp()
    }
}

impl Sum for RatioEvidence {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::default(), |sum, part| Self {
            weight: sum.weight + part.weight,
            log_sum: sum.log_sum + part.log_sum,
        })
    }
}
