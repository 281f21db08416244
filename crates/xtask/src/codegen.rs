//! Generation of the RPC schema's code.

use std::io;
use std::path::Path;
use std::process::{Command, ExitStatus};

use displaydoc::Display;
use thiserror::Error;

/// Why the code could not be generated.
#[derive(Debug, Display, Error)]
pub enum CodegenError {
    /// cannot start capnp: {0}; it comes with the system package capnproto
    Start(#[from] io::Error),
    /// capnp ended with {0}; it needs capnpc-rust from `cargo install capnpc@0.27.0`
    Failed(ExitStatus),
}

/// Compiles the schema into the committed code.
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
