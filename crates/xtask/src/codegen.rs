//! Generates the Rust code of the RPC schema.

use std::io;
use std::path::Path;
use std::process::{Command, ExitStatus};

use displaydoc::Display;
use thiserror::Error;

/// Why the code could not be generated.
#[derive(Debug, Display, Error)]
pub enum CodegenError {
    /// cannot start capnp: {0}; install the system package capnproto
    Start(#[from] io::Error),
    /// capnp failed with {0}; it needs capnpc-rust, which `cargo install capnpc@0.27.0` installs
    Failed(ExitStatus),
}

/// Regenerates the committed code in `crates/wire/src/generated` from the schema.
pub fn run() -> Result<(), CodegenError> {
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    let status = Command::new("capnp")
        .args(["compile", "-orust:src/generated", "--src-prefix=schema"])
        .arg("schema/peer.capnp")
        .current_dir(wire)
        .status()?;
    if status.success() {
        Ok(())
    } else {
        Err(CodegenError::Failed(status))
    }
}
