use std::sync::Arc;
use std::time::Duration;

use crate::ids::ServiceName;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatability {
    /// Retries and hedges may run a request several times.
    Idempotent,
    /// A request must run at most once, so it is retried only if the previous attempt did not run.
    AtMostOnce,
}

/// A service and its weight in a route's traffic split.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Share of the requests relative to the other weights of the route; 0 for no requests.
    pub weight: u32,
}

/// A scatter-gather query over all shards.
#[derive(Debug, Clone, PartialEq)]
pub struct Scatter {
    /// The shards, each a service; not empty, sorted, without duplicates.
    pub shards: Vec<ServiceName>,
    /// Maximum number of records in the answer.
    pub records_max: usize,
    /// Minimum share of shards that a successful answer covers, from 0 to 1.
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

impl RouteTarget {
    /// Returns the sets of services that can answer a request: all services of one set answer it together.
    #[must_use]
    pub fn service_sets(&self) -> Vec<&[ServiceName]> {
        match self {
            Self::Service(service) => vec![std::slice::from_ref(service)],
            Self::Split(parts) => parts
                .iter()
                .map(|part| std::slice::from_ref(&part.service))
                .collect(),
            Self::Scatter(scatter) => vec![&scatter.shards],
        }
    }
}

/// A published route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, unique within a configuration.
    pub name: Arc<str>,
    /// Host name in the caller's request.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Where the requests go.
    pub target: RouteTarget,
    /// Whether a request may run more than once.
    pub repeatability: Repeatability,
    /// Maximum number of leafs that one caller's request is sent to, per shard; at least 1.
    pub leafs_max: u32,
    /// Maximum time from the arrival of a request to its answer.
    pub timeout: Duration,
    /// Latency up to which an answer has its full value to the caller.
    pub target_latency: Duration,
    /// Priority of the route's requests; 0 is the highest.
    pub priority: u32,
}
