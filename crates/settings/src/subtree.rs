use medlarpin_core::prelude::{
    IndexVersion, Service, ServiceName, ShardMap, TeamName, TeamSettings,
};

use crate::document::{Source, read_document};
use crate::error::SettingsError;
use crate::format::Format;
use crate::reader::{invalid_name_hint, is_valid_name};
use crate::{index, service, team};

/// Punctuation allowed in names in addition to letters and digits.
pub(crate) const NAME_PUNCTUATION: &str = "-_.";

/// A parsed and checked text of the settings tree.
#[derive(Debug, Clone, PartialEq)]
pub enum Subtree {
    /// Settings of a team.
    Team(TeamSettings),
    /// A service and its leafs.
    Service(Service),
    /// The shard map of one index version.
    Index(ShardMap),
}

/// A parsed path of the settings tree.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SubtreePath {
    /// `teams/<team>`.
    Team(TeamName),
    /// `services/<service>`.
    Service(ServiceName),
    /// `indexes/<service>/<version>`.
    Index(ServiceName, IndexVersion),
}

impl SubtreePath {
    /// Parses a path.
    ///
    /// # Errors
    ///
    /// Fails if the path has none of the three forms or contains an invalid name.
    pub fn parse(path: &str) -> Result<Self, SettingsError> {
        let source = Source {
            file: path,
            text: "",
        };
        let unknown = |hint: &str| SettingsError::UnknownPath {
            location: source.location(0, "$"),
            hint: hint.to_owned(),
        };
        let name = |name| {
            is_valid_name(name, NAME_PUNCTUATION)
                .then_some(name)
                .ok_or_else(|| unknown(&invalid_name_hint(NAME_PUNCTUATION)))
        };
        let parts: Vec<&str> = path.splitn(4, '/').collect();
        match parts.as_slice() {
            ["teams", team] => Ok(Self::Team(name(team)?.into())),
            ["services", service] => Ok(Self::Service(name(service)?.into())),
            ["indexes", service, version] => {
                let service = name(service)?.into();
                let version = parse_canonical_u64(version).ok_or_else(|| {
                    unknown("a version is a decimal number without leading zeros")
                })?;
                Ok(Self::Index(service, IndexVersion(version)))
            }
            _ => Err(unknown(
                "paths are teams/<team>, services/<service> and indexes/<service>/<version>",
            )),
        }
    }

    /// Returns the format of the texts at this path.
    #[must_use]
    pub fn format(&self) -> Format {
        match self {
            Self::Team(_) => Format::Team,
            Self::Service(_) => Format::Service,
            Self::Index(..) => Format::Index,
        }
    }
}

/// Parses one text of the settings tree.
///
/// # Errors
///
/// Returns the first error of the path or the text.
pub fn parse_subtree(path: &str, text: &str) -> Result<Subtree, SettingsError> {
    let source = Source { file: path, text };
    match SubtreePath::parse(path)? {
        SubtreePath::Team(name) => {
            read_document(source, |root| team::read(root, name)).map(Subtree::Team)
        }
        SubtreePath::Service(name) => {
            read_document(source, |root| service::read(root, name)).map(Subtree::Service)
        }
        SubtreePath::Index(name, version) => {
            read_document(source, |root| index::read(root, name, version)).map(Subtree::Index)
        }
    }
}

/// Parses a number that has no leading zeros or sign, so that each version has only one path.
fn parse_canonical_u64(text: &str) -> Option<u64> {
    let number: u64 = text.parse().ok()?;
    (number.to_string() == text).then_some(number)
}
