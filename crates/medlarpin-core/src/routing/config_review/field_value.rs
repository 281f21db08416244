use std::fmt;
use std::time::Duration;

use super::ShortName;
use crate::routing::Repeatability;

/// The value of a field in a difference.
#[derive(Debug, Clone, PartialEq)]
pub enum FieldValue {
    /// A name or path.
    Text(ShortName),
    /// A whole number.
    Number(u64),
    /// A share from 0 to 1.
    Share(f64),
    /// A time.
    Time(Duration),
    /// Whether requests may run more than once.
    Repeatability(Repeatability),
}

impl FieldValue {
    /// Describes a text.
    #[must_use]
    pub fn text(text: &str) -> Self {
        Self::Text(ShortName::new(text))
    }
}

impl From<u32> for FieldValue {
    fn from(number: u32) -> Self {
        Self::Number(number.into())
    }
}

impl From<usize> for FieldValue {
    fn from(number: usize) -> Self {
        Self::Number(u64::try_from(number).unwrap_or(u64::MAX))
    }
}

impl From<Duration> for FieldValue {
    fn from(time: Duration) -> Self {
        Self::Time(time)
    }
}

impl fmt::Display for FieldValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(text) => write!(f, "{text:?}"),
            Self::Number(number) => write!(f, "{number}"),
            Self::Share(share) => write!(f, "{share}"),
            Self::Time(time) => write!(f, "{time:?}"),
            Self::Repeatability(Repeatability::Idempotent) => f.write_str("may be repeated"),
            Self::Repeatability(Repeatability::AtMostOnce) => f.write_str("runs at most once"),
        }
    }
}
