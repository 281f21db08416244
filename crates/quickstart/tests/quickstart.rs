//! Runs the quick start as on a fresh checkout: it must succeed and exit within the time limit.

use std::time::Duration;

use tokio::process::Command;

/// Far above the few seconds that a run takes, so that a busy machine does not fail the test.
const RUN_TIMEOUT: Duration = Duration::from_secs(90);

#[tokio::test]
async fn quickstart_succeeds_and_prints_every_outcome() {
    let run = Command::new(env!("CARGO_BIN_EXE_quickstart"))
        .kill_on_drop(true)
        .output();
    let output = tokio::time::timeout(RUN_TIMEOUT, run)
        .await
        .unwrap()
        .unwrap();
    let stdout = String::from_utf8(output.stdout).unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.success(), "{stdout}{stderr}");
    for outcome in [
        "complete",
        "partial",
        "not_run",
        "invalid",
        "refused\n  timeoutMs: invalid type",
    ] {
        assert!(stdout.contains(outcome), "{outcome} is missing: {stdout}");
    }
}
