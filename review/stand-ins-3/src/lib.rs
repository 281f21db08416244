//! Processes, leafs and clients for the cases of the third review.

mod client;
mod daemon;
mod http;
mod leaf;
mod record;

pub use crate::client::{Answer, Client, ask};
pub use crate::daemon::{Daemon, DaemonSettings, Fleet, wait_until_ready};
pub use crate::http::{Head, read_body, read_head};
pub use crate::leaf::{Leaf, LeafReply, PlainReply};
pub use crate::record::Record;

/// Exit code of a case whose rule was broken.
pub const EXIT_BROKEN: u8 = 1;
/// Exit code of a case that could not run.
pub const EXIT_NOT_RUN: u8 = 2;

/// Returns true unless the case runs without its disruption (`TROUBLE=0`).
#[must_use]
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
