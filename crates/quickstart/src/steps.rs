//! The queries that the quick start sends, with the outcome expected of each.

use std::time::Duration;

use serde_json::{Value, json};
use stand_ins::prelude::FakeLeaf;

use crate::client::{CallerClient, Reply};
use crate::error::QuickstartError;
use crate::fleet::{EXPORTS_TEAM, Fleet, INDEX_VERSION, ORDERS_TEAM, SERVICE, SHARDS};
use crate::show;

const QUERY_PATH: &str = "/v1/query";
/// Far more queries than the rate limit of [`EXPORTS_TEAM`] admits while the burst runs.
const MAX_BURST_QUERIES: usize = 100;
/// A leaf that has recovered gets only one request every 500 ms at first.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);

/// Sends all queries and prints their answers.
pub(crate) async fn run_all(fleet: &Fleet) -> Result<(), QuickstartError> {
    let steps = Steps {
        fleet,
        client: CallerClient::new(),
    };
    steps.all_and_selected_shards().await?;
    steps.ticket_submitted_twice().await?;
    steps.leafs_lost().await?;
    steps.rate_limit_exceeded().await?;
    steps.malformed_request().await?;
    faulty_configuration()
}

/// Expected outcome, HTTP status and number of covered shards of an answer.
struct Expected {
    outcome: &'static str,
    status: u16,
    covered: usize,
}

const COMPLETE: Expected = Expected {
    outcome: "complete",
    status: 200,
    covered: SHARDS as usize,
};

struct Steps<'a> {
    fleet: &'a Fleet,
    client: CallerClient,
}

impl Steps<'_> {
    async fn all_and_selected_shards(&self) -> Result<(), QuickstartError> {
        let step = "order-desk, all shards";
        self.query_and_check(step, 0, &query(ORDERS_TEAM, "kelp"), &COMPLETE)
            .await?;
        let step = "export-agents, all shards";
        self.query_and_check(step, 1, &query(EXPORTS_TEAM, "kelp"), &COMPLETE)
            .await?;
        let mut selected = query(ORDERS_TEAM, "paprika");
        selected["shards"] = json!([1, 5, 9]);
        let expected = Expected {
            covered: 3,
            ..COMPLETE
        };
        let step = "order-desk, shards 1, 5 and 9 only";
        self.query_and_check(step, 2, &selected, &expected).await?;
        Ok(())
    }

    async fn ticket_submitted_twice(&self) -> Result<(), QuickstartError> {
        let text = "invoice 4711";
        let body = json!({ "team": ORDERS_TEAM }).to_string();
        let issued = self.post(0, "/v1/tickets", body).await?;
        let mut once = query(ORDERS_TEAM, text);
        once["idempotent"] = json!(false);
        once["ticket"] = issued.body["ticket"].clone();
        let step = "order-desk, not idempotent, with a ticket";
        let first = self.query_and_check(step, 1, &once, &COMPLETE).await?;
        expect_equal(step, "false", &first.body["replayed"].to_string())?;
        let step = "order-desk, the same ticket again";
        let second = self.query_and_check(step, 2, &once, &COMPLETE).await?;
        expect_equal(step, "true", &second.body["replayed"].to_string())?;
        let runs = self.count_runs(text);
        show::note(&format!(
            "the second answer is replayed; the leafs ran {runs} requests for {SHARDS} shards"
        ));
        expect_equal(step, &SHARDS.to_string(), &runs.to_string())
    }

    /// Stops both replicas of one shard, queries, restarts them and waits for a complete answer.
    async fn leafs_lost(&self) -> Result<(), QuickstartError> {
        let step = "order-desk, both replicas of shard 0 lost";
        let deployment = self.fleet.deployment();
        let replicas = deployment.replicas(SERVICE, INDEX_VERSION, 0);
        let leafs: Vec<&FakeLeaf> = replicas.iter().map(|id| deployment.leaf(id)).collect();
        for leaf in &leafs {
            leaf.go_down(None);
        }
        let mut query = query(ORDERS_TEAM, "kelp");
        query["deadline_ms"] = json!(500);
        let reply = self.send(step, 0, &query).await?;
        for leaf in &leafs {
            leaf.come_up();
        }
        expect_equal(step, "partial 206", &outcome_and_status(&reply))?;
        let uncovered = reply.body["uncovered"].as_array().into_iter().flatten();
        let uncovered: Vec<String> = uncovered
            .map(|shard| format!("{}: {}", shard["shard"], shard["reason"]))
            .collect();
        show::note(&format!("uncovered shards: {}", uncovered.join(", ")));
        let lists_shard_0 = uncovered.iter().any(|shard| shard.starts_with("0:"));
        expect_equal(step, "true", &lists_shard_0.to_string())?;
        self.leafs_recovered().await
    }

    async fn leafs_recovered(&self) -> Result<(), QuickstartError> {
        let step = "order-desk, after the leafs recovered";
        let complete = async {
            loop {
                let body = query(ORDERS_TEAM, "kelp").to_string();
                let reply = self.post(0, QUERY_PATH, body).await?;
                if reply.text("outcome") == COMPLETE.outcome {
                    show::answer(step, 0, &reply);
                    return Ok(());
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let complete = tokio::time::timeout(RECOVERY_TIMEOUT, complete).await;
        complete
            .unwrap_or_else(|_elapsed| expect_equal(step, COMPLETE.outcome, "no complete answer"))
    }

    async fn rate_limit_exceeded(&self) -> Result<(), QuickstartError> {
        let step = "export-agents, above its rate limit";
        let body = query(EXPORTS_TEAM, "kelp").to_string();
        for sent in 1..=MAX_BURST_QUERIES {
            let reply = self.post(2, QUERY_PATH, body.clone()).await?;
            if reply.text("outcome") == COMPLETE.outcome {
                continue;
            }
            show::answer(step, 2, &reply);
            show::note(&format!(
                "query {sent} of a burst; reason {}, retry after {} ms",
                reply.text("reason"),
                reply.body["retry_after_ms"]
            ));
            expect_equal(step, "not_run 503", &outcome_and_status(&reply))?;
            return expect_equal(step, "rate_limit", reply.text("reason"));
        }
        expect_equal(step, "not_run 503", "no refusal")
    }

    async fn malformed_request(&self) -> Result<(), QuickstartError> {
        let step = "truncated request body";
        let body = r#"{"team": "order-desk", "query": "#.to_owned();
        let reply = self.post(0, QUERY_PATH, body).await?;
        show::answer(step, 0, &reply);
        show::note(reply.text("message"));
        expect_equal(step, "400", &reply.status.to_string())?;
        expect_equal(step, "malformed", reply.text("error"))
    }

    async fn query_and_check(
        &self,
        step: &'static str,
        daemon: usize,
        body: &Value,
        expected: &Expected,
    ) -> Result<Reply, QuickstartError> {
        let reply = self.send(step, daemon, body).await?;
        let expected_outcome = format!("{} {}", expected.outcome, expected.status);
        expect_equal(step, &expected_outcome, &outcome_and_status(&reply))?;
        let covered = reply.list_len("covered");
        expect_equal(step, &expected.covered.to_string(), &covered.to_string())?;
        let version = reply.body["index_version"].to_string();
        expect_equal(step, &INDEX_VERSION.to_string(), &version)?;
        Ok(reply)
    }

    async fn send(
        &self,
        step: &'static str,
        daemon: usize,
        body: &Value,
    ) -> Result<Reply, QuickstartError> {
        let reply = self.post(daemon, QUERY_PATH, body.to_string()).await?;
        show::answer(step, daemon, &reply);
        Ok(reply)
    }

    async fn post(
        &self,
        daemon: usize,
        path: &'static str,
        body: String,
    ) -> Result<Reply, QuickstartError> {
        let address = self.fleet.daemons()[daemon].query_address();
        self.client.post(address, path, body).await
    }

    /// Counts the leaf requests that were executed for a query text.
    fn count_runs(&self, text: &str) -> usize {
        let leafs = self.fleet.deployment().leafs();
        let runs = leafs.flat_map(FakeLeaf::runs);
        runs.filter(|run| run.query == text).count()
    }
}

/// Decodes a published configuration with a mistake, as `medlarpin check-config` does.
fn faulty_configuration() -> Result<(), QuickstartError> {
    let step = "published configuration with a mistake";
    let config = json!({
        "version": 1,
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 65_536,
            "headerTimeoutMs": 5_000, "idleTimeoutMs": 30_000,
        },
        "routes": [{
            "name": "orders", "host": "orders.example", "prefix": "/", "type": "idempotent",
            "timeoutMs": "800", "service": SERVICE,
        }],
    });
    let errors = platform::inspect_config(config.to_string().as_bytes()).err();
    let errors = errors.iter().flat_map(platform::ConfigErrors::kept);
    let errors: Vec<String> = errors
        .map(|error| format!("{}: {error}", error.field.as_deref().unwrap_or("-")))
        .collect();
    show::refused_configuration(step, &errors);
    expect_equal(step, "1", &errors.len().to_string())
}

fn query(team: &str, text: &str) -> Value {
    json!({ "team": team, "service": SERVICE, "query": text })
}

fn outcome_and_status(reply: &Reply) -> String {
    format!("{} {}", reply.text("outcome"), reply.status)
}

fn expect_equal(step: &'static str, expected: &str, found: &str) -> Result<(), QuickstartError> {
    if expected == found {
        return Ok(());
    }
    Err(QuickstartError::Unexpected {
        step,
        expected: expected.to_owned(),
        found: found.to_owned(),
    })
}
