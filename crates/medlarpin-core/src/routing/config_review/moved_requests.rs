//! Requests that two configurations send to different services.

use super::unmatched_entries::{can_match, services_with_requests};
use super::{BoundedList, RequestExample, ShortName, TargetSummary};
use crate::ids::stable_hash;
use crate::routing::{Route, RouteTarget, RoutingConfig};

/// Maximum number of examples in a report.
const EXAMPLES_MAX: usize = 20;

/// Returns example requests that `to` sends to other services than `from`.
///
/// All requests with the same longest prefix among those of both configurations go the same way, and
/// the prefix itself is one of them. One request for each prefix therefore finds every difference.
#[must_use]
pub fn moved_requests(from: &RoutingConfig, to: &RoutingConfig) -> BoundedList<RequestExample> {
    let mut examples = BoundedList::new(EXAMPLES_MAX);
    let mut from = PrefixWalk::new(from);
    let mut to = PrefixWalk::new(to);
    while let Some((host, path)) = next_request(&from, &to) {
        let before = from.advance(host, path);
        let after = to.advance(host, path);
        if before.map(|passed| passed.services) != after.map(|passed| passed.services) {
            examples.push_with(|| RequestExample {
                host: ShortName::new(host),
                path: ShortName::new(path),
                from: before.map(|passed| summary(passed.route)),
                to: after.map(|passed| summary(passed.route)),
            });
        }
    }
    examples
}

/// Returns the first host and prefix that either walk has still ahead.
fn next_request<'a>(from: &PrefixWalk<'a>, to: &PrefixWalk<'a>) -> Option<(&'a str, &'a str)> {
    match (from.peek(), to.peek()) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Returns a hash of the services that requests to a target reach. Comparing the services themselves
/// at each prefix below a route with many shards would take minutes for odd configurations.
fn services_hash(target: &RouteTarget) -> u64 {
    let mut names = services_with_requests(target);
    names.sort_unstable();
    names.dedup();
    let names: Vec<&[u8]> = names.iter().map(|name| name.as_str().as_bytes()).collect();
    stable_hash(&names)
}

fn summary(route: &Route) -> (ShortName, TargetSummary) {
    let name = ShortName::new(&route.name);
    (name, TargetSummary::new(&route.target))
}

/// A route that can match.
#[derive(Debug, Clone, Copy)]
struct WalkedRoute<'a> {
    route: &'a Route,
    /// Hash of the services that its requests reach.
    services: u64,
}

/// Goes through the routes of a configuration in the order of host and prefix, and knows at each
/// place the route with the longest prefix. This takes time in proportion to the prefixes, while a
/// lookup of each would take it squared for prefixes with many slashes.
#[derive(Debug)]
struct PrefixWalk<'a> {
    /// Routes that can match, sorted by host and prefix.
    routes: Vec<WalkedRoute<'a>>,
    /// Number of routes that have been passed.
    passed: usize,
    /// Passed routes of one host, each a prefix of the next one.
    enclosing: Vec<WalkedRoute<'a>>,
}

impl<'a> PrefixWalk<'a> {
    fn new(config: &'a RoutingConfig) -> Self {
        let routes = config.routes.routes().iter();
        let matching = routes.filter(|route| can_match(route, &config.limits));
        let walked = matching.map(|route| WalkedRoute {
            route,
            services: services_hash(&route.target),
        });
        Self {
            routes: walked.collect(),
            passed: 0,
            enclosing: Vec::new(),
        }
    }

    fn peek(&self) -> Option<(&'a str, &'a str)> {
        let WalkedRoute { route, .. } = self.routes.get(self.passed)?;
        Some((&*route.host, &*route.prefix))
    }

    /// Moves on to a request; returns the route that answers it.
    fn advance(&mut self, host: &str, path: &str) -> Option<WalkedRoute<'a>> {
        while let Some(WalkedRoute { route: last, .. }) = self.enclosing.last() {
            if *last.host == *host && path.starts_with(&*last.prefix) {
                break;
            }
            self.enclosing.pop();
        }
        if self.peek() == Some((host, path)) {
            self.enclosing.push(self.routes[self.passed]);
            self.passed += 1;
        }
        self.enclosing.last().copied()
    }
}
