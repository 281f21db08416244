use std::ops::Range;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, parse_to_ast, parse_to_serde_value};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use settings::jsonc_parse_options;

use crate::error::TraceError;
use crate::event::{Event, read};
use crate::timeline::Millis;

/// A sequence of events with their outcomes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Trace {
    /// What the trace shows.
    pub about: String,
    /// Seed of every random draw of the replay.
    pub seed: u64,
    /// The events in the order of time.
    pub events: Vec<TraceEvent>,
}

/// One event and the outcome that it must have.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TraceEvent {
    /// Line in the text, counted from 1; 0 for a recorded event.
    #[serde(skip)]
    pub line: usize,
    /// Time since the start of the trace.
    pub at_ms: Millis,
    /// Kind and name of the subject.
    #[serde(rename = "on")]
    pub subject: String,
    /// What happens.
    #[serde(rename = "do")]
    pub event: Event,
    /// The outcome.
    pub expect: Value,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TraceBody {
    about: String,
    seed: u64,
    events: Vec<Value>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct EventBody {
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
    /// Fails with the line of the first fault.
    pub fn parse(text: &str) -> Result<Self, TraceError> {
        let syntax = |offset, reason| TraceError::Syntax {
            line: 1 + line_breaks(text, 0..offset),
            reason,
        };
        let options = jsonc_parse_options();
        let parsed = parse_to_ast(text, &CollectOptions::default(), &options)
            .map_err(|error| syntax(error.range().start, error.kind().to_string()))?;
        let root = parsed
            .value
            .ok_or_else(|| syntax(0, "the text is empty".to_owned()))?;
        let lines = event_lines(&root, text);
        let value = parse_to_serde_value(text, &options)
            .map_err(|error| syntax(error.range().start, error.kind().to_string()))?;
        let body: TraceBody = read(value, 1)?;
        let events = body.events.into_iter().zip(lines);
        let events = events.map(|(event, line)| TraceEvent::parse(event, line));
        Ok(Self {
            about: body.about,
            seed: body.seed,
            events: events.collect::<Result<_, _>>()?,
        })
    }
}

impl TraceEvent {
    fn parse(value: Value, line: usize) -> Result<Self, TraceError> {
        let body: EventBody = read(value, line)?;
        let event = Event::parse(&body.subject, body.event, line)?;
        Ok(Self {
            line,
            at_ms: body.at_ms,
            subject: body.subject,
            event,
            expect: body.expect,
        })
    }
}

/// Returns the line of each event; counts on from the event before, as recordings are long.
fn event_lines(root: &ast::Value<'_>, text: &str) -> Vec<usize> {
    let events = match root {
        ast::Value::Object(object) => object.get_array("events"),
        _ => None,
    };
    let elements = events.map(|events| events.elements.as_slice());
    let (mut counted, mut line) = (0, 1);
    let lines = elements.unwrap_or_default().iter().map(|event| {
        line += line_breaks(text, counted..event.start());
        counted = event.start();
        line
    });
    lines.collect()
}

fn line_breaks(text: &str, range: Range<usize>) -> usize {
    let part = text.get(range).unwrap_or_default();
    part.matches('\n').count()
}
