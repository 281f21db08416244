//! Each log line has the prefix of its part, and a part's level applies to exactly that part's
//! lines.

mod fleet;

use serde_json::{Value, json};

use crate::fleet::Fleet;
use crate::fleet::config::{FleetConfig, TEAM, query, ticketed};
use crate::fleet::process::Signal;

const PARTS: [&str; 6] = ["entry", "gather", "leaf", "gossip", "config", "shutdown"];

/// Runs queries until one is refused, stops the daemon gracefully and returns its log.
async fn run_and_read_log(logs: Value) -> String {
    let mut config = FleetConfig::new();
    config.daemons = 1;
    config.team().rate_limit_per_s = 20;
    config.set("logs", logs);
    let fleet = Fleet::start(config).await;
    let ticket = fleet.ticket(0, TEAM).await;
    fleet.query(0, &ticketed("once", &ticket, 5000)).await;
    while fleet.query(0, &query("q", 5000)).await.outcome() != "not_run" {}
    fleet.signal(0, Signal::Term);
    fleet.wait_exit(0).await;
    fleet.log(0)
}

/// Returns the level, the part and the message of a line.
fn parse_line(line: &str) -> (&str, &str, &str) {
    let mut words = line.splitn(4, ' ');
    let (_time, level, part) = (words.next(), words.next(), words.next());
    let part = part.and_then(|part| part.strip_suffix(':'));
    (
        level.unwrap_or_default(),
        part.unwrap_or_default(),
        words.next().unwrap_or_default(),
    )
}

async fn check_parts(logs: Value, parts: &[&str]) {
    let log = run_and_read_log(logs).await;
    let mut found: Vec<&str> = log.lines().map(|line| parse_line(line).1).collect();
    found.sort_unstable();
    found.dedup();
    assert_eq!(found, parts, "{log}");
}

/// Guards against a part's level that drops lines of its part or lets through those of another.
#[tokio::test(flavor = "multi_thread")]
async fn a_level_applies_to_its_part_only() {
    check_parts(json!({ "level": "off" }), &[]).await;
    let parts = json!({ "config": "debug", "shutdown": "info" });
    check_parts(
        json!({ "level": "off", "parts": parts }),
        &["config", "shutdown"],
    )
    .await;
    let parts = json!({ "gossip": "off" });
    check_parts(json!({ "parts": parts }), &["config", "entry", "shutdown"]).await;
}

/// Guards against lines without a part's prefix, refusals logged without their request id, and
/// lines about single leaf requests at level info or above.
#[tokio::test(flavor = "multi_thread")]
async fn lines_are_sentences_with_a_part_prefix() {
    let log = run_and_read_log(json!({ "level": "debug" })).await;
    for line in log.lines() {
        let (level, part, message) = parse_line(line);
        assert!(PARTS.contains(&part), "{line}");
        assert!(message.ends_with('.'), "{line}");
        assert!(level == "DEBUG" || part != "leaf", "{line}");
    }
    let refused = log.lines().map(|line| parse_line(line).2);
    let refused = refused.filter(|message| message.ends_with("ended not_run: rate_limit."));
    let id = |message: &str| message.split(' ').nth(1).map_or(0, str::len);
    assert!(refused.map(id).any(|length| length == 32), "{log}");
}
