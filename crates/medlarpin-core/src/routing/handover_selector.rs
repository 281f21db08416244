use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::KnownDaemon;

/// Time for which a daemon is not asked again to serve a route after it could not. It bounds the
/// messages while no daemon reaches the leafs, and the time until one that reaches them again is
/// found.
pub const HANDOVER_BACK_OFF: Duration = Duration::from_secs(2);

/// A daemon that could not serve a route.
#[derive(Debug, Clone)]
struct Decline {
    daemon: SocketAddr,
    route: Arc<str>,
    until: Instant,
}

/// Chooses the daemon to which a request is handed over because this VM does not reach the leafs.
///
/// Whether another daemon reaches them shows only when it is asked: the links of each VM to each leaf
/// fail on their own. A daemon that does not reach them says so at once, and nothing has run then.
#[derive(Debug, Clone, Default)]
pub struct HandoverSelector {
    /// Sorted by daemon and route, without duplicates.
    declines: Vec<Decline>,
}

impl HandoverSelector {
    /// Chooses one of the other daemons; `None` if none of them can be asked now.
    ///
    /// Daemons with `cpu_millicores_min`, which a query needs to be gathered in time, come first.
    /// `random` is uniform.
    #[must_use]
    pub fn choose(
        &self,
        route: &str,
        others: &[KnownDaemon],
        cpu_millicores_min: u32,
        random: u64,
        now: Instant,
    ) -> Option<SocketAddr> {
        let open = |daemon: &&KnownDaemon| !self.has_declined(daemon.address, route, now);
        let is_fit = |daemon: &&KnownDaemon| daemon.cpu_millicores >= cpu_millicores_min;
        let fit: Vec<&KnownDaemon> = others.iter().filter(open).filter(is_fit).collect();
        let eligible = if fit.is_empty() {
            others.iter().filter(open).collect()
        } else {
            fit
        };
        let count = u64::try_from(eligible.len()).unwrap_or(1).max(1);
        let index = usize::try_from(random % count).unwrap_or(0);
        eligible.get(index).map(|daemon| daemon.address)
    }

    /// Records that a daemon could not be reached or could not serve the route.
    pub fn declined(&mut self, daemon: SocketAddr, route: &Arc<str>, now: Instant) {
        self.declines.retain(|known| now < known.until);
        let until = now + HANDOVER_BACK_OFF;
        match self.position(daemon, route) {
            Ok(index) => self.declines[index].until = until,
            Err(index) => {
                let route = Arc::clone(route);
                self.declines.insert(
                    index,
                    Decline {
                        daemon,
                        route,
                        until,
                    },
                );
            }
        }
    }

    fn has_declined(&self, daemon: SocketAddr, route: &str, now: Instant) -> bool {
        self.position(daemon, route)
            .is_ok_and(|index| now < self.declines[index].until)
    }

    fn position(&self, daemon: SocketAddr, route: &str) -> Result<usize, usize> {
        self.declines
            .binary_search_by(|known| (known.daemon, &*known.route).cmp(&(daemon, route)))
    }
}
