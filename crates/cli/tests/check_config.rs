//! Runs `medlarpin check-config` on files, on standard input and against a fake of the store.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Output, Stdio};

use platform_stand_in::{FakeLeaf, FakeStore, StoreMode};
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::process::Command;

const RECORD: [u8; 16] = [0; 16];

fn config(version: u64, orders: &str) -> Value {
    json!({
        "version": version,
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 65_536,
            "headerTimeoutMs": 5_000, "idleTimeoutMs": 30_000,
        },
        "services": [{"name": "a"}, {"name": "b"}],
        "routes": [
            {
                "name": "search", "host": "s.example", "prefix": "/", "type": "idempotent",
                "timeoutMs": 800, "targetLatencyMs": 60, "attempts": 2, "fanout": ["a", "b"],
                "topK": 10, "minCoverage": 1,
            },
            {
                "name": "orders", "host": "o.example", "prefix": "/v1/", "type": "non_idempotent",
                "timeoutMs": 800, "service": orders,
            },
        ],
    })
}

fn write(name: &str, text: &[u8]) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

async fn run(arguments: &[&str], input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_medlarpin"))
        .arg("check-config")
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    // The tool does not read its standard input if it has found another problem before.
    let _ = stdin.write_all(input).await;
    drop(stdin);
    child.wait_with_output().await.unwrap()
}

fn text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn json_lines(output: &Output) -> Vec<Value> {
    let text = text(output);
    let lines = text.lines();
    lines
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

/// Guards against exit codes by which a script cannot tell a clean configuration, warnings and
/// errors apart, and against input that only a file can give.
#[tokio::test]
async fn exit_code_tells_clean_warnings_and_errors() {
    async fn check(arguments: &[&str], input: &Value, code: i32, expected: &str) {
        let output = run(arguments, input.to_string().as_bytes()).await;
        let text = text(&output);
        assert!(text.contains(expected), "{arguments:?}: {text}");
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {text}");
    }
    let clean = config(3, "a");
    check(&["-"], &clean, 0, "version 3: errors 0, warnings 0\n").await;
    check(&["--warnings-fail", "-"], &clean, 0, "warnings 0").await;
    let mut warned = clean.clone();
    warned["routes"][0]["topK"] = json!(0);
    let warning = "warning: route \"search\" (number 1), field topK: answers hold no records, because their maximum is 0\n";
    check(&["-"], &warned, 0, warning).await;
    check(&["--warnings-fail", "-"], &warned, 1, warning).await;
    let mut broken = warned;
    broken["routes"][1]["type"] = json!("twice");
    let error = "error: route \"orders\" (number 2), field type: unknown value \"twice\"\n";
    check(&["-"], &broken, 2, error).await;
    check(&["--warnings-fail", "-"], &broken, 2, error).await;
    let file = write("clean.json", clean.to_string().as_bytes());
    let output = run(&[file.to_str().unwrap()], b"").await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let output = run(&["no-such-file.json"], b"").await;
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let output = run(&["-", "--evacuated", "z1"], b"{}").await;
    assert_eq!(output.status.code(), Some(2), "{output:?}");
}

/// Guards against bytes that crash the tool, reach the terminal as control sequences or make the
/// report endless.
#[tokio::test]
async fn any_input_gives_a_short_readable_report() {
    async fn check(input: &[u8]) {
        for arguments in [&["-"][..], &["--json", "-"]] {
            let output = run(arguments, input).await;
            assert_eq!(output.status.code(), Some(2));
            assert!(output.stdout.len() < 1_000_000);
            let text = text(&output);
            assert!(text.lines().count() <= 1_001, "{}", text.lines().count());
            let is_control = |c: char| c.is_control() && c != '\n';
            assert!(!text.contains(is_control), "{text}");
        }
    }
    check(b"").await;
    check(&[0; 100]).await;
    check(&vec![0xff; 10_000_000]).await;
    check(&b"[".repeat(1_000_000)).await;
    let mut odd = config(3, "a");
    odd["routes"][0]["type"] = json!("\u{1b}[2J".repeat(100_000));
    odd["routes"][1]["timeoutMs"] = json!("\u{1b}[2J".repeat(100_000));
    check(odd.to_string().as_bytes()).await;
    odd["routes"] = json!(vec![json!({}); 20_000]);
    check(odd.to_string().as_bytes()).await;
}

/// Guards against names in a configuration that send control sequences to the terminal.
#[tokio::test]
async fn names_are_escaped() {
    let name = "\u{1b}[2J";
    let (mut before, mut after) = (config(2, name), config(3, "a"));
    before["services"][1]["name"] = json!(name);
    after["routes"][1]["name"] = json!(name);
    let in_force = write("in-force.json", before.to_string().as_bytes());
    for arguments in [&["-"][..], &["--json", "-"]] {
        let arguments = [&["--in-force", in_force.to_str().unwrap()], arguments].concat();
        let output = run(&arguments, after.to_string().as_bytes()).await;
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        let text = text(&output);
        assert!(text.contains("service \\u{1b}[2J") || text.contains("service \\u001b[2J"));
        assert!(!text.contains('\u{1b}'), "{text}");
    }
}

/// Guards against a check that disagrees with the store: on the version in force, on the differences
/// from it, on the leafs, or on the evacuated domains.
#[tokio::test]
async fn the_store_gives_the_version_in_force_and_the_leafs() {
    let store = FakeStore::start().unwrap();
    let address = store.address().to_string();
    let in_force = ["--json", "--in-force-from", &address, "-"];
    let next = config(3, "b").to_string();

    // Nothing is published yet.
    let output = run(&in_force, next.as_bytes()).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(json_lines(&output).len(), 1);
    assert_eq!(json_lines(&output)[0]["in_force"], Value::Null);

    store.put("op/config", &config(2, "a"));
    let output = run(&in_force, next.as_bytes()).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let [moved, example, summary] = &*json_lines(&output) else {
        panic!("{output:?}");
    };
    assert_eq!(moved["kind"], "moved");
    assert_eq!(moved["name"], "orders");
    assert_eq!(moved["message"], "service a -> service b");
    assert_eq!(example["kind"], "example");
    assert_eq!(example["host"], "o.example");
    assert_eq!(example["path"], "/v1/");
    assert_eq!(example["to"]["target"], "service b");
    assert_eq!(summary["in_force"], 2);
    assert_eq!(summary["differences"], 1);

    // Daemons would ignore the same version with another content.
    store.put("op/config", &config(3, "a"));
    let output = run(&in_force, next.as_bytes()).await;
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert_eq!(json_lines(&output)[0]["field"], "version");

    let leafs = ["a", "b"].map(|service| (service, FakeLeaf::start(service, RECORD).unwrap()));
    for (service, leaf) in &leafs {
        let mut entry = leaf.entry(service, "ready", 1);
        entry["zone"] = json!(format!("zone-{service}"));
        store.put(&format!("servers/{service}"), &entry);
    }
    store.put_text("servers/odd", "{}");
    let evacuated = [
        "--leafs-from",
        &address,
        "--evacuated",
        "op/evacuate/zone-b",
        "-",
    ];
    let output = run(&evacuated, next.as_bytes()).await;
    assert_eq!(
        text(&output),
        "warning: configuration: 1 entries of leafs cannot be read and were left out\n\
         warning: route \"search\", field fanout: every query is refused: 1 of 2 shards have a leaf, and an answer needs 2\n\
         warning: service \"b\": all leafs of the service (1) are in evacuated failure domains\n\
         version 3: errors 0, warnings 3\n"
    );
    let output = run(&evacuated[..2], b"").await;
    assert_eq!(output.status.code(), Some(2), "no file is named");

    // One that no daemon can decode must not keep the operator from replacing it.
    store.put_text("op/config", "{");
    let output = run(&in_force, next.as_bytes()).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(json_lines(&output)[0]["kind"], "warning");

    store.set_mode(StoreMode::Unavailable);
    let output = run(&in_force, next.as_bytes()).await;
    assert_eq!(output.status.code(), Some(7), "{output:?}");
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(
        message.contains(&address) && message.contains("503"),
        "{message}"
    );
}
