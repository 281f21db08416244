//! Tests of the merge of shard answers.

use std::collections::{BTreeMap, BTreeSet};

use medlarpin_core::coverage::{Attempt, Merge, MergeError};
use medlarpin_core::prelude::*;
use proptest::prelude::*;

const REQUEST: RequestId = RequestId(5);
const VERSION: IndexVersion = IndexVersion(9);

fn covered(row: &str) -> ShardOutcome {
    ShardOutcome::Covered {
        rows: vec![row.to_owned(), "2".to_owned()],
    }
}

fn uncovered(reason: UncoveredReason, may_have_run: bool) -> ShardOutcome {
    ShardOutcome::Uncovered {
        reason,
        may_have_run,
    }
}

fn merge(shards: &[u32]) -> Merge {
    let shards: Vec<_> = shards.iter().copied().map(ShardId).collect();
    Merge::new(REQUEST, VERSION, &shards)
}

fn name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Complete => "complete",
        Outcome::Partial => "partial",
        Outcome::NotRun { reason, .. } => reason.as_str(),
        Outcome::Unknown { reason } => reason.as_str(),
    }
}

/// Guards against a query outcome that does not match the answers of its shards 1 and 2.
#[test]
fn derives_the_outcome_from_the_shards() {
    use UncoveredReason::{LeafLost, LeafRefused, Quarantined, VersionGone};
    let check = |answers: &[(u32, ShardOutcome)], expected: &str| {
        let mut merge = merge(&[2, 1, 2]);
        for (shard, answer) in answers {
            merge
                .accept(ShardId(*shard), VERSION, REQUEST, answer.clone())
                .expect("it is accepted");
        }
        assert_eq!(name(merge.outcome()), expected, "{answers:?}");
    };
    let refused = uncovered(LeafRefused, false);
    check(&[], "no_answer");
    check(&[(1, refused.clone())], "no_answer");
    check(&[(1, refused.clone()), (2, refused.clone())], "overloaded");
    check(
        &[(1, refused.clone()), (2, uncovered(LeafLost, true))],
        "no_answer",
    );
    check(
        &[
            (1, uncovered(LeafLost, true)),
            (1, refused.clone()),
            (2, refused.clone()),
        ],
        "no_answer",
    );
    check(
        &[(1, uncovered(Quarantined, true)), (2, refused.clone())],
        "quarantined",
    );
    check(
        &[(1, uncovered(Quarantined, false)), (2, refused.clone())],
        "quarantined",
    );
    check(
        &[
            (1, uncovered(VersionGone, false)),
            (2, uncovered(VersionGone, false)),
        ],
        "no_version",
    );
    check(&[(1, covered("a")), (2, refused.clone())], "partial");
    check(
        &[(1, refused), (2, covered("b")), (1, covered("a"))],
        "complete",
    );
    assert_eq!(name(merge(&[]).outcome()), "no_replica");
}

/// Guards against merging answers of another query or index version, and duplicates.
#[test]
fn rejects_answers_of_other_requests_and_versions() {
    let mut merge = merge(&[1, 2]);
    let mut accept =
        |shard, version, request| merge.accept(ShardId(shard), version, request, covered("a"));
    assert_eq!(
        accept(1, VERSION, RequestId(6)),
        Err(MergeError::ForeignRequest(RequestId(6)))
    );
    assert_eq!(
        accept(1, IndexVersion(8), REQUEST),
        Err(MergeError::OtherVersion(IndexVersion(8)))
    );
    assert_eq!(
        accept(3, VERSION, REQUEST),
        Err(MergeError::ShardNotAsked(ShardId(3)))
    );
    assert_eq!(accept(2, VERSION, REQUEST), Ok(()));
    assert_eq!(
        accept(2, VERSION, REQUEST),
        Err(MergeError::AlreadyCovered(ShardId(2)))
    );
    assert_eq!(merge.begin_attempt(ShardId(2)), None);
    let other = merge.accept_attempt(ShardId(1), Attempt(1), VERSION, REQUEST, covered("a"));
    assert_eq!(other, Err(MergeError::NoSuchAttempt(Attempt(1))));
    assert_eq!(merge.covered(), [ShardId(2)]);
    assert_eq!(
        merge.rows().collect::<Vec<_>>(),
        [(ShardId(2), "a"), (ShardId(2), "2")]
    );
}

/// Guards against `not_run` while another attempt may be running, or after a restart if the query
/// may have run at the previous version.
#[test]
fn not_run_requires_all_attempts_and_versions_not_run() {
    let refused = || uncovered(UncoveredReason::LeafRefused, false);
    let mut merge = merge(&[1]);
    let second = merge.begin_attempt(ShardId(1)).expect("there is room");
    for _ in 0..2 {
        merge
            .accept(ShardId(1), VERSION, REQUEST, refused())
            .expect("it is accepted");
        assert_eq!(name(merge.outcome()), "no_answer");
    }
    merge
        .accept_attempt(ShardId(1), second, VERSION, REQUEST, refused())
        .expect("it is accepted");
    assert_eq!(name(merge.outcome()), "overloaded");
    let next = IndexVersion(10);
    let mut not_run = merge.clone().restart(next, &[ShardId(1)]);
    not_run
        .accept(ShardId(1), next, REQUEST, refused())
        .expect("it is accepted");
    assert_eq!(name(not_run.outcome()), "overloaded");
    assert!(merge.begin_attempt(ShardId(1)).is_some());
    let mut ran = merge.restart(next, &[ShardId(1)]);
    ran.accept(ShardId(1), next, REQUEST, refused())
        .expect("it is accepted");
    assert_eq!(name(ran.outcome()), "no_answer");
}

#[derive(Debug, Clone)]
struct Reply {
    shard: u32,
    version: u64,
    request: u128,
    outcome: ShardOutcome,
}

fn replies() -> impl Strategy<Value = Vec<Reply>> {
    let outcome = prop_oneof![
        "[a-c]".prop_map(|row| covered(&row)),
        any::<bool>()
            .prop_map(|may_have_run| uncovered(UncoveredReason::LeafRefused, may_have_run)),
    ];
    let reply =
        (0u32..5, 8u64..10, 4u128..6, outcome).prop_map(|(shard, version, request, outcome)| {
            Reply {
                shard,
                version,
                request,
                outcome,
            }
        });
    prop::collection::vec(reply, 0..40)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(3), cases: 1_000, ..ProptestConfig::default() })]

    /// Guards against wrong coverage, rows of other queries and a wrong `not_run`. Replies come in
    /// any order and number, including replies of other requests, versions and shards.
    #[test]
    fn coverage_matches_accepted_replies(asked in prop::collection::btree_set(0u32..4, 1..4), replies in replies()) {
        let mut merge = merge(&asked.iter().copied().collect::<Vec<_>>());
        let mut first_covered = BTreeMap::new();
        let (mut ran, mut answered) = (false, BTreeSet::new());
        for Reply { shard, version, request, outcome } in replies {
            let matches_query = version == VERSION.0 && request == REQUEST.0 && asked.contains(&shard);
            let expected = matches_query && !first_covered.contains_key(&shard);
            let result = merge.accept(ShardId(shard), IndexVersion(version), RequestId(request), outcome.clone());
            prop_assert_eq!(result.is_ok(), expected);
            if !expected { continue; }
            answered.insert(shard);
            ran |= !outcome.did_not_run();
            if let ShardOutcome::Covered { rows } = outcome { first_covered.insert(shard, rows); }
        }
        let covered: Vec<_> = first_covered.keys().copied().map(ShardId).collect();
        prop_assert_eq!(merge.covered(), covered);
        let missing: Vec<_> = asked.iter().filter(|shard| !first_covered.contains_key(shard)).copied().map(ShardId).collect();
        prop_assert_eq!(merge.uncovered().iter().map(|shard| shard.shard).collect::<Vec<_>>(), missing);
        let rows: Vec<_> = first_covered.iter().flat_map(|(shard, rows)| rows.iter().map(|row| (ShardId(*shard), row.as_str()))).collect();
        prop_assert_eq!(merge.rows().collect::<Vec<_>>(), rows.clone());
        let owned: Vec<_> = merge.clone().into_rows().collect();
        let owned: Vec<_> = owned.iter().map(|(shard, row)| (*shard, row.as_str())).collect();
        prop_assert_eq!(owned, rows);
        let ran = ran || answered != asked;
        let matches = match merge.outcome() {
            Outcome::Complete => first_covered.len() == asked.len(),
            Outcome::Partial => !first_covered.is_empty() && first_covered.len() < asked.len(),
            Outcome::NotRun { .. } => first_covered.is_empty() && !ran,
            Outcome::Unknown { .. } => first_covered.is_empty() && ran,
        };
        prop_assert!(matches);
    }
}
