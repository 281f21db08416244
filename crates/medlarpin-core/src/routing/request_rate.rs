/// A number of requests per second, finite and at least 0.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate; `None` if the number is negative or not finite.
    #[must_use]
    pub fn new(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then_some(Self(per_s))
    }

    /// Returns the rate in requests per second.
    #[must_use]
    pub fn per_s(self) -> f64 {
        self.0
    }
}
