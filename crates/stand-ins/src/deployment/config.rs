//! Configuration of a deployment.

use std::time::Duration;

use serde_json::json;

/// Coverage of the shards that a team wants in its answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Coverage {
    /// All shards; queries wait for missing ones until the deadline.
    All,
    /// At least this share of the shards, from 0 to 1.
    LeastShare(f64),
}

/// Published settings of a team.
#[derive(Debug, Clone)]
pub struct TeamConfig {
    /// Name of the team.
    pub name: String,
    /// Weight in the fair queues.
    pub weight: u32,
    /// Queries per second, over the whole fleet.
    pub rate_limit_per_s: u64,
    /// Queries in flight at once, over the whole fleet.
    pub concurrency_limit: u64,
    /// Deadline of a query that specifies none, in milliseconds.
    pub deadline_default_ms: u64,
    /// Maximum deadline, in milliseconds.
    pub deadline_cap_ms: u64,
    /// Coverage wanted.
    pub coverage_wanted: Coverage,
    /// Whether a leaf request may be retried if it is unknown whether it ran.
    pub repeat_allowed: bool,
}

impl TeamConfig {
    /// Returns a team of weight 1 with limits far above the load of small tests.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            weight: 1,
            rate_limit_per_s: 100_000,
            concurrency_limit: 10_000,
            deadline_default_ms: 2_000,
            deadline_cap_ms: 10_000,
            coverage_wanted: Coverage::All,
            repeat_allowed: true,
        }
    }

    /// Returns the JSON text that the platform publishes for the team.
    #[must_use]
    pub fn text(&self) -> String {
        let coverage_wanted = match self.coverage_wanted {
            Coverage::All => json!("all"),
            Coverage::LeastShare(share) => json!({ "least_share": share }),
        };
        json!({
            "weight": self.weight,
            "rate_limit_per_s": self.rate_limit_per_s,
            "concurrency_limit": self.concurrency_limit,
            "deadline_default_ms": self.deadline_default_ms,
            "deadline_cap_ms": self.deadline_cap_ms,
            "coverage_wanted": coverage_wanted,
            "repeat_allowed": self.repeat_allowed,
        })
        .to_string()
    }
}

/// A service and its leafs.
#[derive(Debug, Clone)]
pub struct ServiceConfig {
    /// Name of the service.
    pub name: String,
    /// Number of leafs.
    pub leafs: usize,
    /// Number of replicas of each shard.
    pub replicas: usize,
    /// Number of shards of the first index version.
    pub shards: u32,
    /// Requests that each leaf processes at once.
    pub slots: usize,
    /// Open connections that each leaf allows.
    pub connection_limit: usize,
    /// Mean service time of each leaf.
    pub service_time: Duration,
}

/// Configuration of a deployment to start.
#[derive(Debug, Clone)]
pub struct DeploymentConfig {
    /// Services to start.
    pub services: Vec<ServiceConfig>,
    /// Teams to publish.
    pub teams: Vec<TeamConfig>,
    /// Number of failure domains, named `domain-0`, `domain-1` and so on.
    pub failure_domains: usize,
    /// First index version of each service.
    pub index_version: u64,
}
