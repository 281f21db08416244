//! Faults of leafs: slow leafs, lost leafs, removed index versions, wrong replies and draining.

mod fleet;

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use stand_ins::prelude::*;

use crate::fleet::config::{
    FIRST_VERSION, FleetConfig, QUERY_SERVICE, check_answer, check_complete, query,
};
use crate::fleet::load::{Load, Sent};
use crate::fleet::{Fleet, WAIT_TIMEOUT, wait_until};

const SHARDS: u32 = 6;
const LEAF: &str = "order-desk-0";
/// Maximum time until a draining upstream gets no new work, from its first sign (requirement P6).
const DRAINING_SIGN_LIMIT: Duration = Duration::from_secs(3);
/// Maximum time until a published settings change takes effect (requirement P8).
const CHANGE_LIMIT: Duration = Duration::from_secs(6);

fn extra(reply: &Value) -> u64 {
    reply["extra_leaf_requests"].as_u64().expect("a count")
}

fn check_all_complete(sent: &[Sent]) {
    for sent in sent {
        check_complete(sent.reply.as_ref().expect("a reply"), &sent.text, SHARDS);
    }
}

async fn wait_complete(fleet: &Fleet) {
    for daemon in 0..fleet.len() {
        fleet.wait_complete(daemon).await;
    }
}

/// Guards against one slow leaf that delays whole queries, and against hedging more than 5% of the
/// requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_straggler_is_hedged_within_the_budget() {
    let fleet = Fleet::start(FleetConfig::new()).await;
    let earlier_requests = fleet.deployment().total_requests();
    let (mut queries, mut extras) = (0, 0);
    // Earns budget for at least ten extra requests in each group, which has a third of the shards.
    while queries < 300 {
        let reply = fleet.query(0, &query("smoked", 2000)).await;
        check_complete(&reply, "smoked", SHARDS);
        (queries, extras) = (queries + 1, extras + extra(&reply.body));
    }
    let straggler = fleet.deployment().leaf(LEAF);
    straggler.update_faults(|faults| faults.extra_delay = Duration::from_mins(1));
    let before = (straggler.run_count(), extras);
    for _ in 0..4 {
        let reply = fleet.query(0, &query("smoked", 4000)).await;
        check_complete(&reply, "smoked", SHARDS);
        (queries, extras) = (queries + 1, extras + extra(&reply.body));
    }
    if straggler.run_count() > before.0 {
        assert!(extras > before.1, "complete without a hedge");
    }
    let first_requests = queries * u64::from(SHARDS);
    let requests = fleet.deployment().total_requests() - earlier_requests;
    assert!(
        requests <= first_requests + extras,
        "{requests} requests, {extras} extra"
    );
    // The requests before the test's own queries have earned budget as well.
    let earning = first_requests + earlier_requests;
    assert!(extras * 20 <= earning, "{extras} extra for {earning}");
}

/// Guards against hedging more than 5% of the requests when a straggler calls for more hedges than
/// the budget allows.
#[tokio::test(flavor = "multi_thread")]
async fn hedges_stay_within_the_budget() {
    let fleet = Fleet::start(FleetConfig::new()).await;
    let earlier_requests = fleet.deployment().total_requests();
    let straggler = fleet.deployment().leaf(LEAF);
    straggler.update_faults(|faults| faults.extra_delay = Duration::from_mins(1));
    let (mut queries, mut extras) = (0, 0);
    while queries < 120 {
        let reply = fleet.query(0, &query("smoked", 100)).await;
        check_answer(&reply, "smoked", SHARDS);
        (queries, extras) = (queries + 1, extras + extra(&reply.body));
    }
    let earning = queries * u64::from(SHARDS) + earlier_requests;
    assert!(extras * 20 <= earning, "{extras} extra for {earning}");
}

/// Guards against planning queries on a slow leaf, apart from the few that probe it. Without
/// avoidance the leaf would get a sixth of all requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_leaf_is_avoided() {
    let mut config = FleetConfig::new();
    // Detection compares a leaf with its group, which must have at least three leafs.
    config.deployment.failure_domains = 2;
    let fleet = Fleet::start(config).await;
    let slow = fleet.deployment().leaf(LEAF);
    slow.update_faults(|faults| faults.extra_delay = Duration::from_millis(100));
    let ask = async |queries: usize| {
        for number in 0..queries {
            let reply = fleet
                .query(number % fleet.len(), &query("smoked", 2000))
                .await;
            check_answer(&reply, "smoked", SHARDS);
        }
    };
    ask(60).await;
    let before = slow.run_count();
    ask(120).await;
    let runs = slow.run_count() - before;
    assert!(runs <= 60, "{runs} of 720 requests went to the slow leaf");
}

/// Guards against a lost leaf that causes lost answers, and against never using it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_leaf_is_replaced_and_used_again() {
    check_lost_leaf(3).await;
}

/// Guards against a daemon that avoids a lost leaf forever, when no other daemon's entry sends it
/// requests for the leaf.
#[tokio::test(flavor = "multi_thread")]
async fn a_single_daemon_uses_a_lost_leaf_again() {
    check_lost_leaf(1).await;
}

async fn check_lost_leaf(daemons: usize) {
    let mut config = FleetConfig::new();
    config.daemons = daemons;
    let fleet = Arc::new(Fleet::start(config).await);
    let load = Load::start(&fleet, 4, 2000);
    load.wait_answers(50).await;
    let leaf = fleet.deployment().leaf(LEAF);
    leaf.go_down(None);
    load.wait_answers(50).await;
    wait_complete(&fleet).await;
    leaf.come_up();
    let before = leaf.run_count();
    wait_until("the leaf runs queries again", WAIT_TIMEOUT, async || {
        leaf.run_count() > before + 20
    })
    .await;
    for sent in load.stop().await {
        let reply = sent.reply.expect("a reply");
        check_answer(&reply, &sent.text, SHARDS);
        assert!(
            reply.covered().len() >= 4,
            "only shards of the lost leaf may be missing: {}",
            reply.text
        );
    }
    wait_complete(&fleet).await;
}

/// Guards against answers that mix index versions while leafs drop a version and the shards are
/// repartitioned.
#[tokio::test(flavor = "multi_thread")]
async fn answers_never_mix_versions_during_a_version_change() {
    const REPARTITIONED: u32 = 9;
    let fleet = Arc::new(Fleet::start(FleetConfig::new()).await);
    let load = Load::start(&fleet, 6, 3000);
    load.wait_answers(50).await;
    let deployment = fleet.deployment();
    deployment
        .publish_version(QUERY_SERVICE, FIRST_VERSION + 1, REPARTITIONED)
        .unwrap();
    for leaf in deployment.leafs() {
        leaf.drop_version(FIRST_VERSION);
        load.wait_answers(10).await;
    }
    for daemon in 0..fleet.len() {
        wait_until("the new version is complete", WAIT_TIMEOUT, async || {
            let reply = fleet.query(daemon, &query("smoked", 2000)).await;
            reply.outcome() == "complete" && reply.body["index_version"] == FIRST_VERSION + 1
        })
        .await;
    }
    let mut versions = [0, 0];
    for sent in load.stop().await {
        let reply = sent.reply.expect("a reply");
        match reply.body["index_version"].as_u64() {
            Some(FIRST_VERSION) => {
                versions[0] += 1;
                check_answer(&reply, &sent.text, SHARDS);
            }
            Some(_) => {
                versions[1] += 1;
                check_answer(&reply, &sent.text, REPARTITIONED);
            }
            None => assert_eq!(reply.outcome(), "not_run", "{}", reply.text),
        }
    }
    assert!(versions[0] > 0 && versions[1] > 0, "{versions:?}");
}

/// Guards against rows of another request, shard or version, and rows of late or oversized replies.
#[tokio::test(flavor = "multi_thread")]
async fn rows_of_wrong_replies_never_reach_an_answer() {
    let fleet = Fleet::start(FleetConfig::new()).await;
    let leaf = fleet.deployment().leaf(LEAF);
    let faults = [
        ReplyFault::OtherRequest,
        ReplyFault::OtherShard,
        ReplyFault::OtherVersion,
        ReplyFault::Garbage,
        ReplyFault::Oversized(64 << 20),
        ReplyFault::Late(Duration::from_millis(700)),
    ];
    for (number, reply_fault) in faults.into_iter().enumerate() {
        let before = leaf.run_count();
        leaf.update_faults(|faults| faults.reply = reply_fault);
        wait_until("the faulty leaf ran a query", WAIT_TIMEOUT, async || {
            for daemon in 0..fleet.len() {
                let text = format!("{number} by {daemon}");
                let reply = fleet.query(daemon, &query(&text, 500)).await;
                check_answer(&reply, &text, SHARDS);
            }
            leaf.run_count() > before
        })
        .await;
        leaf.clear_faults();
        wait_complete(&fleet).await;
    }
}

/// Checks that the leaf gets no search request after `limit` has passed since `trigger` made it
/// drain or removed it, while all queries of a continuous load get complete answers.
async fn check_no_new_work(limit: Duration, trigger: impl FnOnce(&Fleet)) {
    let fleet = Arc::new(Fleet::start(FleetConfig::new()).await);
    let load = Load::start(&fleet, 4, 2000);
    load.wait_answers(100).await;
    let leaf = fleet.deployment().leaf(LEAF);
    assert!(leaf.requests() > 0);
    trigger(&fleet);
    tokio::time::sleep(limit).await;
    let requests = leaf.requests();
    load.wait_answers(200).await;
    assert_eq!(
        leaf.requests(),
        requests,
        "new work for a leaf that is leaving"
    );
    check_all_complete(&load.stop().await);
}

/// Guards against new work for a leaf that refuses requests because it is draining.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_reply_stops_new_work() {
    let drain = |faults: &mut Faults| faults.refusal = Some(Refusal::Draining);
    check_no_new_work(DRAINING_SIGN_LIMIT, |fleet| {
        fleet.deployment().leaf(LEAF).update_faults(drain);
    })
    .await;
}

/// Guards against new work for a leaf that is draining according to its health report only.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_health_report_stops_new_work() {
    let versions = vec![FIRST_VERSION];
    let report = HealthReport {
        state: HealthState::Draining,
        load: 0.0,
        versions,
    };
    check_no_new_work(DRAINING_SIGN_LIMIT, |fleet| {
        fleet
            .deployment()
            .leaf(LEAF)
            .update_faults(|faults| faults.health = Some(report));
    })
    .await;
}

/// Guards against new work for a leaf that is no longer in the settings.
#[tokio::test(flavor = "multi_thread")]
async fn removal_from_the_settings_stops_new_work() {
    check_no_new_work(CHANGE_LIMIT, |fleet| {
        fleet.deployment().remove_leaf(QUERY_SERVICE, LEAF).unwrap();
    })
    .await;
}
