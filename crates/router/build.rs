//! Records the commit that the crate is built from.

use std::path::Path;
use std::process::Command;

/// Sources of this crate and of the workspace's crates that it depends on.
const SOURCES: [&str; 8] = [
    "build.rs",
    "src",
    "../client-connections/src",
    "../leaf-stream/src",
    "../medlarpin-core/src",
    "../settings/src",
    "../wire/src",
    "../../platform/src",
];

fn main() {
    for path in SOURCES {
        println!("cargo::rerun-if-changed={path}");
    }
    // Changes with each commit and checkout. A path that does not exist would run this script at each build.
    if let Some(log) = git(&["rev-parse", "--git-path", "logs/HEAD"])
        && Path::new(&log).exists()
    {
        println!("cargo::rerun-if-changed={log}");
    }
    println!("cargo::rustc-env=MEDLARPIN_COMMIT={}", commit());
}

/// Returns the commit, marked if tracked sources differ from it; "unknown" without a repository.
fn commit() -> String {
    let Some(commit) = git(&["rev-parse", "--short=12", "HEAD"]) else {
        return "unknown".to_owned();
    };
    let changes = git(&[
        "status",
        "--porcelain",
        "--untracked-files=no",
        "--",
        "../../crates",
        "../../platform",
    ]);
    match changes {
        Some(changes) if changes.is_empty() => commit,
        Some(_) | None => format!("{commit}-modified"),
    }
}

/// Returns what a git command prints; `None` if it fails.
fn git(arguments: &[&str]) -> Option<String> {
    let mut command = Command::new("git");
    let output = command
        .arg("--no-optional-locks")
        .args(arguments)
        .output()
        .ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    output.status.success().then(|| text.trim().to_owned())
}
