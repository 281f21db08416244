use std::collections::VecDeque;

use medlarpin_core::routing::StatedLoad;
use rand::RngExt as _;
use rand::rngs::StdRng;

use super::{Kind, RUN_US, whole_us};

/// Resolution of a leaf's speed over time.
const TICK_US: u64 = 10_000;
/// Time after the run in which the last requests end.
const OVERRUN: usize = 4;

/// A leaf, with its speed over the whole run drawn in advance.
pub struct Leaf {
    pub slots: u32,
    pub running: u32,
    pub waiting: VecDeque<usize>,
    /// Work done in a microsecond, for each tick; 0 in a pause.
    speeds: Vec<f64>,
    /// Time that work takes, as a multiple of the ordinary time, for each tick, without pauses.
    paces: Vec<f64>,
    /// Requests per second without a slow phase.
    pub capacity_per_s: f64,
}

impl Leaf {
    pub fn new(kind: Kind, has_slow_phase: bool, random: &mut StdRng) -> Self {
        let ticks = usize::try_from(RUN_US / TICK_US).unwrap() * OVERRUN;
        let slowness = [0.8, 1.0, 1.3][random.random_range(0..3)];
        let (slots, mean_work_us) = match kind {
            Kind::Shards => (2, 10_000.0),
            Kind::LongWork => (random.random_range(3..=6), 140_000.0),
        };
        // The pace of a VM changes many times a second.
        let mut paces = vec![];
        while paces.len() < ticks {
            let pace = slowness * random.random_range(0.8..1.25);
            paces.extend(std::iter::repeat_n(pace, random.random_range(5..20)));
        }
        let mut speeds: Vec<f64> = paces.iter().map(|pace| 1.0 / pace).collect();
        let mut tick = random.random_range(0..600);
        while tick < ticks {
            let pause = random.random_range(10..=25);
            let end = (tick + pause).min(ticks);
            speeds[tick..end].fill(0.0);
            tick += random.random_range(240..=600);
        }
        let mean_speed = speeds.iter().sum::<f64>() / speeds.len() as f64;
        let capacity_per_s = f64::from(slots) * mean_speed * 1e6 / mean_work_us;
        if has_slow_phase {
            let factor = random.random_range(8.0..12.0);
            let from = random.random_range(500..1_500);
            for tick in from..from + 800 {
                speeds[tick] /= factor;
                paces[tick] *= factor;
            }
        }
        Self {
            slots,
            running: 0,
            waiting: VecDeque::new(),
            speeds,
            paces,
            capacity_per_s,
        }
    }

    pub fn has_free_slot(&self, now_us: u64) -> bool {
        self.running < self.slots && self.speeds[tick_of(now_us)] > 0.0
    }

    pub fn state_load(&self, now_us: u64) -> StatedLoad {
        let pace = self.paces[tick_of(now_us)];
        let waiting = u32::try_from(self.waiting.len()).unwrap();
        StatedLoad::new(self.running, waiting, self.slots, pace).unwrap()
    }

    /// Returns when a request ends that starts now.
    pub fn end_of(&self, work_us: f64, now_us: u64) -> u64 {
        let mut left_us = work_us;
        let mut at_us = now_us;
        loop {
            let tick = tick_of(at_us);
            let speed = self.speeds[tick];
            let until_us = (tick as u64 + 1) * TICK_US;
            let possible_us = (until_us - at_us) as f64 * speed;
            if possible_us >= left_us || tick + 1 == self.speeds.len() {
                return at_us + whole_us(left_us / speed.max(0.01));
            }
            left_us -= possible_us;
            at_us = until_us;
        }
    }
}

fn tick_of(now_us: u64) -> usize {
    (now_us / TICK_US) as usize
}
