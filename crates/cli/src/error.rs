use std::error::Error as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::exit::Exit;

/// Why a command failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(crate) enum CliError {
    /// cannot start the runtime
    Runtime { source: std::io::Error },
    /// cannot connect to {address}; check --operator or --at and whether the daemon runs
    Connect {
        address: SocketAddr,
        source: hyper_util::client::legacy::Error,
    },
    /// the connection to {address} was lost before the whole response arrived
    ConnectionLost {
        address: SocketAddr,
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// {address} did not answer within {timeout:?}
    Timeout {
        address: SocketAddr,
        timeout: Duration,
    },
    /// cannot build a request for path `{path}`
    BuildRequest {
        path: &'static str,
        source: hyper::http::Error,
    },
    /// {address} answered {path} with status {status}: {body}
    UnexpectedStatus {
        address: SocketAddr,
        path: &'static str,
        status: u16,
        body: String,
    },
    /// {address} answered {path} with something other than a JSON object: {body}
    NotJsonObject {
        address: SocketAddr,
        path: &'static str,
        body: String,
    },
    /// cannot read {path:?}
    ReadFile {
        path: PathBuf,
        source: std::io::Error,
    },
    /// cannot read the configuration {path:?}
    ReadConfig {
        path: PathBuf,
        source: std::io::Error,
    },
    /// cannot read from the store at {address}
    ReadStore {
        address: SocketAddr,
        source: platform::StoreError,
    },
    /// {path:?} is not UTF-8 after byte {valid_bytes}; save it as UTF-8
    #[expect(
        clippy::doc_markdown,
        reason = "the message contains the name of a field"
    )]
    NotUtf8 { path: PathBuf, valid_bytes: usize },
    /// {path:?} contains no settings files; expected daemon.jsonc, teams/, services/ or indexes/
    NoSettingsFiles { path: PathBuf },
    /// cannot tell the format of {path:?} from its path; add --as daemon, router, team, service or index
    UnknownFormat { path: PathBuf },
    /// the daemon has no team `{name}`; known teams: {known}
    UnknownTeam { name: String, known: String },
    /// the daemon has no service `{name}`; known services: {known}
    UnknownService { name: String, known: String },
    /// service `{service}` has no shard {shard} at index version {version}
    UnknownShard {
        service: String,
        shard: u32,
        version: String,
    },
    /// request `{id}` is not among the daemon's recent requests; ask the daemon that answered it
    UnknownRequest { id: String },
    /// no log line mentions request `{id}`; include the log of the daemon that answered it
    RequestNotLogged { id: String },
    /// `{subject}` is neither SERVICE/SHARD nor at least 8 hex digits of a request id
    InvalidSubject { subject: String },
}

impl CliError {
    /// Returns the message, followed by those of the errors that caused it.
    pub(crate) fn message_with_causes(&self) -> String {
        let mut text = self.to_string();
        let mut cause = self.source();
        while let Some(error) = cause {
            text = format!("{text}: {error}");
            cause = error.source();
        }
        text
    }

    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::ReadFile { .. }
            | Self::NotUtf8 { .. }
            | Self::NoSettingsFiles { .. }
            | Self::UnknownFormat { .. } => Exit::CheckFailed,
            Self::ReadConfig { .. } => Exit::ConfigErrors,
            Self::UnknownTeam { .. }
            | Self::UnknownService { .. }
            | Self::UnknownShard { .. }
            | Self::UnknownRequest { .. }
            | Self::RequestNotLogged { .. } => Exit::NotFound,
            Self::InvalidSubject { .. } => Exit::Usage,
            Self::UnexpectedStatus { status, .. } if (400..500).contains(status) => {
                Exit::InvalidRequest
            }
            Self::Runtime { .. }
            | Self::ReadStore { .. }
            | Self::Connect { .. }
            | Self::ConnectionLost { .. }
            | Self::Timeout { .. }
            | Self::BuildRequest { .. }
            | Self::UnexpectedStatus { .. }
            | Self::NotJsonObject { .. } => Exit::Unreachable,
        }
    }
}
