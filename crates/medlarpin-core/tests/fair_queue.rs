//! Tests of the fair queue.

use medlarpin_core::fair_queue::{Discipline, FairQueue, Popped, QueueRefusal, TEAM_CAPACITY};
use medlarpin_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MS: Duration = Duration::from_millis(1);

fn filled(discipline: Discipline, teams: &[(&str, u32, usize)], now: Instant) -> FairQueue<String> {
    let mut queue = FairQueue::new(discipline);
    for (team, weight, count) in teams {
        for _ in 0..*count {
            let pushed = queue.push(
                &(*team).into(),
                *weight,
                now + 1000 * MS,
                (*team).into(),
                now,
            );
            assert_eq!(pushed, Ok(()));
        }
    }
    queue
}

fn order(queue: &mut FairQueue<String>, now: Instant) -> String {
    let mut order = String::new();
    while let Popped::Ready(team) = queue.pop(now) {
        order.push_str(&team);
    }
    order
}

/// Guards against an order of service that ignores the weights (fair share) or the arrival (FIFO).
#[test]
fn order_of_service_follows_the_discipline() {
    let check = |discipline, teams: &[(&str, u32, usize)], expected: &str| {
        let now = Instant::now();
        assert_eq!(order(&mut filled(discipline, teams, now), now), expected);
    };
    check(Discipline::FairShare, &[("a", 1, 4), ("b", 1, 2)], "ababaa");
    check(
        Discipline::FairShare,
        &[("a", 100, 3), ("b", 100, 3)],
        "ababab",
    );
    check(
        Discipline::FairShare,
        &[("a", 2, 4), ("b", 1, 3)],
        "aabaabb",
    );
    check(
        Discipline::FairShare,
        &[("a", 3, 6), ("b", 2, 4)],
        "abaababaab",
    );
    check(Discipline::Fifo, &[("a", 1, 4), ("b", 1, 2)], "aaaabb");
}

/// Guards against refusals for a quiet team because of a loud team's long queue.
#[test]
fn estimate_counts_only_entries_served_before() {
    let check = |discipline, weight, accepted: bool| {
        let now = Instant::now();
        let mut queue = filled(discipline, &[("loud", 1, 200)], now);
        queue.set_parallelism(2);
        queue.record_service_time(10 * MS);
        let pushed = queue.push(&"quiet".into(), weight, now + 40 * MS, "quiet".into(), now);
        assert_eq!(pushed.is_ok(), accepted, "{discipline:?} {pushed:?}");
        let loud = queue.push(&"loud".into(), 1, now + 40 * MS, "loud".into(), now);
        let refused = matches!(loud, Err((_, QueueRefusal::WaitTooLong { .. })));
        assert!(refused, "{discipline:?} {loud:?}");
    };
    check(Discipline::FairShare, 1, true);
    check(Discipline::FairShare, 10, true);
    check(Discipline::Fifo, 1, false);
}

/// Guards against an unbounded queue and against entries that are queued after their deadline.
#[test]
fn refuses_when_full_or_late() {
    let now = Instant::now();
    let mut queue = filled(Discipline::FairShare, &[("a", 1, TEAM_CAPACITY)], now);
    let mut check = |team: &str, deadline, expected| {
        let refused = queue.push(&team.into(), 1, deadline, "x".into(), now);
        assert_eq!(refused, expected);
    };
    let refusal = |refusal| Err(("x".to_owned(), refusal));
    check("a", now + 1000 * MS, refusal(QueueRefusal::TeamFull));
    check("b", now, refusal(QueueRefusal::DeadlinePassed));
    check("b", now + MS, Ok(()));
}

/// Guards against sending requests that cannot complete in time, and against a service-time
/// estimate that expires all entries.
#[test]
fn expires_late_entries_without_blocking() {
    let now = Instant::now();
    let mut queue = FairQueue::new(Discipline::FairShare);
    queue.record_service_time(400 * MS);
    let mut check = |wait: Duration, rounds: usize, expected_expired: bool| {
        let mut expired = 0;
        for _ in 0..rounds {
            assert_eq!(queue.push(&"a".into(), 1, now + 300 * MS, (), now), Ok(()));
            expired += usize::from(queue.pop(now + wait) == Popped::Expired(()));
        }
        assert_eq!(expired == rounds, expected_expired, "{expired} of {rounds}");
    };
    check(Duration::ZERO, 1, true);
    check(Duration::ZERO, 10, false);
    check(301 * MS, 3, true);
    assert!(queue.is_empty());
}

/// Guards against a mean queue wait that is low although the leaf takes no requests.
#[test]
fn mean_wait_of_the_last_second() {
    let now = Instant::now();
    let mut queue = filled(Discipline::FairShare, &[("a", 1, 3)], now);
    assert_eq!(queue.mean_queue_wait(now + 20 * MS), 20 * MS);
    assert_eq!(queue.pop(now + 30 * MS), Popped::Ready("a".to_owned()));
    assert_eq!(queue.pop(now + 50 * MS), Popped::Ready("a".to_owned()));
    assert_eq!(queue.mean_queue_wait(now + 60 * MS), 40 * MS);
    assert_eq!(queue.mean_queue_wait(now + 2000 * MS), 2000 * MS);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against lost or duplicated entries and against service that does not match the
    /// weights.
    #[test]
    fn keeps_entries_and_weights(weights in prop::collection::vec(1_u32..20, 2..6)) {
        let now = Instant::now();
        let mut queue = FairQueue::new(Discipline::FairShare);
        for (team, weight) in weights.iter().enumerate() {
            for _ in 0..200 {
                let name = TeamName::new(&team.to_string());
                prop_assert!(queue.push(&name, *weight, now + MS, team, now).is_ok());
            }
        }
        let mut served = vec![0_u32; weights.len()];
        while served.iter().all(|count| *count < 200) {
            let Popped::Ready(team) = queue.pop(now) else { unreachable!() };
            served[team] += 1;
        }
        let smallest = f64::from(*weights.iter().min().unwrap());
        let rounds: Vec<f64> = served.iter().zip(&weights)
            .map(|(count, weight)| f64::from(*count) * smallest / f64::from(*weight)).collect();
        let spread = rounds.iter().fold(0.0_f64, |a, b| a.max(*b))
            - rounds.iter().fold(f64::MAX, |a, b| a.min(*b));
        prop_assert!(spread <= 2.0, "{served:?} for {weights:?}");
        prop_assert_eq!(queue.len(), 200 * weights.len() - served.iter().sum::<u32>() as usize);
    }
}
