//! Events recorded by real daemons must replay with the same outcomes.

mod fleet;

use std::sync::Arc;
use std::time::Duration;

use replay::prelude::*;
use serde_json::Value;

use crate::fleet::config::{FleetConfig, check_answer, query};
use crate::fleet::load::Load;
use crate::fleet::{Fleet, WAIT_TIMEOUT, wait_until};

const LEAF: &str = "order-desk-0";

async fn post_to_all(fleet: &Fleet, path: &str) {
    for daemon in 0..fleet.len() {
        let address = fleet.operator_address(daemon);
        let reply = fleet.client.post(address, path, &Value::Null).await;
        assert_eq!(reply.expect("a reply").status, 204);
    }
}

async fn fetch_trace(fleet: &Fleet, daemon: usize) -> String {
    let address = fleet.operator_address(daemon);
    let reply = fleet.client.get(address, "/trace").await;
    reply.expect("a reply").text
}

async fn check_traces(fleet: &Fleet, texts: &[String], expected_parts: &[&str]) {
    let mut recorded = String::new();
    for daemon in 0..fleet.len() {
        let text = fetch_trace(fleet, daemon).await;
        let trace = Trace::parse(&text).unwrap_or_else(|error| panic!("{error}"));
        assert!(trace.events.len() <= 4_096);
        let replayed =
            replay(&trace).unwrap_or_else(|error| panic!("vm-{daemon}: {error}: {text}"));
        assert_eq!(replayed, trace.events.len());
        recorded.push_str(&text);
    }
    for part in expected_parts {
        assert!(recorded.contains(part), "no trace contains {part}");
    }
    for text in texts {
        assert!(
            !recorded.contains(text.as_str()),
            "a trace contains the query text {text:?}"
        );
    }
}

/// Guards against recordings that replay differently from what the daemon decided, and against
/// query texts in recordings.
#[tokio::test(flavor = "multi_thread")]
async fn a_straggler_and_a_lost_leaf_are_recorded_as_decided() {
    let fleet = Arc::new(Fleet::start(FleetConfig::new()).await);
    assert!(
        !fetch_trace(&fleet, 0).await.contains("\"on\""),
        "recording must be off by default"
    );
    let load = Load::start(&fleet, 4, 2000);
    load.wait_answers(50).await;
    // Recording starts in the middle of the leafs' histories.
    post_to_all(&fleet, "/trace/start").await;
    let leaf = fleet.deployment().leaf(LEAF);
    leaf.update_faults(|faults| faults.extra_delay = Duration::from_millis(500));
    load.wait_answers(50).await;
    leaf.clear_faults();
    leaf.go_down(None);
    load.wait_answers(50).await;
    leaf.come_up();
    let before = leaf.run_count();
    wait_until("the leaf works again", WAIT_TIMEOUT, async || {
        leaf.run_count() > before
    })
    .await;
    // A query text that has never run needs a canary.
    let reply = fleet.query(0, &query("unproven", 2000)).await;
    check_answer(&reply, "unproven", 6);
    post_to_all(&fleet, "/trace/stop").await;
    let sent = load.stop().await;
    let mut texts: Vec<String> = sent.into_iter().map(|sent| sent.text).collect();
    texts.push("unproven".to_owned());
    let expected_parts = [
        "\"leaf order-desk/order-desk-0\"",
        "\"connection_lost\"",
        "\"condition\":\"lost\"",
        "\"sent\"",
        "\"answered\"",
        "\"health\"",
        "\"start_canary\"",
        "\"canary_ok\"",
    ];
    check_traces(&fleet, &texts, &expected_parts).await;
}
