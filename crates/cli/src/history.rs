//! The `history` command: the log lines of several daemons about one request.

use std::fs;
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use crate::error::CliError;
use crate::exit::Exit;
use crate::report::{Report, Table};

/// Events that describe the configuration, the evacuated failure domains and the connection to the store on
/// which a daemon based its decisions about a request.
const CONTEXT_EVENTS: [&str; 6] = [
    "config_in_force",
    "store_failed",
    "store_reached",
    "changes_missed",
    "domains_evacuated",
    "domains_returned",
];
/// Fields left out of the FIELDS column: they have a column of their own or are the same on every
/// line.
const EXCLUDED_FIELDS: [&str; 4] = ["unix_ms", "part", "event", "request"];

/// One parsed log line.
#[derive(Debug, Clone)]
struct LogLine {
    unix_ms: u64,
    file: PathBuf,
    fields: Map<String, Value>,
}

/// Lists the log lines about a request in order of time, with each daemon's latest context events
/// before its first line about the request.
pub(crate) fn history(request: &str, files: &[PathBuf], json: bool) -> Result<Report, CliError> {
    let mut found: Vec<LogLine> = Vec::new();
    for file in files {
        found.extend(lines_for_request(request, &read_lines(file)?));
    }
    if found.iter().all(|line| line.text("request") != request) {
        return Err(CliError::RequestNotLogged {
            id: request.to_owned(),
        });
    }
    found.sort_by_key(|line| line.unix_ms);
    if json {
        let lines = found.into_iter().map(|line| Value::Object(line.fields));
        return Ok(Report::from_json(
            &Value::Array(lines.collect()),
            Exit::Success,
        ));
    }
    let first_ms = found
        .iter()
        .find(|line| line.text("request") == request)
        .map_or(0, |line| line.unix_ms);
    let mut table = Table::with_header(&["AT MS", "LOG", "PART", "EVENT", "FIELDS"]);
    for line in &found {
        table.push([
            relative_ms_text(line.unix_ms, first_ms),
            line.file.display().to_string(),
            line.text("part").to_owned(),
            line.text("event").to_owned(),
            line.other_fields(),
        ]);
    }
    Ok(Report::from_text(table.render(), Exit::Success))
}

/// Returns the lines about a request, and the latest context event of each kind before the first of
/// them.
fn lines_for_request(request: &str, lines: &[LogLine]) -> Vec<LogLine> {
    let is_about = |line: &&LogLine| line.text("request") == request;
    let Some(first) = lines.iter().position(|line| is_about(&line)) else {
        return Vec::new();
    };
    let before = &lines[..first];
    let latest = |event: &'static str| {
        let line = before.iter().rev().find(|line| line.text("event") == event);
        line.cloned()
    };
    let context = CONTEXT_EVENTS.into_iter().filter_map(latest);
    context
        .chain(lines.iter().filter(is_about).cloned())
        .collect()
}

/// Reads the lines of a log. Lines without a JSON object with `unix_ms` are skipped: other programs
/// may write to the same file.
fn read_lines(file: &Path) -> Result<Vec<LogLine>, CliError> {
    let text = fs::read_to_string(file).map_err(|source| CliError::ReadFile {
        path: file.to_owned(),
        source,
    })?;
    let parse = |line: &str| {
        let start = line.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
        Some(LogLine {
            unix_ms: fields.get("unix_ms")?.as_u64()?,
            file: file.to_owned(),
            fields,
        })
    };
    Ok(text.lines().filter_map(parse).collect())
}

impl LogLine {
    fn text(&self, key: &str) -> &str {
        self.fields
            .get(key)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    fn other_fields(&self) -> String {
        let others = self
            .fields
            .iter()
            .filter(|(key, _)| !EXCLUDED_FIELDS.contains(&key.as_str()));
        let texts: Vec<String> = others
            .map(|(key, value)| match value {
                Value::String(text) => format!("{key}={text}"),
                value => format!("{key}={value}"),
            })
            .collect();
        texts.join(" ")
    }
}

/// Formats a time relative to the request's first line, in milliseconds with a sign.
fn relative_ms_text(unix_ms: u64, first_ms: u64) -> String {
    if unix_ms >= first_ms {
        format!("+{}", unix_ms - first_ms)
    } else {
        format!("-{}", first_ms - unix_ms)
    }
}
