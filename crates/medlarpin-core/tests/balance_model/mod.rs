//! Discrete-event simulation of the leafs of some services and of the daemons that send to them, each
//! with its own knowledge of the leafs. Fixed seeds, no network.

mod leaf;
pub mod rule;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt;
use std::time::{Duration, Instant};

use medlarpin_core::routing::{RouteLatency, StatedLoad};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use leaf::Leaf;
use rule::{Knowledge, Rule};

pub const RUN_US: u64 = 24_000_000;
/// Results count from here on; the daemons know nothing of the leafs at the start.
const WARM_UP_US: u64 = 6_000_000;
const BURST_US: std::ops::Range<u64> = 12_000_000..15_000_000;
const BURST_FACTOR: f64 = 2.5;
const SERVICES: usize = 6;
/// Share of the queries over many shards that the large daemons gather.
const LARGE_SHARE: f64 = 0.8;
const ATTEMPTS_MAX: u32 = 3;
const SAMPLE_US: u64 = 20_000;

/// What the daemons send to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Queries to one leaf of each shard: 3 leafs of 2 slots, short work.
    Shards,
    /// Single requests to services of 4 to 9 leafs of 3 to 6 slots, long work.
    LongWork,
}

/// What the first leaf of each service states; the others state the truth unless there is no header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Header {
    Absent,
    Truth,
    Zero,
    Random,
    /// The opposite of the truth: idle while it is busy.
    Inverse,
}

#[derive(Debug, Clone, Copy)]
pub struct World {
    pub kind: Kind,
    pub daemons: usize,
    /// Demand as a share of the leafs' capacity.
    pub load: f64,
    pub has_burst: bool,
    pub header: Header,
    pub seed: u64,
}

/// Results of one or several runs.
#[derive(Debug, Clone, Default)]
pub struct Report {
    spreads: Vec<f64>,
    latencies_ms: Vec<f64>,
    sent: u64,
    idle_waits: u64,
    rejected: u64,
    failed: u64,
}

struct Request {
    daemon: usize,
    service: usize,
    began_us: u64,
    sent_us: u64,
    work_us: f64,
    tried: Vec<usize>,
    stated: Option<StatedLoad>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Query,
    Sample,
    Send(usize),
    Reach(usize, usize),
    Done(usize, usize),
    Answer(usize, usize, bool),
}

struct Daemon {
    latency: RouteLatency,
    services: Vec<Knowledge>,
}

struct Simulation<'a> {
    world: &'a World,
    rule: Rule,
    /// Draws the demand, which is the same for all rules.
    demand: StdRng,
    /// Draws delays, choices and nonsense.
    random: StdRng,
    start: Instant,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    services: Vec<Vec<Leaf>>,
    daemons: Vec<Daemon>,
    requests: Vec<Request>,
    report: Report,
}

impl World {
    pub fn run(&self, rule: Rule) -> Report {
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut service = |index| -> Vec<Leaf> {
            let leafs = match self.kind {
                Kind::Shards => 3,
                Kind::LongWork => random.random_range(4..=9),
            };
            (0..leafs)
                .map(|leaf| Leaf::new(self.kind, index % 3 == 0 && leaf == 1, &mut random))
                .collect()
        };
        let services: Vec<Vec<Leaf>> = (0..SERVICES).map(service).collect();
        let start = Instant::now();
        let target = Duration::from_millis(if self.kind == Kind::Shards { 60 } else { 600 });
        let daemons = (0..self.daemons).map(|_| Daemon {
            latency: RouteLatency::new(target, start),
            services: services
                .iter()
                .map(|leafs| Knowledge::new(leafs.len(), random.random()))
                .collect(),
        });
        let daemons = daemons.collect();
        let mut simulation = Simulation {
            world: self,
            rule,
            demand: StdRng::seed_from_u64(self.seed + 1_000),
            random,
            start,
            now_us: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            services,
            daemons,
            requests: vec![],
            report: Report::default(),
        };
        simulation.run();
        simulation.report
    }
}

impl Simulation<'_> {
    fn run(&mut self) {
        self.schedule(0, Event::Query);
        self.schedule(WARM_UP_US, Event::Sample);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now_us = at;
            match event {
                Event::Query => self.query(),
                Event::Sample => self.sample(),
                Event::Send(request) => self.send(request),
                Event::Reach(request, leaf) => self.reach(request, leaf),
                Event::Done(request, leaf) => self.done(request, leaf),
                Event::Answer(request, leaf, ran) => self.answer(request, leaf, ran),
            }
        }
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        let at = self.now_us + delay_us;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.now_us)
    }

    fn is_counted(&self) -> bool {
        self.now_us >= WARM_UP_US
    }

    fn query(&mut self) {
        if self.now_us >= RUN_US {
            return;
        }
        let capacity_per_s =
            |leafs: &Vec<Leaf>| -> f64 { leafs.iter().map(Leaf::capacity_per_s).sum() };
        let capacities: Vec<f64> = self.services.iter().map(capacity_per_s).collect();
        let daemon = self.draw_daemon();
        let capacity = match self.world.kind {
            Kind::Shards => {
                for service in 0..SERVICES {
                    self.begin(daemon, service);
                }
                capacities.iter().sum::<f64>() / SERVICES as f64
            }
            Kind::LongWork => {
                let total: f64 = capacities.iter().sum();
                let mut left = self.demand.random_range(0.0..total);
                let service = capacities.iter().position(|capacity| {
                    left -= capacity;
                    left < 0.0
                });
                self.begin(daemon, service.unwrap_or(0));
                total
            }
        };
        let burst = self.world.has_burst && BURST_US.contains(&self.now_us);
        let factor = if burst { BURST_FACTOR } else { 1.0 };
        let rate_per_s = capacity * self.world.load * factor;
        let wait_s = -(1.0 - self.demand.random::<f64>()).ln() / rate_per_s;
        self.schedule((wait_s * 1e6) as u64, Event::Query);
    }

    fn draw_daemon(&mut self) -> usize {
        let large = (self.world.daemons / 25).max(4).min(self.world.daemons);
        if self.world.kind == Kind::Shards && self.demand.random_bool(LARGE_SHARE) {
            self.demand.random_range(0..large)
        } else {
            self.demand.random_range(0..self.world.daemons)
        }
    }

    fn begin(&mut self, daemon: usize, service: usize) {
        let work_us = self.world.kind.work_us(&mut self.demand);
        self.requests.push(Request {
            daemon,
            service,
            began_us: self.now_us,
            sent_us: 0,
            work_us,
            tried: vec![],
            stated: None,
        });
        self.send(self.requests.len() - 1);
    }

    fn send(&mut self, id: usize) {
        let now = self.now();
        let request = &mut self.requests[id];
        let daemon = &mut self.daemons[request.daemon];
        let typical = daemon.latency.typical(now);
        let leafs = &self.services[request.service];
        let slots: Vec<u32> = leafs.iter().map(|leaf| leaf.slots).collect();
        let known = &mut daemon.services[request.service];
        let chosen = self.rule.choose(
            known,
            &slots,
            &request.tried,
            typical,
            now,
            &mut self.random,
        );
        let Some(leaf) = chosen else {
            return self.schedule(10_000, Event::Send(id));
        };
        known.loads[leaf].sent(now);
        request.sent_us = self.now_us;
        request.tried.push(leaf);
        let delay_us = self.random.random_range(500..=3_000);
        self.schedule(delay_us, Event::Reach(id, leaf));
        self.report.sent += u64::from(self.is_counted());
    }

    fn reach(&mut self, id: usize, leaf: usize) {
        let service = self.requests[id].service;
        let others = self.services[service].iter().enumerate();
        let is_other_idle = others
            .filter(|(index, _)| *index != leaf)
            .any(|(_, other)| other.has_free_slot(self.now_us));
        let counted = self.is_counted();
        let leaf_state = &mut self.services[service][leaf];
        if leaf_state.is_full() {
            self.report.rejected += u64::from(counted);
            self.reply(id, leaf, false);
        } else if leaf_state.running < leaf_state.slots {
            self.start(id, leaf);
        } else {
            leaf_state.waiting.push_back(id);
            self.report.idle_waits += u64::from(counted && is_other_idle);
        }
    }

    fn start(&mut self, id: usize, leaf: usize) {
        let request = &self.requests[id];
        let leaf_state = &mut self.services[request.service][leaf];
        leaf_state.running += 1;
        let ends_us = leaf_state.end_of(request.work_us, self.now_us);
        self.schedule(ends_us - self.now_us, Event::Done(id, leaf));
    }

    fn done(&mut self, id: usize, leaf: usize) {
        let leaf_state = &mut self.services[self.requests[id].service][leaf];
        leaf_state.running -= 1;
        if let Some(next) = leaf_state.waiting.pop_front() {
            self.start(next, leaf);
        }
        self.reply(id, leaf, true);
    }

    fn reply(&mut self, id: usize, leaf: usize, ran: bool) {
        let truth = self.services[self.requests[id].service][leaf].state_load(self.now_us);
        let header = if leaf == 0 || self.world.header == Header::Absent {
            self.world.header
        } else {
            Header::Truth
        };
        self.requests[id].stated = match header {
            Header::Absent => None,
            Header::Truth => Some(truth),
            Header::Zero => StatedLoad::new(0, 0, truth.slots(), 0.01),
            Header::Random => StatedLoad::new(
                self.random.random_range(0..=truth.slots()),
                self.random.random_range(0..=12),
                truth.slots(),
                self.random.random_range(0.2..12.0),
            ),
            Header::Inverse => StatedLoad::new(
                truth.slots() - truth.running,
                12 - truth.waiting,
                truth.slots(),
                1.0,
            ),
        };
        let delay_us = self.random.random_range(500..=3_000);
        self.schedule(delay_us, Event::Answer(id, leaf, ran));
    }

    fn answer(&mut self, id: usize, leaf: usize, ran: bool) {
        let now = self.now();
        let counted = self.is_counted();
        let request = &self.requests[id];
        let daemon = &mut self.daemons[request.daemon];
        let typical = daemon.latency.typical(now);
        let sent_at = self.start + Duration::from_micros(request.sent_us);
        let known = &mut daemon.services[request.service];
        known.answered(leaf, sent_at, ran, request.stated, typical, now);
        if ran {
            let latency_us = self.now_us - request.began_us;
            daemon
                .latency
                .record(Duration::from_micros(latency_us), now);
            if counted {
                self.report.latencies_ms.push(latency_us as f64 / 1e3);
            }
        } else if request.tried.len() < ATTEMPTS_MAX as usize {
            self.send(id);
        } else {
            self.report.failed += u64::from(counted);
        }
    }

    fn sample(&mut self) {
        for leafs in &self.services {
            let queues: Vec<f64> = leafs.iter().map(Leaf::queue_per_slot).collect();
            let mean = queues.iter().sum::<f64>() / queues.len() as f64;
            let squares: f64 = queues.iter().map(|queue| (queue - mean).powi(2)).sum();
            self.report
                .spreads
                .push((squares / queues.len() as f64).sqrt());
        }
        if self.now_us < RUN_US {
            self.schedule(SAMPLE_US, Event::Sample);
        }
    }
}

impl Report {
    pub fn add(&mut self, other: Self) {
        self.spreads.extend(other.spreads);
        self.latencies_ms.extend(other.latencies_ms);
        self.sent += other.sent;
        self.idle_waits += other.idle_waits;
        self.rejected += other.rejected;
        self.failed += other.failed;
    }

    /// Mean standard deviation of the requests per slot over the leafs of a service.
    pub fn spread(&self) -> f64 {
        self.spreads.iter().sum::<f64>() / self.spreads.len().max(1) as f64
    }

    /// Share of the leaf requests that waited although another leaf of the service had a free slot.
    pub fn idle_wait_share(&self) -> f64 {
        self.idle_waits as f64 / self.sent.max(1) as f64
    }

    pub fn rejected_share(&self) -> f64 {
        self.rejected as f64 / self.sent.max(1) as f64
    }

    pub fn failed_share(&self) -> f64 {
        self.failed as f64 / self.sent.max(1) as f64
    }

    pub fn mean_ms(&self) -> f64 {
        self.latencies_ms.iter().sum::<f64>() / self.latencies_ms.len().max(1) as f64
    }

    pub fn p99_ms(&self) -> f64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable_by(f64::total_cmp);
        sorted.get(sorted.len() * 99 / 100).copied().unwrap_or(0.0)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:5.2} {:5.1}% {:5.2}% {:5.2}% {:6.1} {:7.1}",
            self.spread(),
            self.idle_wait_share() * 100.0,
            self.rejected_share() * 100.0,
            self.failed_share() * 100.0,
            self.mean_ms(),
            self.p99_ms(),
        )
    }
}
