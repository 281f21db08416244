//! Guards against a quick start that fails or doesn't end on a fresh checkout.

use std::time::Duration;

use tokio::process::Command;

/// Far above the few seconds that a run takes, so that a busy machine does not decide the verdict.
const RUN_LIMIT: Duration = Duration::from_secs(90);

#[tokio::test]
async fn every_outcome_is_as_expected() {
    let run = Command::new(env!("CARGO_BIN_EXE_quickstart"))
        .kill_on_drop(true)
        .output();
    let output = tokio::time::timeout(RUN_LIMIT, run).await.unwrap().unwrap();
    let stdout = String::from_utf8(output.stdout).unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.success(), "{stdout}{stderr}");
    for outcome in ["complete", "partial", "not_run", "invalid"] {
        assert!(stdout.contains(outcome), "{outcome} is missing: {stdout}");
    }
}
