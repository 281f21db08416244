//! The platform's configuration service is down, serves stale settings or gets invalid or
//! conflicting ones. The tests observe the settings in force through queries of the teams that they
//! name.

mod fleet;

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use stand_ins::prelude::*;

use crate::fleet::config::{FleetConfig, QUERY_SERVICE, TEAM, check_complete, query};
use crate::fleet::load::Load;
use crate::fleet::{Fleet, WAIT_TIMEOUT, wait_until};

const SHARDS: u32 = 6;
/// Requirement P8: a published change is in force on every daemon within this time.
const CHANGE_LIMIT: Duration = Duration::from_secs(6);

async fn start() -> Arc<Fleet> {
    let mut config = FleetConfig::new();
    // Short enough that several watches time out during each outage.
    config.set("watch_wait_ms", json!(500));
    Arc::new(Fleet::start(config).await)
}

fn query_as(team: &str, deadline_ms: u64) -> Value {
    json!({ "team": team, "service": QUERY_SERVICE, "query": "q", "deadline_ms": deadline_ms })
}

async fn is_known(fleet: &Fleet, daemon: usize, team: &str) -> bool {
    let reply = fleet.query(daemon, &query_as(team, 2000)).await;
    assert!(
        [200, 206, 404, 503].contains(&reply.status),
        "{}",
        reply.text
    );
    reply.status == 200
}

/// Waits until a daemon serves a team that must never be missing from its settings.
async fn check_kept(fleet: &Fleet, daemon: usize, team: &str) {
    wait_until(
        &format!("vm-{daemon} serves team {team}"),
        WAIT_TIMEOUT,
        async || {
            let reply = fleet.query(daemon, &query_as(team, 2000)).await;
            assert_ne!(
                reply.status, 404,
                "vm-{daemon} does not know the team: {}",
                reply.text
            );
            reply.status == 200
        },
    )
    .await;
}

/// Waits until every daemon serves the team.
async fn wait_known(fleet: &Fleet, team: &str, timeout: Duration) {
    let start = Instant::now();
    for daemon in 0..fleet.len() {
        let time_left = timeout.saturating_sub(start.elapsed());
        let what = format!("vm-{daemon} serves team {team}");
        wait_until(&what, time_left, async || {
            is_known(fleet, daemon, team).await
        })
        .await;
    }
}

/// Guards against changes that take longer than required or do not reach every daemon.
#[tokio::test(flavor = "multi_thread")]
async fn changes_are_in_force_everywhere_in_time() {
    let fleet = start().await;
    for number in 0..8 {
        let team = format!("team-{number}");
        fleet.deployment().publish_team(&TeamConfig::new(&team));
        wait_known(&fleet, &team, CHANGE_LIMIT).await;
    }
}

/// Guards against changes that reach only the daemons that watch the platform. Three of these six
/// watch; the others learn by gossip.
#[tokio::test(flavor = "multi_thread")]
async fn changes_reach_daemons_that_do_not_watch() {
    let mut config = FleetConfig::new();
    config.daemons = 6;
    config.deployment.failure_domains = 1;
    config.service().replicas = 1;
    let fleet = Fleet::start(config).await;
    for number in 0..3 {
        let team = format!("team-{number}");
        fleet.deployment().publish_team(&TeamConfig::new(&team));
        wait_known(&fleet, &team, CHANGE_LIMIT).await;
    }
}

/// Guards against an outage that affects queries, and against changes missed after it.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_changes_nothing() {
    let fleet = start().await;
    let load = Load::start(&fleet, 4, 2000);
    load.wait_answers(50).await;
    fleet.platform().set_mode(PlatformMode::Down);
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until {
        load.wait_answers(20).await;
    }
    for sent in load.stop().await {
        check_complete(&sent.reply.expect("a reply"), &sent.text, SHARDS);
    }
    fleet.deployment().publish_team(&TeamConfig::new("late"));
    fleet.platform().set_mode(PlatformMode::Up);
    wait_known(&fleet, "late", WAIT_TIMEOUT).await;
}

/// Guards against a stale platform replica that reverts an accepted change.
#[tokio::test(flavor = "multi_thread")]
async fn a_stale_revision_reverts_nothing() {
    let fleet = start().await;
    let old = fleet.platform().snapshot();
    fleet.deployment().publish_team(&TeamConfig::new("added"));
    wait_known(&fleet, "added", WAIT_TIMEOUT).await;
    fleet.platform().serve_snapshot(&old);
    fleet.kill(0);
    fleet.restart(0).await;
    let calls = fleet.platform().calls();
    wait_until("the stale tree is read", WAIT_TIMEOUT, async || {
        fleet.platform().calls() > calls + 10
    })
    .await;
    for daemon in 0..fleet.len() {
        check_kept(&fleet, daemon, "added").await;
    }
}

/// Guards against an invalid text that removes the valid one before it or holds back other changes,
/// and against a restarted daemon that lacks the valid text.
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_subtree_keeps_the_old_one() {
    let fleet = start().await;
    let added = TeamConfig::new("added").text();
    let texts = [
        ("teams/orders", "{ \"weight\": "),
        ("teams/added", added.as_str()),
    ];
    fleet.platform().set_many(&texts);
    wait_known(&fleet, "added", WAIT_TIMEOUT).await;
    fleet.kill(1);
    fleet.restart(1).await;
    for daemon in 0..fleet.len() {
        check_kept(&fleet, daemon, TEAM).await;
        let state = fleet.state(daemon).await.expect("a state dump").to_string();
        assert!(
            state.contains("teams/orders"),
            "the state of vm-{daemon} does not list the rejected text"
        );
    }
}

/// Guards against concurrent changes of two writers that daemons apply in different orders.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_writers_converge_on_all_daemons() {
    let fleet = start().await;
    let caps = [1000, 5000];
    let writers = caps.map(|cap| {
        let fleet = Arc::clone(&fleet);
        std::thread::spawn(move || {
            let mut team = TeamConfig::new("racers");
            (team.deadline_default_ms, team.deadline_cap_ms) = (500, cap);
            (0..50)
                .map(|_| fleet.deployment().publish_team(&team))
                .max()
        })
    });
    let last = writers.map(|writer| writer.join().unwrap());
    // A deadline between the two caps is valid only under the higher cap.
    let expected = if last[0] > last[1] { 422 } else { 200 };
    let status = async |daemon| fleet.query(daemon, &query_as("racers", 3000)).await.status;
    for daemon in 0..fleet.len() {
        let what = format!("vm-{daemon} uses the last writer's settings");
        wait_until(&what, CHANGE_LIMIT, async || {
            status(daemon).await == expected
        })
        .await;
    }
    for _ in 0..30 {
        for daemon in 0..fleet.len() {
            assert_eq!(status(daemon).await, expected, "vm-{daemon} reverted");
        }
    }
}

/// Guards against a daemon that cannot start while the configuration service is down.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_started_in_an_outage_learns_from_its_peers() {
    let fleet = start().await;
    fleet.deployment().publish_team(&TeamConfig::new("added"));
    wait_known(&fleet, "added", WAIT_TIMEOUT).await;
    fleet.platform().set_mode(PlatformMode::SettingsDown);
    for daemon in 0..fleet.len() {
        fleet.kill(daemon);
        fleet.restart(daemon).await;
        check_kept(&fleet, daemon, "added").await;
        fleet.wait_complete(daemon).await;
    }
}

/// Guards against a daemon without settings that answers anything but `not_run`.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_without_settings_runs_nothing() {
    let fleet = Fleet::prepare(FleetConfig::new()).await;
    // The list names only this daemon, because it waits for all listed VMs and the others never
    // start.
    fleet.publish_vms(&[0]);
    fleet.platform().set_mode(PlatformMode::Down);
    fleet.start_daemon(0);
    wait_until("the daemon accepts queries", WAIT_TIMEOUT, async || {
        let Some(reply) = fleet.try_query(0, &query("q", 1000)).await else {
            return false;
        };
        assert_eq!(
            (reply.status, reply.outcome()),
            (503, "not_run"),
            "{}",
            reply.text
        );
        assert!(!fleet.is_ready(0).await);
        // The state dump shows the refusal and its reason.
        let state = fleet.state(0).await.expect("a state");
        assert_eq!(state["recent"][0]["reason"], "starting");
        assert_eq!(
            state["recent"][0]["request_id"], reply.body["request_id"],
            "{}",
            reply.text
        );
        true
    })
    .await;
    fleet.platform().set_mode(PlatformMode::Up);
    fleet.wait_ready(0).await;
    assert_eq!(fleet.deployment().total_requests(), 0);
    fleet.wait_complete(0).await;
}
