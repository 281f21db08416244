use displaydoc::Display;
use thiserror::Error;

/// Why the slopes could not be measured or compared.
#[derive(Debug, Display, Error)]
pub enum CapacityError {
    /// cannot read or write {path}: {error}
    File {
        /// Path of the file.
        path: String,
        /// What the system reported.
        error: std::io::Error,
    },
    /// /proc/self/status names no resident memory
    NoResidentMemory,
    /// /proc/thread-self/schedstat names no processor time
    NoThreadTime,
    /// a generated leaf request failed: {0}
    Leaf(String),
    /// {0} has no block between the two marker comments
    NoMarkers(String),
    /// the page's table of slopes differs: {0}; run `cargo xtask capacity --write`
    Differs(String),
    /// the generated settings have no service
    NoService,
    /// a message is of another kind than the one written
    OtherMessage,
    /// a message was not encoded: {0}
    Message(#[from] capnp::Error),
    /// a message was not read: {0}
    Wire(#[from] wire::WireError),
    /// generated settings were refused: {0}
    Settings(#[from] settings::SettingsError),
    /// a generated tree was not merged: {0}
    Tree(#[from] medlarpin_core::settings_tree::SettingsTreeError),
}
