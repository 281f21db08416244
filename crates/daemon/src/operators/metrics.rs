//! Metrics of the daemon.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Bucket bounds of the latency histograms in seconds; one of them is the 300 ms target.
const LATENCY_BUCKETS_S: [f64; 13] = [
    0.001, 0.002, 0.005, 0.010, 0.020, 0.050, 0.100, 0.150, 0.200, 0.300, 0.500, 1.0, 2.0,
];

/// All metrics of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Time from a query's arrival to its answer in seconds, by team and outcome.
    pub query_seconds: HistogramVec,
    /// Shards that queries asked for, by team.
    pub shards_asked: IntCounterVec,
    /// Shards covered, by team.
    pub shards_covered: IntCounterVec,
    /// Shards not covered, by reason.
    pub shards_uncovered: IntCounterVec,
    /// Queries not run, by team and reason.
    pub refusals: IntCounterVec,
    /// Invalid requests, by error code.
    pub invalid_requests: IntCounterVec,
    /// Leaf requests sent, by kind: first, hedge or retry.
    pub leaf_requests: IntCounterVec,
    /// Replies and results rejected as invalid, for example because they belong to another request,
    /// version or shard.
    pub invalid_replies: IntCounter,
    /// Time that leaf requests waited in the fair queues in seconds, by service.
    pub queue_wait_seconds: HistogramVec,
    /// Batches sent to other daemons, by result.
    pub batches: IntCounterVec,
    /// Revision of the settings in force.
    pub settings_revision: IntGauge,
    /// Seconds since the settings in force were accepted.
    pub settings_age_seconds: IntGauge,
    /// Number of settings paths whose newest text was rejected.
    pub settings_rejected: IntGauge,
    /// Settings trees received with the current revision but a different digest.
    pub settings_conflicts: IntCounter,
    /// Calls made to the platform.
    pub platform_calls: IntGauge,
    /// Members by state.
    pub members: IntGaugeVec,
    /// Open connections to leafs, and the sum of this daemon's connection shares, by kind.
    pub leaf_connections: IntGaugeVec,
    /// Bytes held for callers and other daemons.
    pub held_bytes: IntGauge,
    /// Open connections of callers.
    pub caller_connections: IntGauge,
    /// Slow callers disconnected since the start.
    pub clients_disconnected: IntGauge,
    /// Connections closed at once since the start.
    pub connections_refused: IntGauge,
    /// Requests and results since the start that found no room.
    pub room_denied: IntGauge,
    /// Number of quarantined fingerprints.
    pub quarantined: IntGauge,
    /// Canary requests sent.
    pub canaries: IntCounter,
    /// Ticket events, by event.
    pub tickets: IntCounterVec,
    /// Heartbeat exchanges, by result.
    pub exchanges: IntCounterVec,
    /// Pauses of this process that the daemon detected.
    pub pauses: IntCounter,
    /// Extra requests (hedges and retries) left in the budget, in thousandths, by team.
    pub extra_budget_milli: IntGaugeVec,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if two metrics share a name, which is a programming error.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let r = &registry;
        Ok(Self {
            query_seconds: histogram(r, "query_seconds", "Query latency.", &["team", "outcome"])?,
            shards_asked: counters(r, "shards_asked_total", "Shards asked.", &["team"])?,
            shards_covered: counters(r, "shards_covered_total", "Shards covered.", &["team"])?,
            shards_uncovered: counters(
                r,
                "shards_uncovered_total",
                "Shards not covered.",
                &["reason"],
            )?,
            refusals: counters(r, "refusals_total", "Queries not run.", &["team", "reason"])?,
            invalid_requests: counters(
                r,
                "invalid_requests_total",
                "Invalid requests.",
                &["code"],
            )?,
            leaf_requests: counters(r, "leaf_requests_total", "Leaf requests sent.", &["kind"])?,
            invalid_replies: counter(r, "invalid_replies_total", "Replies not used.")?,
            queue_wait_seconds: histogram(
                r,
                "queue_wait_seconds",
                "Wait in the fair queues.",
                &["service"],
            )?,
            batches: counters(r, "batches_total", "Batches sent to daemons.", &["result"])?,
            settings_revision: gauge(r, "settings_revision", "Settings revision in force.")?,
            settings_age_seconds: gauge(
                r,
                "settings_age_seconds",
                "Time since the settings were accepted.",
            )?,
            settings_rejected: gauge(r, "settings_rejected_paths", "Paths with a rejected text.")?,
            settings_conflicts: counter(
                r,
                "settings_conflicts_total",
                "Trees with a known revision and another digest.",
            )?,
            platform_calls: gauge(r, "platform_calls", "Calls made to the platform.")?,
            members: gauges(r, "members", "Members by state.", &["state"])?,
            leaf_connections: gauges(
                r,
                "leaf_connections",
                "Connections to held leafs.",
                &["kind"],
            )?,
            held_bytes: gauge(r, "held_bytes", "Bytes held for callers and daemons.")?,
            caller_connections: gauge(r, "caller_connections", "Callers' connections.")?,
            clients_disconnected: gauge(r, "clients_disconnected", "Slow callers disconnected.")?,
            connections_refused: gauge(r, "connections_refused", "Connections closed at once.")?,
            room_denied: gauge(r, "room_denied", "Requests and results without room.")?,
            quarantined: gauge(r, "quarantined_fingerprints", "Quarantined fingerprints.")?,
            canaries: counter(r, "canaries_total", "Canary requests sent.")?,
            tickets: counters(r, "tickets_total", "Ticket events.", &["event"])?,
            exchanges: counters(r, "exchanges_total", "Heartbeat exchanges.", &["result"])?,
            pauses: counter(r, "pauses_total", "Detected pauses of this process.")?,
            extra_budget_milli: gauges(
                r,
                "extra_budget_milli",
                "Extra-load tokens left, in thousandths.",
                &["team"],
            )?,
            registry,
        })
    }

    /// Returns the number of refused queries of a team, by reason.
    #[must_use]
    pub fn refusals_of(&self, team: &str) -> Vec<(String, u64)> {
        use prometheus::core::Collector;
        let families = self.refusals.collect();
        let counters = families
            .iter()
            .flat_map(prometheus::proto::MetricFamily::get_metric);
        let of_team = counters.filter_map(|counter| {
            let label = |name| {
                let labels = counter.get_label().iter();
                let mut found = labels.filter(|pair| pair.name() == name);
                found.next().map(prometheus::proto::LabelPair::value)
            };
            let reason = label("reason")?;
            // A counter's value is a whole number far below the range where floats lose precision.
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a counter is a whole number and never negative"
            )]
            let count = counter.get_counter().get_value() as u64;
            (label("team") == Some(team)).then(|| (reason.to_owned(), count))
        });
        of_team.collect()
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

fn full_name(name: &str) -> String {
    format!("medlarpin_{name}")
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
    let metric = IntCounter::new(full_name(name), help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    let metric = IntCounterVec::new(Opts::new(full_name(name), help), labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let metric = IntGauge::new(full_name(name), help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauges(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntGaugeVec, prometheus::Error> {
    let metric = IntGaugeVec::new(Opts::new(full_name(name), help), labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn histogram(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<HistogramVec, prometheus::Error> {
    let options = HistogramOpts::new(full_name(name), help).buckets(LATENCY_BUCKETS_S.to_vec());
    let metric = HistogramVec::new(options, labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
