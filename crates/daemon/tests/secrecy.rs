//! What one team asks and gets must not appear anywhere but in its own answers.

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
const KILLER: &str = "confidential killer";

/// A body of the other team.
fn other(mut body: Value) -> Value {
    body["team"] = json!(OTHER_TEAM);
    body
}

/// Runs queries of the first team in all ways and returns their texts, rows and tickets.
async fn run_confidential(fleet: &Fleet) -> Vec<String> {
    let mut secrets = vec![KILLER.to_owned()];
    for daemon in 0..fleet.len() {
        let text = format!("confidential lot {daemon}");
        check_complete(
            &fleet.query(daemon, &query(&text, 2000)).await,
            &text,
            SHARDS,
        );
        let ticket = fleet.ticket(daemon, TEAM).await;
        let once = format!("confidential invoice {daemon}");
        // The second submission goes to another daemon and is answered from the record.
        for entry in [daemon, (daemon + 1) % fleet.len()] {
            let reply = fleet.query(entry, &ticketed(&once, &ticket, 2000)).await;
            check_complete(&reply, &once, SHARDS);
        }
        for text in [text, once] {
            for shard in 0..SHARDS {
                secrets.extend(stand_ins::leaf::rows(QUERY_SERVICE, 1, shard, &text));
            }
            secrets.push(text);
        }
        // The random part alone is the secret.
        secrets.push(ticket.rsplit('.').next().expect("a random part").to_owned());
    }
    for _ in 0..4 {
        for daemon in 0..fleet.len() {
            check_answer(
                &fleet.query(daemon, &query(KILLER, 500)).await,
                KILLER,
                SHARDS,
            );
        }
    }
    secrets
}

/// Sends what the other team could try, also with a ticket that it has found.
async fn pry(fleet: &Fleet, ticket: &str, text: &str) -> Vec<Reply> {
    let mut replies = Vec::new();
    for daemon in 0..fleet.len() {
        let mut unknown = other(query("own", 500));
        unknown["service"] = json!("none");
        for body in [
            other(query("own", 2000)),
            other(ticketed(text, ticket, 500)),
            other(ticketed("own", ticket, 500)),
            other(query("own", 1 << 40)),
            unknown,
            json!({ "team": OTHER_TEAM }),
        ] {
            replies.push(fleet.query(daemon, &body).await);
        }
    }
    replies
}

async fn operators_outputs(fleet: &Fleet) -> Vec<String> {
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

/// Guards against query texts, rows and tickets of a team in dumps, metrics, traces, logs, errors
/// and other teams' answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_teams_data_stays_in_its_own_answers() {
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
            text: KILLER.to_owned(),
            down_for: Some(Duration::from_millis(500)),
        };
        leaf.update_faults(|faults| faults.crash = Some(rule));
    }
    let secrets = run_confidential(&fleet).await;
    let ticket = fleet.ticket(0, TEAM).await;
    let text = "confidential lot last";
    let reply = fleet.query(0, &ticketed(text, &ticket, 2000)).await;
    check_answer(&reply, text, SHARDS);
    let replies = pry(&fleet, &ticket, text).await;
    let conflicts = replies.iter().filter(|reply| reply.status == 409).count();
    assert_eq!(conflicts, 2 * fleet.len(), "a foreign ticket is refused");
    let own_rows = stand_ins::leaf::rows(QUERY_SERVICE, 1, 0, text);
    let mut hidden: Vec<String> = secrets.into_iter().chain(own_rows).collect();
    hidden.push(text.to_owned());
    hidden.push(ticket);
    let has_quarantine = |state: &Value| state["quarantined"].get(0).is_some();
    fleet
        .wait_state(0, "the killer is in the dump", has_quarantine)
        .await;
    let answers = replies.into_iter().map(|reply| reply.text);
    let outputs = operators_outputs(&fleet).await.into_iter().chain(answers);
    for output in outputs {
        for secret in &hidden {
            assert!(!output.contains(secret), "{secret:?} in {output}");
        }
    }
}
