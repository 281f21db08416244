use std::sync::Arc;
use std::time::Duration;

use crate::ids::ServiceName;

/// How often the leafs may run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatability {
    /// A request may run several times.
    Idempotent,
    /// A request runs once at most.
    AtMostOnce,
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Share of the requests, relative to the other weights of the route; 0 gets none.
    pub weight: u32,
}

/// A query that goes to all shards.
#[derive(Debug, Clone, PartialEq)]
pub struct Scatter {
    /// The shards, each a service; not empty, sorted, without duplicates.
    pub shards: Vec<ServiceName>,
    /// Number of records of an answer.
    pub records_max: usize,
    /// Least share of the shards that a successful answer covers, from 0 to 1.
    pub coverage_min: f64,
}

/// Where the requests of a route go.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteTarget {
    /// To one leaf of this service.
    Service(ServiceName),
    /// To one leaf of one of these services, by weight; at least one weight is above 0.
    Split(Vec<WeightedService>),
    /// To one leaf of each shard.
    Scatter(Scatter),
}

/// A published route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, unique within a configuration.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: Arc<str>,
    /// Start of the paths; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Where the requests go.
    pub target: RouteTarget,
    /// How often a request may run.
    pub repeatability: Repeatability,
    /// Most leafs that run one attempt of a caller, for each shard; at least 1.
    pub leafs_max: u32,
    /// Longest time that a request may stay unanswered.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub target_latency: Duration,
    /// Rank of the route's requests; 0 is the most urgent.
    pub priority: u32,
}
