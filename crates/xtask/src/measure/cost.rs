//! Processor time of the daemons and batches between them, by the number of shards.

use std::time::{Duration, Instant};

use super::Context;
use super::error::MeasureError;
use super::fleet::{Fleet, FleetConfig, TEAM};
use super::load::Load;
use super::report::{Report, Row};
use super::steady::run_load;
use super::usage::Usage;

/// Number of shards, which is also that of leafs, and queries a second. The rates keep the leaf
/// requests a second at the same order of magnitude.
const SIZES: [(u32, f64); 3] = [(10, 300.0), (100, 60.0), (540, 12.0)];
/// Seconds of each run.
const RUN_S: u64 = 3;
/// Time over which the processor time of the idle daemons is measured.
const IDLE_DURATION: Duration = Duration::from_millis(1_500);

/// Straight line through the costs as a function of the number of shards.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Fit {
    /// Cost at 0 shards.
    pub(super) fixed: f64,
    /// Cost of one shard.
    pub(super) per_shard: f64,
    /// Largest distance of a point from the line, relative to the point's cost.
    pub(super) largest_residual: f64,
}

/// Fits a line by least squares of the relative residuals, so that small sizes weigh as much as
/// large ones. At least two points must differ in their shards, and no cost may be 0.
pub(super) fn fit(points: &[(f64, f64)]) -> Fit {
    let sum = |value: fn(f64, f64) -> f64| -> f64 {
        points
            .iter()
            .map(|(shards, cost)| value(*shards, *cost) / (cost * cost))
            .sum()
    };
    let (weights, shards) = (sum(|_, _| 1.0), sum(|shards, _| shards));
    let (costs, squares) = (sum(|_, cost| cost), sum(|shards, _| shards * shards));
    let products = sum(|shards, cost| shards * cost);
    let per_shard = (weights * products - shards * costs) / (weights * squares - shards * shards);
    let fixed = (costs - per_shard * shards) / weights;
    let residual = |(shards, cost): &(f64, f64)| (cost - fixed - per_shard * shards).abs() / cost;
    Fit {
        fixed,
        per_shard,
        largest_residual: points.iter().map(residual).fold(0.0, f64::max),
    }
}

/// Measures the cost of a query with 10, 100 and 540 shards on as many leafs.
pub(super) async fn cost(context: &Context) -> Result<Report, MeasureError> {
    let mut report = Report {
        title: "Cost of the daemons",
        shows: "Processor time of all daemons and batches between them for each query, by the number \
                of shards, with direct fan-out and with owners."
            .to_owned(),
        setup: "6 daemons, as many leafs of 4 slots and 2 ms as shards, 2 replicas; 300, 60 and 12 \
                queries/s with 10, 100 and 540 shards. The costs of the fit leave out the processor \
                time of idle daemons; one batch is one request and one reply."
            .to_owned(),
        ratios: vec![(3, 0), (4, 1), (5, 2)],
        ..Report::default()
    };
    for routing in ["direct", "owners"] {
        let (mut processor, mut batches) = (Vec::new(), Vec::new());
        for (shards, rate_per_s) in SIZES {
            let (processor_ms, batch_count) =
                measure(context, routing, shards, rate_per_s, &mut report).await?;
            processor.push((f64::from(shards), processor_ms));
            batches.push((f64::from(shards), batch_count));
        }
        let line = fit(&processor);
        report.notes.push(format!(
            "{routing}: processor ms per query = {:.3} + {:.4} x shards, largest residual {:.1}%.",
            line.fixed,
            line.per_shard,
            line.largest_residual * 100.0
        ));
        if batches.iter().all(|(_, count)| *count > 0.0) {
            let line = fit(&batches);
            report.notes.push(format!(
                "{routing}: batches per query = {:.2} + {:.4} x shards, largest residual {:.1}%.",
                line.fixed,
                line.per_shard,
                line.largest_residual * 100.0
            ));
        }
    }
    Ok(report)
}

/// Measures one size and returns processor milliseconds and batches per query.
async fn measure(
    context: &Context,
    routing: &str,
    shards: u32,
    rate_per_s: f64,
    report: &mut Report,
) -> Result<(f64, f64), MeasureError> {
    let config = FleetConfig::new(shards as usize, shards, 4, 2).with_setting("routing", routing);
    let fleet = Fleet::start(context, config).await?;
    let before = Usage::read(&fleet).await?;
    let idle_started_at = Instant::now();
    tokio::time::sleep(IDLE_DURATION).await;
    let idle = Usage::read(&fleet).await?.since(&before);
    let idle_share = idle.processor_s / idle_started_at.elapsed().as_secs_f64();
    let load = Load::new(TEAM, rate_per_s, RUN_S, context.seed);
    let started_at = Instant::now();
    let (records, usage) = run_load(&fleet, load).await?;
    // Duration of the load without its warm-up.
    let busy_s = started_at.elapsed().as_secs_f64() - 1.0;
    let queries = records.len() as f64;
    let processor_ms = (usage.processor_s - idle_share * busy_s) * 1_000.0 / queries;
    let batches = usage.batches / queries;
    report.notes.push(format!(
        "{routing}, {shards} shards: {processor_ms:.3} ms of processor time per query, {:.1} us per \
         shard; an idle daemon uses {:.2}% of a core.",
        processor_ms * 1_000.0 / f64::from(shards),
        idle_share * 100.0 / fleet.daemons().len() as f64
    ));
    let row = Row::new(
        format!("{routing}, {shards}"),
        &records,
        shards,
        Some(usage),
    )?;
    report.warnings.extend(row.warnings(false));
    report.rows.push(row);
    Ok((processor_ms, batches))
}
