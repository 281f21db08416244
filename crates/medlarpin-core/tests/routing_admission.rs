//! Tests of the admission of queries over many shards, with a small model of the leafs' queues.

use std::collections::VecDeque;
use std::sync::Arc;

use medlarpin_core::prelude::*;
use medlarpin_core::routing::{
    QueryAdmission, Repeatability, Route, RouteTarget, SHARD_ALIVE_TIME, Scatter,
};

const SHARDS: usize = 20;
const COVERAGE_MIN: f64 = 0.89;
const SHARDS_NEEDED: usize = 18;
const TARGET_MS: u64 = 200;
/// Requests that wait at a leaf; further ones are rejected.
const QUEUE_MAX: usize = 12;
const WORK_MS: u64 = 28;

fn scatter() -> Scatter {
    Scatter {
        shards: (0..SHARDS)
            .map(|number| ServiceName::new(&format!("shard-{number:02}")))
            .collect(),
        records_max: 10,
        coverage_min: COVERAGE_MIN,
    }
}

fn route(name: &str, priority: u32, scatter: Scatter) -> Arc<Route> {
    Arc::new(Route {
        name: Arc::from(name),
        host: Arc::from("a.example"),
        prefix: Arc::from("/x/"),
        target: RouteTarget::Scatter(scatter),
        repeatability: Repeatability::Idempotent,
        leafs_max: 2,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(TARGET_MS),
        priority,
    })
}

/// One slot's queue at each of two leafs of a shard: the times at which it is free again.
struct Slots(Vec<VecDeque<u64>>);

impl Slots {
    /// Sends a request that takes `work_ms` on each slot; returns when it ends, or `None` if the
    /// chosen queue is full.
    fn send(&mut self, slot: usize, work_ms: u64, now_ms: u64) -> Option<u64> {
        let queue = &mut self.0[slot];
        while queue.front().is_some_and(|end| *end <= now_ms) {
            queue.pop_front();
        }
        if queue.len() > QUEUE_MAX / 2 {
            return None;
        }
        let end = queue.back().copied().unwrap_or(now_ms).max(now_ms) + work_ms;
        queue.push_back(end);
        Some(end)
    }
}

/// Plays queries at a rate that is `load` times what the leafs can do; returns the share that is
/// answered in time with enough shards.
fn share_in_time(load: f64, with_admission: bool) -> f64 {
    const SLOTS: usize = 4;
    const QUERIES: u64 = 3_000;
    let start = Instant::now();
    let scatter = scatter();
    let route = route("search", 1, scatter.clone());
    let mut admission = QueryAdmission::new();
    let mut shards: Vec<Slots> = (0..SHARDS)
        .map(|_| Slots(vec![VecDeque::new(); SLOTS]))
        .collect();
    let interval_ms = WORK_MS as f64 / SLOTS as f64 / load;
    // Queries end later than others begin, so that their ends are recorded in order of time.
    let mut ends: VecDeque<(u64, Vec<ServiceName>)> = VecDeque::new();
    let mut random = 1_u64;
    let mut in_time = 0;
    for number in 0..QUERIES {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the time is positive and below a minute"
        )]
        let now_ms = (number as f64 * interval_ms) as u64;
        while ends.front().is_some_and(|(end_ms, _)| *end_ms <= now_ms) {
            let (end_ms, covered) = ends.pop_front().unwrap();
            let at = start + Duration::from_millis(end_ms);
            admission.record(&route, &scatter, covered.iter(), |_| true, at);
        }
        random = medlarpin_core::ids::stable_hash(&[&random.to_le_bytes()]);
        let fraction = (random >> 11) as f64 / (1_u64 << 53) as f64;
        let now = start + Duration::from_millis(now_ms);
        if with_admission && !admission.admits(&route, fraction, now) {
            continue;
        }
        let mut covered = Vec::new();
        for (index, shard) in shards.iter_mut().enumerate() {
            random = medlarpin_core::ids::stable_hash(&[&random.to_le_bytes()]);
            let slot = usize::try_from(random % SLOTS as u64).unwrap();
            let end = shard.send(slot, WORK_MS, now_ms);
            if end.is_some_and(|end_ms| end_ms <= now_ms + TARGET_MS) {
                covered.push(scatter.shards[index].clone());
            }
        }
        in_time += u32::from(covered.len() >= SHARDS_NEEDED);
        ends.push_back((now_ms + TARGET_MS, covered));
    }
    f64::from(in_time) / QUERIES as f64
}

/// Load pattern: the leafs of many shards are slow, so that the queries are more than they can do in
/// time. Guards against leafs that work on parts of all queries while hardly any answer reaches its
/// coverage, and against refusals without overload.
#[test]
fn refusing_some_queries_lets_more_of_them_reach_their_coverage() {
    let check = |load: f64, least_gain: f64| {
        let (without, with) = (share_in_time(load, false), share_in_time(load, true));
        println!("load {load}: {without:.3} without admission, {with:.3} with it");
        assert!(with >= without + least_gain, "{load}: {without} and {with}");
    };
    check(0.5, -0.01);
    check(1.3, 0.2);
    check(2.0, 0.1);
}

/// Returns an admission that has gathered queries of which these many shards are missing.
fn after_queries(
    route: &Arc<Route>,
    scatter: &Scatter,
    missing: usize,
) -> (QueryAdmission, Instant) {
    let mut admission = QueryAdmission::new();
    let mut now = Instant::now();
    admission.record(route, scatter, scatter.shards.iter(), |_| true, now);
    for _ in 0..40 {
        now += Duration::from_millis(100);
        let _ = admission.admits(route, 0.0, now);
        // A live shard answers some queries.
        let covered = scatter.shards.iter().skip(missing);
        admission.record(route, scatter, covered, |_| true, now);
    }
    (admission, now)
}

/// Load pattern: both leafs of some shards are gone. Guards against refusing queries because of
/// shards that no refusal brings back.
#[test]
fn shards_without_live_leafs_cause_no_refusals() {
    let scatter = scatter();
    let route = route("search", 1, scatter.clone());
    let (mut admission, now) = after_queries(&route, &scatter, 6);
    assert!(admission.admits(&route, 0.999, now + SHARD_ALIVE_TIME));
    assert!(admission.shed_routes().is_empty());
}

/// Guards against refusing queries for overload because of shards that this VM does not reach, right after
/// its links to them failed.
#[test]
fn shards_out_of_reach_cause_no_refusals() {
    let scatter = scatter();
    let route = route("search", 1, scatter.clone());
    let mut admission = QueryAdmission::new();
    let mut now = Instant::now();
    admission.record(&route, &scatter, scatter.shards.iter(), |_| true, now);
    let (lost, reached) = scatter.shards.split_at(6);
    for _ in 0..10 {
        now += Duration::from_millis(100);
        let is_reached = |shard: &ServiceName| !lost.contains(shard);
        admission.record(&route, &scatter, reached.iter(), is_reached, now);
        assert!(admission.admits(&route, 0.999, now));
    }
}

/// Guards against refusing urgent queries while less urgent ones over the same shards are admitted,
/// and against refusing those of other shards.
#[test]
fn less_urgent_queries_are_refused_at_least_as_often() {
    let scatter = scatter();
    let urgent = route("a", 1, scatter.clone());
    let mut admission = QueryAdmission::new();
    let mut now = Instant::now();
    admission.record(&urgent, &scatter, scatter.shards.iter(), |_| true, now);
    for _ in 0..8 {
        now += Duration::from_millis(100);
        let covered = scatter.shards.iter().skip(6);
        admission.record(&urgent, &scatter, covered, |_| true, now);
    }
    now += Duration::from_millis(100);
    assert!(!admission.admits(&urgent, 0.9, now));
    let others = Scatter {
        shards: vec![ServiceName::new("other")],
        ..scatter.clone()
    };
    let check = |admission: &mut QueryAdmission, other: &Route, is_admitted: bool| {
        assert_eq!(admission.admits(other, 0.9, now), is_admitted, "{other:?}");
    };
    check(&mut admission, &route("b", 2, scatter.clone()), false);
    check(&mut admission, &route("b", 1, scatter.clone()), true);
    check(&mut admission, &route("b", 0, scatter), true);
    check(&mut admission, &route("b", 2, others), true);
}
