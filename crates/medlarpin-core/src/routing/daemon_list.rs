use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{
    CAPACITY_RATIO_MIN, ColdLeafBound, KnownDaemon, RateAccess, RequestRate, is_dense,
    reserve_parts,
};
use crate::ids::{LeafId, stable_hash};

/// Time without contact after which a daemon gets no queries or exchanges. Longer than a restart.
pub const SILENCE_TIMEOUT: Duration = Duration::from_mins(1);
/// Time without contact after which a daemon's share of a limit goes to the others. Longer than a
/// partition, in which the daemon still uses its share.
pub const LIMIT_SILENCE_TIMEOUT: Duration = Duration::from_mins(10);
/// Time without any contact after which a daemon counts as cut off from all others: longer than two
/// exchanges, the second of which may time out.
pub const ISOLATED_AFTER: Duration = Duration::from_secs(5);
/// Time from the first contact with another daemon until the list is considered complete: enough
/// for about six gossip exchanges at the interval after a start.
pub const DISCOVERY_TIME: Duration = Duration::from_secs(3);
/// Maximum difference between the starts of daemons that count as started together, for example
/// after all VMs lost power.
pub const HERD_START_SPREAD: Duration = Duration::from_secs(2);
/// Minimum number of daemons among which connections are divided until discovery has completed.
/// Larger than most deployments, so that a daemon opens too few rather than too many.
pub const DEFAULT_DAEMON_COUNT: usize = 32;
/// Maximum number of other daemons that are remembered, a multiple of the design size. It bounds
/// what a faulty peer can add.
const DAEMONS_MAX: usize = 4_096;
/// Part of a limit that is divided among all daemons; the rest goes to the gatherers. Small VMs
/// still forward requests to single leafs, and gather when they reach no gatherer.
const COMMON_PART: f64 = 0.5;
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
    start: ProcessStart,
    /// The other daemons, each with the time of the last contact that any daemon had with it;
    /// sorted by address, without duplicates, at most [`DAEMONS_MAX`].
    others: Vec<(KnownDaemon, Instant)>,
    /// Share of a limit by the known daemons; kept because it is needed for each leaf request.
    standing_share: f64,
    /// True if a known daemon has been running for longer than this one.
    knows_older: bool,
    /// Time of the first contact with another daemon.
    first_contact: Option<Instant>,
    /// Time from which most of the seeds were known; `None` before it.
    seeds_known_at: Option<Instant>,
    /// True if the first peer knew most of the seeds and this daemon's address, so that the others
    /// already count an earlier process on the VM.
    is_restart: bool,
}

/// How this process came to run.
#[derive(Debug, Clone)]
pub struct ProcessStart {
    /// Time of the start.
    pub at: Instant,
    /// True if the whole system starts for the first time, so that no earlier process has used any
    /// limit.
    pub is_first_start: bool,
    /// Addresses through which other daemons are found; this daemon's own may be among them.
    pub seeds: Vec<SocketAddr>,
}

impl DaemonList {
    /// Creates a list that contains only this daemon.
    #[must_use]
    pub fn new(own: KnownDaemon, start: ProcessStart) -> Self {
        Self {
            own,
            start,
            others: Vec::new(),
            standing_share: 1.0,
            knows_older: false,
            first_contact: None,
            seeds_known_at: None,
            is_restart: false,
        }
    }

    /// Returns this daemon.
    #[must_use]
    pub fn own(&self) -> KnownDaemon {
        self.own
    }

    /// Records an exchange with `peer`, which knows the daemons in `known`.
    pub fn record_exchange(
        &mut self,
        peer: KnownDaemon,
        known: &[(KnownDaemon, Duration)],
        now: Instant,
    ) {
        // Later, peers also know this process.
        let is_first = self.first_contact.is_none();
        self.record_contact(peer, Duration::ZERO, now);
        for (daemon, silent) in known {
            self.record_contact(*daemon, *silent, now);
        }
        let mut known = known.iter();
        let lists_own = known.any(|(daemon, _)| daemon.address == self.own.address);
        if is_first && lists_own && self.seeds_known_at.is_some() {
            self.is_restart = true;
        }
    }

    /// Records that some daemon was last in contact with `daemon` `silent` ago.
    pub fn record_contact(&mut self, daemon: KnownDaemon, silent: Duration, now: Instant) {
        let Some(last_contact) = now.checked_sub(silent) else {
            return;
        };
        if daemon.address == self.own.address || silent >= LIMIT_SILENCE_TIMEOUT {
            return;
        }
        self.first_contact.get_or_insert(now);
        let starts_before = |at: Instant| at + HERD_START_SPREAD < self.start.at;
        self.knows_older |= daemon.started_at.is_none_or(starts_before);
        match self
            .others
            .binary_search_by_key(&daemon.address, |(known, _)| known.address)
        {
            Ok(index) if last_contact >= self.others[index].1 => {
                let previous = std::mem::replace(&mut self.others[index], (daemon, last_contact));
                if previous.0.cpu_millicores != daemon.cpu_millicores {
                    self.refresh_standing_share();
                }
            }
            Ok(_) => {}
            Err(_) if self.others.len() >= DAEMONS_MAX => {}
            Err(index) => {
                self.others.insert(index, (daemon, last_contact));
                self.refresh_standing_share();
                if self.knows_most_seeds() {
                    self.seeds_known_at.get_or_insert(now);
                }
            }
        }
    }

    /// Evicts the daemons without contact for [`LIMIT_SILENCE_TIMEOUT`].
    pub fn evict_silent(&mut self, now: Instant) {
        let count = self.others.len();
        self.others.retain(|(_, last_contact)| {
            now.saturating_duration_since(*last_contact) < LIMIT_SILENCE_TIMEOUT
        });
        if self.others.len() != count {
            self.refresh_standing_share();
        }
    }

    /// Returns the daemons to send in a gossip message, each with the time since the last contact.
    /// Silent ones are included, since a daemon that starts must count them too.
    ///
    /// A list that does not fit one message is sampled; `random` is uniform and selects the sample.
    #[must_use]
    pub fn sample(&self, random: u64, now: Instant) -> Vec<(KnownDaemon, Duration)> {
        let count = u64::try_from(self.others.len()).unwrap_or(1).max(1);
        let first = usize::try_from(random % count).unwrap_or(0);
        let (before, after) = self.others.split_at(first);
        let rotated = after.iter().chain(before).take(SAMPLE_MAX);
        rotated
            .map(|(daemon, at)| (*daemon, now.saturating_duration_since(*at)))
            .collect()
    }

    /// Chooses the daemon for the next gossip exchange; `random` is uniform.
    ///
    /// Half of the exchanges go to seeds, because these may be the only link between groups of
    /// daemons that started separately.
    #[must_use]
    pub fn choose_peer(
        &self,
        seeds: &[SocketAddr],
        random: u64,
        now: Instant,
    ) -> Option<SocketAddr> {
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
        let from_others = self.others(now).nth(pick(self.others(now).count()));
        let from_others = from_others.map(|daemon| daemon.address);
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
            return self.others(now).chain([self.own]).collect();
        }
        let others = seeds.iter().filter(|seed| **seed != self.own.address);
        let daemons = others.chain([&self.own.address]);
        // All daemons must rank each other by the same data, and they do not know the CPU capacity
        // of a daemon that has just started.
        daemons
            .map(|address| KnownDaemon {
                address: *address,
                cpu_millicores: 0,
                started_at: None,
            })
            .collect()
    }

    /// Returns the other daemons that were heard from within [`SILENCE_TIMEOUT`].
    pub fn others(&self, now: Instant) -> impl Iterator<Item = KnownDaemon> {
        self.others
            .iter()
            .filter(move |(_, at)| now.saturating_duration_since(*at) < SILENCE_TIMEOUT)
            .map(|(daemon, _)| *daemon)
    }

    /// Returns the daemons to which this one passes a report on: at most `count`, chosen at random
    /// but for the first, which is the next one in the order of addresses.
    ///
    /// Each daemon passes a report on once. Random choices alone leave out a few daemons; with the
    /// order of addresses, a daemon gets each report that the one before it knows.
    #[must_use]
    pub fn report_receivers(&self, count: usize, seed: u64, now: Instant) -> Vec<SocketAddr> {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut others: Vec<SocketAddr> = self.others(now).map(|daemon| daemon.address).collect();
        let mut receivers = Vec::with_capacity(count);
        if !others.is_empty() && count > 0 {
            let next = others.partition_point(|address| *address < self.own.address);
            receivers.push(others.remove(next % others.len()));
        }
        while receivers.len() < count && !others.is_empty() {
            let index = random.random_range(0..others.len());
            receivers.push(others.swap_remove(index));
        }
        receivers
    }

    /// Returns true if this daemon has heard from none of the others of late, so that what they know
    /// does not reach it.
    #[must_use]
    pub fn is_isolated(&self, now: Instant) -> bool {
        let contacts = self.others.iter().map(|(_, at)| *at);
        let Some(last_contact) = contacts.max() else {
            // The others may be unreachable since the start.
            let since_start = now.saturating_duration_since(self.start.at);
            return self.has_other_seeds() && since_start >= ISOLATED_AFTER;
        };
        let last_contact = last_contact.max(self.start.at);
        now.saturating_duration_since(last_contact) >= ISOLATED_AFTER
    }

    /// Returns the number of daemons among which limits are divided, including this one.
    #[must_use]
    pub fn daemon_count(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns the share of a service's limit on connections that this daemon may use, from 0 to 1.
    ///
    /// Until discovery has completed, at least [`DEFAULT_DAEMON_COUNT`] daemons are assumed.
    #[must_use]
    pub fn connection_share(&self, now: Instant) -> f64 {
        if self.is_discovery_complete(now) {
            self.standing_share
        } else {
            1.0 / self.daemon_count().max(DEFAULT_DAEMON_COUNT) as f64
        }
    }

    /// Returns how this daemon may send requests to a leaf that states a rate.
    ///
    /// A leaf that gets nothing but parts of gathered queries is left mostly to the daemons that
    /// gather. All daemons forward requests to other leafs alike; if these take too few to divide
    /// among so many, one daemon permits the requests. It is the first one, in an order that depends
    /// on the leaf, of the daemons that are neither silent nor in `excluded`, which is sorted.
    #[must_use]
    pub fn rate_access(
        &self,
        leaf: &LeafId,
        stated: RequestRate,
        is_gathered_only: bool,
        excluded: &[SocketAddr],
        now: Instant,
    ) -> RateAccess {
        let is_alone = self.others.is_empty() && !self.has_other_seeds();
        if !is_alone && !self.is_discovery_complete(now) {
            let count = self.daemon_count().max(DEFAULT_DAEMON_COUNT);
            return RateAccess::share(stated, 1.0 / count as f64);
        }
        if is_gathered_only {
            return RateAccess::share(stated, self.standing_share);
        }
        let share = 1.0 / self.daemon_count() as f64;
        if is_dense(stated, share) {
            return RateAccess::share(stated, share);
        }
        let issuer = self
            .others(now)
            .filter(|daemon| excluded.binary_search(&daemon.address).is_err())
            .chain([self.own])
            .min_by_key(|daemon| issuer_rank(leaf, daemon));
        match issuer {
            Some(issuer) if issuer.address != self.own.address => {
                RateAccess::Permit(issuer.address)
            }
            _ => RateAccess::issuer(stated),
        }
    }

    /// Returns how this daemon may send requests to a cold leaf that tolerates a rate of all daemons
    /// together.
    ///
    /// The first daemons in an order that depends on the leaf send, as many as the bound has room for
    /// ([`ColdLeafBound::plan`]); the others send nothing. At any time, no more daemons that know of
    /// each other send than the plan allows, whatever other daemons they know: each counts those
    /// before it. To this end
    ///
    /// - a daemon sends only once it has discovered the others, and these it,
    /// - silent daemons keep their place for [`LIMIT_SILENCE_TIMEOUT`], which is longer than a
    ///   partition, in which they still send, and
    /// - the order depends on nothing but the addresses.
    ///
    /// Daemons that do not know of each other are in two parts of the fleet that have been apart
    /// since one of them started, or for longer than [`LIMIT_SILENCE_TIMEOUT`]; the plan has room
    /// for both.
    #[must_use]
    pub fn cold_access(
        &self,
        leaf: &LeafId,
        tolerated: RequestRate,
        bound: ColdLeafBound,
        now: Instant,
    ) -> RateAccess {
        let is_settled = self.is_discovery_complete(now) && !self.is_isolated(now);
        if self.has_other_seeds() && !is_settled {
            return RateAccess::Nothing;
        }
        let Some(plan) = bound.plan(tolerated) else {
            return RateAccess::Nothing;
        };
        let own = sender_rank(leaf, self.own.address);
        let others = self.others.iter().map(|(daemon, _)| daemon.address);
        // Most daemons find others before them among the first few, so this is cheap.
        let before = others.filter(|address| sender_rank(leaf, *address) < own);
        if before.take(plan.senders).count() < plan.senders {
            RateAccess::Paced(plan.per_s)
        } else {
            RateAccess::Nothing
        }
    }

    /// Returns the retries of a service's `reserve` that this daemon may use in a window.
    ///
    /// The retries of all daemons sum to at most the reserve over any window, as long as gossip
    /// reaches connected daemons within [`DISCOVERY_TIME`], partitions are shorter than
    /// [`LIMIT_SILENCE_TIMEOUT`], none begins while a daemon settles, and during one no daemon joins
    /// and no side of it restarts alone and as a whole. To this end the share is 0
    ///
    /// - while the previous process on this VM may have used its share within the same part of the
    ///   window (see [`RetryLimits::reserve_parts`](super::RetryLimits::reserve_parts)),
    /// - while the other daemons may not yet count this one, and
    /// - while fewer than most of the seeds are known, since of two groups of daemons that start
    ///   apart from each other, at most one knows them.
    #[must_use]
    pub fn reserve(&self, reserve: f64, window: Duration, now: Instant) -> f64 {
        let share = reserve * self.standing_share;
        let previous_part_over = self.start.at + window / reserve_parts(share);
        let is_first_start = self.start.is_first_start;
        let usable_from = match self.seeds_known_at.map(|at| at + DISCOVERY_TIME) {
            None if !self.has_other_seeds() && is_first_start => self.start.at,
            None if !self.has_other_seeds() => previous_part_over,
            // Seeds that are unknown for so long no longer exist.
            None => self.start.at + LIMIT_SILENCE_TIMEOUT,
            Some(settled) if is_first_start => settled,
            Some(settled) if self.is_restart => settled.max(previous_part_over),
            // All daemons started together, and those that started last are counted by then.
            Some(settled) if !self.knows_older => {
                (settled + HERD_START_SPREAD).max(previous_part_over)
            }
            // The others adopt their smaller shares by `settled` and have used larger ones before.
            Some(settled) => settled + window,
        };
        if now < usable_from { 0.0 } else { share }
    }

    /// Computes the share of a limit by the size of the VMs: one part is divided among all daemons,
    /// the other one among those that gather the queries of smaller VMs.
    fn refresh_standing_share(&mut self) {
        let others = self.others.iter().map(|(daemon, _)| daemon.cpu_millicores);
        let capacities = others.chain([self.own.cpu_millicores]);
        let largest = capacities.clone().max().unwrap_or_default();
        // A daemon delegates to others with at least `CAPACITY_RATIO_MIN` times its capacity.
        let is_gatherer = |capacity: u32| {
            u64::from(capacity) * u64::from(CAPACITY_RATIO_MIN) > u64::from(largest)
        };
        let gatherers = capacities.clone().filter(|capacity| is_gatherer(*capacity));
        let common = COMMON_PART / capacities.count() as f64;
        self.standing_share = if is_gatherer(self.own.cpu_millicores) {
            common + (1.0 - COMMON_PART) / gatherers.count().max(1) as f64
        } else {
            common
        };
    }

    fn has_other_seeds(&self) -> bool {
        let mut seeds = self.start.seeds.iter();
        seeds.any(|seed| *seed != self.own.address)
    }

    /// Returns true if more than half of the seeds, this daemon included if it is one, are known.
    fn knows_most_seeds(&self) -> bool {
        let is_known = |seed: &&SocketAddr| {
            let found = self
                .others
                .binary_search_by_key(*seed, |(known, _)| known.address);
            **seed == self.own.address || found.is_ok()
        };
        self.start.seeds.iter().filter(is_known).count() * 2 > self.start.seeds.len()
    }

    /// Returns true if enough time has passed for the exchanges to discover all daemons.
    #[must_use]
    pub fn is_discovery_complete(&self, now: Instant) -> bool {
        self.first_contact
            .is_some_and(|at| now.saturating_duration_since(at) >= DISCOVERY_TIME)
    }
}

/// Returns the position of a daemon in the order in which daemons permit a leaf's requests. Daemons
/// with more CPU capacity come first, because a small VM under load would answer late.
fn issuer_rank(leaf: &LeafId, daemon: &KnownDaemon) -> (u32, u64, SocketAddr) {
    let (hash, address) = sender_rank(leaf, daemon.address);
    (u32::MAX - daemon.cpu_millicores, hash, address)
}

/// Returns the position of a daemon in the order in which daemons send to a cold leaf (rendezvous
/// hashing).
fn sender_rank(leaf: &LeafId, address: SocketAddr) -> (u64, SocketAddr) {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let port = address.port().to_be_bytes();
    let hash = stable_hash(&[leaf.as_str().as_bytes(), &ip.octets(), &port]);
    (hash, address)
}
