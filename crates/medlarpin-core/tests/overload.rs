//! Simulations of the retry budget: extra load with a slow leaf, and recovery from overload.

mod leaf_model;

use leaf_model::{Event, Model, SLOTS};
use medlarpin_core::extra_budget::{ExtraBudget, Urgency};
use medlarpin_core::fair_queue::Discipline;
use medlarpin_core::latency_window::hedge_delay;
use medlarpin_core::prelude::*;

const LEAFS: usize = 4;
/// Four leafs with two slots serve 800 requests a second on average.
const SERVICE_US: f64 = 10_000.0;
const DEADLINE_US: u64 = 300_000;
/// Time until an entry daemon gets a refusal and sends the request to another replica.
const RETRY_US: u64 = 1_000;
/// Time until a cancellation reaches the daemon that handles the other attempt.
const CANCEL_US: u64 = 3_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Retries {
    Budget,
    Unlimited,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive,
    /// Time-out after which a query is retried or hedged.
    Timer(usize),
}

#[derive(Debug)]
struct Query {
    arrived_us: u64,
    answered_us: Option<u64>,
    attempts: usize,
    first_leaf: usize,
    hedge_at_us: u64,
}

/// Phases of the load: the end of each in seconds, and its arrival rate in queries per second.
type Phases = &'static [(u64, f64)];

struct Run {
    model: Model<Step>,
    retries: Retries,
    budget: ExtraBudget,
    queries: Vec<Query>,
    extra: usize,
    /// Times of refusals and expirations, in microseconds.
    refused_us: Vec<u64>,
}

impl Run {
    fn new(retries: Retries) -> Self {
        Self {
            model: Model::new(LEAFS, SERVICE_US, Discipline::FairShare),
            retries,
            budget: ExtraBudget::new(),
            queries: vec![],
            extra: 0,
            refused_us: vec![],
        }
    }

    fn run(mut self, phases: Phases) -> Self {
        self.model.after(0, Event::Scheduled(Step::Arrive));
        while let Some(event) = self.model.next() {
            match event {
                Event::Scheduled(Step::Arrive) => self.arrive(phases),
                Event::Scheduled(Step::Timer(query)) => self.timer(query),
                inside => {
                    if let Some((_, query)) = self.model.handle(&inside) {
                        self.answered(query);
                    }
                }
            }
            self.send();
        }
        self
    }

    fn arrive(&mut self, phases: Phases) {
        let second = self.model.now_us / 1_000_000;
        let Some((_, rate_per_s)) = phases.iter().find(|(until_s, _)| second < *until_s) else {
            return;
        };
        let next_us = self.model.exponential_us(1e6 / rate_per_s);
        self.model.after(next_us, Event::Scheduled(Step::Arrive));
        let first_leaf = usize::try_from(self.model.below(LEAFS as u64)).unwrap();
        self.queries.push(Query {
            arrived_us: self.model.now_us,
            answered_us: None,
            attempts: 0,
            first_leaf,
            hedge_at_us: 0,
        });
        self.budget.earn();
        self.attempt(self.queries.len() - 1);
    }

    /// Queues an attempt at the query's next replica and sets the timer for a further attempt.
    fn attempt(&mut self, query: usize) {
        let now = self.model.now();
        let state = &mut self.queries[query];
        let leaf = (state.first_leaf + state.attempts) % LEAFS;
        state.attempts += 1;
        let left_us = (state.arrived_us + DEADLINE_US).saturating_sub(self.model.now_us);
        let left = Duration::from_micros(left_us);
        let queue = &mut self.model.leafs[leaf].queue;
        let refused = queue
            .push(&"team".into(), 1, now + left, query, now)
            .is_err();
        let delay_us = if refused {
            self.refuse();
            RETRY_US
        } else {
            let latencies = self.model.leafs[leaf].state.latencies();
            u64::try_from(hedge_delay(latencies, left, now).as_micros()).unwrap()
        };
        self.queries[query].hedge_at_us = self.model.now_us + delay_us;
        self.model
            .after(delay_us, Event::Scheduled(Step::Timer(query)));
    }

    /// Retries or hedges an unanswered query if the budget allows it.
    fn timer(&mut self, query: usize) {
        let state = &self.queries[query];
        let is_too_late = self.model.now_us + RETRY_US >= state.arrived_us + DEADLINE_US;
        if state.answered_us.is_some() || is_too_late || self.model.now_us < state.hedge_at_us {
            return;
        }
        if self.retries == Retries::Unlimited
            || self.budget.try_spend(Urgency::Late, self.model.now())
        {
            self.extra += 1;
            self.attempt(query);
        }
    }

    fn answered(&mut self, query: usize) {
        let now_us = self.model.now_us;
        self.queries[query].answered_us.get_or_insert(now_us);
    }

    fn refuse(&mut self) {
        self.refused_us.push(self.model.now_us);
        self.budget
            .record_result(true, Duration::ZERO, self.model.now());
    }

    fn send(&mut self) {
        for leaf in 0..LEAFS {
            let before = self.model.leafs[leaf].state.in_flight();
            let (queries, now_us) = (&self.queries, self.model.now_us);
            let expired = self.model.send(leaf, |query| {
                queries[query]
                    .answered_us
                    .is_some_and(|at_us| at_us + CANCEL_US <= now_us)
            });
            let now = self.model.now();
            let wait = self.model.leafs[leaf].queue.mean_queue_wait(now);
            for _ in before..self.model.leafs[leaf].state.in_flight() {
                self.budget.record_result(false, wait, now);
            }
            for _ in expired {
                self.refuse();
            }
        }
    }

    fn refusals_between(&self, from_s: u64, to_s: u64) -> usize {
        let range = from_s * 1_000_000..to_s * 1_000_000;
        self.refused_us
            .iter()
            .filter(|at_us| range.contains(at_us))
            .count()
    }
}

/// Guards against extra load above a twentieth while one leaf is slow.
#[test]
fn extra_load_with_a_slow_leaf_stays_within_the_budget() {
    let check = |retries, within: bool| {
        let mut run = Run::new(retries);
        run.model.leafs[0].mean_service_us = 4.0 * SERVICE_US;
        let run = run.run(&[(30, 160.0)]);
        let share = run.extra as f64 / run.queries.len() as f64;
        println!(
            "{retries:?}: {} first, {} extra, share {share:.4}",
            run.queries.len(),
            run.extra
        );
        assert!(run.extra > 0);
        assert_eq!(share <= 0.05, within, "{share}");
    };
    check(Retries::Budget, true);
    check(Retries::Unlimited, false);
}

/// Guards against a metastable failure: refusals that continue after the overload is over.
///
/// Before and after the overload, the leafs run at three quarters of their capacity. With unlimited
/// retries, duplicate requests then keep the load above the capacity.
#[test]
fn refusals_stop_after_an_overload() {
    let check = |retries, recovers: bool| {
        let run = Run::new(retries).run(&[(5, 600.0), (8, 1600.0), (16, 600.0)]);
        let seconds: Vec<usize> = (0..16).map(|s| run.refusals_between(s, s + 1)).collect();
        println!(
            "{retries:?}: {} slots, {} first, {} extra, refusals {seconds:?}",
            SLOTS as usize * LEAFS,
            run.queries.len(),
            run.extra
        );
        assert!(run.refusals_between(5, 8) > 0, "no overload");
        assert_eq!(run.refusals_between(10, 16) == 0, recovers, "{seconds:?}");
    };
    check(Retries::Budget, true);
    check(Retries::Unlimited, false);
}
