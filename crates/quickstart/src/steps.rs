//! The queries, each with the outcome that it must have.

use std::time::Duration;

use serde_json::{Value, json};
use stand_ins::prelude::FakeLeaf;

use crate::client::{CallerClient, Reply};
use crate::error::QuickstartError;
use crate::fleet::{EXPORTS, Fleet, ORDERS, SERVICE, SHARDS, VERSION};
use crate::show;

const QUERY_PATH: &str = "/v1/query";
/// Far above the queries that the second team's limit admits within the time that they take.
const QUERIES_OVER_LIMIT: usize = 100;
/// A leaf that returns takes one request each 500 ms at first.
const RECOVERY_LIMIT: Duration = Duration::from_secs(8);

/// Sends all queries and prints their answers.
pub(crate) async fn run_all(fleet: &Fleet) -> Result<(), QuickstartError> {
    let steps = Steps {
        fleet,
        client: CallerClient::new(),
    };
    steps.whole_and_part().await?;
    steps.ticket_twice().await?;
    steps.lost_leafs().await?;
    steps.over_the_limit().await?;
    steps.malformed().await
}

/// What an answer must say.
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
    async fn whole_and_part(&self) -> Result<(), QuickstartError> {
        let step = "order-desk, all shards";
        self.ask(step, 0, &query(ORDERS, "kelp"), &COMPLETE).await?;
        let step = "export-agents, all shards";
        self.ask(step, 1, &query(EXPORTS, "kelp"), &COMPLETE)
            .await?;
        let mut some = query(ORDERS, "paprika");
        some["shards"] = json!([1, 5, 9]);
        let expected = Expected {
            covered: 3,
            ..COMPLETE
        };
        let step = "order-desk, shards 1, 5 and 9 only";
        self.ask(step, 2, &some, &expected).await?;
        Ok(())
    }

    async fn ticket_twice(&self) -> Result<(), QuickstartError> {
        let text = "invoice 4711";
        let body = json!({ "team": ORDERS }).to_string();
        let issued = self.post(0, "/v1/tickets", body).await?;
        let mut once = query(ORDERS, text);
        once["idempotent"] = json!(false);
        once["ticket"] = issued.body["ticket"].clone();
        let step = "order-desk, not idempotent, with a ticket";
        let first = self.ask(step, 1, &once, &COMPLETE).await?;
        check(step, "false", &first.body["replayed"].to_string())?;
        let step = "order-desk, the same ticket again";
        let second = self.ask(step, 2, &once, &COMPLETE).await?;
        check(step, "true", &second.body["replayed"].to_string())?;
        let runs = self.runs_of(text);
        show::note(&format!(
            "the second answer is replayed; the leafs ran {runs} requests for {SHARDS} shards"
        ));
        check(step, &SHARDS.to_string(), &runs.to_string())
    }

    /// Stops both replicas of one shard, and asks again once they are back.
    async fn lost_leafs(&self) -> Result<(), QuickstartError> {
        let step = "order-desk, both replicas of shard 0 lost";
        let deployment = self.fleet.deployment();
        let replicas = deployment.replicas(SERVICE, VERSION, 0);
        let leafs: Vec<&FakeLeaf> = replicas.iter().map(|id| deployment.leaf(id)).collect();
        for leaf in &leafs {
            leaf.go_down(None);
        }
        let mut query = query(ORDERS, "kelp");
        query["deadline_ms"] = json!(500);
        let reply = self.send(step, 0, &query).await?;
        for leaf in &leafs {
            leaf.come_up();
        }
        check(step, "partial 206", &verdict(&reply))?;
        let uncovered = reply.body["uncovered"].as_array().into_iter().flatten();
        let uncovered: Vec<String> = uncovered
            .map(|shard| format!("{}: {}", shard["shard"], shard["reason"]))
            .collect();
        show::note(&format!("uncovered shards: {}", uncovered.join(", ")));
        let names_shard = uncovered.iter().any(|shard| shard.starts_with("0:"));
        check(step, "true", &names_shard.to_string())?;
        self.recovery().await
    }

    async fn recovery(&self) -> Result<(), QuickstartError> {
        let step = "order-desk, after the leafs came back";
        let complete = async {
            loop {
                let body = query(ORDERS, "kelp").to_string();
                let reply = self.post(0, QUERY_PATH, body).await?;
                if reply.text("outcome") == COMPLETE.outcome {
                    show::answer(step, 0, &reply);
                    return Ok(());
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let complete = tokio::time::timeout(RECOVERY_LIMIT, complete).await;
        complete.unwrap_or_else(|_elapsed| check(step, COMPLETE.outcome, "no complete answer"))
    }

    async fn over_the_limit(&self) -> Result<(), QuickstartError> {
        let step = "export-agents, above its rate limit";
        let body = query(EXPORTS, "kelp").to_string();
        for sent in 1..=QUERIES_OVER_LIMIT {
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
            check(step, "not_run 503", &verdict(&reply))?;
            return check(step, "rate_limit", reply.text("reason"));
        }
        check(step, "not_run 503", "no refusal")
    }

    async fn malformed(&self) -> Result<(), QuickstartError> {
        let step = "a body that ends early";
        let body = r#"{"team": "order-desk", "query": "#.to_owned();
        let reply = self.post(0, QUERY_PATH, body).await?;
        show::answer(step, 0, &reply);
        show::note(reply.text("message"));
        check(step, "400", &reply.status.to_string())?;
        check(step, "malformed", reply.text("error"))
    }

    async fn ask(
        &self,
        step: &'static str,
        daemon: usize,
        body: &Value,
        expected: &Expected,
    ) -> Result<Reply, QuickstartError> {
        let reply = self.send(step, daemon, body).await?;
        let wanted = format!("{} {}", expected.outcome, expected.status);
        check(step, &wanted, &verdict(&reply))?;
        let covered = reply.count("covered");
        check(step, &expected.covered.to_string(), &covered.to_string())?;
        let version = reply.body["index_version"].to_string();
        check(step, &VERSION.to_string(), &version)?;
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

    /// Counts the leaf requests that were run for a query text.
    fn runs_of(&self, text: &str) -> usize {
        let leafs = self.fleet.deployment().leafs();
        let runs = leafs.flat_map(FakeLeaf::runs);
        runs.filter(|run| run.query == text).count()
    }
}

fn query(team: &str, text: &str) -> Value {
    json!({ "team": team, "service": SERVICE, "query": text })
}

fn verdict(reply: &Reply) -> String {
    format!("{} {}", reply.text("outcome"), reply.status)
}

fn check(step: &'static str, expected: &str, found: &str) -> Result<(), QuickstartError> {
    if expected == found {
        return Ok(());
    }
    Err(QuickstartError::Unexpected {
        step,
        expected: expected.to_owned(),
        found: found.to_owned(),
    })
}
