//! `check`: settings files are right or say where they are wrong.

use std::path::{Path, PathBuf};

use serde_json::{Value, json};
use settings::{Format, SettingsError, check_tree, parse_daemon, parse_router, parse_subtree};

use crate::check_files::{FileKind, SettingsFile, files_below, is_tree, read_file, read_in_tree};
use crate::error::CliError;
use crate::exit::Exit;
use crate::report::Report;

/// What is wrong with a file.
#[derive(Debug)]
enum Finding {
    Unreadable(CliError),
    Refused(SettingsError),
}

impl Finding {
    fn to_json(&self) -> Value {
        match self {
            Self::Unreadable(error) => json!({ "message": error.full_text() }),
            Self::Refused(error) => {
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
            Self::Unreadable(error) => error.full_text(),
            Self::Refused(error) => error.to_string(),
        }
    }
}

/// Checks files and whole trees.
pub(crate) fn check(as_kind: Option<Format>, files: &[PathBuf], json: bool) -> Report {
    let mut findings = Vec::new();
    let mut checked = 0;
    for file in files {
        let (count, found) = if file.is_dir() {
            check_directory(file, as_kind)
        } else {
            (1, check_file(file, as_kind).err().into_iter().collect())
        };
        checked += count;
        findings.extend(found);
    }
    let exit = if findings.is_empty() {
        Exit::Success
    } else {
        Exit::Findings
    };
    if json {
        let errors: Vec<Value> = findings.iter().map(Finding::to_json).collect();
        return Report::json(&json!({ "files": checked, "errors": errors }), exit);
    }
    let checked = counted(checked, "file");
    let summary = match findings.len() {
        0 => format!("no errors in {checked}"),
        count => format!("{} in {checked}", counted(count, "error")),
    };
    let mut lines: Vec<String> = findings.iter().map(Finding::to_text).collect();
    lines.push(summary);
    let text = lines.join("\n") + "\n";
    Report::text_only(text, exit)
}

/// Prints the defaults of one format, or of all.
pub(crate) fn defaults(as_kind: Option<Format>, json: bool) -> Report {
    let formats = Format::ALL
        .into_iter()
        .filter(|format| as_kind.is_none_or(|wanted| wanted == *format));
    if json {
        let texts = formats.map(|format| (format.as_str().to_owned(), format.defaults().into()));
        return Report::json(&Value::Object(texts.collect()), Exit::Success);
    }
    let texts: Vec<&str> = formats.map(Format::defaults).collect();
    Report::text_only(texts.join("\n"), Exit::Success)
}

fn check_file(file: &Path, as_kind: Option<Format>) -> Result<(), Finding> {
    let read = read_file(file, as_kind).map_err(Finding::Unreadable)?;
    let name = file.to_string_lossy();
    let result = match &read.kind {
        FileKind::Daemon => parse_daemon(&read.text, &name).map(drop),
        FileKind::Router => parse_router(&read.text, &name).map(drop),
        FileKind::Subtree(path) => parse_subtree(path, &read.text).map(drop),
    };
    result.map_err(|error| Finding::Refused(error.with_file(&name)))
}

/// Checks all files below a directory, and in a whole tree the references between its texts.
fn check_directory(root: &Path, as_kind: Option<Format>) -> (usize, Vec<Finding>) {
    let paths = match files_below(root) {
        Ok(paths) => paths,
        Err(error) => return (0, vec![Finding::Unreadable(error)]),
    };
    let findings = if as_kind.is_none() && is_tree(root) {
        check_whole_tree(root, &paths)
    } else {
        let results = paths.iter().map(|file| check_file(file, as_kind));
        results.filter_map(Result::err).collect()
    };
    (paths.len(), findings)
}

fn check_whole_tree(root: &Path, paths: &[PathBuf]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut texts: Vec<(String, String)> = Vec::new();
    let mut names: Vec<(String, String)> = Vec::new();
    for path in paths {
        let SettingsFile { file, kind, text } = match read_in_tree(root, path) {
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
                findings.extend(error.map(Finding::Refused));
            }
            FileKind::Router => {
                let error = parse_router(&text, &name).err();
                findings.extend(error.map(Finding::Refused));
            }
            FileKind::Subtree(path) => {
                names.push((path.clone(), name));
                texts.push((path, text));
            }
        }
    }
    findings.extend(check_tree(&texts).into_iter().map(|error| {
        let path = &error.location().file;
        let name = names.iter().find(|(known, _)| known == path);
        let name = name.map_or_else(|| path.clone(), |(_, name)| name.clone());
        Finding::Refused(error.with_file(&name))
    }));
    findings
}

fn counted(count: usize, noun: &str) -> String {
    let plural = if count == 1 { "" } else { "s" };
    format!("{count} {noun}{plural}")
}
