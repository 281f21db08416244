//! Network partitions of the fleet during which both sides still reach callers and leafs.

mod fleet;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use serde_json::json;
use stand_ins::prelude::*;
use tokio::task::JoinSet;

use crate::fleet::config::{FleetConfig, QUERY_SERVICE, TEAM, check_answer, query, ticketed};
use crate::fleet::{Fleet, WAIT_TIMEOUT, wait_until};

const SHARDS: u32 = 6;
/// Daemons on the side that also loses the platform.
const ISOLATED: [usize; 2] = [2, 3];

async fn start(configure: impl FnOnce(&mut FleetConfig)) -> Arc<Fleet> {
    let mut config = FleetConfig::new();
    config.daemons = 4;
    config.relays = true;
    config.set("suspect_timeout_ms", json!(1000));
    configure(&mut config);
    Arc::new(Fleet::start(config).await)
}

fn partition(fleet: &Fleet) {
    fleet.partition(&BTreeSet::from(ISOLATED));
}

async fn wait_all_serve(fleet: &Fleet) {
    for daemon in 0..fleet.len() {
        fleet.wait_complete(daemon).await;
    }
}

/// Sends `per_daemon` queries to each daemon at once and returns how many each daemon ran.
async fn burst(fleet: &Arc<Fleet>, per_daemon: usize, shards: &[u32]) -> Vec<usize> {
    let mut queries = JoinSet::new();
    for number in 0..per_daemon * fleet.len() {
        let fleet = Arc::clone(fleet);
        let mut body = query("smoked", 3000);
        body["shards"] = json!(shards);
        queries.spawn(async move {
            let daemon = number % fleet.len();
            let reply = fleet.query(daemon, &body).await;
            (daemon, reply.outcome() != "not_run")
        });
    }
    let mut ran = vec![0; fleet.len()];
    for (daemon, has_run) in queries.join_all().await {
        ran[daemon] += usize::from(has_run);
    }
    ran
}

/// Guards against a side that stops serving, exceeds a leaf's connection limit, or misses a
/// settings change published during the partition.
#[tokio::test(flavor = "multi_thread")]
async fn each_side_serves_and_the_fleet_heals() {
    let fleet = start(|config| config.service().connection_limit = 12).await;
    partition(&fleet);
    wait_all_serve(&fleet).await;
    burst(&fleet, 50, &[0, 1, 2, 3, 4, 5]).await;
    fleet.deployment().publish_team(&TeamConfig::new("added"));
    fleet.heal();
    wait_all_serve(&fleet).await;
    for daemon in 0..fleet.len() {
        let body = json!({ "team": "added", "service": QUERY_SERVICE, "query": "q" });
        wait_until("the change is in force", WAIT_TIMEOUT, async || {
            fleet.query(daemon, &body).await.status == 200
        })
        .await;
    }
    for leaf in fleet.deployment().leafs() {
        assert_eq!(
            leaf.rejected_connections(),
            0,
            "{} had {} connections at once",
            leaf.id(),
            leaf.peak_connections()
        );
    }
}

/// Guards against a team that gets its full concurrency limit on each side of a partition.
#[tokio::test(flavor = "multi_thread")]
async fn a_concurrency_limit_holds_across_both_sides() {
    const LIMIT: u64 = 8;
    let fleet = start(|config| {
        config.team().concurrency_limit = LIMIT;
        // With one replica and one shard, the leaf's requests in flight are the team's queries.
        config.service().replicas = 1;
        config.service().slots = 64;
        config.service().service_time = std::time::Duration::from_millis(100);
    })
    .await;
    burst(&fleet, 20, &[0]).await;
    partition(&fleet);
    wait_all_serve(&fleet).await;
    let ran = burst(&fleet, 20, &[0]).await;
    fleet.heal();
    burst(&fleet, 20, &[0]).await;
    let peak = fleet
        .deployment()
        .leafs()
        .map(FakeLeaf::peak_in_flight)
        .max()
        .unwrap();
    assert!(peak <= LIMIT, "{peak} queries ran at once");
    assert!(
        ran[0] + ran[1] > 0 && ran[2] + ran[3] > 0,
        "one side ran no query: {ran:?}"
    );
}

/// Guards against a team that gets its full rate limit on each side of a partition.
#[tokio::test(flavor = "multi_thread")]
async fn a_rate_limit_holds_across_both_sides() {
    const LIMIT_PER_S: u32 = 40;
    let fleet = start(|config| config.team().rate_limit_per_s = u64::from(LIMIT_PER_S)).await;
    partition(&fleet);
    wait_all_serve(&fleet).await;
    let start = Instant::now();
    let mut ran = 0;
    for _ in 0..10 {
        ran += burst(&fleet, 40, &[0]).await.iter().sum::<usize>();
    }
    // The token buckets start with one second's worth of tokens.
    let allowed = f64::from(LIMIT_PER_S) * (start.elapsed().as_secs_f64() + 1.0);
    assert!(
        ran > 0 && ran as f64 <= allowed,
        "{ran} queries ran, {allowed} allowed"
    );
}

/// Guards against a ticketed query that runs on both sides of a partition.
#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_runs_on_one_side_only() {
    const TEXT: &str = "invoice 7";
    let fleet = start(|_| {}).await;
    let ticket = fleet.ticket(0, TEAM).await;
    partition(&fleet);
    let body = ticketed(TEXT, &ticket, 2000);
    let far = fleet.query(ISOLATED[0], &body).await;
    assert_eq!(far.outcome(), "unknown", "{}", far.text);
    let near = fleet.query(0, &body).await;
    check_answer(&near, TEXT, SHARDS);
    fleet.heal();
    for daemon in 0..fleet.len() {
        check_answer(&fleet.query(daemon, &body).await, TEXT, SHARDS);
    }
    for shard in 0..SHARDS {
        let leafs = fleet.deployment().leafs();
        let runs = leafs.flat_map(FakeLeaf::runs);
        let count = runs
            .filter(|run| run.query == TEXT && run.shard == shard)
            .count();
        assert!(count <= 1, "shard {shard} ran {count} times");
    }
}
