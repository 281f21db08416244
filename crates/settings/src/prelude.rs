//! The types and functions that most users of this crate need.

pub use crate::{
    DaemonSettings, Format, LogLevel, LogPart, LogSettings, Place, QueueDiscipline, Routing,
    SettingsError, Subtree, SubtreePath, check_tree, parse_daemon, parse_subtree,
};
