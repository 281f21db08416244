use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::KnownDaemon;

/// CPU time that the daemon spends on one leaf request (docs/platform.md).
pub const LEAF_REQUEST_CPU: Duration = Duration::from_micros(64);
/// Maximum CPU time of a query's leaf requests on this VM, as a share of the query's target
/// latency. Most of the target is needed by the leafs and the network.
pub const OWN_CPU_SHARE_MAX: f64 = 0.15;
/// Queries are delegated only to daemons with at least this many times the CPU
/// capacity of this one; with less, the extra hop costs more than it saves.
pub const CAPACITY_RATIO_MIN: u32 = 2;
/// Time without delegated queries after a daemon failed or was late.
pub const DELEGATE_BACK_OFF: Duration = Duration::from_secs(3);

/// Decides which queries are delegated to another daemon, and which daemons suit.
///
/// A small VM cannot gather a query over many shards within the target latency. A daemon on a VM
/// with more CPU capacity gathers the query instead, and this daemon forwards the answer. If all
/// VMs have the same capacity, each daemon gathers its own queries.
#[derive(Debug, Clone)]
pub struct DelegateSelector {
    own: KnownDaemon,
    /// Daemons in back-off, each with the end of its back-off; sorted by address.
    backed_off: Vec<(SocketAddr, Instant)>,
}

impl DelegateSelector {
    /// Creates the selector of a daemon.
    #[must_use]
    pub fn new(own: KnownDaemon) -> Self {
        Self {
            own,
            backed_off: Vec::new(),
        }
    }

    /// Returns true if a query needs too much CPU time for this VM and should be delegated.
    #[must_use]
    pub fn is_too_large(&self, shards: usize, target_latency: Duration) -> bool {
        self.own.cpu_millicores < Self::cpu_millicores_needed(shards, target_latency)
    }

    /// Returns the CPU capacity that a VM needs to gather a query by itself.
    #[must_use]
    pub fn cpu_millicores_needed(shards: usize, target_latency: Duration) -> u32 {
        let cpu_time_s = LEAF_REQUEST_CPU.as_secs_f64() * shards as f64;
        let cores = cpu_time_s / (target_latency.as_secs_f64() * OWN_CPU_SHARE_MAX).max(0.001);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is positive, and float casts saturate"
        )]
        let millicores = (cores * 1_000.0).ceil() as u32;
        millicores
    }

    /// Returns the daemons with enough CPU capacity that are not in back-off.
    #[must_use]
    pub fn eligible(&self, others: &[KnownDaemon], now: Instant) -> Vec<KnownDaemon> {
        let min_cpu_millicores = self.own.cpu_millicores * CAPACITY_RATIO_MIN;
        let suits = |daemon: &&KnownDaemon| {
            daemon.cpu_millicores >= min_cpu_millicores && !self.is_backed_off(daemon.address, now)
        };
        others.iter().filter(suits).copied().collect()
    }

    /// Starts the back-off of a daemon that failed or was late.
    pub fn back_off(&mut self, daemon: SocketAddr, now: Instant) {
        self.backed_off.retain(|(_, until)| now < *until);
        let until = now + DELEGATE_BACK_OFF;
        match self
            .backed_off
            .binary_search_by_key(&daemon, |(known, _)| *known)
        {
            Ok(index) => self.backed_off[index].1 = until,
            Err(index) => self.backed_off.insert(index, (daemon, until)),
        }
    }

    /// Returns the daemons in back-off, sorted by address.
    #[must_use]
    pub fn backed_off(&self, now: Instant) -> Vec<SocketAddr> {
        let current = self.backed_off.iter().filter(|(_, until)| now < *until);
        current.map(|(daemon, _)| *daemon).collect()
    }

    fn is_backed_off(&self, daemon: SocketAddr, now: Instant) -> bool {
        let found = self
            .backed_off
            .binary_search_by_key(&daemon, |(known, _)| *known);
        found.is_ok_and(|index| now < self.backed_off[index].1)
    }
}
