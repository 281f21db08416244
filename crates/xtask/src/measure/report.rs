//! Results of the scenarios as tables in Markdown.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::error::MeasureError;
use super::load::{Outcome, Record};
use super::usage::Usage;

/// Highest p99 of the generator's lateness at which the planned load counts as offered.
const LATENESS_LIMIT: Duration = Duration::from_millis(5);

/// The result of one scenario.
#[derive(Debug, Default)]
pub(super) struct Report {
    /// Name of the scenario.
    pub(super) title: &'static str,
    /// What the table compares, in one sentence.
    pub(super) shows: String,
    /// Sizes and load.
    pub(super) setup: String,
    /// Variants, a baseline before its candidate.
    pub(super) rows: Vec<Row>,
    /// Pairs of indices into `rows`: candidate and baseline.
    pub(super) ratios: Vec<(usize, usize)>,
    /// Further results.
    pub(super) notes: Vec<String>,
    /// Reasons why a run is invalid.
    pub(super) warnings: Vec<String>,
}

/// The result of one variant.
#[derive(Debug)]
pub(super) struct Row {
    variant: String,
    /// Latencies in microseconds of the complete, partial and unknown answers.
    latencies: Histogram<u64>,
    /// Number of queries by outcome.
    outcomes: [usize; 6],
    queries: usize,
    /// Covered shards divided by the shards of all planned queries, including those not sent.
    coverage: f64,
    /// Leaf requests divided by the shards of the queries counted in `latencies`.
    leaf_requests: f64,
    usage: Option<Usage>,
    lateness_p99: Duration,
}

impl Row {
    /// Evaluates a variant's queries; `usage` holds the counters' increase over the same time.
    pub(super) fn new(
        variant: impl Into<String>,
        records: &[Record],
        shards: u32,
        usage: Option<Usage>,
    ) -> Result<Self, MeasureError> {
        let mut latencies = Histogram::new_with_bounds(1, 60_000_000, 3)?;
        let mut outcomes = [0; 6];
        let mut lateness: Vec<Duration> = records.iter().map(|record| record.lateness).collect();
        lateness.sort_unstable();
        for record in records {
            outcomes[record.outcome as usize] += 1;
            if was_admitted(record.outcome) {
                let micros = u64::try_from(record.latency.as_micros()).unwrap_or(u64::MAX);
                latencies.saturating_record(micros);
            }
        }
        let shards = shards as usize;
        let covered: usize = records.iter().map(|record| record.covered).sum();
        let asked = records
            .iter()
            .filter(|record| was_admitted(record.outcome))
            .count()
            * shards;
        let received = usage.as_ref().map(Usage::total_leaf_requests);
        Ok(Self {
            variant: variant.into(),
            latencies,
            outcomes,
            queries: records.len(),
            coverage: covered as f64 / (records.len() * shards) as f64,
            leaf_requests: received.map_or(f64::NAN, |received| received as f64 / asked as f64),
            usage,
            lateness_p99: lateness
                .get(lateness.len() * 99 / 100)
                .copied()
                .unwrap_or_default(),
        })
    }

    /// Returns a latency quantile in milliseconds.
    pub(super) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the number of queries with an outcome.
    pub(super) fn count(&self, outcome: Outcome) -> usize {
        self.outcomes[outcome as usize]
    }

    /// Returns the counters' increase over the variant's run.
    pub(super) fn usage(&self) -> Option<&Usage> {
        self.usage.as_ref()
    }

    /// Returns the number of queries, including those that the generator left out.
    pub(super) fn queries(&self) -> usize {
        self.queries
    }

    /// Returns why the run is invalid; refusals make it invalid only where none are expected.
    pub(super) fn warnings(&self, refusals_expected: bool) -> Vec<String> {
        let mut warnings = Vec::new();
        let variant = &self.variant;
        if self.lateness_p99 > LATENESS_LIMIT {
            let late_ms = self.lateness_p99.as_secs_f64() * 1_000.0;
            warnings.push(format!(
                "{variant}: the generator was late by {late_ms:.1} ms at p99"
            ));
        }
        let not_sent = self.count(Outcome::NotSent);
        if not_sent > 0 {
            warnings.push(format!(
                "{variant}: the generator left out {not_sent} queries"
            ));
        }
        let refused = self.count(Outcome::NotRun);
        if refused > 0 && !refusals_expected {
            warnings.push(format!("{variant}: {refused} refusals in steady state"));
        }
        warnings
    }

    /// Returns the numeric cells, from the latencies to the queue wait, of which ratios are formed.
    fn figures(&self) -> [f64; 8] {
        let per_query = |value: fn(&Usage) -> f64| {
            let usage = self.usage.as_ref();
            usage.map_or(f64::NAN, |usage| value(usage) / self.queries as f64)
        };
        let queue_wait_ms = |usage: &Usage| usage.queue_wait_s / usage.queue_waits * 1_000.0;
        [
            self.quantile_ms(0.5),
            self.quantile_ms(0.99),
            self.quantile_ms(0.999),
            self.coverage,
            self.leaf_requests,
            per_query(|usage| usage.batches),
            per_query(|usage| usage.processor_s * 1_000.0),
            self.usage.as_ref().map_or(f64::NAN, queue_wait_ms),
        ]
    }
}

/// Decimal places of the figures.
const PLACES: [usize; 8] = [2, 2, 2, 4, 3, 2, 3, 3];

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "| {} | {} ", self.variant, self.queries)?;
        for (figure, places) in self.figures().into_iter().zip(PLACES) {
            write_figure(f, figure, places)?;
        }
        let busiest_to_mean = self.usage.as_ref().map_or(f64::NAN, Usage::busiest_to_mean);
        write_figure(f, busiest_to_mean, 2)?;
        let [complete, partial, not_run, unknown, lost, _not_sent] = self.outcomes;
        writeln!(
            f,
            "| {complete} / {partial} / {not_run} / {unknown} / {lost} |"
        )
    }
}

fn was_admitted(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Complete | Outcome::Partial | Outcome::Unknown
    )
}

fn write_figure(f: &mut fmt::Formatter<'_>, figure: f64, places: usize) -> fmt::Result {
    if figure.is_finite() {
        write!(f, "| {figure:.places$} ")
    } else {
        write!(f, "| - ")
    }
}

const HEADER: &str = "\
| variant | queries | p50 ms | p99 ms | p99.9 ms | coverage | leaf requests per shard \
| batches per query | processor ms per query | queue wait ms | busiest leaf / mean \
| complete / partial / not_run / unknown / lost |
|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|
";

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "## {}\n\n{}\n\n{}\n", self.title, self.shows, self.setup)?;
        f.write_str(HEADER)?;
        for row in &self.rows {
            row.fmt(f)?;
        }
        for (candidate, baseline) in &self.ratios {
            let (candidate, baseline) = (&self.rows[*candidate], &self.rows[*baseline]);
            write!(f, "| ratio {} / {} | ", candidate.variant, baseline.variant)?;
            for (candidate, baseline) in candidate.figures().iter().zip(baseline.figures()) {
                write_figure(f, candidate / baseline, 3)?;
            }
            writeln!(f, "| | |")?;
        }
        writeln!(f)?;
        for note in &self.notes {
            writeln!(f, "- {note}")?;
        }
        for warning in &self.warnings {
            writeln!(f, "- WARNING, the run does not count: {warning}.")?;
        }
        Ok(())
    }
}

/// Returns the introduction: command, seed, machine and how to read the tables.
pub(super) fn preamble(seed: u64) -> String {
    let cores = std::thread::available_parallelism().map_or(0, std::num::NonZero::get);
    let memory = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let memory_kb = memory
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))
        .and_then(|rest| rest.trim().strip_suffix(" kB")?.parse::<f64>().ok());
    let memory_gib = memory_kb.unwrap_or(f64::NAN) / f64::from(1 << 20);
    format!(
        "# Measurements\n\n\
         Command: `cargo xtask measure --seed {seed}`. Seed: {seed}. \
         Machine: {cores} cores, {memory_gib:.0} GiB of memory.\n\n\
         All parts run on loopback: fakes and load generator in one process, each daemon in its own. \
         Arrivals are open-loop with exponential gaps; latency counts from the planned arrival. \
         Latencies are those of answers that are not refusals. Coverage is the share of the shards of \
         all queries sent; leaf requests are those the leafs received, per shard of queries that were \
         not refused. Processor time is that of all daemons together. With fewer than 1,000 queries \
         the p99.9 is the slowest one.\n"
    )
}
