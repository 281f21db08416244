//! Counters of the connections and requests of a leaf.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Number of recent runs kept, which bounds the memory of long benchmarks; tests stay far below it.
const MAX_RUNS: usize = 50_000;

/// A search request that a leaf began to process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Identifier of the attempt.
    pub request_id: String,
    /// Team named in the request.
    pub team: String,
    /// Query text.
    pub query: String,
    /// Shard searched.
    pub shard: u32,
    /// Index version searched.
    pub index_version: u64,
    /// Time at which processing began.
    pub at: Instant,
}

#[derive(Debug, Default)]
pub(super) struct Counter(AtomicU64);

impl Counter {
    /// Increments the counter and returns its previous value.
    pub(super) fn add_one(&self) -> u64 {
        self.0.fetch_add(1, Ordering::Relaxed)
    }

    pub(super) fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Current and highest number of connections or requests.
#[derive(Debug, Default)]
pub(super) struct Gauge {
    current: AtomicU64,
    peak: AtomicU64,
}

impl Gauge {
    /// Adds one until the returned guard is dropped.
    pub(super) fn enter(self: &Arc<Self>) -> GaugeGuard {
        let current = self.current.fetch_add(1, Ordering::AcqRel) + 1;
        self.peak.fetch_max(current, Ordering::AcqRel);
        GaugeGuard {
            gauge: Arc::clone(self),
            current,
        }
    }

    pub(super) fn current(&self) -> u64 {
        self.current.load(Ordering::Acquire)
    }

    pub(super) fn peak(&self) -> u64 {
        self.peak.load(Ordering::Acquire)
    }
}

#[derive(Debug)]
pub(super) struct GaugeGuard {
    gauge: Arc<Gauge>,
    /// Value of the gauge when this guard was created, including this guard.
    pub(super) current: u64,
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.gauge.current.fetch_sub(1, Ordering::AcqRel);
    }
}

#[derive(Debug)]
pub(super) struct Counters {
    pub(super) requests: Counter,
    pub(super) version_gone: Counter,
    pub(super) rejected_connections: Counter,
    pub(super) cancelled: Counter,
    pub(super) crashes: Counter,
    pub(super) connections: Arc<Gauge>,
    pub(super) in_flight: Arc<Gauge>,
    run_count: Counter,
    runs: Mutex<VecDeque<Run>>,
    last_request_at: Mutex<Option<Instant>>,
    seed: u64,
}

impl Counters {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            requests: Counter::default(),
            version_gone: Counter::default(),
            rejected_connections: Counter::default(),
            cancelled: Counter::default(),
            crashes: Counter::default(),
            connections: Arc::default(),
            in_flight: Arc::default(),
            run_count: Counter::default(),
            runs: Mutex::default(),
            last_request_at: Mutex::default(),
            seed,
        }
    }

    pub(super) fn record_request(&self) {
        self.requests.add_one();
        *self.last_request_at.lock() = Some(Instant::now());
    }

    pub(super) fn last_request_at(&self) -> Option<Instant> {
        *self.last_request_at.lock()
    }

    /// Records a run and returns its number, from 0.
    pub(super) fn record_run(&self, run: Run) -> u64 {
        let mut runs = self.runs.lock();
        if runs.len() == MAX_RUNS {
            runs.pop_front();
        }
        runs.push_back(run);
        self.run_count.add_one()
    }

    pub(super) fn runs(&self) -> Vec<Run> {
        self.runs.lock().iter().cloned().collect()
    }

    pub(super) fn run_count(&self) -> u64 {
        self.run_count.count()
    }

    /// Returns the service time of a run: 0.8 times the mean plus an exponential tail that adds 0.2
    /// times the mean on average. The seed and the run's number determine the value.
    pub(super) fn service_time(&self, mean: Duration, run: u64) -> Duration {
        let random = split_mix_64(self.seed ^ run.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        // The upper 53 bits are the precision of an `f64`; adding one avoids the logarithm of zero.
        let uniform = ((random >> 11) + 1) as f64 / (1_u64 << 53) as f64;
        mean.mul_f64(0.8 - 0.2 * uniform.ln())
    }
}

/// Output function of the SplitMix64 generator.
fn split_mix_64(mut value: u64) -> u64 {
    value = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}
