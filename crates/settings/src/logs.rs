use crate::error::SettingsError;
use crate::reader::Field;

/// Minimum severity of the lines that are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LogLevel {
    /// Logs nothing.
    Off,
    /// Errors.
    Error,
    /// Warnings and above.
    Warn,
    /// Informational lines and above.
    Info,
    /// Debugging lines and above.
    Debug,
    /// All lines.
    Trace,
}

impl LogLevel {
    const NAMES: [(&'static str, Self); 6] = [
        ("off", Self::Off),
        ("error", Self::Error),
        ("warn", Self::Warn),
        ("info", Self::Info),
        ("debug", Self::Debug),
        ("trace", Self::Trace),
    ];

    /// Returns the level's name.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Off => "off",
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

/// A part of the daemon whose level can be set separately; its lines show its name after the level.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LogPart {
    /// Requests of callers.
    Entry,
    /// Requests to leaf groups.
    Gather,
    /// Connections and state of leafs.
    Leaf,
    /// Membership and exchanges with peers.
    Gossip,
    /// Settings and the platform.
    Config,
    /// Graceful shutdown.
    Shutdown,
}

impl LogPart {
    /// All parts.
    pub const ALL: [Self; 6] = [
        Self::Entry,
        Self::Gather,
        Self::Leaf,
        Self::Gossip,
        Self::Config,
        Self::Shutdown,
    ];

    /// Returns the part's name.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Gather => "gather",
            Self::Leaf => "leaf",
            Self::Gossip => "gossip",
            Self::Config => "config",
            Self::Shutdown => "shutdown",
        }
    }
}

/// Log levels of a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Level of the parts that are not listed in `parts`.
    pub level: LogLevel,
    /// Levels of individual parts, sorted by part.
    pub parts: Vec<(LogPart, LogLevel)>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
            parts: Vec::new(),
        }
    }
}

impl LogSettings {
    /// Returns the level of a part.
    #[must_use]
    pub fn level_of(&self, part: LogPart) -> LogLevel {
        let part_level = self.parts.iter().find(|(listed, _)| *listed == part);
        part_level.map_or(self.level, |(_, level)| *level)
    }

    pub(crate) fn read(field: &Field<'_>) -> Result<Self, SettingsError> {
        let fields = field.object(&["level", "parts"])?;
        let level = fields.enum_value_or("level", &LogLevel::NAMES, Self::default().level)?;
        let mut parts = Vec::new();
        if let Some(field) = fields.optional("parts") {
            let fields =
                field.object(&["entry", "gather", "leaf", "gossip", "config", "shutdown"])?;
            for part in LogPart::ALL {
                if let Some(field) = fields.optional(part.as_str()) {
                    parts.push((part, field.enum_value(&LogLevel::NAMES)?));
                }
            }
        }
        Ok(Self { level, parts })
    }
}
