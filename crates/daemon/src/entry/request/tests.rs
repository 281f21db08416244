//! Property tests of request parsing: no body may cause a panic, and no field outside its range may
//! be accepted.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

fn team() -> TeamSettings {
    TeamSettings {
        name: "orders".into(),
        weight: 1,
        rate_limit_per_s: 1,
        concurrency_limit: 1,
        deadline_default_ms: 300,
        deadline_cap_ms: 2_000,
        coverage_target: CoverageTarget::All,
        retries_allowed: true,
    }
}

/// Parses and checks a body; an accepted query keeps within all limits.
fn check(body: &[u8]) -> Result<Query, RequestError> {
    let _ = parse_body::<TicketBody>(body);
    let body: QueryBody = parse_body(body)?;
    let (now, request) = (Instant::now(), RequestId(1));
    let checked = check_query(body.clone(), &team(), request, now);
    let checked = checked.inspect_err(|error| assert!(error.status().is_client_error()));
    let (query, ticket) = checked?;
    assert!((1..=QUERY_LIMIT_BYTES).contains(&query.text.len()));
    let time_left = query.deadline - now;
    assert!(time_left > Duration::ZERO && time_left <= Duration::from_secs(2));
    assert!(query.shards.is_sorted_by(|a, b| a < b));
    assert_eq!(query.idempotent, ticket.is_none());
    assert!(ticket.is_some() || body.idempotent != Some(false));
    Ok(query)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_254),
        failure_persistence: None,
        cases: 2_000,
        ..ProptestConfig::default()
    })]

    /// Guards against a panic on bytes that are not JSON.
    #[test]
    fn arbitrary_bytes_are_malformed(body in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(matches!(check(&body), Err(RequestError::Malformed(_))));
    }

    /// Guards against accepting a field outside its range and refusing one inside it.
    #[test]
    fn fields_outside_their_ranges_are_refused(
        text_length in prop_oneof![0_usize..3, QUERY_LIMIT_BYTES - 1..QUERY_LIMIT_BYTES + 2],
        deadline_ms in prop::option::of(prop_oneof![0_u64..3, 1_999_u64..2_002, any::<u64>()]),
        shards in prop::option::of(prop::collection::vec(any::<u32>(), 0..5)),
        idempotent in any::<Option<bool>>(),
        ticket in prop::option::of(".{0,50}"),
    ) {
        let text = "q".repeat(text_length);
        let body = serde_json::json!({
            "team": "orders", "service": "order-desk", "query": text, "shards": shards,
            "deadline_ms": deadline_ms, "idempotent": idempotent, "ticket": ticket,
        });
        let is_valid = (1..=QUERY_LIMIT_BYTES).contains(&text_length)
            && deadline_ms.is_none_or(|ms| (1..=2_000).contains(&ms))
            && shards.is_none_or(|shards| !shards.is_empty())
            && (idempotent != Some(false) || ticket.is_some());
        prop_assert_eq!(check(body.to_string().as_bytes()).is_ok(), is_valid);
    }

    /// Guards against a panic on corrupted JSON, and against numbers that wrap around or are
    /// rounded.
    #[test]
    fn corrupted_bodies_do_not_panic(
        at in any::<prop::sample::Index>(),
        insert in "[\\[\\]{}\",:0-9a-z.+-]{0,6}",
        number in "-?[0-9]{1,400}(\\.[0-9]{1,3})?(e[0-9]{1,5})?",
    ) {
        let body = r#"{"team": "a", "service": "b", "query": "c", "shards": [1, 2], "deadline_ms": 5}"#;
        let at = at.index(body.len());
        let _ = check(format!("{}{insert}{}", &body[..at], &body[at..]).as_bytes());
        let swapped = body.replace("[1, 2]", &format!("[{number}]"));
        if let Ok(query) = check(swapped.as_bytes()) {
            prop_assert_eq!(query.shards[0].0.to_string(), number);
        }
    }
}
