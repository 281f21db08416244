use std::sync::Arc;
use std::time::Instant;

use medlarpin_core::routing::{Route, RouteLatency, WeightedRoundRobin};
use parking_lot::Mutex;

/// What is learned about a route; it outlives the versions of the configuration.
#[derive(Debug)]
pub(crate) struct RouteState {
    pub(crate) name: Arc<str>,
    pub(crate) pace: Mutex<RouteLatency>,
    pub(crate) split: Mutex<WeightedRoundRobin>,
}

impl RouteState {
    pub(crate) fn new(route: &Route, now: Instant) -> Self {
        Self {
            name: Arc::clone(&route.name),
            pace: Mutex::new(RouteLatency::new(route.target_latency, now)),
            split: Mutex::default(),
        }
    }
}
