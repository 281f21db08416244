//! A query's whole path through three daemons: each outcome and each refusal of bad input.

mod fleet;

use std::time::Duration;

use serde_json::{Value, json};
use stand_ins::prelude::*;

use crate::fleet::config::{
    FIRST_VERSION, FleetConfig, QUERY_SERVICE, TEAM, check_answer, check_complete, query,
};
use crate::fleet::{Fleet, WAIT_TIMEOUT, wait_until};

const SHARDS: u32 = 6;

/// Guards against rows that are lost, foreign or doubled, and against leafs that work twice.
#[tokio::test(flavor = "multi_thread")]
async fn complete_answers_hold_every_row() {
    let fleet = Fleet::start(FleetConfig::new()).await;
    let mut allowed_runs = fleet.deployment().total_runs();
    for (daemon, text) in [
        (0, "smoked"),
        (1, "salted"),
        (2, "smoked"),
        (0, "smoked \"é\"\n"),
    ] {
        let reply = fleet.query(daemon, &query(text, 5000)).await;
        check_complete(&reply, text, SHARDS);
        assert_eq!(reply.body["team"], TEAM);
        assert_eq!(reply.body["service"], QUERY_SERVICE);
        assert_eq!(reply.body["replayed"], false);
        allowed_runs += u64::from(SHARDS) + reply.body["extra_leaf_requests"].as_u64().unwrap();
    }
    assert!(fleet.deployment().total_runs() <= allowed_runs);

    let mut some = query("smoked", 5000);
    some["shards"] = json!([4, 1]);
    let before = fleet.deployment().total_runs();
    let reply = fleet.query(1, &some).await;
    assert_eq!(
        (reply.outcome(), reply.covered()),
        ("complete", vec![1, 4]),
        "{}",
        reply.text
    );
    let extra = reply.body["extra_leaf_requests"].as_u64().unwrap();
    assert!(fleet.deployment().total_runs() - before <= 2 + extra);
}

/// Guards against an answer that claims shards it lacks, or that gives up shards it could reach.
#[tokio::test(flavor = "multi_thread")]
async fn partial_answers_name_the_missing_shards() {
    let fleet = Fleet::start(FleetConfig::new()).await;
    let lost = fleet.deployment().replicas(QUERY_SERVICE, FIRST_VERSION, 0);
    for leaf in &lost {
        fleet.deployment().leaf(leaf).go_down(None);
    }
    let expected: Vec<u64> = (0..SHARDS)
        .filter(|shard| {
            let replicas = fleet
                .deployment()
                .replicas(QUERY_SERVICE, FIRST_VERSION, *shard);
            replicas.iter().any(|leaf| !lost.contains(leaf))
        })
        .map(u64::from)
        .collect();
    assert!(expected.len() < SHARDS as usize);
    for daemon in 0..fleet.len() {
        wait_until(
            "all shards with a live replica are covered",
            WAIT_TIMEOUT,
            async || {
                let reply = fleet.query(daemon, &query("smoked", 800)).await;
                check_answer(&reply, "smoked", SHARDS);
                assert_ne!(reply.outcome(), "complete", "{}", reply.text);
                // All daemons run, so a missing shard must not be blamed on one of them.
                let blamed = |(_, reason): &(u64, String)| reason == "gatherer_lost";
                assert!(!reply.uncovered().iter().any(blamed), "{}", reply.text);
                reply.covered() == expected
            },
        )
        .await;
    }
}

/// Guards against a refusal of a request that a leaf ran, and against one without a retry time.
#[tokio::test(flavor = "multi_thread")]
async fn not_run_means_that_no_leaf_ran_it() {
    let fleet = Fleet::start(FleetConfig::new()).await;
    for leaf in fleet.deployment().leafs() {
        let refusal = Refusal::Shedding {
            retry_after: Duration::from_millis(50),
        };
        leaf.update_faults(|faults| faults.refusal = Some(refusal));
    }
    let before = fleet.deployment().total_runs();
    for daemon in 0..fleet.len() {
        let reply = fleet.query(daemon, &query("smoked", 500)).await;
        check_answer(&reply, "smoked", SHARDS);
        assert_eq!(reply.outcome(), "not_run", "{}", reply.text);
        assert!(reply.body["reason"].is_string(), "{}", reply.text);
        assert!(reply.body["retry_after_ms"].is_u64(), "{}", reply.text);
        assert!(
            reply.headers.contains_key("retry-after"),
            "{:?}",
            reply.headers
        );
    }
    assert_eq!(fleet.deployment().total_runs(), before);
}

/// Guards against `not_run` after a run whose replies could not be used.
#[tokio::test(flavor = "multi_thread")]
async fn runs_without_a_usable_reply_are_unknown() {
    let fleet = Fleet::start(FleetConfig::new()).await;
    for leaf in fleet.deployment().leafs() {
        leaf.update_faults(|faults| faults.reply = ReplyFault::Garbage);
    }
    for daemon in 0..fleet.len() {
        let before = fleet.deployment().total_runs();
        let reply = fleet.query(daemon, &query("smoked", 500)).await;
        check_answer(&reply, "smoked", SHARDS);
        assert!(fleet.deployment().total_runs() > before);
        assert_eq!(reply.outcome(), "unknown", "{}", reply.text);
    }
}

type Case = (
    &'static str,
    &'static str,
    Option<&'static str>,
    String,
    u16,
);

/// Returns method, path, content type, body and the status expected.
fn bad_input() -> Vec<Case> {
    let with = |key: &str, value: Value| {
        let mut body = query("smoked", 1000);
        body[key] = value;
        body.to_string()
    };
    let without = |key: &str| {
        let mut body = query("smoked", 1000);
        body.as_object_mut().unwrap().remove(key);
        body.to_string()
    };
    let json = Some("application/json");
    let good = query("smoked", 1000).to_string();
    vec![
        ("POST", "/v1/query", json, "{\"team\": ".to_owned(), 400),
        ("POST", "/v1/query", json, String::new(), 400),
        ("POST", "/v1/query", json, "[]".to_owned(), 400),
        ("POST", "/v1/query", json, "[".repeat(10_000), 400),
        ("POST", "/v1/query", json, without("team"), 400),
        ("POST", "/v1/query", json, without("service"), 400),
        ("POST", "/v1/query", json, without("query"), 400),
        ("POST", "/v1/query", json, with("query", json!(7)), 400),
        ("POST", "/v1/query", json, with("shards", json!([-1])), 400),
        (
            "POST",
            "/v1/query",
            json,
            with("deadline_ms", json!("soon")),
            400,
        ),
        (
            "POST",
            "/v1/query",
            json,
            with("team", json!("nobody")),
            404,
        ),
        (
            "POST",
            "/v1/query",
            json,
            with("team", json!("../teams/orders")),
            404,
        ),
        (
            "POST",
            "/v1/query",
            json,
            with("service", json!("nowhere")),
            404,
        ),
        ("POST", "/v2/query", json, good.clone(), 404),
        (
            "POST",
            "/v1/tickets",
            json,
            json!({ "team": "nobody" }).to_string(),
            404,
        ),
        ("GET", "/v1/query", None, String::new(), 405),
        ("PUT", "/v1/query", json, good.clone(), 405),
        (
            "POST",
            "/v1/query",
            json,
            with("query", json!("x".repeat(4 << 20))),
            413,
        ),
        ("POST", "/v1/query", Some("text/plain"), good.clone(), 415),
        ("POST", "/v1/query", None, good, 415),
        (
            "POST",
            "/v1/query",
            json,
            with("deadline_ms", json!(0)),
            422,
        ),
        (
            "POST",
            "/v1/query",
            json,
            with("deadline_ms", json!(u64::MAX)),
            422,
        ),
        (
            "POST",
            "/v1/query",
            json,
            with("idempotent", json!(false)),
            422,
        ),
    ]
}

/// Guards against bad input that reaches a leaf, gets an untyped reply or a bare 500.
#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused_and_reaches_no_leaf() {
    let fleet = Fleet::start(FleetConfig::new()).await;
    let before = fleet.deployment().total_requests();
    for (method, path, content_type, body, status) in bad_input() {
        let shown: String = body.chars().take(80).collect();
        let case = format!("{method} {path} {content_type:?} {shown}");
        let address = fleet.query_address(0);
        let reply = fleet
            .client
            .send(method, address, path, content_type, body)
            .await;
        let reply = reply.unwrap_or_else(|| panic!("no reply to {case}"));
        assert_eq!(reply.status, status, "{case}: {}", reply.text);
        assert!(
            reply.body["error"].is_string(),
            "{case}: untyped {:?}",
            reply.text
        );
    }
    assert_eq!(fleet.deployment().total_requests(), before);
    check_complete(
        &fleet.query(0, &query("smoked", 5000)).await,
        "smoked",
        SHARDS,
    );
}
