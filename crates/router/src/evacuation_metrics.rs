use prometheus::{IntCounter, IntGauge, Registry};

/// Metrics of evacuated failure domains.
#[derive(Debug)]
pub(crate) struct EvacuationMetrics {
    pub(crate) domains: IntGauge,
    /// Requests and health checks that were about to be written and were not.
    pub(crate) unsent_requests: IntCounter,
    pub(crate) invalid_keys: IntCounter,
}

impl EvacuationMetrics {
    /// Creates and registers the metrics.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let metrics = Self {
            domains: IntGauge::new("medlarpin_evacuated_domains", "Evacuated failure domains")?,
            unsent_requests: IntCounter::new(
                "medlarpin_evacuated_requests_total",
                "Requests that were not sent, because the failure domain of their leaf had just been evacuated",
            )?,
            invalid_keys: IntCounter::new(
                "medlarpin_invalid_evacuations_total",
                "Keys of evacuations that name no failure domain, counted at each read of the store",
            )?,
        };
        registry.register(Box::new(metrics.domains.clone()))?;
        registry.register(Box::new(metrics.unsent_requests.clone()))?;
        registry.register(Box::new(metrics.invalid_keys.clone()))?;
        Ok(metrics)
    }
}
