//! `history`: what the logs of several daemons say about one request.

use std::fs;
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use crate::error::CliError;
use crate::exit::Exit;
use crate::report::{Report, Table};

/// Events that set what a daemon believed when it decided about a request.
const BELIEFS: [&str; 4] = [
    "config_in_force",
    "store_failed",
    "store_reached",
    "changes_missed",
];
/// Fields that have columns of their own or say the same on every line.
const OWN_COLUMNS: [&str; 4] = ["unix_ms", "part", "event", "request"];

/// One line of a log.
#[derive(Debug, Clone)]
struct Line {
    unix_ms: u64,
    file: PathBuf,
    fields: Map<String, Value>,
}

/// Lists the lines about a request in order of time, with the belief of each daemon before it.
pub(crate) fn history(request: &str, files: &[PathBuf], json: bool) -> Result<Report, CliError> {
    let mut found: Vec<Line> = Vec::new();
    for file in files {
        found.extend(lines_about(request, &read_lines(file)?));
    }
    if found.iter().all(|line| line.text("request") != request) {
        return Err(CliError::NotLogged {
            id: request.to_owned(),
        });
    }
    found.sort_by_key(|line| line.unix_ms);
    if json {
        let lines = found.into_iter().map(|line| Value::Object(line.fields));
        return Ok(Report::json(&Value::Array(lines.collect()), Exit::Success));
    }
    let first_ms = found
        .iter()
        .find(|line| line.text("request") == request)
        .map_or(0, |line| line.unix_ms);
    let mut table = Table::with_header(&["AT MS", "LOG", "PART", "EVENT", "FIELDS"]);
    for line in &found {
        table.push([
            relative(line.unix_ms, first_ms),
            line.file.display().to_string(),
            line.text("part").to_owned(),
            line.text("event").to_owned(),
            line.other_fields(),
        ]);
    }
    Ok(Report::text_only(table.render(), Exit::Success))
}

/// Returns the lines about a request and the newest belief of each kind before its first line.
fn lines_about(request: &str, lines: &[Line]) -> Vec<Line> {
    let is_about = |line: &&Line| line.text("request") == request;
    let Some(first) = lines.iter().position(|line| is_about(&line)) else {
        return Vec::new();
    };
    let before = &lines[..first];
    let belief = |event: &'static str| {
        let newest = before.iter().rev().find(|line| line.text("event") == event);
        newest.cloned()
    };
    let beliefs = BELIEFS.into_iter().filter_map(belief);
    beliefs
        .chain(lines.iter().filter(is_about).cloned())
        .collect()
}

/// Reads the lines of a log; lines that are no JSON objects belong to other programs.
fn read_lines(file: &Path) -> Result<Vec<Line>, CliError> {
    let text = fs::read_to_string(file).map_err(|source| CliError::ReadFile {
        path: file.to_owned(),
        source,
    })?;
    let parse = |line: &str| {
        let start = line.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
        Some(Line {
            unix_ms: fields.get("unix_ms")?.as_u64()?,
            file: file.to_owned(),
            fields,
        })
    };
    Ok(text.lines().filter_map(parse).collect())
}

impl Line {
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
            .filter(|(key, _)| !OWN_COLUMNS.contains(&key.as_str()));
        let texts: Vec<String> = others
            .map(|(key, value)| match value {
                Value::String(text) => format!("{key}={text}"),
                value => format!("{key}={value}"),
            })
            .collect();
        texts.join(" ")
    }
}

/// Returns a time relative to the request's first line, in milliseconds.
fn relative(unix_ms: u64, first_ms: u64) -> String {
    if unix_ms >= first_ms {
        format!("+{}", unix_ms - first_ms)
    } else {
        format!("-{}", first_ms - unix_ms)
    }
}
