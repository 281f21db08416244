//! A paused daemon, and two failures at the same time.

mod fleet;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use stand_ins::prelude::*;
use tokio::task::JoinSet;

use crate::fleet::config::{FleetConfig, check_answer, check_complete, query};
use crate::fleet::load::Load;
use crate::fleet::process::Signal;
use crate::fleet::{Fleet, WAIT_TIMEOUT, wait_until};

const SHARDS: u32 = 6;
const LEAF: &str = "order-desk-0";
const PAUSED: usize = 1;

/// Sends queries through these daemons until stopped and checks every answer.
fn start_callers(fleet: &Arc<Fleet>, daemons: &[usize], stop: &Arc<AtomicBool>) -> JoinSet<u64> {
    let mut callers = JoinSet::new();
    for daemon in daemons.iter().copied() {
        let (fleet, stop) = (Arc::clone(fleet), Arc::clone(stop));
        callers.spawn(async move {
            let mut answers = 0;
            while !stop.load(Ordering::Relaxed) {
                let text = format!("caller {daemon} asks {answers}");
                let reply = fleet.query(daemon, &query(&text, 1500)).await;
                check_answer(&reply, &text, SHARDS);
                answers += 1;
            }
            answers
        });
    }
    callers
}

/// Returns true if a daemon's state names another active holder for each group whose first holder
/// is the paused daemon.
fn is_replaced(state: &Value) -> bool {
    let paused = json!(format!("vm-{PAUSED}"));
    let groups = state["groups"].as_array().expect("groups");
    let paused_groups: Vec<&Value> = groups
        .iter()
        .filter(|group| group["holders"][0] == paused)
        .collect();
    !paused_groups.is_empty() && paused_groups.iter().all(|group| group["active"] != paused)
}

/// Guards against wrong answers and unserved shards while a gatherer is paused, and against a
/// resumed daemon that runs queries with an outdated view of the fleet.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_gatherer_is_replaced_and_must_rejoin_before_it_runs_queries() {
    let mut config = FleetConfig::new();
    config.relays = true;
    let fleet = Arc::new(Fleet::start(config).await);
    let stop = Arc::new(AtomicBool::new(false));
    let callers = start_callers(&fleet, &[0, 2], &stop);
    fleet.signal(PAUSED, Signal::Stop);
    for daemon in [0, 2] {
        fleet
            .wait_state(daemon, "another holder is active", is_replaced)
            .await;
        fleet.wait_complete(daemon).await;
    }
    // Longer than the pause limit of 1 s. The partition then keeps the daemon from rejoining.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    fleet.partition(&BTreeSet::from([PAUSED]));
    fleet.signal(PAUSED, Signal::Continue);
    let runs = || fleet.deployment().leafs().flat_map(FakeLeaf::runs);
    for number in 0..10 {
        let text = format!("after the pause {number}");
        let reply = fleet.query(PAUSED, &query(&text, 500)).await;
        check_answer(&reply, &text, SHARDS);
        assert_eq!(reply.body["reason"], "paused", "{}", reply.text);
        assert!(runs().all(|run| run.query != text), "a refused query ran");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.heal();
    fleet.wait_complete(PAUSED).await;
    let has_paused = |state: &Value| state["pauses"].as_u64() >= Some(1);
    fleet
        .wait_state(PAUSED, "the pause is counted", has_paused)
        .await;
    stop.store(true, Ordering::Relaxed);
    for answers in callers.join_all().await {
        assert!(answers > 10, "a caller got only {answers} answers");
    }
}

/// Guards against a lost leaf without failover because its holder is lost as well.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaf_and_a_daemon_are_lost_at_once() {
    const KILLED: usize = 0;
    let fleet = Arc::new(Fleet::start(FleetConfig::new()).await);
    let load = Load::start(&fleet, 4, 2000);
    load.wait_answers(50).await;
    let leaf = fleet.deployment().leaf(LEAF);
    leaf.go_down(None);
    fleet.kill(KILLED);
    load.wait_answers(50).await;
    for daemon in [1, 2] {
        fleet.wait_complete(daemon).await;
    }
    leaf.come_up();
    fleet.restart(KILLED).await;
    let before = leaf.run_count();
    wait_until("the leaf works again", WAIT_TIMEOUT, async || {
        leaf.run_count() > before
    })
    .await;
    for sent in load.stop().await {
        match sent.reply {
            Some(reply) => check_answer(&reply, &sent.text, SHARDS),
            None => assert_eq!(sent.daemon, KILLED, "a running daemon must answer"),
        }
    }
    for daemon in 0..fleet.len() {
        fleet.wait_complete(daemon).await;
    }
}

/// Guards against missing hedges and reverted settings changes when a leaf is slow while the
/// platform serves a stale settings tree.
#[tokio::test(flavor = "multi_thread")]
async fn a_straggler_is_hedged_while_the_platform_is_stale() {
    let mut config = FleetConfig::new();
    config.set("watch_wait_ms", json!(500));
    let fleet = Fleet::start(config).await;
    let old = fleet.platform().snapshot();
    fleet.deployment().publish_team(&TeamConfig::new("added"));
    let as_added = |text: &str| {
        let mut body = query(text, 4000);
        body["team"] = json!("added");
        body
    };
    for daemon in 0..fleet.len() {
        wait_until("the team is known", WAIT_TIMEOUT, async || {
            fleet.query(daemon, &as_added("known")).await.status == 200
        })
        .await;
    }
    fleet.platform().serve_snapshot(&old);
    let calls = fleet.platform().calls();
    wait_until("the stale tree is read", WAIT_TIMEOUT, async || {
        fleet.platform().calls() > calls + 10
    })
    .await;
    // Earns extra requests for the budgets of the team and the service.
    for _ in 0..200 {
        check_complete(&fleet.query(0, &as_added("known")).await, "known", SHARDS);
    }
    let straggler = fleet.deployment().leaf(LEAF);
    straggler.update_faults(|faults| faults.extra_delay = Duration::from_mins(1));
    let before = straggler.run_count();
    let mut extras = 0;
    for _ in 0..4 {
        let reply = fleet.query(0, &as_added("known")).await;
        check_complete(&reply, "known", SHARDS);
        extras += reply.body["extra_leaf_requests"].as_u64().expect("a count");
    }
    let was_asked = straggler.run_count() > before;
    assert!(
        extras > 0 || !was_asked,
        "the straggler was asked, and the answers were complete without a hedge"
    );
    for daemon in 0..fleet.len() {
        let reply = fleet.query(daemon, &as_added("known")).await;
        assert_ne!(reply.status, 404, "the stale tree removed the team");
        check_answer(&reply, "known", SHARDS);
    }
}
