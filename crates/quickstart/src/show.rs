//! Output of the quick start.

use crate::client::Reply;
use crate::fleet::{EXPORTS_TEAM, Fleet, ORDERS_TEAM, SERVICE, SHARDS, vm_name};

/// Prints the addresses of the daemons.
pub(crate) fn fleet(fleet: &Fleet) {
    let leafs = fleet.deployment().leafs().count();
    println!("{leafs} stand-in leafs serve {SHARDS} shards of {SERVICE}, two replicas each.");
    for (position, daemon) in fleet.daemons().iter().enumerate() {
        println!(
            "{}: callers http://{}  operators http://{}",
            vm_name(position),
            daemon.query_address(),
            daemon.operator_address()
        );
    }
    println!();
    println!(
        "{:<44} {:<5} {:<9} {:<6} {:<7} {:<8} {:>6}",
        "query", "vm", "outcome", "status", "version", "coverage", "time"
    );
}

/// Prints the answer of a step on one line.
pub(crate) fn answer(step: &str, daemon: usize, reply: &Reply) {
    let body = &reply.body;
    let outcome = match reply.text("outcome") {
        "" => "invalid",
        outcome => outcome,
    };
    let version = body["index_version"]
        .as_u64()
        .map_or_else(|| "-".to_owned(), |version| version.to_string());
    let covered = reply.list_len("covered");
    let asked = covered + reply.list_len("uncovered");
    let coverage = if asked == 0 {
        "-".to_owned()
    } else {
        format!("{covered}/{asked}")
    };
    let time = body["elapsed_ms"]
        .as_u64()
        .map_or_else(|| "-".to_owned(), |ms| format!("{ms} ms"));
    println!(
        "{step:<44} {:<5} {outcome:<9} {:<6} {version:<7} {coverage:<8} {time:>6}",
        vm_name(daemon),
        reply.status
    );
}

/// Prints an indented note below the last answer.
pub(crate) fn note(text: &str) {
    println!("  {text}");
}

/// Prints why a configuration was refused.
pub(crate) fn refused_configuration(step: &str, errors: &[String]) {
    println!("{step:<44} -     refused");
    for error in errors {
        note(error);
    }
}

/// Prints commands to try while the fleet is running.
pub(crate) fn commands(fleet: &Fleet) {
    let (Some(daemon), Some(last)) = (fleet.daemons().first(), fleet.daemons().last()) else {
        return;
    };
    // The last daemon refused the query above the rate limit, so its state has the reason.
    let last_operator = last.operator_address();
    let (query, operator) = (daemon.query_address(), daemon.operator_address());
    let body = format!(r#"{{"team": "{ORDERS_TEAM}", "service": "{SERVICE}", "query": "kelp"}}"#);
    let tool = "cargo run -q --release --bin medlarpin --";
    println!(
        "
The fleet keeps running. Try in another terminal:
  curl -si http://{query}/v1/query -H 'content-type: application/json' -d '{body}'
  curl -s http://{operator}/metrics
  curl -s http://{operator}/state
  {tool} status --operator {operator}
  {tool} teams --operator {operator}
  {tool} team {EXPORTS_TEAM} --operator {last_operator}
  {tool} query --at {query} --team {ORDERS_TEAM} --service {SERVICE} kelp
  {tool} query --at {query} --team {ORDERS_TEAM} --service {SERVICE} --once 'invoice 4711'
  {tool} explain {SERVICE}/0 --operator {operator}
  {tool} explain REQUEST --operator {operator}   (REQUEST: the request_id of an answer from {query})
Press Ctrl-C to stop."
    );
}
