use std::sync::Arc;
use std::time::Duration;

use super::{RequestRate, RouteTable, RouteTarget};
use crate::ids::ServiceName;

/// Version of a published configuration; a higher one is newer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(pub u64);

/// Configuration of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutedService {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of connections that each leaf accepts, from all daemons together.
    pub connections_max: u32,
    /// Path of the health check that each leaf answers.
    pub health_path: Arc<str>,
    /// Time for which a leaf is cold after its start.
    pub warm_up: Duration,
    /// Rate of requests that a cold leaf tolerates from all daemons together; `None` if it is not
    /// limited.
    pub cold_rate: Option<RequestRate>,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's headers.
    pub header_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum time to receive a request's headers.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl CallerLimits {
    /// Least value of `header_bytes` that daemons apply; the HTTP library accepts no smaller buffer.
    pub const HEADER_BYTES_MIN: usize = 8_192;
}

/// One version of the published configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingConfig {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Routes by host and path prefix.
    pub routes: RouteTable,
    /// Services, sorted by name, without duplicates.
    pub services: Vec<RoutedService>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

impl RoutingConfig {
    /// Returns the configuration of a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&RoutedService> {
        let index = self
            .services
            .binary_search_by(|service| service.name.cmp(name))
            .ok()?;
        self.services.get(index)
    }

    /// Returns true if a service is a shard and no route sends single requests to it.
    #[must_use]
    pub fn is_gathered_only(&self, name: &ServiceName) -> bool {
        let mut is_shard = false;
        for route in self.routes.routes() {
            match &route.target {
                RouteTarget::Service(service) if service == name => return false,
                RouteTarget::Split(parts) if parts.iter().any(|part| part.service == *name) => {
                    return false;
                }
                RouteTarget::Scatter(scatter) => {
                    is_shard |= scatter.shards.binary_search(name).is_ok();
                }
                RouteTarget::Service(_) | RouteTarget::Split(_) => {}
            }
        }
        is_shard
    }
}
