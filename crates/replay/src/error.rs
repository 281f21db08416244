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
    InvalidTrace {
        /// Line of the event, or 1.
        line: usize,
        /// Which field is missing, unknown or of the wrong type.
        reason: String,
    },
    /// line {line}: unknown kind of subject in {subject:?}
    UnknownKind {
        /// Line of the event.
        line: usize,
        /// The subject as written.
        subject: String,
    },
}

/// Why a replay failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ReplayError {
    /// line {line}: {subject}: expected {expected}, found {found}
    Mismatch {
        /// Line of the event; 0 if the trace was not parsed from a text.
        line: usize,
        /// Subject of the event.
        subject: String,
        /// Stated outcome.
        expected: String,
        /// Outcome of the shipped code.
        found: String,
    },
    /// line {line}: {subject} has no event that creates it
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
