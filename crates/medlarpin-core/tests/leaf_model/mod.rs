//! Discrete-event simulation of leafs behind fair queues, with a manual clock and a fixed seed.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use medlarpin_core::fair_queue::{Discipline, FairQueue, Popped};
use medlarpin_core::leaf_state::{LeafState, PIPELINE_DEPTH};
use medlarpin_core::prelude::*;

pub const SLOTS: u32 = 2;
const ONE_WAY_US: u64 = 500;

/// An event scheduled by the test, or a step of a query at a leaf. The fields are the leaf, the
/// query and, for an answer, the time in microseconds at which the request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event<T> {
    Scheduled(T),
    Reached(usize, usize),
    Finished(usize, usize),
    Answered(usize, usize, u64),
}

#[derive(Debug)]
pub struct Leaf {
    pub queue: FairQueue<usize>,
    pub state: LeafState,
    pub mean_service_us: f64,
    busy: u32,
    backlog: VecDeque<(usize, u64)>,
    running: Vec<(usize, u64)>,
}

#[derive(Debug)]
pub struct Model<T> {
    pub leafs: Vec<Leaf>,
    pub now_us: u64,
    clock: ManualClock,
    random: u64,
    events: BinaryHeap<Reverse<(u64, Event<T>)>>,
}

impl<T: Ord> Model<T> {
    pub fn new(leafs: usize, mean_service_us: f64, discipline: Discipline) -> Self {
        let clock = ManualClock::new();
        let leaf = |_| {
            let mut queue = FairQueue::new(discipline);
            queue.set_parallelism(SLOTS + PIPELINE_DEPTH);
            Leaf {
                queue,
                state: LeafState::new(SLOTS, clock.now()),
                mean_service_us,
                busy: 0,
                backlog: VecDeque::new(),
                running: vec![],
            }
        };
        Self {
            leafs: (0..leafs).map(leaf).collect(),
            now_us: 0,
            clock,
            random: 7,
            events: BinaryHeap::new(),
        }
    }

    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.random >> 33) % bound
    }

    /// Returns an exponentially distributed time in microseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "positive and small"
    )]
    pub fn exponential_us(&mut self, mean_us: f64) -> u64 {
        let uniform = (self.below(1 << 30) + 1) as f64 / f64::from(1 << 30);
        (-uniform.ln() * mean_us) as u64 + 1
    }

    pub fn after(&mut self, delay_us: u64, event: Event<T>) {
        self.events.push(Reverse((self.now_us + delay_us, event)));
    }

    /// Advances the clock to the next event and returns it.
    pub fn next(&mut self) -> Option<Event<T>> {
        let Reverse((at_us, event)) = self.events.pop()?;
        self.clock
            .advance(Duration::from_micros(at_us - self.now_us));
        self.now_us = at_us;
        Some(event)
    }

    /// Sends queued requests while the leaf's window allows it; returns the expired ones.
    pub fn send(&mut self, leaf: usize, is_cancelled: impl Fn(usize) -> bool) -> Vec<usize> {
        let now = self.now();
        let mut expired = vec![];
        while self.leafs[leaf].state.may_send(now).is_ok() {
            match self.leafs[leaf].queue.pop(now) {
                Popped::Ready(query) if is_cancelled(query) => {}
                Popped::Ready(query) => {
                    self.leafs[leaf].state.sent(now);
                    self.leafs[leaf].running.push((query, self.now_us));
                    self.after(ONE_WAY_US, Event::Reached(leaf, query));
                }
                Popped::Expired(query) => expired.push(query),
                Popped::Empty => break,
            }
        }
        expired
    }

    /// Handles an event at a leaf; returns the leaf and the query if it was answered.
    pub fn handle(&mut self, event: &Event<T>) -> Option<(usize, usize)> {
        match *event {
            Event::Reached(leaf, query) => {
                let service_us = self.exponential_us(self.leafs[leaf].mean_service_us);
                self.leafs[leaf].backlog.push_back((query, service_us));
                self.serve(leaf);
            }
            Event::Finished(leaf, query) => {
                self.leafs[leaf].busy -= 1;
                let running = &mut self.leafs[leaf].running;
                let index = running.iter().position(|(running, _)| *running == query)?;
                let (_, sent_us) = running.swap_remove(index);
                self.after(ONE_WAY_US, Event::Answered(leaf, query, sent_us));
                self.serve(leaf);
            }
            Event::Answered(leaf, query, sent_us) => {
                let latency = Duration::from_micros(self.now_us - sent_us);
                let now = self.now();
                self.leafs[leaf].state.answered(latency, now);
                self.leafs[leaf].queue.record_service_time(latency);
                return Some((leaf, query));
            }
            Event::Scheduled(_) => {}
        }
        None
    }

    fn serve(&mut self, leaf: usize) {
        while self.leafs[leaf].busy < SLOTS {
            let Some((query, service_us)) = self.leafs[leaf].backlog.pop_front() else {
                break;
            };
            self.leafs[leaf].busy += 1;
            self.after(service_us, Event::Finished(leaf, query));
        }
    }
}
