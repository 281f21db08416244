//! Output of the `check-config` command.

use std::fmt::Write as _;

use medlarpin_core::routing::ConfigVersion;
use medlarpin_core::routing::config_review::{
    Change, ConfigDifference, ConfigPart, ConfigReview, Finding, RequestExample, Severity,
    ShortName, TargetSummary,
};
use platform::{ConfigError, ConfigErrors, published_field_name};
use serde_json::{Value, json};

use crate::exit::Exit;
use crate::report::{Report, printable};

/// Maximum length of a message; one about a value of the wrong type quotes the whole value.
const MESSAGE_CHARS_MAX: usize = 300;

/// A report on a configuration, line by line.
#[derive(Debug, Default)]
pub(crate) struct ConfigReport {
    lines: Vec<Line>,
    /// Version of the configuration; `None` if it cannot be decoded.
    version: Option<ConfigVersion>,
    /// The version in force that it was compared with.
    in_force: Option<ConfigVersion>,
    errors: usize,
    warnings: usize,
    differences: usize,
    examples: usize,
    /// Number of findings, differences and examples without a line.
    omitted: usize,
}

#[derive(Debug)]
enum Line {
    Part(PartLine),
    Example(RequestExample),
}

/// A finding or a difference.
#[derive(Debug)]
struct PartLine {
    kind: &'static str,
    part: ConfigPart,
    field: Option<String>,
    /// Line and column of the text.
    position: Option<(usize, usize)>,
    message: String,
}

impl ConfigReport {
    /// Reports why a configuration cannot be decoded.
    pub(crate) fn of_errors(errors: &ConfigErrors) -> Self {
        let lines = errors.kept().iter().map(PartLine::of_error);
        Self {
            lines: lines.map(Line::Part).collect(),
            errors: errors.total(),
            omitted: errors.omitted(),
            ..Self::default()
        }
    }

    /// Reports the review of a configuration that can be decoded.
    pub(crate) fn of_review(
        version: ConfigVersion,
        in_force: Option<ConfigVersion>,
        review: &ConfigReview,
    ) -> Self {
        let findings = &review.findings;
        let mut sorted: Vec<&Finding> = findings.kept().iter().collect();
        sorted.sort_by_key(|finding| {
            let is_warning = finding.problem.severity() == Severity::Warning;
            (is_warning, order(&finding.part))
        });
        let parts = sorted.into_iter().map(PartLine::of_finding);
        let mut lines: Vec<Line> = parts.map(Line::Part).collect();
        let (mut differences, mut examples, mut omitted) = (0, 0, findings.omitted());
        if let Some(found) = &review.differences {
            let parts = found.parts.kept().iter().map(PartLine::of_difference);
            lines.extend(parts.map(Line::Part));
            lines.extend(found.examples.kept().iter().cloned().map(Line::Example));
            differences = found.parts.total();
            examples = found.examples.total();
            omitted += found.parts.omitted() + found.examples.omitted();
        }
        Self {
            lines,
            version: Some(version),
            in_force,
            errors: findings.errors(),
            warnings: findings.warnings(),
            differences,
            examples,
            omitted,
        }
    }

    pub(crate) fn render(&self, json: bool, warnings_fail: bool) -> Report {
        let exit = match (self.errors, self.warnings) {
            (1.., _) => Exit::ConfigErrors,
            (0, 1..) if warnings_fail => Exit::ConfigWarnings,
            _ => Exit::Success,
        };
        let mut text = String::new();
        for line in &self.lines {
            // Writing to a string cannot fail.
            let _ = if json {
                writeln!(text, "{}", line.to_json())
            } else {
                writeln!(text, "{}", printable(&line.to_text()))
            };
        }
        let _ = if json {
            writeln!(text, "{}", self.summary_json())
        } else {
            writeln!(text, "{}", self.summary_text())
        };
        Report::from_text(text, exit)
    }

    fn summary_json(&self) -> Value {
        json!({
            "kind": "summary",
            "version": self.version.map(|version| version.0),
            "in_force": self.in_force.map(|version| version.0),
            "errors": self.errors,
            "warnings": self.warnings,
            "differences": self.differences,
            "examples": self.examples,
            "omitted": self.omitted,
        })
    }

    fn summary_text(&self) -> String {
        let mut text = match self.version {
            Some(version) => format!("version {}: ", version.0),
            None => "not usable: ".to_owned(),
        };
        let (errors, warnings) = (self.errors, self.warnings);
        let _ = write!(text, "errors {errors}, warnings {warnings}");
        if let Some(in_force) = self.in_force {
            let (differences, examples) = (self.differences, self.examples);
            let in_force = in_force.0;
            let _ = write!(
                text,
                "; differences from version {in_force}: {differences}, places that are answered elsewhere: {examples}"
            );
        }
        if self.omitted > 0 {
            let _ = write!(text, "; not shown: {}", self.omitted);
        }
        text
    }
}

impl Line {
    fn to_json(&self) -> Value {
        match self {
            Self::Part(line) => line.to_json(),
            Self::Example(example) => {
                let answer = |answer: &Option<(ShortName, TargetSummary)>| {
                    answer.as_ref().map(|(route, target)| {
                        json!({ "route": route.as_str(), "target": target.to_string() })
                    })
                };
                json!({
                    "kind": "example",
                    "host": example.host.as_str(),
                    "path": example.path.as_str(),
                    "from": answer(&example.from),
                    "to": answer(&example.to),
                })
            }
        }
    }

    fn to_text(&self) -> String {
        match self {
            Self::Part(line) => line.to_text(),
            Self::Example(example) => {
                let answer = |answer: &Option<(ShortName, TargetSummary)>| match answer {
                    Some((route, target)) => format!("{target} (route {route:?})"),
                    None => "no route".to_owned(),
                };
                format!(
                    "example: http://{}{}: {} -> {}",
                    example.host,
                    example.path,
                    answer(&example.from),
                    answer(&example.to)
                )
            }
        }
    }
}

impl PartLine {
    fn of_error(error: &ConfigError) -> Self {
        Self {
            kind: "error",
            part: error.part.clone(),
            field: error.field.clone(),
            position: error.position,
            message: shortened(&error.to_string()),
        }
    }

    fn of_finding(finding: &Finding) -> Self {
        Self {
            kind: match finding.problem.severity() {
                Severity::Error => "error",
                Severity::Warning => "warning",
            },
            part: finding.part.clone(),
            field: finding
                .field
                .map(|field| published_field_name(field).to_owned()),
            position: None,
            message: finding.problem.to_string(),
        }
    }

    fn of_difference(difference: &ConfigDifference) -> Self {
        let kind = match &difference.change {
            Change::RouteAdded(_) | Change::ServiceAdded => "added",
            Change::RouteRemoved(_) | Change::ServiceRemoved => "removed",
            Change::Moved { .. } => "moved",
            Change::Split { .. } => "split",
            Change::Shards { .. } | Change::Field { .. } => "changed",
        };
        let field = difference.change.field();
        Self {
            kind,
            part: difference.part.clone(),
            field: field.map(|field| published_field_name(field).to_owned()),
            position: None,
            message: difference.change.to_string(),
        }
    }

    fn to_json(&self) -> Value {
        let (part, position, name) = match &self.part {
            ConfigPart::Whole => ("configuration", None, None),
            ConfigPart::Limits => ("limits", None, None),
            ConfigPart::Route { position, name } => ("route", *position, Some(name.as_str())),
            ConfigPart::Service { position, name } => ("service", *position, Some(name.as_str())),
        };
        json!({
            "kind": self.kind,
            "part": part,
            "position": position,
            "name": name,
            "field": self.field,
            "line": self.position.map(|(line, _)| line),
            "column": self.position.map(|(_, column)| column),
            "message": self.message,
        })
    }

    fn to_text(&self) -> String {
        let mut text = format!("{}: ", self.kind);
        let mut name_part = |kind: &str, position: Option<usize>, name: &ShortName| {
            let _ = write!(text, "{kind} {name:?}");
            if let Some(position) = position {
                let _ = write!(text, " (number {})", position + 1);
            }
        };
        match &self.part {
            ConfigPart::Whole => text.push_str("configuration"),
            ConfigPart::Limits => text.push_str("limits"),
            ConfigPart::Route { position, name } => name_part("route", *position, name),
            ConfigPart::Service { position, name } => name_part("service", *position, name),
        }
        if let Some(field) = &self.field {
            let _ = write!(text, ", field {field}");
        }
        if let Some((line, column)) = self.position {
            let _ = write!(text, ", line {line} column {column}");
        }
        let _ = write!(text, ": {}", self.message);
        text
    }
}

/// Returns the place of a part in the report: all findings about one part follow each other.
fn order(part: &ConfigPart) -> (u8, usize, &str) {
    match part {
        ConfigPart::Whole => (0, 0, ""),
        ConfigPart::Limits => (1, 0, ""),
        ConfigPart::Route { position, name } => (2, position.unwrap_or(0), name.as_str()),
        ConfigPart::Service { name, .. } => (3, 0, name.as_str()),
    }
}

fn shortened(message: &str) -> String {
    match message.char_indices().nth(MESSAGE_CHARS_MAX) {
        Some((end, _)) => format!("{}…", &message[..end]),
        None => message.to_owned(),
    }
}
