//! A team's queries and results must appear only in its own answers.

mod fleet;

use std::time::Duration;

use serde_json::{Value, json};
use stand_ins::prelude::*;

use crate::fleet::Fleet;
use crate::fleet::config::{
    FleetConfig, QUERY_SERVICE, TEAM, check_answer, check_complete, query, ticketed,
};
use crate::fleet::http::Reply;

const SHARDS: u32 = 6;
const OTHER_TEAM: &str = "quality";
const CRASHING_TEXT: &str = "confidential killer";

/// Changes a request body to come from the other team.
fn from_other_team(mut body: Value) -> Value {
    body["team"] = json!(OTHER_TEAM);
    body
}

/// Runs plain, ticketed and crashing queries of the first team, and returns their texts, rows and
/// tickets.
async fn run_confidential(fleet: &Fleet) -> Vec<String> {
    let mut secrets = vec![CRASHING_TEXT.to_owned()];
    for daemon in 0..fleet.len() {
        let text = format!("confidential lot {daemon}");
        check_complete(
            &fleet.query(daemon, &query(&text, 2000)).await,
            &text,
            SHARDS,
        );
        let ticket = fleet.ticket(daemon, TEAM).await;
        let once = format!("confidential invoice {daemon}");
        // The second submission goes to another daemon and gets the recorded answer.
        for entry in [daemon, (daemon + 1) % fleet.len()] {
            let reply = fleet.query(entry, &ticketed(&once, &ticket, 2000)).await;
            check_complete(&reply, &once, SHARDS);
        }
        for text in [text, once] {
            for shard in 0..SHARDS {
                secrets.extend(stand_ins::leaf::expected_rows(
                    QUERY_SERVICE,
                    1,
                    shard,
                    &text,
                ));
            }
            secrets.push(text);
        }
        // Only the random part of a ticket is secret.
        secrets.push(ticket.rsplit('.').next().expect("a random part").to_owned());
    }
    for _ in 0..4 {
        for daemon in 0..fleet.len() {
            check_answer(
                &fleet.query(daemon, &query(CRASHING_TEXT, 500)).await,
                CRASHING_TEXT,
                SHARDS,
            );
        }
    }
    secrets
}

/// Sends requests with which the other team could try to read the data, also with a stolen ticket.
async fn attack_as_other_team(fleet: &Fleet, ticket: &str, text: &str) -> Vec<Reply> {
    let mut replies = Vec::new();
    for daemon in 0..fleet.len() {
        let mut unknown = from_other_team(query("own", 500));
        unknown["service"] = json!("none");
        for body in [
            from_other_team(query("own", 2000)),
            from_other_team(ticketed(text, ticket, 500)),
            from_other_team(ticketed("own", ticket, 500)),
            from_other_team(query("own", 1 << 40)),
            unknown,
            json!({ "team": OTHER_TEAM }),
        ] {
            replies.push(fleet.query(daemon, &body).await);
        }
    }
    replies
}

async fn operator_outputs(fleet: &Fleet) -> Vec<String> {
    let mut outputs = vec![fleet.logs()];
    for daemon in 0..fleet.len() {
        for path in ["/state", "/metrics", "/trace", "/ready", "/live"] {
            let address = fleet.operator_address(daemon);
            let reply = fleet.client.get(address, path).await.expect("a reply");
            assert!(!reply.text.is_empty());
            outputs.push(reply.text);
        }
    }
    outputs
}

/// Guards against leaking a team's query texts, rows and tickets through state dumps, metrics,
/// traces, logs, errors or other teams' answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_teams_data_appears_only_in_its_own_answers() {
    let mut config = FleetConfig::new();
    config.service().replicas = 3;
    config.deployment.teams.push(TeamConfig::new(OTHER_TEAM));
    let fleet = Fleet::start(config).await;
    for daemon in 0..fleet.len() {
        let address = fleet.operator_address(daemon);
        let started = fleet.client.post(address, "/trace/start", &Value::Null);
        assert_eq!(started.await.expect("a reply").status, 204);
    }
    for leaf in fleet.deployment().leafs() {
        let rule = CrashRule {
            text: CRASHING_TEXT.to_owned(),
            down_for: Some(Duration::from_millis(500)),
        };
        leaf.update_faults(|faults| faults.crash = Some(rule));
    }
    let earlier_secrets = run_confidential(&fleet).await;
    let ticket = fleet.ticket(0, TEAM).await;
    let text = "confidential lot last";
    let reply = fleet.query(0, &ticketed(text, &ticket, 2000)).await;
    check_answer(&reply, text, SHARDS);
    let replies = attack_as_other_team(&fleet, &ticket, text).await;
    let conflicts = replies.iter().filter(|reply| reply.status == 409).count();
    assert_eq!(conflicts, 2 * fleet.len(), "a foreign ticket is refused");
    let own_rows = stand_ins::leaf::expected_rows(QUERY_SERVICE, 1, 0, text);
    let mut secrets: Vec<String> = earlier_secrets.into_iter().chain(own_rows).collect();
    secrets.push(text.to_owned());
    secrets.push(ticket);
    let has_quarantine = |state: &Value| state["quarantined"].get(0).is_some();
    fleet
        .wait_state(0, "the dump lists the quarantine", has_quarantine)
        .await;
    let answers = replies.into_iter().map(|reply| reply.text);
    let outputs = operator_outputs(&fleet).await.into_iter().chain(answers);
    for output in outputs {
        for secret in &secrets {
            assert!(!output.contains(secret), "{secret:?} in {output}");
        }
    }
}
