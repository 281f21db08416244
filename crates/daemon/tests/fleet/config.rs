//! Configuration of a test fleet, query bodies and checks of answers.

use std::time::Duration;

use serde_json::{Map, Value, json};
use stand_ins::prelude::*;

use super::http::Reply;

pub const QUERY_SERVICE: &str = "order-desk";
pub const TEAM: &str = "orders";
pub const FIRST_VERSION: u64 = 1;

/// Configuration of a fleet.
#[derive(Debug)]
pub struct FleetConfig {
    pub daemons: usize,
    pub deployment: DeploymentConfig,
    /// Whether daemons reach each other and the platform through relays.
    pub relays: bool,
    /// Additional keys of the daemons' settings files.
    pub settings: Map<String, Value>,
    /// Descriptor limit of each daemon's process; `None` for that of the test.
    pub descriptors: Option<usize>,
}

impl FleetConfig {
    /// Returns a fleet of three daemons with one service that has two replicas of each shard.
    pub fn new() -> Self {
        Self {
            daemons: 3,
            deployment: DeploymentConfig {
                services: vec![ServiceConfig {
                    name: QUERY_SERVICE.to_owned(),
                    leafs: 6,
                    replicas: 2,
                    shards: 6,
                    slots: 4,
                    connection_limit: 60,
                    service_time: Duration::from_millis(2),
                }],
                teams: vec![TeamConfig::new(TEAM)],
                failure_domains: 3,
                index_version: FIRST_VERSION,
            },
            relays: false,
            settings: Map::new(),
            descriptors: None,
        }
    }

    /// Returns the only service.
    pub fn service(&mut self) -> &mut ServiceConfig {
        &mut self.deployment.services[0]
    }

    /// Returns the first team.
    pub fn team(&mut self) -> &mut TeamConfig {
        &mut self.deployment.teams[0]
    }

    pub fn set(&mut self, key: &str, value: Value) {
        self.settings.insert(key.to_owned(), value);
    }
}

/// Returns the body of an idempotent query.
pub fn query(text: &str, deadline_ms: u64) -> Value {
    json!({ "team": TEAM, "service": QUERY_SERVICE, "query": text, "deadline_ms": deadline_ms })
}

/// Returns the body of a non-idempotent query with a ticket.
pub fn ticketed(text: &str, ticket: &str, deadline_ms: u64) -> Value {
    let mut body = query(text, deadline_ms);
    body["idempotent"] = json!(false);
    body["ticket"] = json!(ticket);
    body
}

/// Checks the guarantees of every answer, even during failures: a known outcome with its status, a
/// single index version, each requested shard either covered or uncovered, and exactly the rows of
/// the covered shards, sorted.
pub fn check_answer(reply: &Reply, text: &str, shards: u32) {
    let expected_status = match reply.outcome() {
        "complete" => 200,
        "partial" => 206,
        "not_run" => 503,
        "unknown" => 504,
        _ => panic!("unknown outcome: {}", reply.text),
    };
    assert_eq!(reply.status, expected_status, "{}", reply.text);
    let covered = reply.covered();
    let rows = reply.body["rows"].as_array().expect("rows");
    let mut expected_rows = Vec::new();
    if !covered.is_empty() {
        let version = reply.body["index_version"].as_u64().expect("a version");
        for shard in covered
            .iter()
            .map(|shard| u32::try_from(*shard).expect("a shard"))
        {
            for row in stand_ins::leaf::expected_rows(QUERY_SERVICE, version, shard, text) {
                expected_rows.push(json!({ "shard": shard, "row": row }));
            }
        }
    }
    assert_eq!(*rows, expected_rows, "{}", reply.text);
    if matches!(reply.outcome(), "complete" | "partial") {
        let uncovered = reply.uncovered().into_iter().map(|(shard, _)| shard);
        let mut named: Vec<u64> = covered.iter().copied().chain(uncovered).collect();
        named.sort_unstable();
        assert_eq!(
            named,
            (0..u64::from(shards)).collect::<Vec<_>>(),
            "{}",
            reply.text
        );
        assert_eq!(
            reply.outcome() == "complete",
            covered.len() == shards as usize
        );
    }
}

/// Checks that an answer is complete and correct.
pub fn check_complete(reply: &Reply, text: &str, shards: u32) {
    check_answer(reply, text, shards);
    assert_eq!(reply.outcome(), "complete", "{}", reply.text);
}
