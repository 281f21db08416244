//! Errors of parsing messages.

use displaydoc::Display;
use thiserror::Error;

/// Why a received message could not be parsed.
#[derive(Debug, Clone, Display, Error)]
pub enum WireError {
    /// malformed message: {0}
    Malformed(#[from] capnp::Error),
    /// text is not UTF-8: {0}
    Text(#[from] std::str::Utf8Error),
    /// unknown enum value: {0}
    Enum(#[from] capnp::NotInSchema),
    /// invalid address: {0}
    Address(#[from] std::net::AddrParseError),
    /// list of {field} has {count} entries, above the limit of {limit}
    TooLong {
        /// Name of the field.
        field: &'static str,
        /// Number of entries in the message.
        count: u32,
        /// Maximum number of entries.
        limit: u32,
    },
}

/// Returns the length of a list, or an error if it is longer than in any valid message.
pub(crate) fn check_length(field: &'static str, count: u32, limit: u32) -> Result<u32, WireError> {
    if count > limit {
        return Err(WireError::TooLong {
            field,
            count,
            limit,
        });
    }
    Ok(count)
}
