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
    /// the connection to {address} broke
    Broken {
        address: SocketAddr,
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// {address} did not answer within {limit:?}
    Timeout {
        address: SocketAddr,
        limit: Duration,
    },
    /// the path `{path}` of a request is not valid
    Request {
        path: &'static str,
        source: hyper::http::Error,
    },
    /// {address} answered {path} with status {status}: {body}
    Status {
        address: SocketAddr,
        path: &'static str,
        status: u16,
        body: String,
    },
    /// {address} answered {path} with something other than a JSON object: {body}
    NotJson {
        address: SocketAddr,
        path: &'static str,
        body: String,
    },
    /// cannot read {path:?}
    ReadFile {
        path: PathBuf,
        source: std::io::Error,
    },
    /// {path:?} is not UTF-8 after byte {valid_bytes}; save it as UTF-8
    #[expect(clippy::doc_markdown, reason = "the message names its field")]
    NotUtf8 { path: PathBuf, valid_bytes: usize },
    /// {path:?} holds no settings files; expected daemon.jsonc, teams/, services/ or indexes/
    NoFiles { path: PathBuf },
    /// the kind of {path:?} does not follow from its path; add --as daemon, team, service or index
    UnknownKind { path: PathBuf },
    /// the daemon has no team `{name}`; it has {known}
    NoTeam { name: String, known: String },
    /// the daemon has no service `{name}`; it has {known}
    NoService { name: String, known: String },
    /// service `{service}` has no shard {shard} at version {version}
    NoShard {
        service: String,
        shard: u32,
        version: String,
    },
    /// the daemon has no recent request `{id}`; ask the VM that answered it
    NoRequest { id: String },
    /// no line of the logs names request `{id}`; give the logs of the VM that answered it
    NotLogged { id: String },
    /// `{subject}` is neither SERVICE/SHARD nor at least 8 hex digits of a request id
    BadSubject { subject: String },
}

impl CliError {
    /// Returns the message with its causes.
    pub(crate) fn full_text(&self) -> String {
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
            | Self::NoFiles { .. }
            | Self::UnknownKind { .. } => Exit::Findings,
            Self::NoTeam { .. }
            | Self::NoService { .. }
            | Self::NoShard { .. }
            | Self::NoRequest { .. }
            | Self::NotLogged { .. } => Exit::NotFound,
            Self::BadSubject { .. } => Exit::Usage,
            Self::Status { status, .. } if (400..500).contains(status) => Exit::Refused,
            Self::Runtime { .. }
            | Self::Connect { .. }
            | Self::Broken { .. }
            | Self::Timeout { .. }
            | Self::Request { .. }
            | Self::Status { .. }
            | Self::NotJson { .. } => Exit::Unreachable,
        }
    }
}
