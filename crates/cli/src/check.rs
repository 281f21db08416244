//! The `check` command: validates settings files and reports where the errors are.

use std::path::{Path, PathBuf};

use serde_json::{Value, json};
use settings::{Format, SettingsError, check_tree, parse_daemon, parse_router, parse_subtree};

use crate::check_files::{
    FileKind, SettingsFile, find_settings_files, is_settings_tree, read_file, read_tree_file,
};
use crate::error::CliError;
use crate::exit::Exit;
use crate::report::Report;

/// A problem with a settings file.
#[derive(Debug)]
enum Finding {
    Unreadable(CliError),
    Invalid(SettingsError),
}

impl Finding {
    fn to_json(&self) -> Value {
        match self {
            Self::Unreadable(error) => json!({ "message": error.message_with_causes() }),
            Self::Invalid(error) => {
                let location = error.location();
                json!({
                    "file": location.file,
                    "line": location.line,
                    "column": location.column,
                    "json_path": location.json_path,
                    "message": error.to_string(),
                    "hint": error.hint(),
                })
            }
        }
    }

    fn to_text(&self) -> String {
        match self {
            Self::Unreadable(error) => error.message_with_causes(),
            Self::Invalid(error) => error.to_string(),
        }
    }
}

/// Checks files, and all settings files below directories.
pub(crate) fn check(format: Option<Format>, files: &[PathBuf], json: bool) -> Report {
    let mut findings = Vec::new();
    let mut checked = 0;
    for file in files {
        let (count, found) = if file.is_dir() {
            check_directory(file, format)
        } else {
            (1, check_file(file, format).err().into_iter().collect())
        };
        checked += count;
        findings.extend(found);
    }
    let exit = if findings.is_empty() {
        Exit::Success
    } else {
        Exit::CheckFailed
    };
    if json {
        let errors: Vec<Value> = findings.iter().map(Finding::to_json).collect();
        return Report::from_json(&json!({ "files": checked, "errors": errors }), exit);
    }
    let checked = count_with_noun(checked, "file");
    let summary = match findings.len() {
        0 => format!("no errors in {checked}"),
        count => format!("{} in {checked}", count_with_noun(count, "error")),
    };
    let mut lines: Vec<String> = findings.iter().map(Finding::to_text).collect();
    lines.push(summary);
    let text = lines.join("\n") + "\n";
    Report::from_text(text, exit)
}

/// Prints the defaults of one format, or of all.
pub(crate) fn defaults(format: Option<Format>, json: bool) -> Report {
    let formats = Format::ALL
        .into_iter()
        .filter(|candidate| format.is_none_or(|wanted| wanted == *candidate));
    if json {
        let texts = formats.map(|format| (format.as_str().to_owned(), format.defaults().into()));
        return Report::from_json(&Value::Object(texts.collect()), Exit::Success);
    }
    let texts: Vec<&str> = formats.map(Format::defaults).collect();
    Report::from_text(texts.join("\n"), Exit::Success)
}

fn check_file(file: &Path, format: Option<Format>) -> Result<(), Finding> {
    let read = read_file(file, format).map_err(Finding::Unreadable)?;
    let name = file.to_string_lossy();
    let result = match &read.kind {
        FileKind::Daemon => parse_daemon(&read.text, &name).map(drop),
        FileKind::Router => parse_router(&read.text, &name).map(drop),
        FileKind::Subtree(path) => parse_subtree(path, &read.text).map(drop),
    };
    result.map_err(|error| Finding::Invalid(error.with_file(&name)))
}

/// Checks all files below a directory; in a settings tree also the references between files, unless
/// a format is given.
fn check_directory(root: &Path, format: Option<Format>) -> (usize, Vec<Finding>) {
    let paths = match find_settings_files(root) {
        Ok(paths) => paths,
        Err(error) => return (0, vec![Finding::Unreadable(error)]),
    };
    let findings = if format.is_none() && is_settings_tree(root) {
        check_settings_tree(root, &paths)
    } else {
        let results = paths.iter().map(|file| check_file(file, format));
        results.filter_map(Result::err).collect()
    };
    (paths.len(), findings)
}

fn check_settings_tree(root: &Path, paths: &[PathBuf]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut texts: Vec<(String, String)> = Vec::new();
    let mut file_names: Vec<(String, String)> = Vec::new();
    for path in paths {
        let SettingsFile { file, kind, text } = match read_tree_file(root, path) {
            Ok(file) => file,
            Err(error) => {
                findings.push(Finding::Unreadable(error));
                continue;
            }
        };
        let name = file.to_string_lossy().into_owned();
        match kind {
            FileKind::Daemon => {
                let error = parse_daemon(&text, &name).err();
                findings.extend(error.map(Finding::Invalid));
            }
            FileKind::Router => {
                let error = parse_router(&text, &name).err();
                findings.extend(error.map(Finding::Invalid));
            }
            FileKind::Subtree(path) => {
                file_names.push((path.clone(), name));
                texts.push((path, text));
            }
        }
    }
    findings.extend(check_tree(&texts).into_iter().map(|error| {
        let path = &error.location().file;
        let name = file_names.iter().find(|(subtree, _)| subtree == path);
        let name = name.map_or_else(|| path.clone(), |(_, name)| name.clone());
        Finding::Invalid(error.with_file(&name))
    }));
    findings
}

fn count_with_noun(count: usize, noun: &str) -> String {
    let plural = if count == 1 { "" } else { "s" };
    format!("{count} {noun}{plural}")
}
