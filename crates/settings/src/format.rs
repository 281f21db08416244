/// A settings format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Format {
    /// Settings of one daemon, read at startup.
    Daemon,
    /// Settings of a daemon that serves published routes, read at startup.
    Router,
    /// Settings of a team, at `teams/<team>`.
    Team,
    /// A service and its leafs, at `services/<service>`.
    Service,
    /// A shard map, at `indexes/<service>/<version>`.
    Index,
}

impl Format {
    /// All formats.
    pub const ALL: [Self; 5] = [
        Self::Daemon,
        Self::Router,
        Self::Team,
        Self::Service,
        Self::Index,
    ];

    /// Returns the format's name.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Daemon => "daemon",
            Self::Router => "router",
            Self::Team => "team",
            Self::Service => "service",
            Self::Index => "index",
        }
    }

    /// Returns a commented text with every key; keys without a default show an example value.
    #[must_use]
    pub fn defaults(self) -> &'static str {
        match self {
            Self::Daemon => include_str!("../defaults/daemon.jsonc"),
            Self::Router => include_str!("../defaults/router.jsonc"),
            Self::Team => include_str!("../defaults/team.jsonc"),
            Self::Service => include_str!("../defaults/service.jsonc"),
            Self::Index => include_str!("../defaults/index.jsonc"),
        }
    }
}
