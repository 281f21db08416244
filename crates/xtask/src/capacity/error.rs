use displaydoc::Display;
use thiserror::Error;

/// Why the slopes could not be measured or compared.
#[derive(Debug, Display, Error)]
pub enum CapacityError {
    /// cannot read or write {path}: {error}
    File {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// /proc/self/status has no valid VmRSS
    NoResidentMemory,
    /// /proc/thread-self/schedstat has no valid processor time
    NoThreadTime,
    /// the measurement of leaf requests failed: {0}
    Leaf(String),
    /// {0} lacks the two marker comments around the table of slopes
    NoMarkers(String),
    /// the table of slopes in docs/CAPACITY.md differs: {0}; run `cargo xtask capacity --write`
    Differs(String),
    /// the generated settings have no service
    NoService,
    /// an RPC message is of an unexpected kind
    UnexpectedMessage,
    /// cannot encode, decode or exchange a message: {0}
    Message(#[from] capnp::Error),
    /// cannot read the content of a message: {0}
    Wire(#[from] wire::WireError),
    /// the generated settings are invalid: {0}
    Settings(#[from] settings::SettingsError),
    /// cannot apply the generated settings: {0}
    Tree(#[from] medlarpin_core::settings_tree::SettingsTreeError),
}
