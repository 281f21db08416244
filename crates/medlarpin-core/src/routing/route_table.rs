use std::sync::Arc;

use super::Route;

/// The routes of a configuration, looked up by host and longest path prefix.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    /// Sorted by host and prefix, without duplicates.
    routes: Vec<Arc<Route>>,
}

impl RouteTable {
    /// Creates the table; if several routes have the same host and prefix, the first one wins.
    #[must_use]
    pub fn new(mut routes: Vec<Arc<Route>>) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        routes.dedup_by(|later, first| later.host == first.host && later.prefix == first.prefix);
        Self { routes }
    }

    /// Returns the host's route with the longest prefix of the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        // Route prefixes end with a slash, so only prefixes of the path up to a slash can match.
        path.rmatch_indices('/')
            .find_map(|(slash, _)| self.get(host, &path[..=slash]))
    }

    /// Returns all routes, sorted by host and prefix.
    #[must_use]
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }

    fn get(&self, host: &str, prefix: &str) -> Option<&Arc<Route>> {
        let key = (host, prefix);
        let index = self
            .routes
            .binary_search_by(|route| (&*route.host, &*route.prefix).cmp(&key))
            .ok()?;
        self.routes.get(index)
    }
}
