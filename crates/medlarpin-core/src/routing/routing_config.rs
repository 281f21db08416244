use std::time::Duration;

use super::RouteTable;
use crate::ids::ServiceName;

/// Version of a published configuration; a higher one is newer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(pub u64);

/// What a configuration says about a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutedService {
    /// Name of the service.
    pub name: ServiceName,
    /// Connections that each leaf accepts from all callers together.
    pub connections_max: u32,
}

/// What callers may send and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head.
    pub header_bytes: usize,
    /// Largest request body.
    pub body_bytes: usize,
    /// Longest time for a request head.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// One version of the published configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingConfig {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// The routes.
    pub routes: RouteTable,
    /// Sorted by name, without duplicates.
    pub services: Vec<RoutedService>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

impl RoutingConfig {
    /// Returns what the configuration says about a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&RoutedService> {
        let index = self
            .services
            .binary_search_by(|service| service.name.cmp(name))
            .ok()?;
        self.services.get(index)
    }
}
