//! Counters of the daemons and the leafs, and their increase over a run.

use stand_ins::prelude::FakeLeaf;

use super::error::MeasureError;
use super::fleet::Fleet;
use super::load::get;

/// Clock ticks a second in `/proc/<pid>/stat`; Linux fixes it at 100 for user programs.
const TICKS_PER_S: f64 = 100.0;

/// Sums over all daemons, and the requests that each leaf received.
#[derive(Debug, Clone, Default)]
pub(super) struct Usage {
    /// Processor time of the daemons in seconds.
    pub(super) processor_s: f64,
    /// Batches between daemons.
    pub(super) batches: f64,
    /// First leaf requests sent.
    pub(super) first: f64,
    /// Hedges and retries sent.
    pub(super) extra: f64,
    /// Total wait in the fair queues in seconds.
    pub(super) queue_wait_s: f64,
    /// Number of waits in the fair queues.
    pub(super) queue_waits: f64,
    /// Search requests received by each leaf, in the deployment's order of leafs.
    pub(super) leaf_requests: Vec<u64>,
}

impl Usage {
    /// Reads all counters.
    pub(super) async fn read(fleet: &Fleet) -> Result<Self, MeasureError> {
        let mut usage = Self {
            leaf_requests: fleet.deployment().leafs().map(FakeLeaf::requests).collect(),
            ..Self::default()
        };
        for daemon in fleet.daemons() {
            let name = || daemon.name().to_owned();
            let id = daemon
                .process_id()
                .ok_or_else(|| MeasureError::Operator(name()))?;
            usage.processor_s += processor_time_s(id)?;
            let reply = get(fleet.client(), daemon.operator_address(), "/metrics").await;
            let text = reply.ok_or_else(|| MeasureError::Operator(name()))?.1;
            usage.batches += sum_metric(&text, "medlarpin_batches_total", "");
            let of_kind = |kind| sum_metric(&text, "medlarpin_leaf_requests_total", kind);
            usage.first += of_kind("kind=\"first\"");
            usage.extra += of_kind("kind=\"hedge\"") + of_kind("kind=\"retry\"");
            usage.queue_wait_s += sum_metric(&text, "medlarpin_queue_wait_seconds_sum", "");
            usage.queue_waits += sum_metric(&text, "medlarpin_queue_wait_seconds_count", "");
        }
        Ok(usage)
    }

    /// Returns the increase since an earlier reading of the same processes.
    pub(super) fn since(&self, earlier: &Self) -> Self {
        Self {
            processor_s: self.processor_s - earlier.processor_s,
            batches: self.batches - earlier.batches,
            first: self.first - earlier.first,
            extra: self.extra - earlier.extra,
            queue_wait_s: self.queue_wait_s - earlier.queue_wait_s,
            queue_waits: self.queue_waits - earlier.queue_waits,
            leaf_requests: leaf_requests_since(&self.leaf_requests, &earlier.leaf_requests),
        }
    }

    /// Returns the search requests received by all leafs.
    pub(super) fn total_leaf_requests(&self) -> u64 {
        self.leaf_requests.iter().sum()
    }

    /// Returns the ratio of the busiest leaf's requests to the mean of all leafs.
    pub(super) fn busiest_to_mean(&self) -> f64 {
        let busiest = self.leaf_requests.iter().copied().max().unwrap_or(0);
        let mean = self.total_leaf_requests() as f64 / self.leaf_requests.len().max(1) as f64;
        busiest as f64 / mean
    }
}

fn leaf_requests_since(now: &[u64], earlier: &[u64]) -> Vec<u64> {
    now.iter()
        .zip(earlier)
        .map(|(now, then)| now - then)
        .collect()
}

/// Sums those samples of a metric whose labels contain the text `label`.
pub(super) fn sum_metric(text: &str, name: &str, label: &str) -> f64 {
    let value = |line: &str| {
        let rest = line.strip_prefix(name)?;
        let is_whole_name = rest.starts_with('{') || rest.starts_with(' ');
        let (labels, value) = rest.rsplit_once(' ')?;
        (is_whole_name && labels.contains(label)).then(|| value.parse::<f64>().ok())?
    };
    text.lines().filter_map(value).sum()
}

/// Reads the sum of a process's user and system time, in seconds.
fn processor_time_s(process: u32) -> Result<f64, MeasureError> {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    parse_stat(&text).ok_or(MeasureError::ProcessorTime(process))
}

/// Parses the sum of user and system time in seconds from `/proc/<pid>/stat`; the fields after the
/// program's name start at number 3.
pub(super) fn parse_stat(text: &str) -> Option<f64> {
    let (_, fields) = text.rsplit_once(") ")?;
    let mut fields = fields.split(' ').skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_S)
}
