//! Checks how evenly many daemons load the leafs of a service, in a model without network.

mod balance_model;

use std::time::{Duration, Instant};

use balance_model::{Header, Kind, Report, World};
use medlarpin_core::routing::{
    Candidate, LeafLoad, LoadStatement, RatioEvidence, StatedLoad, choose_replica,
};
use proptest::prelude::*;

const TYPICAL: Duration = Duration::from_millis(20);
const SEEDS: u64 = 3;
const HALF_LOAD: World = World {
    kind: Kind::Shards,
    daemons: 20,
    load: 0.5,
    has_burst: false,
    header: Header::Absent,
    seed: 0,
};
const HIGH_LOAD: World = World {
    kind: Kind::LongWork,
    load: 0.85,
    ..HALF_LOAD
};

fn run(world: World, seeds: u64) -> Report {
    let mut report = Report::default();
    for seed in 0..seeds {
        report.add(World { seed, ..world }.run());
    }
    report
}

fn heard(load: (u32, u32, f64), heard_at: Instant) -> LoadStatement {
    let stated = StatedLoad::new(load.0, load.1, 2, load.2);
    LoadStatement {
        stated: stated.expect("the pace is above 0"),
        heard_at,
    }
}

/// Load pattern: queries over many shards at half of the leafs' capacity. Guards against daemons that
/// choose by what they know too little of: with less weight for the own requests, 33 to 36% of the parts
/// waited beside an idle leaf. A query waits for its slowest parts, so each of them counts.
#[test]
fn parts_of_queries_seldom_wait_beside_an_idle_leaf() {
    let check = |daemons, idle_wait_max: f64| {
        let report = run(
            World {
                daemons,
                ..HALF_LOAD
            },
            SEEDS,
        );
        let share = report.idle_wait_share();
        assert!(share < idle_wait_max, "{daemons}: {share}");
    };
    check(20, 0.27);
    check(28, 0.27);
    check(125, 0.28);
    check(300, 0.32);
}

/// Load pattern: long work near the capacity of a service of several leafs. Guards against slower leafs
/// that a daemon with few requests overloads because it forgets how slow they are. Rejected requests use
/// the retry budget, 10% of the requests; a third of it has to be left for hedges.
#[test]
fn long_work_near_the_capacity_leaves_retries() {
    for daemons in [20, 28, 125, 300] {
        let report = run(
            World {
                daemons,
                ..HIGH_LOAD
            },
            SEEDS,
        );
        let share = report.rejected_share();
        assert!(share < 0.067, "{daemons}: {share}");
    }
}

/// Load pattern: a leaf of each service states nonsense. Guards against callers that pay for it. The
/// margins are what runs of the model with other draws differ by.
#[test]
fn nonsense_costs_callers_nothing() {
    for world in [HALF_LOAD, HIGH_LOAD] {
        let without = run(world, SEEDS);
        for header in [Header::Zero, Header::Random] {
            let with = run(World { header, ..world }, SEEDS);
            let (mean_ms, p99_ms) = (with.mean_ms(), with.p99_ms());
            assert!(mean_ms < without.mean_ms() * 1.03, "{header:?}: {mean_ms}");
            assert!(p99_ms < without.p99_ms() * 1.06, "{header:?}: {p99_ms}");
        }
    }
}

/// Guards against a leaf whose true statements are of no use: the spread of the load is lower with them.
#[test]
fn true_statements_even_the_load() {
    let header = Header::Truth;
    let with = run(
        World {
            header,
            ..HIGH_LOAD
        },
        SEEDS,
    )
    .spread();
    let without = run(HIGH_LOAD, SEEDS).spread();
    assert!(with < without * 0.98, "{with}, {without}");
}

/// Guards against a second request to a leaf that holds one while an equal leaf holds none.
#[test]
fn a_leaf_without_own_requests_is_preferred() {
    let now = Instant::now();
    let mut loads = vec![LeafLoad::default(); 2];
    loads[0].sent(now);
    let evidence = RatioEvidence::default();
    let candidate = |load: &LeafLoad| Candidate {
        expected_ratio: load.choice_ratio(evidence, 2, TYPICAL, now),
        is_preferred: true,
    };
    let candidates: Vec<Candidate> = loads.iter().map(candidate).collect();
    assert_eq!(choose_replica(&candidates, 0.02), Some(1));
}

/// Load pattern: one of hundreds of daemons sends few requests, so its typical latency is a guess.
/// Guards against leafs that are preferred, or avoided, only because it has not heard from them yet.
#[test]
fn an_unknown_leaf_counts_as_the_others_of_its_service() {
    let mut now = Instant::now();
    let mut known = LeafLoad::default();
    for _ in 0..20 {
        now += Duration::from_secs(5);
        known.answered(TYPICAL * 2, TYPICAL, now);
    }
    now += Duration::from_mins(1);
    let unknown = LeafLoad::default();
    let evidence = [&known, &unknown].map(LeafLoad::ratio_evidence);
    let service: RatioEvidence = evidence.into_iter().sum();
    let ratio = |load: &LeafLoad| load.choice_ratio(service, 2, TYPICAL, now);
    let quotient = ratio(&known) / ratio(&unknown);
    assert!((0.9..1.1).contains(&quotient), "{quotient}");
}

/// Guards against statements that are never believed, although the answers have borne them out.
#[test]
fn a_leaf_is_believed_if_its_answers_bear_it_out() {
    let mut now = Instant::now();
    let mut load = LeafLoad::default();
    for request in 0..400 {
        let is_busy = request % 7 < 3;
        let waiting = if is_busy { 6 } else { 0 };
        load.record_statement(heard((2, waiting, 1.0), now));
        let sent_at = now;
        load.sent(sent_at);
        let latency = if is_busy { TYPICAL * 3 } else { TYPICAL };
        now += latency;
        load.answered(latency, TYPICAL, now);
        load.remove_in_flight(sent_at);
    }
    assert!(load.statement_trust() > 0.6, "{}", load.statement_trust());
}

proptest! {
    /// Guards against statements that move a leaf's ratio out of bounds, and against nonsense that is
    /// believed for long.
    #[test]
    fn statements_move_the_ratio_within_bounds(
        stated in prop::collection::vec((any::<u32>(), any::<u32>(), 0.01..1e7_f64), 200..400),
        latencies_ms in prop::collection::vec(5..80_u64, 400),
    ) {
        let mut now = Instant::now();
        let mut load = LeafLoad::default();
        let mut silent = load.clone();
        for (stated, latency_ms) in stated.into_iter().zip(latencies_ms) {
            load.record_statement(heard(stated, now));
            let ratio = |load: &LeafLoad| load.choice_ratio(RatioEvidence::default(), 2, TYPICAL, now);
            let factor = ratio(&load) / ratio(&silent);
            prop_assert!((0.22..4.5).contains(&factor), "{factor}");
            let latency = Duration::from_millis(latency_ms);
            for load in [&mut load, &mut silent] {
                load.sent(now);
                load.answered(latency, TYPICAL, now + latency);
                load.remove_in_flight(now);
            }
            now += latency;
        }
        prop_assert!(load.statement_trust() < 0.25, "{}", load.statement_trust());
    }

    /// Guards against a leaf that gains or loses requests because it always states the same.
    #[test]
    fn a_constant_statement_changes_nothing(
        running in any::<u32>(), waiting in any::<u32>(), pace in 0.01..1e7_f64, count in 1..50_u64,
    ) {
        let start = Instant::now();
        let mut load = LeafLoad::default();
        for index in 0..count {
            let now = start + Duration::from_millis(index);
            load.record_statement(heard((running, waiting, pace), now));
            let ratio = load.choice_ratio(RatioEvidence::default(), 2, TYPICAL, now);
            prop_assert!((ratio - 1.0).abs() < 1e-6, "{ratio}");
        }
    }
}

/// Prints the table of `docs/design/even-load.md`; `SEEDS` sets the number of seeds, `HEADER=absent` leaves
/// the header out.
#[test]
#[ignore = "prints a table and checks nothing; use a release build"]
fn table() {
    let seeds = std::env::var("SEEDS").map_or(SEEDS, |text| text.parse().expect("a number"));
    let is_absent = std::env::var("HEADER").is_ok_and(|text| text == "absent");
    let header = if is_absent {
        Header::Absent
    } else {
        Header::Truth
    };
    for kind in [Kind::Shards, Kind::LongWork] {
        for (load, has_burst) in [(0.2, false), (0.5, false), (0.85, false), (0.5, true)] {
            for daemons in [20, 28, 125, 300] {
                let world = World {
                    kind,
                    daemons,
                    load,
                    has_burst,
                    header,
                    seed: 0,
                };
                let report = run(world, seeds);
                println!(
                    "{kind:?} {load} {has_burst} {daemons}: spread {:.2}, idle waits {:.1}%, rejected \
                     {:.2}%, mean {:.1} ms, p99 {:.0} ms",
                    report.spread(),
                    report.idle_wait_share() * 100.0,
                    report.rejected_share() * 100.0,
                    report.mean_ms(),
                    report.p99_ms(),
                );
            }
        }
    }
}
