//! Scenarios whose load and faults stay the same throughout a run.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use stand_ins::prelude::TeamConfig;

use super::Context;
use super::error::MeasureError;
use super::fleet::{Fleet, FleetConfig, TEAM};
use super::load::{self, Load, Record, Texts};
use super::report::{Report, Row};
use super::usage::Usage;

/// Seconds of load before the measured run, in which latency windows fill and slow starts finish.
const WARM_UP_S: u64 = 1;
/// Seconds of most measured runs.
const RUN_S: u64 = 6;
/// Seconds of the loud-neighbour scenario's runs; longer, since the quiet team sends few queries a
/// second.
const LOUD_RUN_S: u64 = 8;
/// Target for the ratio of the quiet team's p99 beside a loud team to its p99 alone.
const FAIRNESS_TARGET: f64 = 1.2;

/// Sends a load after a warm-up and returns its queries and the counters' increase during it.
pub(super) async fn run_load(
    fleet: &Fleet,
    load: Load,
) -> Result<(Vec<Record>, Usage), MeasureError> {
    let (balancer, never_stop) = (Arc::new(fleet.balancer()), Arc::default());
    let mut warm_up = load.clone();
    warm_up.phases.truncate(1);
    warm_up.phases[0].duration = Duration::from_secs(WARM_UP_S);
    warm_up.seed = !load.seed;
    load::run(fleet.client(), &balancer, warm_up, &never_stop).await;
    let before = Usage::read(fleet).await?;
    let records = load::run(fleet.client(), &balancer, load, &never_stop).await;
    Ok((records, Usage::read(fleet).await?.since(&before)))
}

async fn measure(
    context: &Context,
    variant: &str,
    config: FleetConfig,
    load: Load,
    prepare: impl FnOnce(&Fleet),
) -> Result<Row, MeasureError> {
    let fleet = Fleet::start(context, config).await?;
    prepare(&fleet);
    let (records, usage) = run_load(&fleet, load).await?;
    Row::new(variant, &records, fleet.shards(), Some(usage))
}

fn compare(
    title: &'static str,
    shows: &str,
    setup: String,
    baseline: Row,
    candidate: Row,
) -> Report {
    let mut warnings = baseline.warnings(false);
    warnings.extend(candidate.warnings(false));
    Report {
        title,
        shows: shows.to_owned(),
        setup,
        rows: vec![baseline, candidate],
        ratios: vec![(1, 0)],
        notes: Vec::new(),
        warnings,
    }
}

/// Compares routing through owners with direct fan-out, without faults.
pub(super) async fn steady(context: &Context) -> Result<Report, MeasureError> {
    let config = FleetConfig::new(24, 24, 4, 2);
    let load = Load::new(TEAM, 300.0, RUN_S, context.seed);
    let direct = config.clone().with_setting("routing", "direct");
    let baseline = measure(context, "direct", direct, load.clone(), |_fleet| {}).await?;
    let owners = config.with_setting("routing", "owners");
    let candidate = measure(context, "owners", owners, load, |_fleet| {}).await?;
    Ok(compare(
        "Steady load",
        "Routing through the owners of leaf groups against direct fan-out from every daemon.",
        "6 daemons, 24 leafs of 4 slots and 2 ms, 24 shards, 2 replicas; 300 queries/s.".to_owned(),
        baseline,
        candidate,
    ))
}

/// Compares hedging on and off, with one slow leaf.
pub(super) async fn straggler(context: &Context) -> Result<Report, MeasureError> {
    // The leaf must be slow without being overloaded: its share of 80 queries/s needs about 8 of the
    // 10 connections that its holder may open.
    let config = FleetConfig::new(24, 24, 16, 2);
    let load = Load::new(TEAM, 80.0, RUN_S, context.seed);
    let slow_down = |fleet: &Fleet| {
        let leaf = fleet.deployment().leafs().next();
        if let Some(leaf) = leaf {
            leaf.update_faults(|faults| faults.extra_delay = Duration::from_millis(100));
        }
    };
    let off = config.clone().with_setting("hedging", false);
    let baseline = measure(context, "hedging off", off, load.clone(), slow_down).await?;
    let on = config.with_setting("hedging", true);
    let candidate = measure(context, "hedging on", on, load, slow_down).await?;
    let extra = candidate.usage().map(|usage| usage.extra / usage.first);
    let mut report = compare(
        "One straggling leaf",
        "Hedging on against off while one of 24 leafs is slower by 100 ms.",
        "6 daemons, 24 leafs of 16 slots and 2 ms, 24 shards, 2 replicas; 80 queries/s.".to_owned(),
        baseline,
        candidate,
    );
    report.notes.push(format!(
        "Hedges and retries per first leaf request with hedging: {:.4}; the budget allows 0.05.",
        extra.unwrap_or(f64::NAN)
    ));
    Ok(report)
}

/// Compares the canary on and off, with a distinct text in each query.
pub(super) async fn canary(context: &Context) -> Result<Report, MeasureError> {
    let config = FleetConfig::new(24, 24, 4, 2);
    let mut load = Load::new(TEAM, 200.0, RUN_S, context.seed);
    load.texts = Texts::Distinct;
    let off = config.clone().with_setting("canary", false);
    let baseline = measure(context, "canary off", off, load.clone(), |_fleet| {}).await?;
    let on = config.with_setting("canary", true);
    let candidate = measure(context, "canary on", on, load, |_fleet| {}).await?;
    let cost_ms = |quantile| candidate.quantile_ms(quantile) - baseline.quantile_ms(quantile);
    let note = format!(
        "The canary costs {:.2} ms at p50 and {:.2} ms at p99.",
        cost_ms(0.5),
        cost_ms(0.99)
    );
    let mut report = compare(
        "Canary",
        "The canary on against off for queries of which none was proven before.",
        "6 daemons, 24 leafs of 4 slots and 2 ms, 24 shards, 2 replicas; 200 queries/s.".to_owned(),
        baseline,
        candidate,
    );
    report.notes.push(note);
    Ok(report)
}

const QUIET: &str = "quiet";
const LOUD: &str = "loud";
/// Rate limit of the loud team in queries a second; it sends ten times as many.
const LOUD_LIMIT_PER_S: u32 = 150;

/// Compares the queue disciplines for a quiet team beside one that sends ten times its rate limit.
pub(super) async fn loud_neighbour(context: &Context) -> Result<Report, MeasureError> {
    let mut config = FleetConfig::new(12, 12, 2, 5);
    let mut loud = TeamConfig::new(LOUD);
    loud.rate_limit_per_s = u64::from(LOUD_LIMIT_PER_S);
    config.teams = vec![TeamConfig::new(QUIET), loud];
    // The quiet team must stay below its fair share; otherwise the disciplines would not differ.
    let quiet = Load::new(QUIET, 50.0, LOUD_RUN_S, context.seed);
    let first_come = config
        .clone()
        .with_setting("queue_discipline", "first_come");
    let fair_share = config.with_setting("queue_discipline", "fair_share");
    let mut rows = loud_neighbour_rows(context, "first_come", first_come, &quiet).await?;
    rows.extend(loud_neighbour_rows(context, "fair_share", fair_share, &quiet).await?);
    let ratio = |beside: usize, alone: usize| {
        rows[beside].quantile_ms(0.99) / rows[alone].quantile_ms(0.99)
    };
    let notes = vec![format!(
        "Quiet team's p99 beside the loud team to its p99 alone: fair_share {:.3}, first_come {:.3}; \
         goal {FAIRNESS_TARGET}.",
        ratio(4, 3),
        ratio(1, 0)
    )];
    let is_quiet = |index: usize| index % 3 != 2;
    let warnings = rows.iter().enumerate();
    let warnings = warnings.flat_map(|(index, row)| row.warnings(!is_quiet(index)));
    Ok(Report {
        title: "Loud neighbour",
        shows:
            "A quiet team alone and beside a team that offers ten times its rate limit, with the \
                fair queue and with a queue in order of arrival."
                .to_owned(),
        setup: "6 daemons, 12 leafs of 2 slots and 5 ms, 12 shards, 2 replicas; quiet team \
                50 queries/s; loud team 1,500 queries/s with a limit of 150. The counters of two \
                teams cannot be told apart and are left out."
            .to_owned(),
        warnings: warnings.collect(),
        rows,
        ratios: vec![(1, 0), (4, 3), (4, 1)],
        notes,
    })
}

/// Returns the rows of the quiet team alone, of the quiet team beside the loud one, and of the
/// loud one.
async fn loud_neighbour_rows(
    context: &Context,
    discipline: &str,
    config: FleetConfig,
    quiet: &Load,
) -> Result<Vec<Row>, MeasureError> {
    let fleet = Fleet::start(context, config).await?;
    let row = |variant: &str, records: &[Record], usage| {
        let variant = format!("{variant}, {discipline}");
        Row::new(variant, records, fleet.shards(), usage)
    };
    let (alone, alone_usage) = run_load(&fleet, quiet.clone()).await?;
    let (balancer, stop) = (Arc::new(fleet.balancer()), Arc::new(AtomicBool::new(false)));
    let loud_rate = f64::from(10 * LOUD_LIMIT_PER_S);
    let mut loud = Load::new(LOUD, loud_rate, LOUD_RUN_S + WARM_UP_S, !context.seed);
    loud.deadline_ms = quiet.deadline_ms;
    let (loud, beside) = tokio::join!(
        load::run(fleet.client(), &balancer, loud, &stop),
        run_load(&fleet, quiet.clone())
    );
    // The counters do not separate the teams, so figures derived for one team would be wrong.
    let (beside, _usage_of_both) = beside?;
    Ok(vec![
        row("quiet alone", &alone, Some(alone_usage))?,
        row("quiet beside loud", &beside, None)?,
        row("loud", &loud, None)?,
    ])
}
