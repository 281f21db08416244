//! Stand-ins of callers, leafs and the platform's store, and the daemons as processes, for the scripts of
//! the review's cases. They speak HTTP/1.1 as the platform's page describes it, on loopback addresses.

pub mod caller;
pub mod daemon;
pub mod http;
pub mod leaf;
pub mod record;
pub mod store;

pub use caller::{Answer, CallerConnection, ask};
pub use daemon::Fleet;
pub use leaf::{Leaf, LeafAnswer, LeafRequest};
pub use record::Record;
pub use store::Store;

/// Exit code of a script if the rule held.
pub const HELD: i32 = 0;
/// Exit code of a script if the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a script that could not run.
pub const NOT_RUN: i32 = 2;

/// Returns false if the script is to run without its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
