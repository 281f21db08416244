//! Work for each query in its entry, the daemon that the caller sent it to.

use std::sync::Arc;

use daemon::view::{FleetView, ServiceView};
use medlarpin_core::canary::canary_group;
use medlarpin_core::coverage::Merge;
use medlarpin_core::plan::plan;
use medlarpin_core::prelude::*;
use medlarpin_core::version_choice::choose_version;

use crate::capacity::error::CapacityError;
use crate::capacity::fixtures;
use crate::capacity::slope::Slope;
use crate::capacity::timing::Timer;

const SHARDS: [u32; 4] = [10, 100, 270, 540];
/// Seeds, or repetitions, in each timed run; a single repetition is too short for the clock.
const SEEDS: u64 = 20;

/// Measures plan, version choice, canary choice and merge for queries of several sizes.
pub fn measure(timer: Timer) -> Result<Vec<Slope>, CapacityError> {
    let tree = fixtures::tree(1, fixtures::texts(fixtures::LEAFS, fixtures::TEAMS))?;
    let view = fixtures::view(&tree, fixtures::vm_list(1, 0..fixtures::VMS));
    let service = service(&view)?;
    let map = service.maps.first().ok_or(CapacityError::NoService)?;
    let points = |cost: &dyn Fn(&[ShardId]) -> f64| {
        let point = |count| {
            let asked: Vec<ShardId> = (0..count).map(ShardId).collect();
            (f64::from(count), cost(&asked))
        };
        SHARDS.map(point).to_vec()
    };
    let slope = |quantity, mechanism, points| Slope {
        quantity,
        mechanism,
        size: "shards",
        points,
    };
    Ok(vec![
        slope(
            "plan a query, us",
            "medlarpin-core plan, daemon view",
            points(&|asked| plan_us(timer, service, map, asked)),
        ),
        slope(
            "batches of one plan",
            "medlarpin-core plan",
            points(&|asked| batches(service, map, asked)),
        ),
        slope(
            "choose the version among two maps of this size, us",
            "medlarpin-core snapshot",
            points(&|asked| version_us(timer, map, asked)),
        ),
        slope(
            "choose the canary's group among groups, us",
            "medlarpin-core canary",
            points(&|asked| canary_us(timer, service, asked)),
        ),
        slope(
            "merge the answers and list rows, us",
            "medlarpin-core coverage",
            points(&|asked| merge_us(timer, map, asked)),
        ),
    ])
}

fn service(view: &FleetView) -> Result<&ServiceView, CapacityError> {
    let service = view.service(fixtures::SERVICE);
    service.map(AsRef::as_ref).ok_or(CapacityError::NoService)
}

fn plan_us(timer: Timer, service: &ServiceView, map: &ShardMap, asked: &[ShardId]) -> f64 {
    let plan_all = |()| {
        let plan_one = |seed| {
            plan(
                map,
                asked,
                |leaf| service.group_of(leaf),
                |_, _| true,
                |_| 0,
                seed,
            )
        };
        (0..SEEDS).map(plan_one).collect::<Vec<_>>()
    };
    timer.time_us(|| (), plan_all) / SEEDS as f64
}

fn batches(service: &ServiceView, map: &ShardMap, asked: &[ShardId]) -> f64 {
    let batches_of_one = |seed| {
        plan(
            map,
            asked,
            |leaf| service.group_of(leaf),
            |_, _| true,
            |_| 0,
            seed,
        )
        .batches
        .len()
    };
    (0..SEEDS).map(batches_of_one).sum::<usize>() as f64 / SEEDS as f64
}

fn version_us(timer: Timer, map: &ShardMap, asked: &[ShardId]) -> f64 {
    let rows = map.shards()[..asked.len()].to_vec();
    let version = |number| {
        Arc::new(ShardMap::new(
            map.service().clone(),
            IndexVersion(number),
            rows.clone(),
        ))
    };
    let maps = [version(7), version(8)];
    let choose = |()| {
        let choose_one = |_| choose_version(&maps, |leaf, _| !leaf.as_str().is_empty());
        (0..SEEDS).map(choose_one).collect::<Vec<_>>()
    };
    timer.time_us(|| (), choose) / SEEDS as f64
}

/// A query can use at most one group for each shard, and at most all groups of the service.
fn canary_us(timer: Timer, service: &ServiceView, asked: &[ShardId]) -> f64 {
    let groups = &service.groups[..asked.len().min(service.groups.len())];
    let choose = |()| {
        (0..SEEDS)
            .map(|seed| canary_group(Fingerprint(seed), groups))
            .collect::<Vec<_>>()
    };
    timer.time_us(|| (), choose) / SEEDS as f64
}

fn merge_us(timer: Timer, map: &ShardMap, asked: &[ShardId]) -> f64 {
    let request = RequestId(1);
    let outcome = || ShardOutcome::Covered {
        rows: vec!["x".repeat(64)],
    };
    let answers = || {
        asked
            .iter()
            .map(|shard| (*shard, outcome()))
            .collect::<Vec<_>>()
    };
    let merge_all = |answers: Vec<(ShardId, ShardOutcome)>| {
        let mut merge = Merge::new(request, map.version(), asked);
        for (shard, outcome) in answers {
            // Cannot fail: each shard was asked and is answered once.
            let _ = merge.accept(shard, map.version(), request, outcome);
        }
        let rows: Vec<String> = merge.rows().map(|(_, row)| row.to_owned()).collect();
        (merge.outcome(), rows)
    };
    timer.time_us(answers, merge_all)
}
