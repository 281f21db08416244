use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::KnownDaemon;

/// Processor time of one leaf request, measured by the bench on the search site (docs/platform.md).
pub const LEAF_REQUEST_CPU: Duration = Duration::from_micros(64);
/// Share of a query's target latency that its leaf requests may take of this VM's processor. The
/// rest is for the leafs and the network, which take most of the target.
pub const OWN_CPU_SHARE_MAX: f64 = 0.15;
/// A daemon gets the queries of others only if it has this many times their processor time; with
/// less, the way to it costs more than it saves.
pub const CAPACITY_RATIO_MIN: u32 = 2;
/// Time for which a daemon that failed or is late gets no queries.
pub const DELEGATE_BACK_OFF: Duration = Duration::from_secs(3);

/// Chooses which queries another daemon gathers.
///
/// A query to many shards takes a small VM longer than its target latency. A VM with more processor
/// time gathers it and this daemon passes on the answer. Where all VMs are alike, each daemon
/// gathers its own queries.
#[derive(Debug, Clone)]
pub struct DelegateSelector {
    own: KnownDaemon,
    /// Daemons that get no queries, and until when; sorted by address.
    avoided: Vec<(SocketAddr, Instant)>,
}

impl DelegateSelector {
    /// Creates the choice of a daemon.
    #[must_use]
    pub fn new(own: KnownDaemon) -> Self {
        Self {
            own,
            avoided: Vec::new(),
        }
    }

    /// Returns true if another daemon should gather a query.
    #[must_use]
    pub fn is_too_large(&self, shards: usize, target_latency: Duration) -> bool {
        let own_cpu = f64::from(self.own.cpu_millicores) / 1_000.0;
        let own_time = LEAF_REQUEST_CPU.as_secs_f64() * shards as f64 / own_cpu;
        own_time > target_latency.as_secs_f64() * OWN_CPU_SHARE_MAX
    }

    /// Returns the daemon that gathers a query that is too large; `None` if there is none.
    /// `random` is uniform.
    #[must_use]
    pub fn choose(
        &self,
        others: impl Iterator<Item = KnownDaemon>,
        random: u64,
        now: Instant,
    ) -> Option<SocketAddr> {
        let least = self.own.cpu_millicores * CAPACITY_RATIO_MIN;
        let fit: Vec<SocketAddr> = others
            .filter(|daemon| daemon.cpu_millicores >= least)
            .map(|daemon| daemon.address)
            .filter(|daemon| !self.is_avoided(*daemon, now))
            .collect();
        let count = u64::try_from(fit.len()).unwrap_or(1).max(1);
        let index = usize::try_from(random % count).unwrap_or(0);
        fit.get(index).copied()
    }

    /// Records that a daemon failed or is late.
    pub fn avoid(&mut self, daemon: SocketAddr, now: Instant) {
        self.avoided.retain(|(_, until)| now < *until);
        let until = now + DELEGATE_BACK_OFF;
        match self
            .avoided
            .binary_search_by_key(&daemon, |(known, _)| *known)
        {
            Ok(index) => self.avoided[index].1 = until,
            Err(index) => self.avoided.insert(index, (daemon, until)),
        }
    }

    fn is_avoided(&self, daemon: SocketAddr, now: Instant) -> bool {
        let found = self
            .avoided
            .binary_search_by_key(&daemon, |(known, _)| *known);
        found.is_ok_and(|index| now < self.avoided[index].1)
    }
}
