//! Whether the program is built from the sources as they are, and names them.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, SystemTime};

const REPOSITORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
/// Age of the changed source file: older than any build of the test.
const AGE: Duration = Duration::from_hours(24);

fn stdout_of(command: &mut Command) -> String {
    let output = command.output().expect("the program starts");
    assert!(output.status.success(), "{command:?}: {output:?}");
    String::from_utf8(output.stdout).expect("text")
}

/// Guards against a program whose commit cannot be told, so that a record of a failure may be of another build.
#[test]
fn the_version_names_the_commit() {
    let version = stdout_of(Command::new(env!("CARGO_BIN_EXE_medlarpind")).arg("--version"));
    let git = Command::new("git")
        .args(["rev-parse", "--short=12", "HEAD"])
        .current_dir(REPOSITORY)
        .output();
    let commit = match git {
        Ok(output) if output.status.success() => String::from_utf8(output.stdout).expect("text"),
        _ => "unknown".to_owned(),
    };
    let package = env!("CARGO_PKG_VERSION");
    let expected = format!("{package} ({}", commit.trim());
    assert!(version.contains(&expected), "{version}, not {expected}");
    assert!(version.contains(router::BUILD), "{version}");
}

/// A workspace with the deploy files of this one and a daemon that prints a text; it is removed when it is dropped.
struct Workspace(PathBuf);

impl Workspace {
    fn new() -> Self {
        let root = std::env::temp_dir().join(format!("deploy-build-{}", std::process::id()));
        let source = root.join("crates/daemon/src");
        for folder in [
            &source,
            &root.join("deploy"),
            &root.join("platform"),
            &root.join(".cargo"),
        ] {
            fs::create_dir_all(folder).expect("a folder");
        }
        for entry in fs::read_dir(Path::new(REPOSITORY).join("deploy")).expect("a folder") {
            let path = entry.expect("an entry").path();
            if path.is_file() {
                let name = path.file_name().expect("a name");
                fs::copy(&path, root.join("deploy").join(name)).expect("a copy");
            }
        }
        let write = |path: &str, text: &str| fs::write(root.join(path), text).expect("a file");
        write(
            "Cargo.toml",
            "[workspace]\nmembers = [\"crates/*\"]\nresolver = \"3\"\n",
        );
        write(
            "crates/daemon/Cargo.toml",
            "[package]\nname = \"daemon\"\nedition = \"2024\"\n\
             [[bin]]\nname = \"medlarpind\"\npath = \"src/main.rs\"\n",
        );
        write(
            "Cargo.lock",
            "version = 4\n\n[[package]]\nname = \"daemon\"\nversion = \"0.0.0\"\n",
        );
        Self(root)
    }

    /// Lets the daemon print a text. The file is as old as one that another tool has unpacked.
    fn write_daemon(&self, text: &str) {
        let path = self.0.join("crates/daemon/src/main.rs");
        fs::write(&path, format!("fn main() {{ println!(\"{text}\"); }}\n")).expect("a file");
        let file = File::options().write(true).open(&path).expect("a file");
        file.set_modified(SystemTime::now() - AGE).expect("a time");
    }

    /// Builds with the command of the deploy file; returns what the daemon prints.
    fn build_and_run(&self) -> String {
        let deploy = fs::read_to_string(self.0.join("deploy/system.toml")).expect("a file");
        let build = deploy
            .lines()
            .find_map(|line| line.strip_prefix("build = "));
        let build = build.expect("a command").trim_matches('"');
        stdout_of(
            Command::new("sh")
                .args(["-c", build])
                .env_remove("CARGO_TARGET_DIR")
                .current_dir(&self.0),
        );
        stdout_of(&mut Command::new(self.0.join("target/release/medlarpind")))
    }
}

impl Drop for Workspace {
    fn drop(&mut self) {
        // A folder that stays behind does no harm.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Guards against a daemon of another commit that stays in a build folder which outlives the sources: what was
/// mended there fails again.
#[test]
fn a_build_folder_of_older_sources_is_not_taken_for_fresh() {
    let workspace = Workspace::new();
    for text in ["first", "first", "second", "first"] {
        workspace.write_daemon(text);
        assert_eq!(workspace.build_and_run().trim(), text);
    }
}
