use std::ops::Range;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, parse_to_ast, parse_to_serde_value};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use settings::jsonc_parse_options;

use crate::error::TraceError;
use crate::event::{Event, deserialize};
use crate::timeline::Millis;

/// A sequence of events with their expected outcomes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Trace {
    /// Description of the scenario.
    pub about: String,
    /// Seed of the random numbers that the replay uses.
    pub seed: u64,
    /// The events, ordered by time.
    pub events: Vec<TraceEvent>,
}

/// One event and its expected outcome.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TraceEvent {
    /// Line in the parsed text, counted from 1; 0 for a recorded event.
    #[serde(skip)]
    pub line: usize,
    /// Time since the start of the trace.
    pub at_ms: Millis,
    /// Kind and name of the subject, separated by a space, such as `leaf a`.
    #[serde(rename = "on")]
    pub subject: String,
    /// The input to the subject.
    #[serde(rename = "do")]
    pub event: Event,
    /// The expected outcome, compared as JSON.
    pub expect: Value,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TraceFields {
    about: String,
    seed: u64,
    events: Vec<Value>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct EventFields {
    at_ms: Millis,
    #[serde(rename = "on")]
    subject: String,
    #[serde(rename = "do")]
    event: Value,
    expect: Value,
}

impl Trace {
    /// Parses a trace from JSON with comments.
    ///
    /// # Errors
    ///
    /// Fails at the first fault; the error names its line.
    pub fn parse(text: &str) -> Result<Self, TraceError> {
        let syntax_error = |offset, reason| TraceError::Syntax {
            line: 1 + count_line_breaks(text, 0..offset),
            reason,
        };
        let options = jsonc_parse_options();
        let parsed = parse_to_ast(text, &CollectOptions::default(), &options)
            .map_err(|error| syntax_error(error.range().start, error.kind().to_string()))?;
        let root = parsed
            .value
            .ok_or_else(|| syntax_error(0, "the trace is empty".to_owned()))?;
        let lines = event_lines(&root, text);
        let value = parse_to_serde_value(text, &options)
            .map_err(|error| syntax_error(error.range().start, error.kind().to_string()))?;
        let fields: TraceFields = deserialize(value, 1)?;
        let events = fields.events.into_iter().zip(lines);
        let events = events.map(|(event, line)| TraceEvent::parse(event, line));
        Ok(Self {
            about: fields.about,
            seed: fields.seed,
            events: events.collect::<Result<_, _>>()?,
        })
    }
}

impl TraceEvent {
    fn parse(value: Value, line: usize) -> Result<Self, TraceError> {
        let fields: EventFields = deserialize(value, line)?;
        let event = Event::parse(&fields.subject, fields.event, line)?;
        Ok(Self {
            line,
            at_ms: fields.at_ms,
            subject: fields.subject,
            event,
            expect: fields.expect,
        })
    }
}

/// Returns the line of each event.
///
/// Lines are counted from the previous event instead of the start of the text, which keeps the
/// parsing of long recordings linear.
fn event_lines(root: &ast::Value<'_>, text: &str) -> Vec<usize> {
    let events = match root {
        ast::Value::Object(object) => object.get_array("events"),
        _ => None,
    };
    let elements = events.map(|events| events.elements.as_slice());
    let (mut counted_to, mut line) = (0, 1);
    let lines = elements.unwrap_or_default().iter().map(|event| {
        line += count_line_breaks(text, counted_to..event.start());
        counted_to = event.start();
        line
    });
    lines.collect()
}

fn count_line_breaks(text: &str, range: Range<usize>) -> usize {
    let part = text.get(range).unwrap_or_default();
    part.matches('\n').count()
}
