//! Runs the tool against a real daemon: both must agree on the fields of the state and of answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daemon::Daemon;
use medlarpin_core::prelude::SystemClock;
use serde_json::{Value, json};
use stand_ins::prelude::*;
use tokio::process::Command;

const SERVICE: &str = "hodowcy";
const TEAM: &str = "clerks";
const SLOW_TEAM: &str = "inspectors";
/// Far above the usual start-up time, so that a busy machine does not fail the test.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

struct Fixture {
    daemon: Daemon,
    /// Kept alive because the daemon uses its platform and leafs.
    _deployment: Deployment,
}

impl Fixture {
    async fn start() -> Self {
        let mut slow = TeamConfig::new(SLOW_TEAM);
        slow.rate_limit_per_s = 1;
        let deployment = Deployment::start(DeploymentConfig {
            services: vec![ServiceConfig {
                name: SERVICE.to_owned(),
                leafs: 3,
                replicas: 2,
                shards: 6,
                slots: 3,
                connection_limit: 90,
                service_time: Duration::from_millis(1),
            }],
            teams: vec![TeamConfig::new(TEAM), slow],
            failure_domains: 3,
            index_version: 4,
        });
        let deployment = deployment.await.unwrap();
        let text = json!({
            "vm": "warmia-vm", "failure_domain": "domain-0", "region": "warmia",
            "query_address": "127.0.0.1:0", "rpc_address": "127.0.0.1:0",
            "operator_address": "127.0.0.1:0",
            "platform_addresses": [deployment.platform().address().to_string()],
        });
        let settings = settings::parse_daemon(&text.to_string(), "test").unwrap();
        let daemon = Daemon::start(settings, Arc::new(SystemClock))
            .await
            .unwrap();
        deployment.platform().set_vms(vec![VmEntry {
            name: "warmia-vm".to_owned(),
            rpc_address: daemon.rpc_address().to_string(),
            failure_domain: "domain-0".to_owned(),
            region: "warmia".to_owned(),
            state: VmEntryState::Live,
        }]);
        let ready = async {
            while !daemon.is_ready() || fetch_rate_share(daemon.operator_address()).await == 0 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready).await.unwrap();
        Self {
            daemon,
            _deployment: deployment,
        }
    }

    async fn run(&self, arguments: &[&str], code: i32) -> String {
        run_medlarpin(&self.daemon, arguments, code).await
    }

    async fn query(&self, team: &str, code: i32) -> String {
        let arguments = ["query", "--team", team, "--service", SERVICE, "owner = 17"];
        self.run(&arguments, code).await
    }
}

/// Returns the daemon's share of the slow team's rate limit, in thousandths of a query per second; 0
/// until the daemon knows it. The settings of the slow team arrive last.
async fn fetch_rate_share(operator: SocketAddr) -> u64 {
    let output = command(operator, operator)
        .args(["team", SLOW_TEAM, "--json"])
        .output();
    let output = output.await.unwrap();
    let team: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
    team["rate_share_milli"].as_u64().unwrap_or(0)
}

fn command(query: SocketAddr, operator: SocketAddr) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlarpin"));
    command
        .env("MEDLARPIN_OPERATOR", operator.to_string())
        .env("MEDLARPIN_QUERY", query.to_string());
    command
}

async fn run_medlarpin(daemon: &Daemon, arguments: &[&str], code: i32) -> String {
    let output = command(daemon.query_address(), daemon.operator_address())
        .args(arguments)
        .output();
    let output = output.await.unwrap();
    let stdout = String::from_utf8(output.stdout).unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(code), "{stdout}{stderr}");
    stdout
}

/// Returns the value after a label in a report.
fn labelled_value<'a>(report: &'a str, label: &str) -> &'a str {
    let mut lines = report.lines().map(str::trim_start);
    let found = lines.find_map(|line| line.strip_prefix(label));
    found
        .unwrap_or_else(|| panic!("no {label} in {report}"))
        .trim()
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_read_the_state_and_answers_of_a_real_daemon() {
    let fixture = Fixture::start().await;
    let answer = fixture.query(TEAM, 0).await;
    assert_eq!(labelled_value(&answer, "coverage"), "6 of 6 shards");
    let status = fixture.run(&["status"], 0).await;
    // The tool shows a missing field as `-`.
    assert!(!status.contains(" - "), "{status}");
    assert!(!status.contains(" -\n"), "{status}");
    assert!(labelled_value(&status, "service").starts_with("hodowcy: versions 4; 6 shards"));
    let teams = fixture.run(&["teams"], 0).await;
    assert!(!teams.contains(" - "), "{teams}");
    let dump: Value = serde_json::from_str(&fixture.run(&["dump"], 0).await).unwrap();
    assert_eq!(dump["vm"], "warmia-vm");
    let shard = fixture.run(&["explain", "hodowcy/3"], 0).await;
    assert!(
        labelled_value(&shard, "leafs").ends_with("at version 4"),
        "{shard}"
    );
    assert_eq!(labelled_value(&shard, "active"), "warmia-vm");
    fixture.run(&["explain", "hodowcy/6"], 8).await;
    let once = fixture
        .run(
            &[
                "query",
                "--team",
                TEAM,
                "--service",
                SERVICE,
                "--once",
                "transfer 9",
            ],
            0,
        )
        .await;
    let ticket = labelled_value(&once, "ticket").to_owned();
    let again = [
        "query",
        "--team",
        TEAM,
        "--service",
        SERVICE,
        "--ticket",
        &ticket,
        "transfer 9",
    ];
    assert!(
        fixture
            .run(&again, 0)
            .await
            .contains("recorded outcome of an earlier run")
    );
    fixture.query("nobody", 6).await;
}

/// An operator must be able to look up the reason for which a request was refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request_is_explained() {
    let fixture = Fixture::start().await;
    let mut refused = None;
    for _ in 0..50 {
        let arguments = [
            "query",
            "--team",
            SLOW_TEAM,
            "--service",
            SERVICE,
            "q",
            "--json",
        ];
        let output = command(
            fixture.daemon.query_address(),
            fixture.daemon.operator_address(),
        )
        .args(arguments)
        .output();
        let output = output.await.unwrap();
        if output.status.code() == Some(4) {
            refused = Some(serde_json::from_slice::<Value>(&output.stdout).unwrap());
            break;
        }
    }
    let refused = refused.expect("a query above the limit");
    let id = refused["request_id"].as_str().unwrap();
    let explained = fixture.run(&["explain", id], 0).await;
    assert!(
        labelled_value(&explained, "outcome").starts_with("not_run"),
        "{explained}"
    );
    assert!(
        labelled_value(&explained, "reason").starts_with("rate_limit:"),
        "{explained}"
    );
    let team = fixture.run(&["team", SLOW_TEAM], 0).await;
    assert!(
        team.contains("rate_limit: the team is above its rate limit"),
        "{team}"
    );
    assert!(labelled_value(&team, "not run").starts_with(id), "{team}");
}
