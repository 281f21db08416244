//! Runs commands against a fake daemon that serves a fixed state and fixed answers, and checks their
//! output and exit codes.

#![expect(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes the hashes when it updates an expectation"
)]

use std::net::SocketAddr;

use axum::Router;
use axum::http::StatusCode;
use axum::routing::{get, post};
use expect_test::{Expect, expect};
use tokio::process::Command;

const STATE: &str = include_str!("state.json");

/// Serves a state; the team of a query selects the status and body of the answer.
async fn start_fake_daemon(state: &'static str) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let app = Router::new()
        .route("/state", get(async move || state))
        .route(
            "/v1/tickets",
            post(async || r#"{"ticket": "t-1", "expires_in_ms": 600000}"#),
        )
        .route("/v1/query", post(answer_query));
    tokio::spawn(async move { axum::serve(listener, app).await });
    address
}

async fn answer_query(body: String) -> (StatusCode, String) {
    let body: serde_json::Value = serde_json::from_str(&body).unwrap();
    let (status, answer) = match body["team"].as_str().unwrap() {
        "partial" => (
            206,
            r#"{"outcome": "partial", "covered": [0, 2], "index_version": 7,
            "uncovered": [{"shard": 1, "reason": "leaf_lost"}], "rows": [{"shard": 0, "row": "a\u001b"}],
            "elapsed_ms": 12, "extra_leaf_requests": 1, "request_id": "0f3c"}"#,
        ),
        "not-run" => (
            503,
            r#"{"outcome": "not_run", "reason": "rate_limit", "retry_after_ms": 20}"#,
        ),
        "once" if body["ticket"] == "t-1" && body["idempotent"] == false => {
            (504, r#"{"outcome": "unknown"}"#)
        }
        "complete" if body["shards"] == serde_json::json!([4]) && body["deadline_ms"] == 90 => {
            (200, r#"{"outcome": "complete"}"#)
        }
        _ => (404, r#"{"error": "unknown_team"}"#),
    };
    (StatusCode::from_u16(status).unwrap(), answer.to_owned())
}

async fn run_medlarpin(address: SocketAddr, arguments: &[&str]) -> (String, Option<i32>) {
    let output = Command::new(env!("CARGO_BIN_EXE_medlarpin"))
        .args(arguments)
        .env("MEDLARPIN_OPERATOR", address.to_string())
        .env("MEDLARPIN_QUERY", address.to_string())
        .output()
        .await
        .unwrap();
    (
        String::from_utf8(output.stdout).unwrap(),
        output.status.code(),
    )
}

async fn assert_output(arguments: &[&str], code: i32, expected: Expect) {
    let (stdout, found) = run_medlarpin(start_fake_daemon(STATE).await, arguments).await;
    expected.assert_eq(&stdout);
    assert_eq!(found, Some(code));
}

#[tokio::test]
async fn status_and_team_commands_show_the_state() {
    assert_output(
        &["status"],
        0,
        expect![[r#"
            vm           drying-01 in agadir-drying, souss-coast; incarnation 17
            ready        yes, up 1 h 2 min
            settings     revision 41, digest ab12, age 2.1 s, 0 conflicts, 1 rejected
              rejected   teams/x at revision 40: unknown key
            vm list      revision 9, 2 VMs
            members      1 suspect; not usable: store-02
            groups       1 held here of 1, 0 without an active holder
            leafs held   1 ready
            service      order-desk: versions 1, 2; 2 shards
            quarantined  00000000000000aa, 1 min 1 s left
            tickets      24 kept, with 4356 bytes of outcomes
        "#]],
    )
    .await;
    assert_output(
        &["teams"],
        0,
        expect![[r#"
        TEAM        WEIGHT  RATE/S  SHARE/S  LIMIT  SHARE  RUNNING  ADMITTED  REFUSED
        order-desk  4       400     20.050   120    6      2        900       9
    "#]],
    )
    .await;
    assert_output(
        &["team", "order-desk"],
        0,
        expect![[r#"
            team          order-desk
            weight        4
            rate          400 queries/s over all daemons, 20.050 here
            concurrency   120 queries over all daemons, 6 here, 2 running here
            admitted      900
            extra budget  3
            refused       9
                          7 rate_limit: the team is above its rate limit; see `medlarpin team`
                          2 overloaded: the fair queues cannot serve the query in time
            not run       0f3c9a17000000000000000000000001 rate_limit, 1 min 1 s ago
        "#]],
    )
    .await;
    assert_output(&["team", "order-desks"], 8, expect![""]).await;
}

/// Guards against a status of a daemon with published routes that hides its evacuated failure domains, or that
/// says it is not ready.
#[tokio::test]
async fn status_shows_the_evacuated_domains_of_a_router() {
    const STATE: &str = r#"{"vm": "drying-01", "is_ready": true, "is_stopping": false, "config_version": 7,
        "era": 2, "revision": 41, "store_silent_ms": 300, "leafs": [{"leaf": "a0"}, {"leaf": "a1"}],
        "evacuated_domains": [
            {"failure_domain": "z1", "evacuated_ms": 61000, "revision": 40, "leafs": 1, "in_flight": 3,
            "kept_ms": null},
            {"failure_domain": "z2", "evacuated_ms": 900, "revision": 39, "leafs": 1, "in_flight": 0,
            "kept_ms": 4200}]}"#;
    let address = start_fake_daemon(STATE).await;
    let (text, code) = run_medlarpin(address, &["status"]).await;
    expect![[r#"
        vm         drying-01
        ready      yes
        config     version 7
        store      era 2, revision 41, heard 300 ms ago
        leafs      2 published
        evacuated  z1 since 1 min 1 s; 1 leafs, 3 requests in progress
        evacuated  z2 since 900 ms; 1 leafs, 0 requests in progress; the restored store lacks the key, 4.2 s left
    "#]]
    .assert_eq(&text);
    assert_eq!(code, Some(0));
    let (text, code) = run_medlarpin(address, &["status", "--json"]).await;
    let summary: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(summary["evacuated_domains"][0]["failure_domain"], "z1");
    assert_eq!(code, Some(0));
}

#[tokio::test]
async fn explain_shows_the_replicas_of_a_shard_and_the_outcome_of_a_request() {
    let tree = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/souss-coast");
    assert_output(
        &["explain", "order-desk/0", "--tree", tree],
        0,
        expect![[r#"
            shard      0 of order-desk
            versions   1, 2
            leafs      order-desk-01-1, order-desk-01-2 at version 1
            group      order-desk/agadir-drying/0
              active   drying-01
              holders  drying-01, store-02
              leaf     order-desk-01-1: ready, 1 in flight, 2 queued, p95 12.0 ms
        "#]],
    )
    .await;
    assert_output(
        &["explain", "order-desk/30", "--tree", tree],
        8,
        expect![""],
    )
    .await;
    assert_output(
        &["explain", "0F3C9A17"],
        0,
        expect![[r#"
            request     0f3c9a17000000000000000000000001
              from      team order-desk
              service   order-desk
              outcome   not_run: no leaf ran this submission; it can be sent again
              reason    rate_limit: the team is above its rate limit; see `medlarpin team`
              version   -
              shards    0 covered, 0 uncovered
              extra     0
              elapsed   1 ms
              answered  1 min 1 s ago
        "#]],
    )
    .await;
    assert_output(
        &["explain", "1f3c9a17"],
        0,
        expect![[r#"
        request      1f3c9a17000000000000000000000002
          from       team order-desk
          service    order-desk
          outcome    partial: some of the requested shards are covered, others are not
          version    2
          shards     1 covered, 1 uncovered
          uncovered  1 with leaf_lost: the connection to the leaf was lost
          extra      2
          elapsed    40 ms
          answered   900 ms ago
    "#]],
    )
    .await;
    assert_output(
        &["explain", "order-desk/0"],
        0,
        expect![[r#"
        shard      0 of order-desk
        versions   1, 2
        leafs      order-desk-01-1 at version 2
        group      order-desk/agadir-drying/0
          active   drying-01
          holders  drying-01, store-02
          leaf     order-desk-01-1: ready, 1 in flight, 2 queued, p95 12.0 ms
    "#]],
    )
    .await;
    assert_output(&["explain", "order-desk/2"], 8, expect![""]).await;
    assert_output(&["explain", "what"], 2, expect![""]).await;
}

/// A daemon of another version may lack fields or have them with another type; the tool must not fail.
#[tokio::test]
async fn missing_and_mistyped_fields_are_tolerated() {
    for state in [
        "{}",
        r#"{"ready": "yes", "teams": 3, "members": [1, null], "settings": []}"#,
    ] {
        let address = start_fake_daemon(state).await;
        assert_eq!(run_medlarpin(address, &["status"]).await.1, Some(1));
        assert_eq!(
            run_medlarpin(address, &["status", "--json"]).await.1,
            Some(1)
        );
        assert_eq!(run_medlarpin(address, &["teams"]).await.1, Some(0));
        assert_eq!(run_medlarpin(address, &["dump"]).await.1, Some(0));
        assert_eq!(run_medlarpin(address, &["team", "a"]).await.1, Some(8));
        assert_eq!(run_medlarpin(address, &["explain", "a/1"]).await.1, Some(8));
    }
    assert_eq!(
        run_medlarpin(start_fake_daemon("not json").await, &["status"])
            .await
            .1,
        Some(7)
    );
}

/// Each command with `--json` must print valid JSON other than null.
#[tokio::test]
async fn json_output_is_valid() {
    let address = start_fake_daemon(STATE).await;
    for arguments in [
        &["status"][..],
        &["dump"],
        &["teams"],
        &["team", "order-desk"],
        &["explain", "order-desk/0"],
        &["explain", "0f3c9a17"],
    ] {
        let (stdout, code) = run_medlarpin(address, &[arguments, &["--json"]].concat()).await;
        assert!(
            serde_json::from_str::<serde_json::Value>(&stdout).is_ok_and(|value| !value.is_null()),
            "{stdout}"
        );
        assert_eq!(code, Some(0));
    }
}

/// The exit code must tell whether a query ran.
#[tokio::test]
async fn query_exit_code_reports_the_outcome() {
    let address = start_fake_daemon(STATE).await;
    let query = async |team: &str, more: &[&str]| {
        let arguments = [&["query", "--team", team, "--service", "s", "q"], more].concat();
        run_medlarpin(address, &arguments).await
    };
    assert_eq!(
        query("complete", &["--shard", "4", "--deadline-ms", "90"])
            .await
            .1,
        Some(0)
    );
    assert_eq!(query("not-run", &[]).await.1, Some(4));
    assert_eq!(query("once", &["--once"]).await.1, Some(5));
    assert_eq!(query("other", &[]).await.1, Some(6));
    let (stdout, code) = query("partial", &[]).await;
    assert_eq!(code, Some(3));
    let fixed: Vec<&str> = stdout
        .lines()
        .filter(|line| !line.starts_with("timing"))
        .collect();
    expect![[r#"
        outcome         partial: some of the requested shards are covered, others are not
        coverage        2 of 3 shards
          uncovered     shard 1: the connection to the leaf was lost
        version         7
        extra requests  1
        request         0f3c
        0	a\u{1b}"#]]
    .assert_eq(&fixed.join("\n"));
}

/// A query without a response may have run, so it must not be reported as not run.
#[tokio::test]
async fn lost_response_is_reported_as_unknown_outcome() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { while listener.accept().await.is_ok() {} });
    let arguments = [
        "query",
        "--team",
        "a",
        "--service",
        "s",
        "--ticket",
        "t-9",
        "q",
    ];
    let (stdout, code) = run_medlarpin(address, &arguments).await;
    assert!(
        stdout.contains("outcome unknown") && stdout.contains("--ticket t-9"),
        "{stdout}"
    );
    assert_eq!(code, Some(5));
}
