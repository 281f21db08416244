use std::sync::Arc;

use super::Findings;
use crate::ids::ServiceName;
use crate::routing::{Route, RoutingConfig};

/// A decoded configuration, with what daemons drop from it when they decode it.
#[derive(Debug, Clone)]
pub struct ConfigDraft {
    /// The configuration as daemons use it.
    pub config: RoutingConfig,
    /// All routes in published order, also those that an earlier one hides.
    pub routes: Vec<Arc<Route>>,
    /// The names of all services in published order, repeated ones included.
    pub services: Vec<ServiceName>,
    /// What the decoder replaced or left out.
    pub decoding: Findings,
}
