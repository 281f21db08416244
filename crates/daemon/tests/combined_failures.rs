//! A daemon that is paused, and two failures at once.

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

/// Sends queries through these daemons until told to stop; every answer must be true.
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

/// Checks that a daemon names another active holder for each group that the paused one leads.
fn is_passed_over(state: &Value) -> bool {
    let paused = json!(format!("vm-{PAUSED}"));
    let groups = state["groups"].as_array().expect("groups");
    let led: Vec<&Value> = groups
        .iter()
        .filter(|group| group["holders"][0] == paused)
        .collect();
    !led.is_empty() && led.iter().all(|group| group["active"] != paused)
}

/// Guards against false answers while a gatherer is paused, shards that nobody serves, and a
/// resumed daemon that works with an old view of the fleet.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_gatherer_is_passed_over_and_rejoins_first() {
    let mut config = FleetConfig::new();
    config.relays = true;
    let fleet = Arc::new(Fleet::start(config).await);
    let stop = Arc::new(AtomicBool::new(false));
    let callers = start_callers(&fleet, &[0, 2], &stop);
    fleet.signal(PAUSED, Signal::Stop);
    for daemon in [0, 2] {
        fleet
            .wait_state(daemon, "the paused holder is passed over", is_passed_over)
            .await;
        fleet.wait_complete(daemon).await;
    }
    // A longer pause than the limit of 1 s, and no way to rejoin after it.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    fleet.split(&BTreeSet::from([PAUSED]));
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
        assert!(answers > 10, "only {answers} answers");
    }
}

/// Guards against a lost leaf that is not replaced because its holder is lost too.
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
            None => assert_eq!(sent.daemon, KILLED, "a daemon that runs must answer"),
        }
    }
    for daemon in 0..fleet.len() {
        fleet.wait_complete(daemon).await;
    }
}

/// Guards against hedges that fail, or changes that revert, when a leaf is slow under a stale tree.
#[tokio::test(flavor = "multi_thread")]
async fn a_straggler_under_a_stale_platform_is_hedged() {
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
    // Earns extra requests for the team and for the service.
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
    assert!(extras > 0 || !was_asked, "complete without a hedge");
    for daemon in 0..fleet.len() {
        let reply = fleet.query(daemon, &as_added("known")).await;
        assert_ne!(reply.status, 404, "the stale tree took the team back");
        check_answer(&reply, "known", SHARDS);
    }
}
