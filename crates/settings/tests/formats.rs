//! Guards against invalid texts that are accepted, valid ones that are rejected, and panics.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use settings::prelude::*;

const DAEMON: &str = r#"{"vm": "vm-01", "failure_domain": "warmia-1", "region": "warmia",
    "query_address": "192.0.2.7:8080", "rpc_address": "192.0.2.7:8081",
    "operator_address": "127.0.0.1:8082", "platform_addresses": ["192.0.2.1:7000"]}"#;

/// Path and minimal text of each subtree format.
const SUBTREES: [(&str, &str, Format); 3] = [
    (
        "teams/inspectors",
        r#"{"rate_limit_per_s": 200, "concurrency_limit": 50}"#,
        Format::Team,
    ),
    (
        "services/hodowcy",
        r#"{"leafs": [{"id": "hodowcy-1", "address": "192.0.2.7:9000", "failure_domain": "warmia-1",
            "slots": 2, "connection_limit": 60}]}"#,
        Format::Service,
    ),
    (
        "indexes/hodowcy/7",
        r#"{"shards": [{"shard": 0, "leafs": ["hodowcy-1"]}]}"#,
        Format::Index,
    ),
];

/// Guards against printed defaults that differ from the values used for absent keys.
#[test]
fn printed_defaults_match_absent_keys() {
    let printed = parse_daemon(Format::Daemon.defaults(), "defaults").unwrap();
    assert_eq!(printed, parse_daemon(DAEMON, "minimal").unwrap());
    for (path, text, format) in SUBTREES {
        let printed = parse_subtree(path, format.defaults()).unwrap();
        assert_eq!(printed, parse_subtree(path, text).unwrap(), "{path}");
    }
}

/// Guards against printed router settings that are rejected, and against numbers out of range and
/// missing keys that are accepted.
#[test]
fn router_settings_are_validated() {
    let defaults = Format::Router.defaults();
    let parsed = parse_router(defaults, "defaults").unwrap();
    assert_eq!(parsed.log_lines_per_s, 100);
    let check = |from: &str, to: &str, expected: Option<&str>| {
        let text = defaults.replace(from, to);
        assert_ne!(text, defaults, "{from}");
        let error = parse_router(&text, "router").err();
        let message = error.map(|error| error.to_string());
        assert_eq!(message.as_deref(), expected);
    };
    check("\"drain_s\": 3", "\"drain_s\": 3000e-3", None);
    assert_eq!((parsed.warm_up_overage, parsed.warm_up_slack), (None, None));
    let slack = "\"repeat_slack\": 129,";
    let bounded = format!("{slack} \"warmup_overage\": 1.5, \"warmup_slack\": 5,");
    check(slack, &bounded, None);
    let bounded = parse_router(&defaults.replace(slack, &bounded), "router").unwrap();
    assert_eq!(
        (bounded.warm_up_overage, bounded.warm_up_slack),
        (Some(1.5), Some(5.0))
    );
    check(
        slack,
        "\"repeat_slack\": 129, \"warmup_slack\": -1,",
        Some(
            "router:27:40: $.warmup_slack: -1 is out of range; hint: write a number from 0 to \
             1000000",
        ),
    );
    check(
        "\"drain_s\": 3",
        "\"drain_s\": -1",
        Some(
            "router:20:14: $.drain_s: -1 is out of range; hint: write a number from 0 to 3600 \
             (seconds)",
        ),
    );
    check(
        "\"repeat_ratio\": 0.2,",
        "",
        Some(
            "router:3:1: $: required key `repeat_ratio` is missing; hint: add \"repeat_ratio\": 0.2",
        ),
    );
}

fn check_rejected(path: &str, text: &str, expected: &str) {
    let error = match path {
        "daemon.jsonc" => parse_daemon(text, path).unwrap_err(),
        _ => parse_subtree(path, text).unwrap_err(),
    };
    assert_eq!(error.to_string(), expected);
}

/// Guards against errors without the location of the mistake or a hint how to correct it.
#[test]
fn errors_give_location_and_hint() {
    for (path, text, expected) in [
        (
            "teams/a",
            "{\n  \"wieght\": 1}",
            "teams/a:2:3: $.wieght: unknown key `wieght`; hint: did you mean `weight`?",
        ),
        (
            "teams/a",
            "{\"weight\": 1,\n\"weight\": 2}",
            "teams/a:2:1: $.weight: duplicate key `weight`; hint: keep one of the two",
        ),
        (
            "teams/a",
            "{\"weight\": 0}",
            "teams/a:1:12: $.weight: 0 is out of range; hint: write a whole number from 1 to 1000",
        ),
        (
            "teams/a",
            "{\"deadline_default_ms\": \"2s\"}",
            "teams/a:1:25: $.deadline_default_ms: found a string instead of a number; hint: write a whole number from 1 to 600000 (milliseconds), without quotes or unit",
        ),
        (
            "teams/a",
            "{\"rate_limit_per_s\": 1, \"concurrency_limit\": 1,\n\"coverage_wanted\": {\"least_share\": 1.0}}",
            "teams/a:2:36: $.coverage_wanted.least_share: 1.0 is out of range; hint: write a share above 0 and below 1, for example 0.99",
        ),
        (
            "teams/a",
            "{\"weight\": 1",
            "teams/a:1:1: $: not valid JSON with comments: Unterminated object; hint: check the quotes, commas and brackets here and on the line before",
        ),
        (
            "teams/a",
            "// only a comment",
            "teams/a:1:1: $: not valid JSON with comments: the text is empty; hint: write an object: { ... }",
        ),
        (
            "teams/a",
            "{}",
            "teams/a:1:1: $: required key `rate_limit_per_s` is missing; hint: add \"rate_limit_per_s\": 200",
        ),
        (
            "indexes/a/07",
            "{}",
            "indexes/a/07:1:1: $: not a path of the settings tree; hint: a version is a decimal number without leading zeros",
        ),
        (
            "indexes/a/7",
            "{\"shards\": []}",
            "indexes/a/7:1:12: $.shards: the list is empty; hint: give at least one entry",
        ),
        (
            "daemon.jsonc",
            "{\"probe_interval_ms\": 5}",
            "daemon.jsonc:1:23: $.probe_interval_ms: 5 is out of range; hint: write a whole number from 10 to 60000 (milliseconds)",
        ),
    ] {
        check_rejected(path, text, expected);
    }
    let large = " ".repeat(settings::MAX_TEXT_BYTES + 1);
    check_rejected(
        "teams/a",
        &large,
        "teams/a:1:1: $: the text is too large, 1048577 bytes; hint: a text has at most 1048576 bytes; remove comments or entries",
    );
}

/// Guards against a shard map that names a leaf or service which is not in the settings tree.
#[test]
fn dangling_references_are_found() {
    let [team, service, index] = SUBTREES.map(|(path, text, _)| (path, text.to_owned()));
    assert_eq!(
        check_tree(&[team.clone(), service.clone(), index.clone()]),
        []
    );
    let other_leaf = (index.0, index.1.replace("hodowcy-1", "hodowcy-2"));
    let [error] = check_tree(&[service, other_leaf]).try_into().unwrap();
    assert_eq!(
        error.to_string(),
        "indexes/hodowcy/7:1:36: $.shards[0].leafs[0]: leaf `hodowcy-2` is not in service `hodowcy`; hint: did you mean `hodowcy-1`?"
    );
    let [error] = check_tree(&[team, index]).try_into().unwrap();
    assert_eq!(
        error.to_string(),
        "indexes/hodowcy/7:1:1: $: service `hodowcy` is not in the tree; hint: add services/hodowcy"
    );
}

fn parse_all(text: &str) {
    let _ = parse_daemon(text, "any");
    for (path, _, _) in SUBTREES {
        let _ = parse_subtree(path, text);
    }
    let _ = SubtreePath::parse(text);
    let _ = check_tree(&[
        ("services/hodowcy", SUBTREES[1].1),
        ("indexes/hodowcy/7", text),
        (text, text),
    ]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_251),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a panic on arbitrary text, mostly not JSON.
    #[test]
    fn arbitrary_text_does_not_panic(text in "\\PC{0,200}") {
        parse_all(&text);
    }

    /// Guards against a panic on valid texts with a damaged part.
    #[test]
    fn damaged_text_does_not_panic(which in 0_usize..4, at in 0_usize..2_000, cut in 0_usize..40, insert in "[\\[\\]{}\",:0-9a-z\\\\/é\n-]{0,6}") {
        let text = Format::ALL[which].defaults();
        let start = text.floor_char_boundary(at.min(text.len()));
        let end = text.floor_char_boundary((start + cut).min(text.len()));
        parse_all(&format!("{}{insert}{}", &text[..start], &text[end..]));
    }
}

/// Guards against a stack overflow on deeply nested lists and objects.
#[test]
fn deep_nesting_does_not_overflow_the_stack() {
    for unit in ["[", "{\"a\":", "[{\"shards\":"] {
        parse_all(&unit.repeat(80_000));
    }
}
