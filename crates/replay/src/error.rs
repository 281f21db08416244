use displaydoc::Display;
use thiserror::Error;

/// Error of parsing a trace.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum TraceError {
    /// line {line}: not valid JSON with comments: {reason}
    Syntax {
        /// Line, counted from 1.
        line: usize,
        /// Message of the parser.
        reason: String,
    },
    /// line {line}: invalid trace: {reason}
    InvalidTrace {
        /// Line of the event, or 1 if the fault is outside the events.
        line: usize,
        /// Names the field that is missing, unknown or of the wrong type.
        reason: String,
    },
    /// line {line}: unknown kind of subject in {subject:?}
    UnknownKind {
        /// Line of the event.
        line: usize,
        /// The event's `on` field.
        subject: String,
    },
}

/// Error of a replay.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ReplayError {
    /// line {line}: {subject}: expected {expected}, found {found}
    Mismatch {
        /// Line of the event; 0 if the trace was recorded rather than parsed.
        line: usize,
        /// Subject of the event.
        subject: String,
        /// Outcome that the trace expects, as JSON.
        expected: String,
        /// Outcome that the production code returned, as JSON.
        found: String,
    },
    /// line {line}: {subject}: no earlier event creates the subject or pins its index version
    MissingPrerequisite {
        /// Line of the event.
        line: usize,
        /// Subject of the event.
        subject: String,
    },
    /// line {line}: the event is earlier than the one before it
    OutOfOrder {
        /// Line of the event.
        line: usize,
    },
}
