//! A ticketed request runs at most once, whichever daemon fails. Runs are counted at the leafs.

mod fleet;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::task::JoinHandle;

use crate::fleet::config::{FleetConfig, TEAM, check_answer, check_complete, ticketed};
use crate::fleet::http::Reply;
use crate::fleet::process::Signal;
use crate::fleet::{Fleet, WAIT_TIMEOUT, wait_until};

const SHARDS: u32 = 6;
const ISSUER: usize = 0;
const TEXT: &str = "invoice 7";

async fn start() -> Arc<Fleet> {
    Arc::new(Fleet::start(FleetConfig::new()).await)
}

/// Slows the leafs down, so that a test can act during a run.
fn slow_down(fleet: &Fleet) {
    for leaf in fleet.deployment().leafs() {
        leaf.update_faults(|faults| faults.extra_delay = Duration::from_millis(800));
    }
}

fn submit(fleet: &Arc<Fleet>, daemon: usize, body: &Value) -> JoinHandle<Option<Reply>> {
    let (fleet, body) = (Arc::clone(fleet), body.clone());
    tokio::spawn(async move { fleet.try_query(daemon, &body).await })
}

/// Returns the number of runs of the text on the shard that ran it most often.
fn max_runs_per_shard(fleet: &Fleet, text: &str) -> usize {
    let mut runs = BTreeMap::<u32, usize>::new();
    for run in fleet
        .deployment()
        .leafs()
        .flat_map(stand_ins::leaf::FakeLeaf::runs)
    {
        if run.query == text {
            *runs.entry(run.shard).or_default() += 1;
        }
    }
    runs.into_values().max().unwrap_or(0)
}

async fn wait_for_run(fleet: &Fleet) {
    wait_until("a leaf runs the request", WAIT_TIMEOUT, async || {
        max_runs_per_shard(fleet, TEXT) > 0
    })
    .await;
}

/// Guards against running several submissions of one ticket, concurrently or one after another.
#[tokio::test(flavor = "multi_thread")]
async fn resubmissions_through_every_daemon_run_once() {
    let fleet = start().await;
    slow_down(&fleet);
    let ticket = fleet.ticket(ISSUER, TEAM).await;
    let body = ticketed(TEXT, &ticket, 8000);
    let copies: Vec<_> = (0..9)
        .map(|copy| submit(&fleet, copy % fleet.len(), &body))
        .collect();
    let mut first_answers = 0;
    for copy in copies {
        let reply = copy.await.unwrap().expect("a reply");
        check_complete(&reply, TEXT, SHARDS);
        first_answers += u32::from(reply.body["replayed"] == false);
    }
    assert_eq!(first_answers, 1);
    for daemon in 0..fleet.len() {
        let reply = fleet.query(daemon, &body).await;
        check_complete(&reply, TEXT, SHARDS);
        assert_eq!(reply.body["replayed"], true, "{}", reply.text);
    }
    assert_eq!(max_runs_per_shard(&fleet, TEXT), 1);

    let other = fleet.query(1, &ticketed("invoice 8", &ticket, 2000)).await;
    assert_ne!(
        other.outcome(),
        "complete",
        "a used ticket ran another request: {}",
        other.text
    );
    assert_eq!(max_runs_per_shard(&fleet, "invoice 8"), 0);
}

/// Guards against a second run when the entry was killed and its caller sends the request again.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_entry_causes_no_second_run() {
    let fleet = start().await;
    slow_down(&fleet);
    let body = ticketed(TEXT, &fleet.ticket(ISSUER, TEAM).await, 6000);
    let first = submit(&fleet, 1, &body);
    wait_for_run(&fleet).await;
    fleet.kill(1);
    assert!(first.await.unwrap().is_none());
    let reply = fleet.query(2, &body).await;
    check_answer(&reply, TEXT, SHARDS);
    assert_ne!(reply.outcome(), "not_run", "a leaf ran it: {}", reply.text);
    assert_eq!(max_runs_per_shard(&fleet, TEXT), 1);
}

/// Guards against a second run, or the outcome `not_run`, after the issuer was killed during a run.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_issuer_makes_the_outcome_unknown() {
    let fleet = start().await;
    slow_down(&fleet);
    let unused = ticketed("invoice 9", &fleet.ticket(ISSUER, TEAM).await, 1500);
    let body = ticketed(TEXT, &fleet.ticket(ISSUER, TEAM).await, 4000);
    let first = submit(&fleet, 1, &body);
    wait_for_run(&fleet).await;
    fleet.kill(ISSUER);
    let reply = first.await.unwrap().expect("a reply of the entry");
    assert_eq!(reply.outcome(), "unknown", "{}", reply.text);
    for restarted in [false, true] {
        if restarted {
            fleet.restart(ISSUER).await;
        }
        for daemon in usize::from(!restarted)..fleet.len() {
            for body in [&body, &unused] {
                let reply = fleet.query(daemon, body).await;
                assert_eq!(reply.outcome(), "unknown", "{}", reply.text);
            }
        }
    }
    assert_eq!(max_runs_per_shard(&fleet, TEXT), 1);
    assert_eq!(max_runs_per_shard(&fleet, "invoice 9"), 0);
}

/// Pauses the issuer before or during the run of a request, sends the request again through the
/// other daemons after its deadline, and through every daemon after the issuer resumed.
async fn check_paused_issuer(pause_during_run: bool) {
    let fleet = start().await;
    slow_down(&fleet);
    let body = ticketed(TEXT, &fleet.ticket(ISSUER, TEAM).await, 1500);
    let mut first = None;
    if pause_during_run {
        first = Some(submit(&fleet, 1, &body));
        wait_for_run(&fleet).await;
    }
    fleet.signal(ISSUER, Signal::Stop);
    let first = first.unwrap_or_else(|| submit(&fleet, 1, &body));
    let first = first.await.unwrap().expect("a reply of the entry");
    assert_eq!(first.outcome(), "unknown", "{}", first.text);
    let resent: Vec<_> = [1, 2].map(|daemon| submit(&fleet, daemon, &body)).into();
    for copy in resent {
        let reply = copy.await.unwrap().expect("a reply of the entry");
        assert_eq!(reply.outcome(), "unknown", "{}", reply.text);
    }
    fleet.signal(ISSUER, Signal::Continue);
    for round in 0..4 {
        for daemon in 0..fleet.len() {
            if let Some(reply) = fleet.try_query(daemon, &body).await {
                check_answer(&reply, TEXT, SHARDS);
                let ran = max_runs_per_shard(&fleet, TEXT) > 0;
                // A complete answer must come from a run; a refusal while the issuer rejoins is
                // correct as well.
                assert!(
                    ran || reply.outcome() != "complete",
                    "round {round}: {}",
                    reply.text
                );
            }
        }
    }
    assert!(
        max_runs_per_shard(&fleet, TEXT) <= 1,
        "{} runs",
        max_runs_per_shard(&fleet, TEXT)
    );
}

/// Guards against an issuer that, when resumed, runs every submission received while it was paused,
/// long after their deadlines.
#[tokio::test(flavor = "multi_thread")]
async fn an_issuer_paused_before_the_run_runs_it_at_most_once() {
    check_paused_issuer(false).await;
}

/// Guards against a second run when the issuer was paused during the first.
#[tokio::test(flavor = "multi_thread")]
async fn an_issuer_paused_during_the_run_runs_it_at_most_once() {
    check_paused_issuer(true).await;
}
