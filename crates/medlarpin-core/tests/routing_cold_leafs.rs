//! Tests of the limit on the requests to cold leafs.

mod cold_model;

use cold_model::{World, play, second_max};
use medlarpin_core::prelude::*;
use medlarpin_core::routing::{
    ColdLeafBound, DISCOVERY_TIME, DaemonList, ISOLATED_AFTER, KnownDaemon, LeafRateLimit,
    LeafWarmUp, ProcessStart, RateAccess, RateStatement, RequestRate, StatedRate,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

fn world(daemons: u16, tolerated_per_s: f64, duration_s: u64) -> World {
    World {
        daemons,
        tolerated_per_s,
        overage: OVERAGE,
        slack: SLACK,
        duration: Duration::from_secs(duration_s),
        fault_interval: None,
        demand_per_s: f64::INFINITY,
        sends_undiscovered: false,
        never_meet: false,
    }
}

/// Checks plays of fleets under random faults.
fn check_faulty_fleets(daemons: &[u16], seeds: std::ops::Range<u64>, duration_s: u64) {
    for tolerated_per_s in [0.5, 4.0, 20.0, 60.0] {
        for daemons in daemons {
            let world = World {
                fault_interval: Some(Duration::from_secs(3)),
                ..world(*daemons, tolerated_per_s, duration_s)
            };
            let allowed = tolerated_per_s * OVERAGE + SLACK;
            for seed in seeds.clone() {
                let most = second_max(&play(world, seed).arrivals);
                assert!(
                    most as f64 <= allowed,
                    "{world:?}, seed {seed}: {most} of {allowed}"
                );
            }
        }
    }
}

/// Guards against a fleet that sends a cold leaf more requests in a second than the bound allows,
/// while daemons start, end, join, are cut off and return, their lists differ, and the leaf becomes
/// cold again.
#[test]
fn a_fleet_stays_within_the_bound() {
    check_faulty_fleets(&[2, 6], 0..4, 120);
    check_faulty_fleets(&[20], 0..2, 100);
    check_faulty_fleets(&[110], 0..1, 8);
}

/// Like [`a_fleet_stays_within_the_bound`], with more seeds and larger fleets.
#[test]
#[ignore = "takes minutes in a debug build"]
fn large_fleets_stay_within_the_bound() {
    check_faulty_fleets(&[2, 6, 20], 100..300, 120);
    check_faulty_fleets(&[110, 125, 300], 0..6, 60);
}

/// Guards against a fleet that is limited so strictly that a cold leaf gets next to nothing, although its senders
/// have callers.
#[test]
fn a_fleet_uses_most_of_the_tolerated_rate() {
    let check = |daemons: u16, tolerated_per_s: f64| {
        let played = play(world(daemons, tolerated_per_s, 20), 1);
        let seconds = 20.0;
        let used = played.arrivals.len() as f64 / (seconds * tolerated_per_s);
        // The daemons discover each other first, in 3 to 5 s.
        assert!(
            used >= 0.4,
            "{daemons} daemons, {tolerated_per_s} per s: {used:.2}"
        );
    };
    check(6, 4.0);
    check(20, 20.0);
    check(60, 60.0);
}

/// Guards against a model that finds no fault: daemons that send before they have discovered the others exceed
/// the bound.
#[test]
fn the_model_finds_daemons_that_know_too_little() {
    let faulty = World {
        sends_undiscovered: true,
        ..world(60, 20.0, 6)
    };
    let exceeded = (0..3).filter(|seed| second_max(&play(faulty, *seed).arrivals) > 35);
    assert!(exceeded.count() > 0);
}

/// Guards against two parts of a fleet that have never met, or not for longer than silent daemons are counted, and
/// exceed the bound together.
#[test]
fn two_parts_that_do_not_know_of_each_other_stay_within_the_bound() {
    for tolerated_per_s in [0.2, 2.0, 20.0, 200.0] {
        let apart = World {
            never_meet: true,
            ..world(24, tolerated_per_s, 30)
        };
        for seed in 0..3 {
            let played = play(apart, seed);
            let most = second_max(&played.arrivals);
            let allowed = tolerated_per_s * OVERAGE + SLACK;
            assert!(
                most as f64 <= allowed,
                "{apart:?}, {seed}: {most} of {allowed}"
            );
            assert!(played.senders_max >= 3, "{apart:?}, {seed}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against a plan whose senders, in two parts of a fleet, exceed the bound.
    #[test]
    fn a_plan_stays_within_its_bound(
        tolerated_per_s in 0.0..2_000.0_f64,
        overage in 0.0..4.0_f64,
        slack in 0.0..50.0_f64,
    ) {
        let rate = RequestRate::new(tolerated_per_s).unwrap();
        let bound = ColdLeafBound::new(overage, slack);
        if let Some(plan) = bound.plan(rate) {
            let senders = 2.0 * plan.senders as f64;
            prop_assert!(plan.per_s > 0.0 && plan.senders >= 1);
            prop_assert!(senders * (1.0 + plan.per_s) <= bound.requests_max(rate));
            prop_assert!(plan.total_per_s() <= tolerated_per_s);
        }
    }
}

/// Guards against bounds of the platform that leave a cold leaf without any request, and against numbers that are
/// none.
#[test]
fn the_plan_follows_the_bound() {
    let check = |tolerated_per_s: f64, overage, slack, expected: Option<(usize, f64)>| {
        let rate = RequestRate::new(tolerated_per_s).unwrap();
        let plan = ColdLeafBound::new(overage, slack).plan(rate);
        let found = plan.map(|plan| (plan.senders, (plan.per_s * 100.0).round() / 100.0));
        assert_eq!(found, expected, "{tolerated_per_s}, {overage}, {slack}");
    };
    check(0.5, OVERAGE, SLACK, Some((2, 0.18)));
    check(4.0, OVERAGE, SLACK, Some((2, 1.4)));
    check(20.0, OVERAGE, SLACK, Some((4, 3.07)));
    check(1.0, 1.0, 0.0, None);
    check(4.0, 1.0, 0.0, Some((1, 0.91)));
    check(4.0, f64::NAN, f64::INFINITY, None);
    check(4.0, 100.0, SLACK, Some((32, 0.09)));
}

/// Guards against a daemon that sends to a cold leaf although it knows too little of the others, and against one
/// that is alone and sends nothing.
#[test]
fn a_daemon_that_knows_little_sends_nothing() {
    let start = Instant::now();
    let daemon = |number: u8| KnownDaemon {
        address: ([192, 0, 2, number], 8_106).into(),
        cpu_millicores: 170,
        started_at: None,
    };
    let bound = ColdLeafBound::new(OVERAGE, SLACK);
    let rate = RequestRate::new(4.0).unwrap();
    let check = |contact: Option<Duration>, seeds: &[u8], at: Duration, is_expected: bool| {
        let process = ProcessStart {
            at: start,
            is_first_start: true,
            seeds: seeds.iter().map(|seed| daemon(*seed).address).collect(),
        };
        let mut list = DaemonList::new(daemon(0), process);
        if let Some(contact) = contact {
            list.record_contact(daemon(1), Duration::ZERO, start + contact);
        }
        let access = list.cold_access(&LeafId::new("a"), rate, bound, start + at);
        let is_sender = matches!(access, RateAccess::Paced(per_s) if per_s > 0.0);
        assert_eq!(
            is_sender, is_expected,
            "{contact:?} {seeds:?} {at:?} {access:?}"
        );
    };
    let seconds = Duration::from_secs;
    check(None, &[], seconds(0), true);
    check(None, &[0], seconds(60), true);
    check(None, &[1], seconds(0), false);
    check(None, &[1], seconds(60), false);
    check(Some(seconds(1)), &[1], seconds(3), false);
    check(Some(seconds(1)), &[1], seconds(1) + DISCOVERY_TIME, true);
    check(Some(seconds(1)), &[1], seconds(1) + ISOLATED_AFTER, false);
    check(Some(seconds(1)), &[], seconds(1), true);
}

/// Guards against credit that grows while a daemon is paused, which would then send many requests at once.
#[test]
fn credit_does_not_grow_beyond_one_request() {
    let start = Instant::now();
    let rate = RequestRate::new(20.0).unwrap();
    let mut limit = LeafRateLimit::default();
    let statement = RateStatement {
        stated: StatedRate::Limited(rate),
        asked_at: start,
        heard_at: start,
    };
    limit.record(statement, 0.0, start);
    let access = RateAccess::Paced(7.0);
    let resumed = start + Duration::from_mins(10);
    assert_eq!(limit.take(access, resumed), None);
    let wait = limit.take(access, resumed).unwrap();
    assert!((wait.as_secs_f64() - 1.0 / 7.0).abs() < 0.001, "{wait:?}");
    assert_eq!(limit.take(access, resumed + wait), None);
    assert!(
        limit
            .take(RateAccess::Nothing, resumed + wait * 9)
            .is_some()
    );
}

/// Guards against a leaf that counts as warm too early: an old entry ends what a health check has shown, or an
/// assumption; and against one that counts as cold after it has shown that it is warm.
#[test]
fn the_newest_statement_decides_whether_a_leaf_is_cold() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let left = Duration::from_millis;
    let check = |leaf: &LeafWarmUp, now_ms: u64, until_ms: Option<u64>| {
        assert_eq!(leaf.cold_until(at(now_ms)), until_ms.map(at), "{leaf:?}");
    };
    let mut leaf = LeafWarmUp::default();
    check(&leaf, 0, None);
    leaf.published(left(5_000), 1, at(0));
    check(&leaf, 10, Some(5_000));
    // The same entry, read once more.
    leaf.published(left(5_000), 1, at(1_000));
    check(&leaf, 1_000, Some(5_000));
    leaf.published(left(3_000), 2, at(1_200));
    check(&leaf, 1_200, Some(4_200));
    check(&leaf, 4_200, None);
    // The health check was answered after an entry was written that arrives later.
    leaf.checked(left(2_000), at(4_300), at(4_300));
    leaf.published(left(0), 3, at(4_400));
    check(&leaf, 4_400, Some(6_300));
    leaf.checked(left(0), at(4_500), at(4_500));
    check(&leaf, 4_500, None);

    // Up to two entries may have been written before the assumption.
    leaf.assume_cold(at(65_000), 2, at(5_000));
    leaf.published(left(0), 5, at(6_000));
    check(&leaf, 6_000, Some(65_000));
    leaf.checked(left(0), at(4_900), at(6_100));
    check(&leaf, 6_100, Some(65_000));
    leaf.published(left(0), 6, at(6_200));
    check(&leaf, 6_200, None);
    leaf.assume_cold(at(70_000), 0, at(7_000));
    leaf.checked(left(500), at(7_100), at(7_200));
    check(&leaf, 7_200, Some(7_700));
    leaf.assume_cold(at(80_000), 0, at(8_000));
    check(&leaf, 80_000, None);
}

/// Figures of docs/design/cold-leafs.md. Guards against a fleet that sends more than the bound.
#[test]
#[ignore = "prints figures; takes minutes in a debug build"]
fn figures_of_the_design_note() {
    for daemons in [20, 110, 125, 300] {
        for tolerated_per_s in [4.0, 20.0] {
            let busy = play(world(daemons, tolerated_per_s, 40), 1);
            let allowed = tolerated_per_s * OVERAGE + SLACK;
            let most = second_max(&busy.arrivals);
            let served = |demand: f64| {
                let demand_per_s = tolerated_per_s * demand;
                let play = play(
                    World {
                        demand_per_s,
                        ..world(daemons, tolerated_per_s, 40)
                    },
                    1,
                );
                let share = 100.0 * f64::from(play.sent) / f64::from(play.wanted);
                format!("{:.1} ({share:.1}%)", f64::from(play.sent) / 20.0)
            };
            println!(
                "| {daemons} | {tolerated_per_s} | {allowed} | {most} | {:.1} | {} | {} |",
                f64::from(busy.sent) / 20.0,
                served(1.0),
                served(10.0),
            );
            assert!(most as f64 <= allowed);
        }
    }
}

/// Guards against a leaf that is taken for warm when its failure domain returns to service, and against one that
/// is taken for cold again and again after the same return.
#[test]
fn a_return_to_service_makes_a_leaf_cold_once() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut leaf = LeafWarmUp::default();
    leaf.published(Duration::ZERO, 7, at(0));
    leaf.domain_returned(at(100), at(3_100), 3);
    assert_eq!(leaf.cold_until(at(200)), Some(at(3_100)));
    // Entries that were written before the return may still arrive.
    leaf.published(Duration::ZERO, 10, at(300));
    assert_eq!(leaf.cold_until(at(300)), Some(at(3_100)));
    leaf.published(Duration::ZERO, 11, at(400));
    assert_eq!(leaf.cold_until(at(400)), None);
    leaf.domain_returned(at(100), at(3_100), 3);
    assert_eq!(leaf.cold_until(at(500)), None);
    leaf.domain_returned(at(600), at(3_600), 3);
    assert_eq!(leaf.cold_until(at(700)), Some(at(3_600)));
}
