use displaydoc::Display;
use thiserror::Error;

/// Why a text is not a trace.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum TraceError {
    /// line {line}: not valid JSON with comments: {reason}
    Syntax {
        /// Line, counted from 1.
        line: usize,
        /// What the parser met.
        reason: String,
    },
    /// line {line}: not a trace: {reason}
    Shape {
        /// Line of the event, or 1.
        line: usize,
        /// Which field is missing, unknown or of the wrong type.
        reason: String,
    },
    /// line {line}: unknown kind of subject in {on:?}
    UnknownKind {
        /// Line of the event.
        line: usize,
        /// The subject as written.
        on: String,
    },
}

/// Why a replay failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ReplayError {
    /// line {line}: {on}: expected {expected}, found {found}
    Mismatch {
        /// Line of the event; 0 if the trace was not parsed from a text.
        line: usize,
        /// Subject of the event.
        on: String,
        /// Stated outcome.
        expected: String,
        /// Outcome of the shipped code.
        found: String,
    },
    /// line {line}: {on} has no event that creates it
    NotCreated {
        /// Line of the event.
        line: usize,
        /// Subject of the event.
        on: String,
    },
    /// line {line}: the event is earlier than the one before it
    TimeRunsBack {
        /// Line of the event.
        line: usize,
    },
}
