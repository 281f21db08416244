use std::time::Duration;

use client_connections::ClientGroups;
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use crate::attempt_result::LeafFailure;
use crate::build_info::COMMIT;
use crate::client_metrics::ClientMetrics;
use crate::cold_leaf_metrics::ColdLeafMetrics;
use crate::evacuation_metrics::EvacuationMetrics;
use crate::refusal::Refusal;

/// Upper bounds of the latency buckets in seconds, densest around the target latencies of 60 ms to
/// 600 ms.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.02, 0.04, 0.06, 0.1, 0.15, 0.3, 0.6, 1.2, 2.5, 5.0,
];

/// Prometheus metrics of the daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    answer_latency: HistogramVec,
    refusals: IntCounterVec,
    pub(crate) missing_shards: IntCounter,
    pub(crate) leaf_requests: IntCounter,
    leaf_failures: IntCounterVec,
    pub(crate) hedges: IntCounter,
    pub(crate) delegated: IntCounter,
    pub(crate) handed_over: IntCounter,
    pub(crate) hedges_denied: IntCounter,
    pub(crate) retries_denied: IntCounter,
    leaf_permits: IntCounter,
    pub(crate) cold_leafs: ColdLeafMetrics,
    leaf_permits_denied: IntCounter,
    pub(crate) lost_leafs_counted: IntCounter,
    pub(crate) lost_leafs_dismissed: IntCounter,
    pub(crate) store_calls: IntCounter,
    pub(crate) store_failures: IntCounter,
    pub(crate) config_version: IntGauge,
    pub(crate) leafs: IntGauge,
    pub(crate) evacuation: EvacuationMetrics,
    clients: ClientMetrics,
    gather_latency: Histogram,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let latency = HistogramOpts::new(
            "medlarpin_answer_seconds",
            "Time from a caller's request to its answer",
        )
        .buckets(LATENCY_BUCKETS_S.to_vec());
        let gather = HistogramOpts::new(
            "medlarpin_gather_seconds",
            "Time from a query over many shards to its merged answer",
        )
        .buckets(LATENCY_BUCKETS_S.to_vec());
        let counter = |name: &str, help: &str| -> Result<IntCounter, prometheus::Error> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge, prometheus::Error> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        register_build(&registry)?;
        let metrics = Self {
            answer_latency: HistogramVec::new(latency, &["route"])?,
            gather_latency: Histogram::with_opts(gather)?,
            refusals: IntCounterVec::new(
                Opts::new(
                    "medlarpin_refusals_total",
                    "Requests without a leaf's answer",
                ),
                &["reason"],
            )?,
            leaf_failures: IntCounterVec::new(
                Opts::new("medlarpin_leaf_failures_total", "Failed leaf requests"),
                &["failure"],
            )?,
            missing_shards: counter(
                "medlarpin_missing_shards_total",
                "Shards that answers do not cover",
            )?,
            leaf_requests: counter("medlarpin_leaf_requests_total", "Requests sent to leafs")?,
            hedges: counter("medlarpin_hedges_total", "Hedged leaf requests")?,
            delegated: counter(
                "medlarpin_delegated_queries_total",
                "Queries sent to another daemon, which gathers them",
            )?,
            handed_over: counter(
                "medlarpin_handed_over_requests_total",
                "Requests sent to another daemon, because this VM does not reach their leafs",
            )?,
            hedges_denied: counter(
                "medlarpin_hedges_denied_total",
                "Hedges that the repeat limit prevented",
            )?,
            leaf_permits: counter(
                "medlarpin_leaf_permits_total",
                "Requests of other daemons that this daemon permitted to leafs with a low rate",
            )?,
            leaf_permits_denied: counter(
                "medlarpin_leaf_permits_denied_total",
                "Requests of other daemons that this daemon did not permit",
            )?,
            cold_leafs: ColdLeafMetrics::new(&registry)?,
            retries_denied: counter(
                "medlarpin_retries_denied_total",
                "Retries that the repeat limit prevented",
            )?,
            lost_leafs_counted: counter(
                "medlarpin_lost_leafs_counted_total",
                "Leafs that ended under a request, which counts against it",
            )?,
            lost_leafs_dismissed: counter(
                "medlarpin_lost_leafs_dismissed_total",
                "Leafs lost under a request that do not count against it",
            )?,
            store_calls: counter("medlarpin_store_calls_total", "Calls to the store")?,
            store_failures: counter(
                "medlarpin_store_failures_total",
                "Failed calls to the store",
            )?,
            config_version: gauge("medlarpin_config_version", "Version in force")?,
            leafs: gauge("medlarpin_leafs", "Published leafs")?,
            evacuation: EvacuationMetrics::new(&registry)?,
            clients: ClientMetrics::new(&registry)?,
            registry,
        };
        metrics
            .registry
            .register(Box::new(metrics.answer_latency.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.gather_latency.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.refusals.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.leaf_failures.clone()))?;
        Ok(metrics)
    }

    pub(crate) fn record_answer(&self, route: &str, elapsed: Duration) {
        self.answer_latency
            .with_label_values(&[route])
            .observe(elapsed.as_secs_f64());
    }

    pub(crate) fn record_gather(&self, elapsed: Duration) {
        self.gather_latency.observe(elapsed.as_secs_f64());
    }

    pub(crate) fn record_refusal(&self, refusal: Refusal) {
        self.refusals.with_label_values(&[refusal.as_str()]).inc();
    }

    /// Counts the answer to another daemon that asked for a permit.
    pub(crate) fn record_permit(&self, is_permitted: bool) {
        if is_permitted {
            self.leaf_permits.inc();
        } else {
            self.leaf_permits_denied.inc();
        }
    }

    pub(crate) fn record_leaf_failure(&self, failure: LeafFailure) {
        self.leaf_failures
            .with_label_values(&[failure.as_str()])
            .inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode(&self, clients: &ClientGroups) -> Result<String, prometheus::Error> {
        self.clients.update(clients);
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

/// Registers the metric that names the build.
fn register_build(registry: &Registry) -> Result<(), prometheus::Error> {
    let options = Opts::new(
        "medlarpin_build_info",
        "Always 1; the label has the commit of the build",
    );
    let build = IntGauge::with_opts(options.const_label("commit", COMMIT))?;
    build.set(1);
    registry.register(Box::new(build))
}
