//! Test of the retries of all daemons together while callers move from daemons that stop to others.

use std::ops::Range;

use medlarpin_core::ids::stable_hash;
use medlarpin_core::prelude::*;
use medlarpin_core::routing::{RETRY_RATIO_USED, RetryBudget, RetryLimits};

const DAEMONS: usize = 21;
const CALLERS: usize = 65;
const REQUESTS_PER_S: f64 = 89.0;
/// Retries that the service allows for each request, and in addition to these in a window.
const RATIO: f64 = 0.2;
const RESERVE: f64 = 135.0;
const WINDOW: Duration = Duration::from_secs(10);
const LENGTH: Duration = Duration::from_secs(40);
/// Time for which a daemon that is stopped stays away.
const DOWN_TIME: Duration = Duration::from_millis(3_200);

/// Uniform numbers that depend only on the seed.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = stable_hash(&[&self.0.to_le_bytes()]);
        self.0
    }

    /// Returns a number from 0, inclusive, to 1, exclusive.
    fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn seconds(&mut self, min: f64, max: f64) -> Duration {
        Duration::from_secs_f64(min + self.fraction() * (max - min))
    }

    fn index(&mut self, count: usize) -> usize {
        usize::try_from(self.next() % count as u64).unwrap()
    }
}

struct Daemon {
    /// Time, since the start, in which the daemon is away.
    down: Range<Duration>,
    started_again_at: Option<Duration>,
    budget: RetryBudget,
}

/// Lets callers send requests, each of which wants two retries while leafs are slow, and stops one daemon
/// after the other; returns the times of the requests and of the retries.
fn play(seed: u64) -> (Vec<Duration>, Vec<Duration>) {
    let origin = Instant::now();
    let mut random = Random(seed);
    let mut slow: Vec<Range<Duration>> = Vec::new();
    let mut from = random.seconds(0.0, 8.0);
    while from < LENGTH {
        let until = from + random.seconds(1.0, 6.0);
        slow.push(from..until);
        from = until + random.seconds(1.0, 8.0);
    }
    let mut stop_at = random.seconds(2.0, 15.0);
    let gap = random.seconds(0.5, 2.0);
    let mut daemons = Vec::new();
    for _ in 0..DAEMONS {
        daemons.push(Daemon {
            down: stop_at..stop_at + DOWN_TIME,
            started_again_at: None,
            budget: RetryBudget::new(origin),
        });
        stop_at += gap;
    }
    let mut daemon_of: Vec<usize> = (0..CALLERS).map(|_| random.index(DAEMONS)).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut at = Duration::ZERO;
    loop {
        let pause_s = -(1.0 - random.fraction()).ln() / REQUESTS_PER_S;
        at += Duration::from_secs_f64(pause_s);
        if at >= LENGTH {
            return (requests, retries);
        }
        let caller = random.index(CALLERS);
        while daemons[daemon_of[caller]].down.contains(&at) {
            daemon_of[caller] = random.index(DAEMONS);
        }
        let daemon = &mut daemons[daemon_of[caller]];
        if daemon.down.end <= at && daemon.started_again_at.is_none() {
            daemon.started_again_at = Some(at);
            daemon.budget = RetryBudget::new(origin + at);
        }
        let started_again_at = daemon.started_again_at;
        let is_settled = started_again_at.is_none_or(|started| at > started + WINDOW);
        let share = RESERVE / DAEMONS as f64;
        let limits = RetryLimits {
            ratio: RATIO * RETRY_RATIO_USED,
            reserve: if is_settled { share } else { 0.0 },
            reserve_parts: 1,
            window: WINDOW,
        };
        requests.push(at);
        daemon.budget.record_request(&limits, origin + at);
        if slow.iter().any(|slow| slow.contains(&at)) {
            let granted = (0..2).filter(|_| daemon.budget.try_retry(&limits, origin + at));
            retries.extend(granted.map(|_| at));
        }
    }
}

/// Returns by how much the retries exceed the service's limit in the worst window; negative if they never
/// do. The requests are those of that window, of the one before it or of the one half a window before it.
fn excess(requests: &[Duration], retries: &[Duration]) -> f64 {
    let count = |times: &[Duration], from: Duration| {
        let first = times.partition_point(|at| *at < from);
        times.partition_point(|at| *at < from + WINDOW) - first
    };
    let mut worst = f64::MIN;
    let mut before = Duration::ZERO;
    while before + WINDOW * 2 < LENGTH {
        let from = before + WINDOW;
        let starts = [before, before + WINDOW / 2, from];
        let most = starts.map(|start| count(requests, start)).into_iter().max();
        let allowed = RATIO * most.unwrap_or(0) as f64 + RESERVE;
        worst = worst.max(count(retries, from) as f64 - allowed);
        before += WINDOW / 100;
    }
    worst
}

/// Guards against retries beyond a service's limit while daemons are stopped in turn: a request counts at the
/// daemon that got it, whose retries are spent when it stops, and the caller's next ones count at another.
#[test]
fn retries_stay_within_the_limit_while_callers_move() {
    let mut worst = (f64::MIN, 0);
    for seed in 0..200 {
        let (requests, retries) = play(seed);
        assert!(!retries.is_empty());
        let excess = excess(&requests, &retries);
        if excess > worst.0 {
            worst = (excess, seed);
        }
    }
    let (excess, seed) = worst;
    assert!(excess <= 0.0, "seed {seed}: {excess} beyond the limit");
}
