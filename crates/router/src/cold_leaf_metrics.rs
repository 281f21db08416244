use prometheus::{IntCounter, IntGauge, Registry};

/// Prometheus metrics of cold leafs.
#[derive(Debug)]
pub(crate) struct ColdLeafMetrics {
    requests: IntCounter,
    requests_denied: IntCounter,
    pub(crate) leafs: IntGauge,
}

impl ColdLeafMetrics {
    /// Creates and registers the metrics.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let metrics = Self {
            requests: IntCounter::new(
                "medlarpin_cold_leaf_requests_total",
                "Requests and health checks sent to cold leafs",
            )?,
            requests_denied: IntCounter::new(
                "medlarpin_cold_leaf_requests_denied_total",
                "Requests to cold leafs that were held back when they were about to be sent",
            )?,
            leafs: IntGauge::new(
                "medlarpin_cold_leafs",
                "Leafs that are cold and get few requests",
            )?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.requests_denied.clone()))?;
        registry.register(Box::new(metrics.leafs.clone()))?;
        Ok(metrics)
    }

    /// Counts a request that was about to be sent.
    pub(crate) fn record_request(&self, is_sent: bool) {
        if is_sent {
            self.requests.inc();
        } else {
            self.requests_denied.inc();
        }
    }
}
