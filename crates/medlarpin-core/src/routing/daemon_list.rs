use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::KnownDaemon;

/// Time without contact after which a daemon is evicted. Longer than a restart or a short
/// partition, so that the other daemons do not take over its share of a limit in the meantime.
pub const SILENCE_TIMEOUT: Duration = Duration::from_mins(1);
/// Time from the first contact with another daemon until the list is considered complete: enough
/// for two or three gossip exchanges.
pub const DISCOVERY_TIME: Duration = Duration::from_secs(6);
/// Minimum number of daemons assumed until discovery has completed. Larger than most deployments,
/// so that each daemon's share of a limit is too small rather than too large.
pub const DEFAULT_DAEMON_COUNT: usize = 32;
/// Maximum number of daemons in one gossip message. Every two seconds a daemon starts one exchange
/// and on average answers another, which is four messages. With 128 entries of 16 bytes in each
/// message, that is 4 KB/s at the design size of 500 daemons.
const SAMPLE_MAX: usize = 128;

/// The fleet's daemons as discovered by gossip.
///
/// In an exchange, both sides send the daemons that they know, so a daemon that starts with a few
/// seed addresses discovers the whole fleet in a few exchanges.
#[derive(Debug, Clone)]
pub struct DaemonList {
    own: KnownDaemon,
    /// The other daemons, each with the time of the last contact that any daemon had with it;
    /// sorted by address, without duplicates.
    others: Vec<(KnownDaemon, Instant)>,
    /// Time of the first contact with another daemon.
    first_contact: Option<Instant>,
}

impl DaemonList {
    /// Creates a list that contains only this daemon.
    #[must_use]
    pub fn new(own: KnownDaemon) -> Self {
        Self {
            own,
            others: Vec::new(),
            first_contact: None,
        }
    }

    /// Returns this daemon.
    #[must_use]
    pub fn own(&self) -> KnownDaemon {
        self.own
    }

    /// Records that some daemon was last in contact with `daemon` `silent` ago.
    pub fn record_contact(&mut self, daemon: KnownDaemon, silent: Duration, now: Instant) {
        let Some(last_contact) = now.checked_sub(silent) else {
            return;
        };
        if daemon.address == self.own.address || silent >= SILENCE_TIMEOUT {
            return;
        }
        self.first_contact.get_or_insert(now);
        match self
            .others
            .binary_search_by_key(&daemon.address, |(known, _)| known.address)
        {
            Ok(index) if last_contact >= self.others[index].1 => {
                self.others[index] = (daemon, last_contact);
            }
            Ok(_) => {}
            Err(index) => self.others.insert(index, (daemon, last_contact)),
        }
    }

    /// Evicts the daemons without contact for [`SILENCE_TIMEOUT`].
    pub fn evict_silent(&mut self, now: Instant) {
        self.others.retain(|(_, last_contact)| {
            now.saturating_duration_since(*last_contact) < SILENCE_TIMEOUT
        });
    }

    /// Returns the daemons to send in a gossip message, each with the time since the last contact.
    ///
    /// A list that does not fit one message is sampled; `random` is uniform and selects the sample.
    #[must_use]
    pub fn sample(&self, random: u64, now: Instant) -> Vec<(KnownDaemon, Duration)> {
        let count = u64::try_from(self.others.len()).unwrap_or(1).max(1);
        let first = usize::try_from(random % count).unwrap_or(0);
        self.others
            .iter()
            .cycle()
            .skip(first)
            .take(self.others.len().min(SAMPLE_MAX))
            .map(|(daemon, last_contact)| (*daemon, now.saturating_duration_since(*last_contact)))
            .collect()
    }

    /// Chooses the daemon for the next gossip exchange; `random` is uniform.
    ///
    /// Half of the exchanges go to seeds, because these may be the only link between groups of
    /// daemons that started separately.
    #[must_use]
    pub fn choose_peer(&self, seeds: &[SocketAddr], random: u64) -> Option<SocketAddr> {
        let seeds: Vec<SocketAddr> = seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.own.address)
            .collect();
        let pick = |count: usize| {
            let count = u64::try_from(count).unwrap_or(1).max(1);
            usize::try_from((random / 2) % count).unwrap_or(0)
        };
        let from_seeds = seeds.get(pick(seeds.len())).copied();
        let from_others = self.others.get(pick(self.others.len()));
        let from_others = from_others.map(|(daemon, _)| daemon.address);
        if random.is_multiple_of(2) {
            from_seeds.or(from_others)
        } else {
            from_others.or(from_seeds)
        }
    }

    /// Returns all daemons, including this one.
    ///
    /// Until discovery has completed, these are the seeds, which all daemons have in common.
    #[must_use]
    pub fn all(&self, seeds: &[SocketAddr], now: Instant) -> Vec<KnownDaemon> {
        if self.is_discovery_complete(now) {
            return self.others().chain([self.own]).collect();
        }
        let others = seeds.iter().filter(|seed| **seed != self.own.address);
        let daemons = others.chain([&self.own.address]);
        // All daemons must rank each other by the same data, and they do not know the CPU capacity
        // of a daemon that has just started.
        daemons
            .map(|address| KnownDaemon {
                address: *address,
                cpu_millicores: 0,
            })
            .collect()
    }

    /// Returns the other daemons discovered so far.
    pub fn others(&self) -> impl Iterator<Item = KnownDaemon> {
        self.others.iter().map(|(daemon, _)| *daemon)
    }

    /// Returns the number of daemons among which a limit is divided, including this one.
    ///
    /// Until discovery has completed, this is at least [`DEFAULT_DAEMON_COUNT`].
    #[must_use]
    pub fn daemon_count(&self, now: Instant) -> usize {
        let known = self.others.len() + 1;
        if self.is_discovery_complete(now) {
            known
        } else {
            known.max(DEFAULT_DAEMON_COUNT)
        }
    }

    /// Returns true if enough time has passed for the exchanges to discover all daemons.
    fn is_discovery_complete(&self, now: Instant) -> bool {
        self.first_contact
            .is_some_and(|at| now.saturating_duration_since(at) >= DISCOVERY_TIME)
    }
}
