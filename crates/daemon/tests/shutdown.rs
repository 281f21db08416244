//! A graceful shutdown cuts off no request.

mod fleet;

use std::sync::Arc;
use std::time::Duration;

use crate::fleet::config::{FleetConfig, TEAM, check_complete, query, ticketed};
use crate::fleet::load::Load;
use crate::fleet::process::Signal;
use crate::fleet::{Fleet, WAIT_TIMEOUT, wait_until};

const SHARDS: u32 = 6;

/// Guards against requests that are refused, cut off or answered only in part during a rolling
/// restart.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_under_load_loses_no_request() {
    let mut config = FleetConfig::new();
    config.daemons = 4;
    let fleet = Arc::new(Fleet::start(config).await);
    let load = Load::start(&fleet, 8, 5000);
    load.wait_answers(100).await;
    for daemon in 0..fleet.len() {
        fleet.signal(daemon, Signal::Term);
        let status = fleet.wait_exit(daemon).await;
        assert!(status.success(), "vm-{daemon} exited with {status}");
        fleet.restart(daemon).await;
        load.wait_answers(50).await;
    }
    let sent = load.stop().await;
    for sent in &sent {
        let reply = sent.reply.as_ref();
        let reply = reply.unwrap_or_else(|| panic!("vm-{} cut off {}", sent.daemon, sent.text));
        check_complete(reply, &sent.text, SHARDS);
    }
}

/// Guards against a daemon that exits before requests in flight finish: those it received from
/// callers, those it gathers for other daemons and those whose ticket it issued.
#[tokio::test(flavor = "multi_thread")]
async fn requests_in_flight_finish_before_exit() {
    for stopped in 0..3 {
        let fleet = Arc::new(Fleet::start(FleetConfig::new()).await);
        // Brings the leafs out of slow start. With one request at a time for each leaf, the slow
        // queries would exceed the longest deadline whether or not a daemon stops.
        let load = Load::start(&fleet, 8, 5000);
        load.wait_answers(400).await;
        load.stop().await;
        let ticket = fleet.ticket(stopped, TEAM).await;
        for leaf in fleet.deployment().leafs() {
            leaf.update_faults(|faults| faults.extra_delay = Duration::from_millis(1200));
        }
        let bodies = [query("slow", 9000), ticketed("slow once", &ticket, 9000)];
        let before = fleet.deployment().total_runs();
        let mut tasks = Vec::new();
        for daemon in 0..fleet.len() {
            for body in bodies.clone() {
                let fleet = Arc::clone(&fleet);
                tasks.push(tokio::spawn(async move {
                    let reply = fleet.try_query(daemon, &body).await.expect("a reply");
                    check_complete(&reply, body["query"].as_str().unwrap(), SHARDS);
                }));
            }
        }
        // Two runs are the canaries of the two texts, so both queries are in flight.
        wait_until("leafs run", WAIT_TIMEOUT, async || {
            fleet.deployment().total_runs() >= before + 2
        })
        .await;
        fleet.signal(stopped, Signal::Term);
        let status = fleet.wait_exit(stopped).await;
        assert!(status.success(), "vm-{stopped} exited with {status}");
        for task in tasks {
            task.await.unwrap();
        }
    }
}
