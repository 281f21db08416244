//! Queries through a fleet of three daemons: every outcome, and every refusal of invalid input.

mod fleet;

use std::time::Duration;

use serde_json::{Value, json};
use stand_ins::prelude::*;

use crate::fleet::config::{
    FIRST_VERSION, FleetConfig, QUERY_SERVICE, TEAM, check_answer, check_complete, query,
};
use crate::fleet::{Fleet, WAIT_TIMEOUT, wait_until};

const SHARDS: u32 = 6;

/// Guards against lost, foreign or duplicate rows, and against shards that leafs run more often
/// than the answer reports.
#[tokio::test(flavor = "multi_thread")]
async fn complete_answers_contain_every_row_once() {
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

    let mut two_shards = query("smoked", 5000);
    two_shards["shards"] = json!([4, 1]);
    let before = fleet.deployment().total_runs();
    let reply = fleet.query(1, &two_shards).await;
    assert_eq!(
        (reply.outcome(), reply.covered()),
        ("complete", vec![1, 4]),
        "{}",
        reply.text
    );
    let extra = reply.body["extra_leaf_requests"].as_u64().unwrap();
    assert!(fleet.deployment().total_runs() - before <= 2 + extra);
}

/// Guards against an answer that reports a missing shard as covered, or leaves out a shard that has
/// a live replica.
#[tokio::test(flavor = "multi_thread")]
async fn partial_answers_list_the_uncovered_shards() {
    let fleet = Fleet::start(FleetConfig::new()).await;
    let lost_leafs = fleet.deployment().replicas(QUERY_SERVICE, FIRST_VERSION, 0);
    for leaf in &lost_leafs {
        fleet.deployment().leaf(leaf).go_down(None);
    }
    let expected: Vec<u64> = (0..SHARDS)
        .filter(|shard| {
            let replicas = fleet
                .deployment()
                .replicas(QUERY_SERVICE, FIRST_VERSION, *shard);
            replicas.iter().any(|leaf| !lost_leafs.contains(leaf))
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
                // All daemons run, so a lost gatherer must not be given as the reason.
                let gatherer_lost = |(_, reason): &(u64, String)| reason == "gatherer_lost";
                assert!(
                    !reply.uncovered().iter().any(gatherer_lost),
                    "{}",
                    reply.text
                );
                reply.covered() == expected
            },
        )
        .await;
    }
}

/// Guards against the outcome `not_run` after a leaf ran the query, or without a retry-after time.
#[tokio::test(flavor = "multi_thread")]
async fn not_run_means_that_no_leaf_ran_the_query() {
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

/// Guards against the outcome `not_run` after leafs ran the query but sent unusable replies.
#[tokio::test(flavor = "multi_thread")]
async fn runs_without_a_usable_reply_have_an_unknown_outcome() {
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

/// Returns invalid requests: method, path, content type, body and the expected status.
fn invalid_requests() -> Vec<Case> {
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
    let valid = query("smoked", 1000).to_string();
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
        ("POST", "/v2/query", json, valid.clone(), 404),
        (
            "POST",
            "/v1/tickets",
            json,
            json!({ "team": "nobody" }).to_string(),
            404,
        ),
        ("GET", "/v1/query", None, String::new(), 405),
        ("PUT", "/v1/query", json, valid.clone(), 405),
        (
            "POST",
            "/v1/query",
            json,
            with("query", json!("x".repeat(4 << 20))),
            413,
        ),
        ("POST", "/v1/query", Some("text/plain"), valid.clone(), 415),
        ("POST", "/v1/query", None, valid, 415),
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

/// Guards against invalid input that reaches a leaf, or gets a reply without an error code or a
/// status 500.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_and_reach_no_leaf() {
    let fleet = Fleet::start(FleetConfig::new()).await;
    let before = fleet.deployment().total_requests();
    for (method, path, content_type, body, status) in invalid_requests() {
        let body_start: String = body.chars().take(80).collect();
        let case = format!("{method} {path} {content_type:?} {body_start}");
        let address = fleet.query_address(0);
        let reply = fleet
            .client
            .send(method, address, path, content_type, body)
            .await;
        let reply = reply.unwrap_or_else(|| panic!("no reply to {case}"));
        assert_eq!(reply.status, status, "{case}: {}", reply.text);
        assert!(
            reply.body["error"].is_string(),
            "{case}: no error code in {:?}",
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
