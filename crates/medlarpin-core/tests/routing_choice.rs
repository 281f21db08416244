//! Tests of route lookup, weighted round robin, replica choice and leaf load.

use std::sync::Arc;

use medlarpin_core::prelude::*;
use medlarpin_core::routing::{
    Candidate, LEAF_SILENCE_TIMEOUT, LeafLoad, PAUSE_MAX, ProbeDue, Repeatability, Route,
    RouteTable, RouteTarget, SHED_BACK_OFF, UNANSWERED_MIN, Unreachable, WeightedRoundRobin,
    WeightedService, choose_replica,
};

const TYPICAL: Duration = Duration::from_millis(20);

fn route(name: &str, host: &str, prefix: &str) -> Arc<Route> {
    Arc::new(Route {
        name: Arc::from(name),
        host: Arc::from(host),
        prefix: Arc::from(prefix),
        target: RouteTarget::Service(ServiceName::new("a")),
        repeatability: Repeatability::Idempotent,
        leafs_max: 2,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority: 1,
    })
}

/// Guards against requests that are routed by a shorter prefix or the route of another host.
#[test]
fn the_longest_matching_prefix_wins() {
    let table = RouteTable::new(vec![
        route("root", "a.example", "/"),
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ]);
    let check = |host: &str, path: &str, expected: Option<&str>| {
        let found = table.find(host, path).map(|route| &*route.name);
        assert_eq!(found, expected, "{host}{path}");
    };
    check("a.example", "/x/y/1", Some("long"));
    check("a.example", "/x/y/", Some("long"));
    check("a.example", "/x/y", Some("short"));
    check("a.example", "/x/yy/1", Some("short"));
    check("a.example", "/xx/1", Some("root"));
    check("a.example", "/x/y/z/1", Some("long"));
    check("b.example", "/x/y/z/1", Some("other"));
    check("b.example", "/x/1", None);
    check("c.example", "/x/1", None);
}

/// Guards against a traffic split that is only accurate on average. Callers may check it over as
/// few as 300 requests.
#[test]
fn a_split_matches_its_weights_over_short_runs() {
    let check = |weights: &[u32], requests: u32| {
        let services: Vec<WeightedService> = weights
            .iter()
            .map(|weight| WeightedService {
                service: ServiceName::new("a"),
                weight: *weight,
            })
            .collect();
        let mut split = WeightedRoundRobin::default();
        let mut counts = vec![0_u32; weights.len()];
        for _ in 0..requests {
            if let Some(index) = split.next(&services) {
                counts[index] += 1;
            }
        }
        let total: u32 = weights.iter().sum();
        for (count, weight) in counts.iter().zip(weights) {
            let expected = f64::from(requests * weight) / f64::from(total);
            assert!(
                (f64::from(*count) - expected).abs() <= 1.0,
                "{weights:?}: {counts:?}"
            );
        }
    };
    check(&[1], 10);
    check(&[9, 1], 30);
    check(&[700, 300], 33);
    check(&[0, 5], 12);
    check(&[1, 1, 1], 7);
}

/// Guards against requests to a service with weight 0.
#[test]
fn a_split_without_weights_chooses_nothing() {
    let services = [WeightedService {
        service: ServiceName::new("a"),
        weight: 0,
    }];
    assert_eq!(WeightedRoundRobin::default().next(&services), None);
}

/// Guards against a slow leaf, or one that is not preferred, that gets as many requests as the
/// others.
#[test]
fn replicas_are_chosen_by_speed() {
    const DRAWS: u32 = 1_000;
    let check = |candidates: &[(f64, bool)], index: usize, least: f64, most: f64| {
        let candidates: Vec<Candidate> = candidates
            .iter()
            .map(|(expected_ratio, is_preferred)| Candidate {
                expected_ratio: *expected_ratio,
                is_preferred: *is_preferred,
            })
            .collect();
        let hits = (0..DRAWS)
            .filter(|draw| {
                let random = (f64::from(*draw) + 0.5) / f64::from(DRAWS);
                choose_replica(&candidates, random) == Some(index)
            })
            .count();
        let share = hits as f64 / f64::from(DRAWS);
        assert!(
            (least..=most).contains(&share),
            "{candidates:?}: {share} at {index}"
        );
    };
    check(&[(1.0, true), (1.0, true)], 0, 0.45, 0.55);
    check(&[(1.0, true), (2.0, true)], 1, 0.05, 0.15);
    check(&[(1.0, true), (8.0, true)], 1, 0.0, 0.01);
    check(&[(1.0, false), (8.0, true)], 0, 0.0, 0.0);
    check(&[(1.0, false), (8.0, false)], 0, 0.9, 1.0);
    check(&[(9.0, false)], 0, 1.0, 1.0);
}

/// Guards against a panic if there are no candidates.
#[test]
fn no_candidates_yield_no_replica() {
    assert_eq!(choose_replica(&[], 0.5), None);
}

/// Load pattern: a leaf stops answering. Guards against a leaf that keeps getting requests because
/// its estimate is only updated when a request completes, which never happens.
#[test]
fn an_overdue_request_raises_the_estimate_before_it_completes() {
    let start = Instant::now();
    let mut load = LeafLoad::default();
    load.sent(start);
    let at = |ms| load.expected_ratio(2, TYPICAL, start + Duration::from_millis(ms));
    assert!(at(10) < 2.0, "{}", at(10));
    assert!(at(200) > 10.0, "{}", at(200));
}

/// Load pattern: a leaf is several times slower than the others for some seconds. Guards against a
/// leaf that is avoided permanently after its recovery.
#[test]
fn a_slow_leaf_is_avoided_and_tried_again() {
    let start = Instant::now();
    let mut load = LeafLoad::default();
    for request in 0..5_u64 {
        let now = start + Duration::from_millis(100 * request);
        load.answered(TYPICAL * 8, TYPICAL, now);
    }
    let now = start + Duration::from_millis(400);
    assert!(load.ratio(now) > 5.0, "{}", load.ratio(now));
    let later = now + Duration::from_secs(12);
    assert!(load.ratio(later) < 1.2, "{}", load.ratio(later));
}

/// Load pattern: most leafs reject some of their requests immediately. Guards against a retry
/// budget that is spent on leafs that reject, although others do not.
#[test]
fn rejections_raise_the_expected_latency() {
    let start = Instant::now();
    let mut load = LeafLoad::default();
    for request in 0..6_u64 {
        let now = start + Duration::from_millis(100 * request);
        load.shed(now);
        assert!(load.blocked_until(now).is_some());
        assert!(load.blocked_until(now + SHED_BACK_OFF).is_none());
    }
    let now = start + Duration::from_millis(600);
    assert!(load.expected_ratio(2, TYPICAL, now) > 2.5);
    assert!(load.expected_ratio(2, TYPICAL, now + Duration::from_secs(12)) < 1.1);
}

/// Load pattern: leafs lose the answers to some of their requests. Guards against a shard without a
/// usable leaf because both of its leafs are in back-off, although they serve most requests.
#[test]
fn a_single_lost_answer_starts_no_back_off() {
    let now = Instant::now();
    let mut load = LeafLoad::default();
    load.answer_lost(now);
    assert_eq!(load.blocked_until(now), None);
    load.answered(TYPICAL, TYPICAL, now);
    load.answer_lost(now);
    assert_eq!(load.blocked_until(now), None);
    assert!(load.shed_share(now) > 0.3);
    load.answer_lost(now);
    assert!(load.blocked_until(now).is_some());
}

/// Guards against an unreachable leaf that is tried at the full request rate, and against one that
/// is never tried again.
#[test]
fn failures_back_off_up_to_the_maximum() {
    let mut now = Instant::now();
    let mut load = LeafLoad::default();
    let mut back_offs_ms = Vec::new();
    for _ in 0..5 {
        load.failed(now);
        let until = load.blocked_until(now).unwrap_or(now);
        back_offs_ms.push((until - now).as_millis());
        now = until;
    }
    assert_eq!(back_offs_ms, [100, 200, 400, 800, 800]);
    load.answered(TYPICAL, TYPICAL, now);
    load.failed(now);
    assert_eq!(
        load.blocked_until(now),
        Some(now + Duration::from_millis(100))
    );
}

/// Guards against a leaf that keeps getting requests at an address that another leaf has taken over,
/// and against one that stays unused after it has published another entry.
#[test]
fn a_replaced_leaf_is_unusable_until_it_is_published_again() {
    let now = Instant::now();
    let mut load = LeafLoad::default();
    load.replaced();
    assert!(load.is_replaced());
    load.answered(TYPICAL, TYPICAL, now);
    assert!(load.is_replaced());
    load.republished();
    assert!(!load.is_replaced());
}

/// Load pattern: the link to a leaf fails without a reset. Guards against callers' requests that wait
/// for a leaf which nothing reaches, and against taking a slow leaf for one.
#[test]
fn a_leaf_that_answers_nothing_counts_as_silent() {
    let start = Instant::now();
    let silent_at = start + LEAF_SILENCE_TIMEOUT;
    let waiting_at = start + LEAF_SILENCE_TIMEOUT / 2;
    let mut load = LeafLoad::default();
    load.sent(start);
    assert!(!load.needs_check(waiting_at));
    assert!(!load.check_silence(waiting_at));
    assert!(load.needs_check(silent_at));
    assert!(load.check_silence(silent_at));
    assert!(load.needs_check(silent_at));
    assert_eq!(load.unreachable(), Some(Unreachable::Silent));
    // It is found silent once.
    assert!(!load.check_silence(silent_at));

    // Another answer shows that the leaf is slow.
    let mut load = LeafLoad::default();
    load.sent(start);
    load.answered(TYPICAL, TYPICAL, start + TYPICAL);
    assert!(!load.check_silence(silent_at));

    // Short requests are cancelled before the time-out.
    let mut load = LeafLoad::default();
    load.abandoned(UNANSWERED_MIN, TYPICAL, start + UNANSWERED_MIN);
    assert_eq!(load.unreachable(), None);
    load.abandoned(UNANSWERED_MIN, TYPICAL, start + UNANSWERED_MIN * 2);
    assert_eq!(load.unreachable(), Some(Unreachable::Silent));

    // Cancelled hedges show nothing.
    let mut load = LeafLoad::default();
    for request in 1..20 {
        load.abandoned(TYPICAL, TYPICAL, start + TYPICAL * request);
    }
    assert_eq!(load.unreachable(), None);
}

/// Load pattern: the links to several leafs of a service fail. Guards against a caller's request that
/// waits in vain for each of them in turn.
#[test]
fn a_leaf_beside_a_silent_one_is_probed_unless_it_was_heard_lately() {
    let start = Instant::now();
    let now = start + LEAF_SILENCE_TIMEOUT * 2;
    let mut load = LeafLoad::default();
    load.answered(TYPICAL, TYPICAL, start);
    load.suspect(now);
    assert_eq!(
        load.probe_due(now).map(ProbeDue::how),
        Some(Unreachable::Silent)
    );

    let mut load = LeafLoad::default();
    load.answered(TYPICAL, TYPICAL, now);
    load.suspect(now);
    assert_eq!(load.probe_due(now), None);
}

/// Guards against a caller's request that is the trial of a leaf out of reach, and against a leaf
/// that is not probed, or probed without pause.
#[test]
fn a_leaf_out_of_reach_is_probed_after_each_back_off() {
    let mut now = Instant::now();
    let mut load = LeafLoad::default();
    load.failed(now);
    assert_eq!(load.probe_due(now), None);
    for _ in 0..3 {
        now = load.blocked_until(now).unwrap_or(now);
        assert_eq!(
            load.probe_due(now).map(ProbeDue::how),
            Some(Unreachable::Refused)
        );
        load.probe_failed(now);
        assert_eq!(load.probe_due(now), None);
        assert_eq!(load.unreachable(), Some(Unreachable::Refused));
    }
    load.reached(now);
    assert_eq!(load.unreachable(), None);
    assert_eq!(load.blocked_until(now), None);
}

/// Guards against an answer or a probe that ends the pause which a leaf asked for, and against a leaf
/// that is lost because it asked for years.
#[test]
fn a_pause_lasts_as_long_as_the_leaf_asked_for() {
    let now = Instant::now();
    let pause = Duration::from_secs(2);
    let mut load = LeafLoad::default();
    load.asked_for_pause(pause, now);
    load.asked_for_pause(pause / 2, now);
    load.answered(TYPICAL, TYPICAL, now);
    load.reached(now);
    assert_eq!(load.blocked_until(now), Some(now + pause));
    assert_eq!(load.blocked_until(now + pause), None);

    load.failed(now);
    assert_eq!(load.probe_due(now + pause / 2), None);
    assert!(load.probe_due(now + pause).is_some());

    load.asked_for_pause(Duration::MAX, now);
    assert_eq!(load.blocked_until(now), Some(now + PAUSE_MAX));
}

/// Guards against leafs that are back after an outage of many and wait behind those that are still down:
/// each of these takes the time limit of a probe.
#[test]
fn leafs_without_a_failed_probe_are_probed_first() {
    let now = Instant::now();
    let check = |failed_probes: u32, first: bool| {
        let mut load = LeafLoad::default();
        load.suspect(now);
        let mut at = now;
        for _ in 0..failed_probes {
            load.probe_failed(at);
            at += Duration::from_secs(2);
        }
        let due = load.probe_due(at).expect("a probe is due");
        assert_eq!(due.is_first(), first, "{failed_probes} failed probes");
        due.order()
    };
    let orders: Vec<u32> = [(0, true), (1, false), (2, false), (5, false)]
        .map(|(failed_probes, first)| check(failed_probes, first))
        .to_vec();
    assert!(orders.is_sorted(), "{orders:?}");
}
