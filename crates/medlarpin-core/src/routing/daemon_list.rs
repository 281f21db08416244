use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::KnownDaemon;

/// Time after which a silent daemon is no longer counted. Longer than a restart or a short
/// partition, so that the others do not take over its share of a limit meanwhile.
pub const SILENCE_TIMEOUT: Duration = Duration::from_mins(1);
/// Time from the first contact with another daemon until the number of daemons is used: the lists
/// of two or three exchanges are complete by then.
pub const DISCOVERY_TIME: Duration = Duration::from_secs(6);
/// Daemons that are assumed while the number is unknown; above most deployments, so that shares of
/// a limit are too small rather than too large.
pub const DEFAULT_DAEMON_COUNT: usize = 32;
/// Daemons in one message. A daemon starts an exchange every two seconds and takes part in another
/// one, so 128 daemons of 16 bytes in four messages are 4 KB/s at the design size of 500.
const LIST_MAX: usize = 128;

/// The other daemons that this one has heard of.
///
/// Each exchange tells both sides what the other one knows, so a daemon that starts with a few
/// seeds learns all in a few exchanges.
#[derive(Debug, Clone)]
pub struct DaemonList {
    own: KnownDaemon,
    /// With the last time at which anyone heard from them; sorted by address, without duplicates and
    /// without this daemon.
    others: Vec<(KnownDaemon, Instant)>,
    /// First time at which another daemon was heard.
    first_heard: Option<Instant>,
}

impl DaemonList {
    /// Creates the list of a daemon that knows no other.
    #[must_use]
    pub fn new(own: KnownDaemon) -> Self {
        Self {
            own,
            others: Vec::new(),
            first_heard: None,
        }
    }

    /// Returns this daemon.
    #[must_use]
    pub fn own(&self) -> KnownDaemon {
        self.own
    }

    /// Records that someone heard from a daemon this long ago.
    pub fn record_contact(&mut self, daemon: KnownDaemon, silent: Duration, now: Instant) {
        let Some(at) = now.checked_sub(silent) else {
            return;
        };
        if daemon.address == self.own.address || silent >= SILENCE_TIMEOUT {
            return;
        }
        self.first_heard.get_or_insert(now);
        match self
            .others
            .binary_search_by_key(&daemon.address, |(known, _)| known.address)
        {
            Ok(index) if at >= self.others[index].1 => self.others[index] = (daemon, at),
            Ok(_) => {}
            Err(index) => self.others.insert(index, (daemon, at)),
        }
    }

    /// Drops the daemons that were silent for too long.
    pub fn evict_silent(&mut self, now: Instant) {
        self.others
            .retain(|(_, at)| now.saturating_duration_since(*at) < SILENCE_TIMEOUT);
    }

    /// Returns known daemons and how long they have been silent, for another daemon.
    ///
    /// A message holds a part of a long list; `random` is uniform and picks the part.
    #[must_use]
    pub fn sample(&self, random: u64, now: Instant) -> Vec<(KnownDaemon, Duration)> {
        let count = u64::try_from(self.others.len()).unwrap_or(1).max(1);
        let first = usize::try_from(random % count).unwrap_or(0);
        self.others
            .iter()
            .cycle()
            .skip(first)
            .take(self.others.len().min(LIST_MAX))
            .map(|(daemon, at)| (*daemon, now.saturating_duration_since(*at)))
            .collect()
    }

    /// Returns the daemon to exchange lists with; `random` is uniform.
    ///
    /// Seeds are asked as often as all others together: they may be the only link between daemons
    /// that started apart.
    #[must_use]
    pub fn choose_partner(&self, seeds: &[SocketAddr], random: u64) -> Option<SocketAddr> {
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

    /// Returns all daemons, this one included. Until the list is settled these are the seeds, which
    /// all daemons know from their start.
    #[must_use]
    pub fn all(&self, seeds: &[SocketAddr], now: Instant) -> Vec<KnownDaemon> {
        if self.is_settled(now) {
            return self.others().chain([self.own]).collect();
        }
        let others = seeds.iter().filter(|seed| **seed != self.own.address);
        let daemons = others.chain([&self.own.address]);
        // The others do not know the capacity of a daemon that has just started.
        daemons
            .map(|address| KnownDaemon {
                address: *address,
                cpu_millicores: 0,
            })
            .collect()
    }

    /// Returns the other daemons that are known so far.
    pub fn others(&self) -> impl Iterator<Item = KnownDaemon> {
        self.others.iter().map(|(daemon, _)| *daemon)
    }

    /// Returns the number of daemons among which a limit is divided.
    #[must_use]
    pub fn daemon_count(&self, now: Instant) -> usize {
        let known = self.others.len() + 1;
        if self.is_settled(now) {
            known
        } else {
            known.max(DEFAULT_DAEMON_COUNT)
        }
    }

    /// Returns true if the exchanges have had the time to tell of all daemons.
    fn is_settled(&self, now: Instant) -> bool {
        self.first_heard
            .is_some_and(|at| now.saturating_duration_since(at) >= DISCOVERY_TIME)
    }
}
