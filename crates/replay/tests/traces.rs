//! Replays the committed traces against the production code.

use std::path::PathBuf;

use replay::prelude::*;
use serde_json::{Value, json};

/// A trace for each failure in section 1.3 of the design page; one combines two failures, and one
/// repeats the same failure.
const TRACES: [&str; 9] = [
    "straggler",
    "replica-lost",
    "repartition",
    "platform-stale",
    "pause-twice",
    "split-fleet",
    "killer-request",
    "misleading-health",
    "repartition-while-replica-lost",
];

fn directory() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../traces")
}

fn trace(name: &str) -> Trace {
    let text = std::fs::read_to_string(directory().join(format!("{name}.jsonc"))).unwrap();
    Trace::parse(&text).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// Guards against unintended changes to the handling of a failure in section 1.3 of the design
/// page.
#[test]
fn production_code_reproduces_the_traces() {
    let failures = TRACES.iter().filter_map(|name| {
        let error = replay(&trace(name)).err()?;
        Some(format!("{name}: {error}"))
    });
    let failures: Vec<String> = failures.collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
    let files = std::fs::read_dir(directory()).unwrap().count();
    assert_eq!(
        files,
        TRACES.len(),
        "the list of traces does not match the directory"
    );
}

/// Changes the first scalar value of an outcome.
fn alter(value: &mut Value) {
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            fields.values_mut().next().into_iter().for_each(alter);
        }
        Value::Bool(flag) => *flag = !*flag,
        Value::String(text) => text.push('?'),
        Value::Number(number) => *value = json!(number.as_u64().unwrap() + 1),
        _ => *value = json!("altered"),
    }
}

/// Guards against a replay that does not compare an expected outcome.
#[test]
fn each_wrong_outcome_fails_the_replay() {
    for name in TRACES {
        let trace = trace(name);
        for index in 0..trace.events.len() {
            let mut wrong = trace.clone();
            alter(&mut wrong.events[index].expect);
            let error = replay(&wrong).unwrap_err();
            let line = trace.events[index].line;
            assert!(
                matches!(&error, ReplayError::Mismatch { line: found, .. } if *found == line),
                "{name}, line {line}: {error}"
            );
        }
    }
}

fn check_error(text: &str, expected: &str) {
    let found = Trace::parse(text).map_err(|error| error.to_string());
    let found = found.and_then(|trace| replay(&trace).map_err(|error| error.to_string()));
    assert_eq!(found.unwrap_err(), expected);
}

/// Guards against errors that do not name the line of the wrong event.
#[test]
fn errors_name_the_line() {
    let event = |on: &str, event: &str, at_ms: i32| {
        format!(
            "{{\"about\": \"\", \"seed\": 0, \"events\": [\n\
             {{\"at_ms\": 5, \"on\": \"pause a\", \"do\": \"new\", \"expect\": \"running\"}},\n\
             {{\"at_ms\": {at_ms}, \"on\": \"{on}\", \"do\": {event}, \"expect\": 0}}]}}"
        )
    };
    check_error(
        "{\n\"about\" 1}",
        "line 2: not valid JSON with comments: Expected colon after the string or word in object property",
    );
    check_error(
        &event("nothing a", "\"new\"", 9),
        "line 3: unknown kind of subject in \"nothing a\"",
    );
    check_error(
        &event("pause b", "\"tick\"", 9),
        "line 3: pause b: no earlier event creates the subject or pins its index version",
    );
    check_error(
        &event("pause a", "\"tick\"", 4),
        "line 3: the event is earlier than the one before it",
    );
    check_error(
        &event("pause a", "\"tick\"", 9),
        "line 3: pause a: expected 0, found \"running\"",
    );
    check_error(
        &event("pause a", "\"tock\"", 9),
        "line 3: invalid trace: unknown variant `tock`, expected one of `new`, `tick`, `check`, `rejoined`",
    );
}
