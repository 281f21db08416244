//! The types and functions that most users of this crate need.

pub use crate::{
    DaemonSettings, Format, Location, LogLevel, LogPart, LogSettings, QueueDiscipline,
    RouterSettings, Routing, SettingsError, Subtree, SubtreePath, check_tree, parse_daemon,
    parse_router, parse_subtree,
};
