//! A query of death (it crashes every leaf that runs it), sent repeatedly through every daemon.

mod fleet;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use stand_ins::prelude::*;
use tokio::task::JoinSet;

use crate::fleet::config::{FleetConfig, check_answer, check_complete, query};
use crate::fleet::{Fleet, WAIT_TIMEOUT, wait_until};

const SHARDS: u32 = 6;
const QUERY_OF_DEATH: &str = "the killer lot";
const ROUNDS: usize = 10;
/// Maximum number of leafs lost in 10 minutes for each daemon that considers itself the active
/// holder (section 4.8 of the design page).
const MAX_LOST_LEAFS: u64 = 2;

async fn start(configure: impl FnOnce(&mut FleetConfig), down_for: Option<Duration>) -> Arc<Fleet> {
    let mut config = FleetConfig::new();
    // With 3 replicas, each shard still has one after two leafs are lost.
    config.service().replicas = 3;
    configure(&mut config);
    let fleet = Fleet::start(config).await;
    for leaf in fleet.deployment().leafs() {
        let rule = CrashRule {
            text: QUERY_OF_DEATH.to_owned(),
            down_for,
        };
        leaf.update_faults(|faults| faults.crash = Some(rule));
    }
    Arc::new(fleet)
}

/// Sends the query of death through all daemons concurrently, several times.
async fn send_repeatedly(fleet: &Arc<Fleet>) {
    for _ in 0..ROUNDS {
        let mut copies = JoinSet::new();
        for daemon in 0..fleet.len() {
            let fleet = Arc::clone(fleet);
            copies.spawn(async move { fleet.query(daemon, &query(QUERY_OF_DEATH, 1000)).await });
        }
        for reply in copies.join_all().await {
            check_answer(&reply, QUERY_OF_DEATH, SHARDS);
            assert!(
                ["not_run", "unknown"].contains(&reply.outcome()),
                "{}",
                reply.text
            );
        }
    }
}

fn crashes(fleet: &Fleet) -> u64 {
    fleet.deployment().leafs().map(FakeLeaf::crashes).sum()
}

/// Waits until every daemon refuses the query of death without running it, and checks that other
/// queries still work.
async fn check_quarantined(fleet: &Fleet) {
    for daemon in 0..fleet.len() {
        wait_until(
            "the query of death is quarantined",
            WAIT_TIMEOUT,
            async || {
                let reply = fleet.query(daemon, &query(QUERY_OF_DEATH, 1000)).await;
                reply.outcome() == "not_run" && reply.body["reason"] == "quarantined"
            },
        )
        .await;
    }
    let before = fleet.deployment().total_runs();
    for daemon in 0..fleet.len() {
        fleet.query(daemon, &query(QUERY_OF_DEATH, 1000)).await;
    }
    assert_eq!(
        fleet.deployment().total_runs(),
        before,
        "a quarantined request ran"
    );
    for daemon in 0..fleet.len() {
        wait_until("other queries are complete", WAIT_TIMEOUT, async || {
            let reply = fleet.query(daemon, &query("harmless", 2000)).await;
            check_answer(&reply, "harmless", SHARDS);
            reply.outcome() == "complete"
        })
        .await;
    }
}

/// Guards against a query of death that crashes one leaf after another, whether or not crashed
/// leafs come back.
#[tokio::test(flavor = "multi_thread")]
async fn a_connected_fleet_loses_at_most_two_leafs() {
    for down_for in [None, Some(Duration::from_millis(100))] {
        let fleet = start(|_| {}, down_for).await;
        send_repeatedly(&fleet).await;
        check_quarantined(&fleet).await;
        let crashes = crashes(&fleet);
        assert!(
            (1..=MAX_LOST_LEAFS).contains(&crashes),
            "{crashes} crashes, down for {down_for:?}"
        );
    }
}

/// Guards against a query of death whose repeated submissions reset the count of crashes on a side
/// of a partitioned fleet.
#[tokio::test(flavor = "multi_thread")]
async fn each_side_of_a_partition_loses_at_most_two_leafs() {
    let configure = |config: &mut FleetConfig| {
        config.daemons = 4;
        config.relays = true;
        config.set("suspect_timeout_ms", json!(1000));
    };
    let fleet = start(configure, Some(Duration::from_millis(100))).await;
    fleet.partition(&BTreeSet::from([2, 3]));
    for daemon in 0..fleet.len() {
        fleet.wait_complete(daemon).await;
    }
    send_repeatedly(&fleet).await;
    fleet.heal();
    check_quarantined(&fleet).await;
    let crashes = crashes(&fleet);
    assert!(
        (1..=2 * MAX_LOST_LEAFS).contains(&crashes),
        "{crashes} crashes"
    );
    check_complete(
        &fleet.query(0, &query("harmless", 2000)).await,
        "harmless",
        SHARDS,
    );
}
