use std::fmt;

use super::{ConfigField, ConfigPart, FieldValue, ShortName, TargetSummary};

/// How a part of a configuration changes.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The route is new.
    RouteAdded(TargetSummary),
    /// The route is no longer there.
    RouteRemoved(TargetSummary),
    /// The service is new.
    ServiceAdded,
    /// The service is no longer there.
    ServiceRemoved,
    /// The route's requests go elsewhere.
    Moved {
        /// Where they go now.
        from: TargetSummary,
        /// Where they will go.
        to: TargetSummary,
    },
    /// The route's requests are divided among services, or otherwise than now.
    Split {
        /// Where they go now.
        from: TargetSummary,
        /// Where they will go.
        to: TargetSummary,
    },
    /// The route's list of shards changes.
    Shards {
        /// Number of shards in the version in force.
        from: usize,
        /// Number of shards of this version.
        to: usize,
        /// Number of shards that are new.
        added: usize,
        /// Number of shards that are no longer there.
        removed: usize,
        /// The first of the shards that are new or no longer there.
        first: ShortName,
    },
    /// A field changes.
    Field {
        /// The field.
        field: ConfigField,
        /// Value in force.
        from: FieldValue,
        /// Value of this version.
        to: FieldValue,
    },
}

/// A difference between two configurations.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigDifference {
    /// The part that differs; a route by its name in this version.
    pub part: ConfigPart,
    /// How it differs.
    pub change: Change,
}

impl Change {
    /// Returns the field that changes, if it is one.
    #[must_use]
    pub fn field(&self) -> Option<ConfigField> {
        match self {
            Self::Field { field, .. } => Some(*field),
            Self::Shards { .. } => Some(ConfigField::Shards),
            Self::RouteAdded(_)
            | Self::RouteRemoved(_)
            | Self::ServiceAdded
            | Self::ServiceRemoved
            | Self::Moved { .. }
            | Self::Split { .. } => None,
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RouteAdded(target) | Self::RouteRemoved(target) => write!(f, "{target}"),
            Self::ServiceAdded => f.write_str("not in the version in force"),
            Self::ServiceRemoved => f.write_str("not in this version"),
            Self::Moved { from, to } | Self::Split { from, to } => write!(f, "{from} -> {to}"),
            Self::Shards {
                from,
                to,
                added,
                removed,
                first,
            } => write!(
                f,
                "{from} -> {to} shards: {added} added, {removed} removed, first {first:?}"
            ),
            Self::Field { from, to, .. } => write!(f, "{from} -> {to}"),
        }
    }
}
