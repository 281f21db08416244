use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{Route, RouteTarget, Scatter};
use crate::ids::ServiceName;
use crate::load_shedder::LoadShedder;

/// Time since its last answer for which a shard counts as alive. A shard without live leafs is
/// missing from all answers whatever the load, so that refusing queries would not help.
pub const SHARD_ALIVE_TIME: Duration = Duration::from_millis(1_500);

/// Load shedder of one route.
#[derive(Debug, Clone)]
struct RouteShedder {
    route: Arc<Route>,
    shedder: LoadShedder,
}

/// Admission of queries over many shards.
///
/// While live shards are missing from the answers, the leafs have more work than they can do in
/// time. Queries are then refused whole before any leaf gets them: with fewer queries, more of the
/// answers reach their coverage.
#[derive(Debug, Clone, Default)]
pub struct QueryAdmission {
    /// Sorted by the route's name, without duplicates.
    routes: Vec<RouteShedder>,
    /// Time of each shard's last answer; sorted by service, without duplicates.
    answered: Vec<(ServiceName, Instant)>,
}

impl QueryAdmission {
    /// Creates the admission of a daemon that has not gathered a query.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides whether a query of the route is admitted; `random` is uniform in [0, 1).
    ///
    /// A query is refused at least as often as a more urgent one over the same shards.
    pub fn admits(&mut self, route: &Route, random: f64, now: Instant) -> bool {
        self.routes
            .iter_mut()
            .filter(|known| {
                known.route.name == route.name
                    || (known.route.priority < route.priority && share_a_shard(&known.route, route))
            })
            .all(|known| known.shedder.admits(random, now))
    }

    /// Records the end of a query: the shards that answered in time, and those that did not.
    ///
    /// `is_reached` tells whether this VM reaches a leaf of a shard. One that it does not reach is
    /// missing whatever the load.
    pub fn record<'a>(
        &mut self,
        route: &Arc<Route>,
        scatter: &Scatter,
        covered: impl Iterator<Item = &'a ServiceName>,
        is_reached: impl Fn(&ServiceName) -> bool,
        now: Instant,
    ) {
        let mut is_covered = vec![false; scatter.shards.len()];
        for shard in covered {
            self.record_answer(shard, now);
            if let Ok(index) = scatter.shards.binary_search(shard) {
                is_covered[index] = true;
            }
        }
        let missing = scatter.shards.iter().zip(&is_covered);
        let missing = missing.filter(|(shard, is_covered)| {
            !**is_covered && self.is_alive(shard, now) && is_reached(shard)
        });
        let missing = missing.count() as u64;
        let answered = is_covered.iter().filter(|covered| **covered).count() as u64;
        let shedder = self.shedder(route, scatter, now);
        shedder.record(missing, missing + answered, now);
    }

    /// Returns the routes of which a part of the queries is refused, each with the share that is
    /// admitted.
    #[must_use]
    pub fn shed_routes(&self) -> Vec<(String, f64)> {
        let shed = self
            .routes
            .iter()
            .filter(|known| known.shedder.share() < 1.0);
        shed.map(|known| (known.route.name.to_string(), known.shedder.share()))
            .collect()
    }

    fn record_answer(&mut self, shard: &ServiceName, now: Instant) {
        match self
            .answered
            .binary_search_by(|(known, _)| known.cmp(shard))
        {
            Ok(index) => self.answered[index].1 = now,
            Err(index) => self.answered.insert(index, (shard.clone(), now)),
        }
    }

    fn is_alive(&self, shard: &ServiceName, now: Instant) -> bool {
        let found = self
            .answered
            .binary_search_by(|(known, _)| known.cmp(shard));
        found.is_ok_and(|index| {
            now.saturating_duration_since(self.answered[index].1) < SHARD_ALIVE_TIME
        })
    }

    fn shedder(&mut self, route: &Arc<Route>, scatter: &Scatter, now: Instant) -> &mut LoadShedder {
        let index = match self.find(&route.name) {
            Ok(index) => {
                self.routes[index].route = Arc::clone(route);
                index
            }
            Err(index) => {
                let shedder = LoadShedder::with_limit(missing_percent_max(scatter), now);
                let route = Arc::clone(route);
                self.routes.insert(index, RouteShedder { route, shedder });
                index
            }
        };
        &mut self.routes[index].shedder
    }

    fn find(&self, route: &str) -> Result<usize, usize> {
        self.routes
            .binary_search_by(|known| (*known.route.name).cmp(route))
    }
}

/// Returns the percentage of shards that an answer may lack.
fn missing_percent_max(scatter: &Scatter) -> u64 {
    let percent = ((1.0 - scatter.coverage_min) * 100.0).round();
    (0..=100_u64)
        .find(|whole| *whole as f64 >= percent)
        .unwrap_or(100)
}

fn share_a_shard(a: &Route, b: &Route) -> bool {
    match (&a.target, &b.target) {
        (RouteTarget::Scatter(a), RouteTarget::Scatter(b)) => a
            .shards
            .iter()
            .any(|shard| b.shards.binary_search(shard).is_ok()),
        _ => false,
    }
}
