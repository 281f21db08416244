//! Shared parts of the review's cases: daemons as processes, leafs, callers and the record of a run.
//!
//! The store is the project's own stand-in. Everything listens on ports of 127.0.0.1.

mod caller;
mod daemon;
mod leaf;
mod record;
mod store;

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use tokio::signal::unix::{SignalKind, signal};

pub use crate::caller::{Answer, ask, ask_on};
pub use crate::daemon::{Daemon, Fleet};
pub use crate::leaf::{Leaf, LeafReply, LeafRequest, answer, rejection};
pub use crate::record::Record;
pub use crate::store::BoundedStore;

/// What a case found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// A case's folder and whether its disruption is switched on.
#[derive(Debug)]
pub struct Case {
    /// Folder of the case, which gets the record.
    pub folder: PathBuf,
    /// False for a run without the disruption.
    pub is_disrupted: bool,
}

/// Ends a case early on SIGTERM or SIGINT, which also ends its daemons.
async fn until_stopped(case: impl Future<Output = io::Result<Verdict>>) -> io::Result<Verdict> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        result = case => result,
        _ = terminate.recv() => Err(io::Error::other("stopped")),
        _ = interrupt.recv() => Err(io::Error::other("stopped")),
    }
}

/// Runs a case and turns its verdict into the exit code: 1 if the rule was broken, 0 if it held, and 2 if
/// the case could not run.
pub fn run_case<F>(case: impl FnOnce(Case) -> F) -> ExitCode
where
    F: Future<Output = io::Result<Verdict>>,
{
    let Some(folder) = std::env::args_os().nth(1) else {
        eprintln!("usage: PROGRAM FOLDER");
        return ExitCode::from(2);
    };
    let is_disrupted = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case_input = Case {
        folder: folder.into(),
        is_disrupted,
    };
    let result = tokio::runtime::Runtime::new()
        .and_then(|runtime| runtime.block_on(until_stopped(case(case_input))));
    match result {
        Ok(Verdict::Held) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            println!("broken");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("cannot run: {error}");
            ExitCode::from(2)
        }
    }
}
