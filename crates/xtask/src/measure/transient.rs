//! Scenarios in which the load or the daemons change during a run.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use super::Context;
use super::error::MeasureError;
use super::fleet::{Fleet, FleetConfig, TEAM};
use super::load::{self, Load, Outcome, Phase, Record};
use super::report::{Report, Row};
use super::steady::run_load;

/// Highest rate of queries a second that the leafs of the overload scenario can serve:
/// 6 leafs x 2 slots / 5 ms / 12 shards.
const CAPACITY_PER_S: f64 = 200.0;
const BEFORE: Duration = Duration::from_secs(2);
const OVERLOAD: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_secs(4);

/// Compares hedging within its budget and no hedging, at twice the leafs' capacity for 3 s and in
/// the recovery.
pub(super) async fn overload(context: &Context) -> Result<Report, MeasureError> {
    let mut report = Report {
        title: "Overload and recovery",
        shows:
            "Hedging within its budget against no hedging, before, during and after 3 s at twice \
                the leafs' capacity."
                .to_owned(),
        setup: "6 daemons, 6 leafs of 2 slots and 5 ms, 12 shards, 2 replicas; 80 queries/s, \
                400 queries/s for 3 s, 80 queries/s; deadline 300 ms."
            .to_owned(),
        ratios: vec![(3, 0), (4, 1), (5, 2)],
        ..Report::default()
    };
    for (variant, hedging) in [("hedging off", false), ("budget", true)] {
        overload_variant(context, variant, hedging, &mut report).await?;
    }
    Ok(report)
}

async fn overload_variant(
    context: &Context,
    variant: &str,
    hedging: bool,
    report: &mut Report,
) -> Result<(), MeasureError> {
    let config = FleetConfig::new(6, 12, 2, 5).with_setting("hedging", hedging);
    let fleet = Fleet::start(context, config).await?;
    let mut load = Load::new(TEAM, 1.0, 1, context.seed);
    load.deadline_ms = 300;
    let phase = |share, duration| Phase {
        rate_per_s: CAPACITY_PER_S * share,
        duration,
    };
    load.phases = vec![phase(0.4, BEFORE), phase(2.0, OVERLOAD), phase(0.4, AFTER)];
    let (records, usage) = run_load(&fleet, load).await?;
    let overload_end = BEFORE + OVERLOAD;
    let phases = [
        ("before", Duration::ZERO, BEFORE),
        ("overload", BEFORE, overload_end),
        ("recovery", overload_end, overload_end + AFTER),
    ];
    for (phase, start, end) in phases {
        let range = records
            .iter()
            .filter(|record| (start..end).contains(&record.planned));
        let phase_records: Vec<Record> = range.copied().collect();
        let row = Row::new(
            format!("{variant}, {phase}"),
            &phase_records,
            fleet.shards(),
            None,
        )?;
        report.warnings.extend(row.warnings(phase != "before"));
        report.rows.push(row);
    }
    report.notes.push(format!(
        "{variant}: refusals are gone {}, and the last incomplete answer of any kind {}; hedges and \
         retries per first leaf request {:.4}; leaf requests received per first one sent {:.4}.",
        last_arrival(&records, overload_end, |outcome| outcome == Outcome::NotRun),
        last_arrival(&records, overload_end, |outcome| outcome != Outcome::Complete),
        usage.extra / usage.first,
        usage.total_leaf_requests() as f64 / usage.first,
    ));
    Ok(())
}

/// Says when the last query with a counted outcome arrived, relative to the end of the overload.
fn last_arrival(records: &[Record], end: Duration, is_counted: impl Fn(Outcome) -> bool) -> String {
    let last = records.iter().rfind(|record| is_counted(record.outcome));
    match last.map(|record| record.planned) {
        None => "at no time present".to_owned(),
        Some(last) if last < end => "before the overload ends".to_owned(),
        Some(last) => format!(
            "{:.0} ms after its end",
            last.saturating_sub(end).as_secs_f64() * 1_000.0
        ),
    }
}

/// Compares a restart of every daemon in turn under load with the same load without a restart.
pub(super) async fn rolling_restart(context: &Context) -> Result<Report, MeasureError> {
    let mut config = FleetConfig::new(12, 24, 4, 2);
    config.daemons = 4;
    let mut fleet = Fleet::start(context, config).await?;
    let (undisturbed, undisturbed_usage) =
        run_load(&fleet, Load::new(TEAM, 100.0, 4, context.seed)).await?;
    let undisturbed = Row::new(
        "no restart",
        &undisturbed,
        fleet.shards(),
        Some(undisturbed_usage),
    )?;
    let stop = Arc::new(AtomicBool::new(false));
    let balancer = Arc::new(fleet.balancer());
    let client = fleet.client().clone();
    let restart_all = async {
        for position in 0..fleet.daemons().len() {
            fleet.restart(context, position).await?;
        }
        // Keeps up the load until the last daemon takes part again.
        tokio::time::sleep(Duration::from_millis(500)).await;
        stop.store(true, Ordering::Relaxed);
        Ok::<(), MeasureError>(())
    };
    let load = Load::new(TEAM, 100.0, 60, !context.seed);
    let restarts = async {
        let (records, restarted) =
            tokio::join!(load::run(&client, &balancer, load, &stop), restart_all);
        restarted.map(|()| records)
    };
    let records = tokio::select! {
        records = restarts => records?,
        () = balancer.poll_readiness(&client) => Vec::new(),
    };
    let restarted = Row::new("every daemon restarted", &records, fleet.shards(), None)?;
    let incomplete = restarted.queries() - restarted.count(Outcome::Complete);
    let mut warnings = undisturbed.warnings(false);
    warnings.extend(restarted.warnings(true));
    Ok(Report {
        title: "Rolling restart",
        shows:
            "Graceful shutdown and new start of every daemon in turn under load, against the same \
                load without a restart."
                .to_owned(),
        setup:
            "4 daemons, 12 leafs of 4 slots and 2 ms, 24 shards, 2 replicas; 100 queries/s; the \
                balancer checks readiness every 100 ms; shutdown grace 2 s."
                .to_owned(),
        notes: vec![format!(
            "Answers that are not complete: {incomplete} of {}.",
            restarted.queries()
        )],
        rows: vec![undisturbed, restarted],
        ratios: vec![(1, 0)],
        warnings,
    })
}
