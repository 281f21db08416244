//! Settings formats in JSON with comments, parsed into checked types.
//!
//! A text is either accepted as a whole or rejected with an error that names the file or the path
//! within the settings tree, the line, the column and the JSON path of the field, and that gives a
//! hint.

mod check;
mod daemon;
mod document;
mod error;
mod format;
mod index;
mod logs;
pub mod prelude;
mod reader;
mod router;
mod service;
mod subtree;
mod suggestion;
mod team;

pub use crate::check::check_tree;
pub use crate::daemon::{DaemonSettings, parse_daemon};
pub use crate::document::jsonc_parse_options;
pub use crate::error::{Location, SettingsError};
pub use crate::format::Format;
pub use crate::logs::{LogLevel, LogPart, LogSettings};
pub use crate::router::{RouterSettings, parse_router};
pub use crate::subtree::{Subtree, SubtreePath, parse_subtree};
pub use medlarpin_core::fair_queue::Discipline as QueueDiscipline;
pub use medlarpin_core::ownership::Routing;

/// Maximum size of a settings text; the configuration service stores values up to 1 MB.
pub const MAX_TEXT_BYTES: usize = 1024 * 1024;
