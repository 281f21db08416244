//! Model of a fleet whose daemons send requests to one leaf that is cold: they find each other by
//! gossip, start, end, join, are cut off and return, and learn late what the leaf publishes.

use std::net::SocketAddr;

use medlarpin_core::prelude::*;
use medlarpin_core::routing::{
    ColdLeafBound, DaemonList, KnownDaemon, LeafRateLimit, LeafWarmUp, ProcessStart, RateAccess,
    RateStatement, RequestRate, StatedRate,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Step of the model's time.
const STEP: Duration = Duration::from_millis(25);
/// Interval at which the leaf writes its entry.
const ENTRY_INTERVAL: Duration = Duration::from_millis(1_200);
/// Longest time from a daemon's read of the store to the use of an entry.
const ENTRY_DELAY_MS: u64 = 2_000;
/// Longest time from sending a request to its arrival.
const ARRIVAL_DELAY_MS: u64 = 40;
/// Intervals of the exchanges of lists, as in the router.
const EXCHANGE_INTERVAL_AT_START: Duration = Duration::from_millis(500);
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// Daemons whose addresses are in the settings of all.
const SEEDS: u16 = 3;

/// The fleet, the bound and the faults of one play.
#[derive(Debug, Clone, Copy)]
pub struct World {
    pub daemons: u16,
    pub tolerated_per_s: f64,
    pub overage: f64,
    pub slack: f64,
    pub duration: Duration,
    /// Mean time between two faults; `None` for an undisturbed fleet.
    pub fault_interval: Option<Duration>,
    /// Requests for the leaf per second over all daemons; infinite if each tries at each step.
    pub demand_per_s: f64,
    /// True for a faulty variant whose daemons send without having discovered the others.
    pub sends_undiscovered: bool,
    /// True if the fleet starts in two parts that never meet.
    pub never_meet: bool,
}

/// What one play gave.
#[derive(Debug, Default)]
pub struct Play {
    /// Arrival times of the requests that were sent to the leaf as a cold one.
    pub arrivals: Vec<Instant>,
    /// Requests for the leaf in the second half of the play, if the demand is limited.
    pub wanted: u32,
    /// Requests that were sent in the second half of the play.
    pub sent: u32,
    /// Most daemons that could send at the same time.
    pub senders_max: usize,
}

struct Daemon {
    list: DaemonList,
    limit: LeafRateLimit,
    warm_up: LeafWarmUp,
    /// Entries on their way: time of arrival, remaining warm-up, sequence number.
    entries: Vec<(Instant, Duration, u64)>,
    is_alive: bool,
    /// Daemons reach each other within a part only.
    part: u32,
    reaches_store: bool,
    next_exchange: Instant,
}

struct Fleet {
    world: World,
    random: StdRng,
    start: Instant,
    leaf: LeafId,
    rate: RequestRate,
    bound: ColdLeafBound,
    daemons: Vec<Daemon>,
    next_number: u16,
    /// The leaf is cold until then.
    cold_until: Instant,
    sequence: u64,
}

/// Plays a world with a seed.
pub fn play(world: World, seed: u64) -> Play {
    let start = Instant::now();
    let mut fleet = Fleet {
        world,
        random: StdRng::seed_from_u64(seed),
        start,
        leaf: LeafId::new("leaf-1"),
        rate: RequestRate::new(world.tolerated_per_s).unwrap(),
        bound: ColdLeafBound::new(world.overage, world.slack),
        daemons: Vec::new(),
        next_number: 1,
        cold_until: start + world.duration,
        sequence: 0,
    };
    for number in 0..world.daemons {
        fleet.join(u32::from(world.never_meet && number % 2 == 0), start);
    }
    fleet.run()
}

impl Fleet {
    fn run(mut self) -> Play {
        let mut play = Play::default();
        let mut next_entry = self.start;
        let mut next_fault = self.world.fault_interval.map(|mean| self.start + mean);
        let mut is_cold_again = false;
        let mut wanted = 0.0;
        let end = self.start + self.world.duration;
        let mut now = self.start;
        while now < end {
            // With faults, the leaf is warm for a while and becomes cold again in the middle.
            let elapsed = now - self.start;
            if self.world.fault_interval.is_some() && !is_cold_again {
                if elapsed >= self.world.duration / 2 {
                    is_cold_again = true;
                    self.cold_until = end;
                } else {
                    self.cold_until = self.start + self.world.duration * 2 / 5;
                }
            }
            if next_entry <= now {
                next_entry += ENTRY_INTERVAL;
                self.publish(now);
            }
            if next_fault.is_some_and(|at| at <= now) {
                let mean = self.world.fault_interval.unwrap_or_default();
                next_fault = Some(now + mean.mul_f64(self.random.random_range(0.2..1.8)));
                self.fault(now);
            }
            self.gossip(now);
            self.read_entries(now);
            let senders = self.senders(now);
            play.senders_max = play.senders_max.max(senders.len());
            let is_counted = elapsed >= self.world.duration / 2;
            if self.world.demand_per_s.is_finite() {
                wanted += self.world.demand_per_s * STEP.as_secs_f64();
                while wanted >= 1.0 {
                    wanted -= 1.0;
                    let daemon = self.random.random_range(0..self.daemons.len());
                    let is_sent = senders.contains(&daemon) && self.try_send(daemon, now);
                    play.wanted += u32::from(is_counted);
                    play.sent += u32::from(is_counted && is_sent);
                    play.arrivals.extend(is_sent.then(|| self.arrival(now)));
                }
            } else {
                for daemon in senders {
                    if self.try_send(daemon, now) {
                        play.arrivals.push(self.arrival(now));
                        play.sent += u32::from(is_counted);
                    }
                }
            }
            now += STEP;
        }
        play.arrivals.sort_unstable();
        play
    }

    fn arrival(&mut self, now: Instant) -> Instant {
        now + Duration::from_millis(self.random.random_range(0..ARRIVAL_DELAY_MS))
    }

    /// Returns the daemons that may send to the leaf as a cold one.
    fn senders(&self, now: Instant) -> Vec<usize> {
        let is_sender = |daemon: &&(usize, &Daemon)| {
            let access = self.access(daemon.1, now);
            daemon.1.is_alive
                && daemon.1.warm_up.cold_until(now).is_some()
                && access != RateAccess::Nothing
        };
        let daemons: Vec<(usize, &Daemon)> = self.daemons.iter().enumerate().collect();
        let senders = daemons.iter().filter(is_sender);
        senders.map(|(index, _)| *index).collect()
    }

    fn access(&self, daemon: &Daemon, now: Instant) -> RateAccess {
        let list = &daemon.list;
        if !self.world.sends_undiscovered {
            return list.cold_access(&self.leaf, self.rate, self.bound, now);
        }
        let mut undiscovered = DaemonList::new(
            list.own(),
            ProcessStart {
                at: now,
                is_first_start: true,
                seeds: Vec::new(),
            },
        );
        for (daemon, silent) in list.sample(0, now) {
            undiscovered.record_contact(daemon, silent, now);
        }
        undiscovered.cold_access(&self.leaf, self.rate, self.bound, now)
    }

    fn try_send(&mut self, index: usize, now: Instant) -> bool {
        let access = self.access(&self.daemons[index], now);
        let random = self.random.random();
        let daemon = &mut self.daemons[index];
        if daemon.limit.stated().is_none() {
            let statement = RateStatement {
                stated: StatedRate::Limited(self.rate),
                asked_at: now,
                heard_at: now,
            };
            daemon.limit.record(statement, random, now);
        }
        daemon.limit.take(access, now).is_none()
    }

    /// Starts a daemon on a new VM.
    fn join(&mut self, part: u32, now: Instant) {
        let number = self.next_number;
        self.next_number += 1;
        let daemon = self.process(known_daemon(number), part, now);
        self.daemons.push(daemon);
    }

    /// Returns a process that starts within the next two seconds.
    fn process(&mut self, own: KnownDaemon, part: u32, now: Instant) -> Daemon {
        let started_at = now + Duration::from_millis(self.random.random_range(0..2_000));
        let start = ProcessStart {
            at: started_at,
            is_first_start: false,
            seeds: (1..=SEEDS).map(|seed| known_daemon(seed).address).collect(),
        };
        Daemon {
            list: DaemonList::new(own, start),
            limit: LeafRateLimit::default(),
            warm_up: LeafWarmUp::default(),
            entries: Vec::new(),
            is_alive: true,
            part,
            reaches_store: true,
            next_exchange: started_at,
        }
    }

    fn publish(&mut self, now: Instant) {
        self.sequence += 1;
        let left = self.cold_until.saturating_duration_since(now);
        for daemon in &mut self.daemons {
            let delay = Duration::from_millis(self.random.random_range(0..ENTRY_DELAY_MS));
            if daemon.reaches_store {
                daemon.entries.push((now + delay, left, self.sequence));
            }
        }
    }

    /// Delivers the entries that are due, the newest one last.
    fn read_entries(&mut self, now: Instant) {
        for daemon in &mut self.daemons {
            let due = daemon.entries.extract_if(.., |(at, _, _)| *at <= now);
            if let Some((_, left, sequence)) = due.last() {
                daemon.entries.retain(|(_, _, later)| *later > sequence);
                daemon.warm_up.published(left, sequence, now);
            }
        }
    }

    fn gossip(&mut self, now: Instant) {
        let seeds: Vec<SocketAddr> = (1..=SEEDS).map(|seed| known_daemon(seed).address).collect();
        for index in 0..self.daemons.len() {
            if !self.daemons[index].is_alive || now < self.daemons[index].next_exchange {
                continue;
            }
            let is_complete = self.daemons[index].list.is_discovery_complete(now);
            let interval = if is_complete {
                EXCHANGE_INTERVAL
            } else {
                EXCHANGE_INTERVAL_AT_START
            };
            let jitter = self.random.random_range(0.75..1.25);
            self.daemons[index].next_exchange = now + interval.mul_f64(jitter);
            let random = self.random.random();
            let peer = self.daemons[index].list.choose_peer(&seeds, random, now);
            if let Some(peer) = peer {
                self.exchange(index, peer, now);
            }
        }
    }

    fn exchange(&mut self, index: usize, peer: SocketAddr, now: Instant) {
        let is_peer = |daemon: &Daemon| daemon.is_alive && daemon.list.own().address == peer;
        let Some(peer) = self.daemons.iter().position(is_peer) else {
            return;
        };
        if self.daemons[index].part != self.daemons[peer].part {
            return;
        }
        let sent = self.daemons[index].list.sample(self.random.random(), now);
        let reply = self.daemons[peer].list.sample(self.random.random(), now);
        let (own, other) = (
            self.daemons[index].list.own(),
            self.daemons[peer].list.own(),
        );
        self.daemons[peer].list.record_exchange(own, &sent, now);
        self.daemons[index].list.record_exchange(other, &reply, now);
    }

    fn fault(&mut self, now: Instant) {
        let count = self.daemons.len();
        let any = self.random.random_range(0..count);
        match self.random.random_range(0..8) {
            0 => self.daemons[any].is_alive = false,
            1 => {
                // The process starts again on the same VM.
                let (own, part) = (self.daemons[any].list.own(), self.daemons[any].part);
                self.daemons[any] = self.process(own, part, now);
            }
            2 => {
                let joining = self.random.random_range(1..=self.world.daemons.div_ceil(2));
                if self.next_number + joining <= self.world.daemons * 2 {
                    let part = self.daemons[any].part;
                    for _ in 0..joining {
                        self.join(part, now);
                    }
                }
            }
            3 => self.daemons[any].reaches_store = false,
            4 => {
                // Some are cut off together. The whole fleet is in one or two parts, besides daemons
                // that are cut off alone.
                for daemon in &mut self.daemons {
                    daemon.part = u32::from(self.random.random_bool(0.4));
                }
            }
            5 => {
                for cut in 0..self.random.random_range(1..=3) {
                    let any = self.random.random_range(0..count);
                    self.daemons[any].part = 2 + cut;
                }
            }
            _ => {
                for daemon in &mut self.daemons {
                    daemon.part = 0;
                    daemon.reaches_store = true;
                }
            }
        }
    }
}

fn known_daemon(number: u16) -> KnownDaemon {
    let [high, low] = number.to_be_bytes();
    KnownDaemon {
        address: SocketAddr::from(([10, 0, high, low], 8_106)),
        cpu_millicores: 170,
        started_at: None,
    }
}

/// Returns the largest number of arrivals in any one-second interval.
pub fn second_max(arrivals: &[Instant]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, at) in arrivals.iter().enumerate() {
        while arrivals[first] + Duration::from_secs(1) <= *at {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}
