use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::KnownDaemon;
use crate::ids::stable_hash;

/// Time for which a daemon is not asked again to serve a route after it could not. It bounds the
/// messages while no daemon reaches the leafs, and the time until one that reaches them again is
/// found.
pub const HANDOVER_BACK_OFF: Duration = Duration::from_secs(2);
/// Time after which a daemon that could not serve a route is asked again if all others could not either:
/// it may have been starting or stopping.
pub const HANDOVER_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time for which a daemon that served a request counts as one that reaches the leafs.
pub const SERVED_MEMORY: Duration = Duration::from_secs(10);

/// Maximum number of daemons that are asked to serve a request. Those that cannot are left out for a
/// while, so that the next request finds others.
pub const HANDOVERS_MAX: usize = 6;
/// The same number after a request for which none was found, until one is: probably the leafs are down,
/// and not the links to them.
pub const HANDOVERS_MAX_AFTER_FAILURE: usize = 2;
/// Maximum number of daemons that are named to one whose request is declined. With several, not all
/// turn to the same one.
pub const HINTS_MAX: usize = 4;

/// A daemon that could not serve a route.
#[derive(Debug, Clone)]
struct Decline {
    daemon: SocketAddr,
    route: Arc<str>,
    at: Instant,
}

impl Decline {
    fn is_in_force(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < HANDOVER_BACK_OFF
    }
}

/// Chooses the daemon to which a request is handed over.
///
/// Whether another daemon reaches the leafs shows only when it is asked: the links of each VM to each
/// leaf fail on their own. A daemon that does not reach them says so at once, and nothing has run
/// then. While some decline, those that have served a request lately are asked first; otherwise all
/// are asked alike, which spreads the load.
#[derive(Debug, Clone, Default)]
pub struct HandoverSelector {
    /// Sorted by daemon and route, without duplicates.
    declines: Vec<Decline>,
    /// Daemons that served a request, each with the time of the last one; sorted by daemon, without
    /// duplicates.
    served: Vec<(SocketAddr, Instant)>,
    /// Routes with a request that no daemon has served, each with the time of the last one; sorted by
    /// route, without duplicates.
    failed_searches: Vec<(Arc<str>, Instant)>,
}

impl HandoverSelector {
    /// Chooses one of the other daemons; `None` if none of them can be asked now.
    ///
    /// Daemons with `cpu_millicores_min`, which a query needs to be gathered in time, come first. If
    /// all have declined, the one whose decline is the oldest is asked again after
    /// [`HANDOVER_RETRY_DELAY`]. `random` is uniform.
    #[must_use]
    pub fn choose(
        &self,
        route: &str,
        others: &[KnownDaemon],
        cpu_millicores_min: u32,
        random: u64,
        now: Instant,
    ) -> Option<SocketAddr> {
        let eligible = self.eligible(route, others, cpu_millicores_min, now);
        if eligible.is_empty() {
            return self.longest_declined(route, others, now);
        }
        let count = u64::try_from(eligible.len()).unwrap_or(1).max(1);
        let index = usize::try_from(random % count).unwrap_or(0);
        eligible.get(index).map(|daemon| daemon.address)
    }

    /// Chooses one of the other daemons by the content of a request, as a hash; `None` if none of them
    /// can be asked now.
    ///
    /// Equal requests go to the same daemon as long as it can be asked, and different ones spread over
    /// all (rendezvous hashing). A request that ends its leafs comes again within milliseconds, before a
    /// report of its losses reaches other daemons, and would end the leafs of each daemon that it meets.
    #[must_use]
    pub fn choose_by_content(
        &self,
        route: &str,
        others: &[KnownDaemon],
        content_hash: u64,
        now: Instant,
    ) -> Option<SocketAddr> {
        let eligible = self.eligible(route, others, 0, now);
        let rank = |daemon: &&KnownDaemon| {
            let address = daemon.address.to_string();
            stable_hash(&[&content_hash.to_le_bytes(), address.as_bytes()])
        };
        match eligible.into_iter().max_by_key(rank) {
            Some(daemon) => Some(daemon.address),
            None => self.longest_declined(route, others, now),
        }
    }

    /// Returns the daemons that suit best of those that have not declined the route.
    fn eligible<'a>(
        &self,
        route: &str,
        others: &'a [KnownDaemon],
        cpu_millicores_min: u32,
        now: Instant,
    ) -> Vec<&'a KnownDaemon> {
        let is_trouble = self.has_declines(route, now);
        let open = others
            .iter()
            .filter(|daemon| !self.has_declined(daemon.address, route, now));
        let rank = |daemon: &KnownDaemon| {
            let is_fit = daemon.cpu_millicores >= cpu_millicores_min;
            let is_proven = is_trouble && self.has_served(daemon.address, now);
            (is_fit, is_proven)
        };
        let best = open.clone().map(rank).max();
        open.filter(|daemon| Some(rank(daemon)) == best).collect()
    }

    /// Returns how many daemons may be asked to serve one request of a route.
    #[must_use]
    pub fn asks_max(&self, route: &str, now: Instant) -> usize {
        let has_failed = self.failed_search_position(route).is_ok_and(|index| {
            now.saturating_duration_since(self.failed_searches[index].1) < SERVED_MEMORY
        });
        if has_failed {
            HANDOVERS_MAX_AFTER_FAILURE
        } else {
            HANDOVERS_MAX
        }
    }

    /// Records that no daemon served a request of the route.
    pub fn search_failed(&mut self, route: &Arc<str>, now: Instant) {
        match self.failed_search_position(route) {
            Ok(index) => self.failed_searches[index].1 = now,
            Err(index) => {
                self.failed_searches.insert(index, (Arc::clone(route), now));
                self.failed_searches
                    .retain(|(_, at)| now.saturating_duration_since(*at) < SERVED_MEMORY);
            }
        }
    }

    /// Records that a daemon could not be reached or could not serve the route.
    pub fn declined(&mut self, daemon: SocketAddr, route: &Arc<str>, now: Instant) {
        self.served.retain(|(known, _)| *known != daemon);
        self.declines.retain(|known| known.is_in_force(now));
        match self.position(daemon, route) {
            Ok(index) => self.declines[index].at = now,
            Err(index) => {
                let route = Arc::clone(route);
                let decline = Decline {
                    daemon,
                    route,
                    at: now,
                };
                self.declines.insert(index, decline);
            }
        }
    }

    /// Records that a daemon served a request, of this daemon or of one that said so.
    pub fn served(&mut self, daemon: SocketAddr, now: Instant) {
        self.failed_searches.clear();
        match self.served_position(daemon) {
            Ok(index) => self.served[index].1 = now,
            Err(index) => {
                self.served.insert(index, (daemon, now));
                self.served
                    .retain(|(_, at)| now.saturating_duration_since(*at) < SERVED_MEMORY);
            }
        }
    }

    /// Returns daemons that have served requests lately, the latest first, for a daemon whose request
    /// this one declines.
    #[must_use]
    pub fn latest_served(&self, now: Instant) -> Vec<SocketAddr> {
        let mut latest: Vec<(SocketAddr, Instant)> = self
            .served
            .iter()
            .copied()
            .filter(|(_, at)| now.saturating_duration_since(*at) < SERVED_MEMORY)
            .collect();
        latest.sort_by_key(|(_, at)| std::cmp::Reverse(*at));
        latest.truncate(HINTS_MAX);
        latest.into_iter().map(|(daemon, _)| daemon).collect()
    }

    fn has_declines(&self, route: &str, now: Instant) -> bool {
        let mut declines = self.declines.iter();
        declines.any(|known| *known.route == *route && known.is_in_force(now))
    }

    fn has_declined(&self, daemon: SocketAddr, route: &str, now: Instant) -> bool {
        self.position(daemon, route)
            .is_ok_and(|index| self.declines[index].is_in_force(now))
    }

    /// Returns the daemon whose decline is the oldest, if that is old enough for another request.
    fn longest_declined(
        &self,
        route: &str,
        others: &[KnownDaemon],
        now: Instant,
    ) -> Option<SocketAddr> {
        let declines = others.iter().filter_map(|daemon| {
            let index = self.position(daemon.address, route).ok()?;
            Some(&self.declines[index])
        });
        let oldest = declines.min_by_key(|known| known.at)?;
        let age = now.saturating_duration_since(oldest.at);
        (age >= HANDOVER_RETRY_DELAY).then_some(oldest.daemon)
    }

    fn has_served(&self, daemon: SocketAddr, now: Instant) -> bool {
        self.served_position(daemon)
            .is_ok_and(|index| now.saturating_duration_since(self.served[index].1) < SERVED_MEMORY)
    }

    fn failed_search_position(&self, route: &str) -> Result<usize, usize> {
        self.failed_searches
            .binary_search_by(|(known, _)| (**known).cmp(route))
    }

    fn served_position(&self, daemon: SocketAddr) -> Result<usize, usize> {
        self.served
            .binary_search_by_key(&daemon, |(known, _)| *known)
    }

    fn position(&self, daemon: SocketAddr, route: &str) -> Result<usize, usize> {
        self.declines
            .binary_search_by(|known| (known.daemon, &*known.route).cmp(&(daemon, route)))
    }
}
