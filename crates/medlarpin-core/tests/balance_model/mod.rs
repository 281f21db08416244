//! Discrete-event simulation of the leafs of some services and of the daemons that send to them, each
//! with its own knowledge of the leafs. Fixed seeds, no network.

mod knowledge;
mod leaf;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use medlarpin_core::routing::{LeafLoad, RouteLatency, StatedLoad};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use knowledge::Daemon;
use leaf::Leaf;

pub const RUN_US: u64 = 24_000_000;
/// Results count from here on; the daemons know nothing of the leafs at the start.
const WARM_UP_US: u64 = 6_000_000;
const BURST_US: std::ops::Range<u64> = 12_000_000..15_000_000;
const BURST_FACTOR: f64 = 2.5;
const SERVICES: usize = 6;
const QUEUE_MAX: usize = 12;
/// Share of the queries over many shards that the large daemons gather.
const LARGE_SHARE: f64 = 0.8;
const ATTEMPTS_MAX: usize = 3;
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
    sent: f64,
    idle_waits: f64,
    rejected: f64,
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

/// The fields are the request and the leaf, and for an answer whether the request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Query,
    Sample,
    Send(usize),
    Reach(usize, usize),
    Done(usize, usize),
    Answer(usize, usize, bool),
}

struct Simulation<'a> {
    world: &'a World,
    /// Draws the demand, which does not depend on the choices.
    demand: StdRng,
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
    pub fn run(&self) -> Report {
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut service = |index| -> Vec<Leaf> {
            let leafs = match self.kind {
                Kind::Shards => 3,
                Kind::LongWork => random.random_range(4..=9),
            };
            let is_slow = |leaf| index % 3 == 0 && leaf == 1;
            let leaf = |leaf| Leaf::new(self.kind, is_slow(leaf), &mut random);
            (0..leafs).map(leaf).collect()
        };
        let services: Vec<Vec<Leaf>> = (0..SERVICES).map(&mut service).collect();
        let start = Instant::now();
        let target = Duration::from_millis(if self.kind == Kind::Shards { 60 } else { 600 });
        let unknown = |leafs: &Vec<Leaf>| vec![LeafLoad::default(); leafs.len()];
        let daemon = |_| Daemon {
            latency: RouteLatency::new(target, start),
            services: services.iter().map(unknown).collect(),
        };
        let mut simulation = Simulation {
            world: self,
            demand: StdRng::seed_from_u64(self.seed + 1_000),
            start,
            now_us: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            daemons: (0..self.daemons).map(daemon).collect(),
            services,
            random,
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

    fn network_delay_us(&mut self) -> u64 {
        self.random.random_range(500..=3_000)
    }

    /// Returns 1 if results count now.
    fn counted(&self) -> f64 {
        f64::from(u8::from(self.now_us >= WARM_UP_US))
    }

    fn query(&mut self) {
        if self.now_us >= RUN_US {
            return;
        }
        let capacity = |leafs: &Vec<Leaf>| leafs.iter().map(|leaf| leaf.capacity_per_s).sum();
        let capacities: Vec<f64> = self.services.iter().map(capacity).collect();
        let mut rate_per_s: f64 = capacities.iter().sum();
        let mut called: Vec<usize> = (0..SERVICES).collect();
        let mut daemons = self.world.daemons;
        if self.world.kind == Kind::Shards {
            rate_per_s /= SERVICES as f64;
            if self.demand.random_bool(LARGE_SHARE) {
                daemons = (daemons / 25).max(4);
            }
        } else {
            let mut left = self.demand.random_range(0.0..rate_per_s);
            called.retain(|service| {
                let before = left;
                left -= capacities[*service];
                before >= 0.0 && left < 0.0
            });
        }
        let daemon = self.demand.random_range(0..daemons);
        for service in called {
            self.requests.push(Request {
                daemon,
                service,
                began_us: self.now_us,
                sent_us: 0,
                work_us: match self.world.kind {
                    Kind::Shards => 4_000.0 - 6_000.0 * self.demand.random::<f64>().ln(),
                    Kind::LongWork => self.demand.random_range(60_000.0..220_000.0),
                },
                tried: vec![],
                stated: None,
            });
            self.send(self.requests.len() - 1);
        }
        if self.world.has_burst && BURST_US.contains(&self.now_us) {
            rate_per_s *= BURST_FACTOR;
        }
        let wait_s = -self.demand.random::<f64>().ln() / (rate_per_s * self.world.load);
        self.schedule(whole_us(wait_s * 1e6), Event::Query);
    }

    fn send(&mut self, id: usize) {
        let now = self.start + Duration::from_micros(self.now_us);
        let request = &mut self.requests[id];
        let daemon = &mut self.daemons[request.daemon];
        let leafs = &self.services[request.service];
        let slots: Vec<u32> = leafs.iter().map(|leaf| leaf.slots).collect();
        let tried = &request.tried;
        let chosen = daemon.choose(request.service, &slots, tried, now, &mut self.random);
        let Some(leaf) = chosen else {
            return self.schedule(10_000, Event::Send(id));
        };
        daemon.services[request.service][leaf].sent(now);
        request.sent_us = self.now_us;
        request.tried.push(leaf);
        self.report.sent += self.counted();
        let delay_us = self.network_delay_us();
        self.schedule(delay_us, Event::Reach(id, leaf));
    }

    fn reach(&mut self, id: usize, index: usize) {
        let counted = self.counted();
        let leafs = &mut self.services[self.requests[id].service];
        // The chosen leaf has no free slot itself if the request waits.
        let is_any_idle = leafs.iter().any(|leaf| leaf.has_free_slot(self.now_us));
        let leaf = &mut leafs[index];
        if leaf.running < leaf.slots {
            self.start(id, index);
        } else if leaf.waiting.len() < QUEUE_MAX {
            leaf.waiting.push_back(id);
            self.report.idle_waits += if is_any_idle { counted } else { 0.0 };
        } else {
            self.report.rejected += counted;
            self.reply(id, index, false);
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
        let (slots, random) = (truth.slots(), &mut self.random);
        self.requests[id].stated = match self.world.header {
            Header::Absent => None,
            Header::Zero if leaf == 0 => StatedLoad::new(0, 0, slots, 0.01),
            Header::Random if leaf == 0 => {
                let pace = random.random_range(0.2..12.0);
                StatedLoad::new(0, random.random_range(0..=12), slots, pace)
            }
            _ => Some(truth),
        };
        let delay_us = self.network_delay_us();
        self.schedule(delay_us, Event::Answer(id, leaf, ran));
    }

    fn answer(&mut self, id: usize, leaf: usize, ran: bool) {
        let now = self.start + Duration::from_micros(self.now_us);
        let request = &self.requests[id];
        let daemon = &mut self.daemons[request.daemon];
        let sent_at = self.start + Duration::from_micros(request.sent_us);
        let position = (request.service, leaf);
        daemon.answered(position, sent_at, ran, request.stated, now);
        if ran {
            let latency = Duration::from_micros(self.now_us - request.began_us);
            daemon.latency.record(latency, now);
            if self.now_us >= WARM_UP_US {
                let latency_ms = latency.as_secs_f64() * 1e3;
                self.report.latencies_ms.push(latency_ms);
            }
        } else if request.tried.len() < ATTEMPTS_MAX {
            self.send(id);
        }
    }

    fn sample(&mut self) {
        for leafs in &self.services {
            let queue = |leaf: &Leaf| {
                (f64::from(leaf.running) + leaf.waiting.len() as f64) / f64::from(leaf.slots)
            };
            let queues: Vec<f64> = leafs.iter().map(queue).collect();
            let average = mean(&queues);
            let squares: Vec<f64> = queues.iter().map(|x| (x - average).powi(2)).collect();
            self.report.spreads.push(mean(&squares).sqrt());
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
    }

    /// Mean standard deviation of the requests per slot over the leafs of a service.
    pub fn spread(&self) -> f64 {
        mean(&self.spreads)
    }

    /// Share of the leaf requests that waited although another leaf of the service had a free slot.
    pub fn idle_wait_share(&self) -> f64 {
        self.idle_waits / self.sent
    }

    pub fn rejected_share(&self) -> f64 {
        self.rejected / self.sent
    }

    pub fn mean_ms(&self) -> f64 {
        mean(&self.latencies_ms)
    }

    pub fn p99_ms(&self) -> f64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable_by(f64::total_cmp);
        sorted[sorted.len() * 99 / 100]
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn whole_us(us: f64) -> u64 {
    let time = Duration::from_secs_f64(us / 1e6);
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
