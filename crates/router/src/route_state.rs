use std::sync::Arc;
use std::time::Instant;

use client_connections::AnswerSize;
use medlarpin_core::routing::{Route, RouteLatency, WeightedRoundRobin};
use parking_lot::Mutex;

/// Measurements and load-balancing state of a route, kept across versions of the configuration.
#[derive(Debug)]
pub(crate) struct RouteState {
    pub(crate) name: Arc<str>,
    pub(crate) latency: Mutex<RouteLatency>,
    pub(crate) traffic_split: Mutex<WeightedRoundRobin>,
    /// Memory that the answers to one request take.
    pub(crate) answer_size: AnswerSize,
    /// Read buffer of a connection that carries one of the route's requests to a leaf.
    pub(crate) read_buffer_size: AnswerSize,
}

impl RouteState {
    pub(crate) fn new(route: &Route, now: Instant) -> Self {
        Self {
            name: Arc::clone(&route.name),
            latency: Mutex::new(RouteLatency::new(route.target_latency, now)),
            traffic_split: Mutex::default(),
            answer_size: AnswerSize::default(),
            read_buffer_size: AnswerSize::default(),
        }
    }
}
