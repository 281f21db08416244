//! The query daemon: receives callers' queries (entry), sends shard requests to leafs (gatherer),
//! exchanges membership and settings with other daemons (fleet) and serves operators.

mod daemon;
mod entry;
mod fleet;
mod gather;
mod leafs;
mod lifecycle;
pub mod logging;
mod operators;
mod peers;
mod query_memory;
mod recorder;
mod routes;
mod shared;
pub mod view;
mod workers;

pub use crate::daemon::{Daemon, StartError};
pub use crate::entry::AdmissionTable;
pub use crate::fleet::FleetTable;
pub use crate::leafs::{ConnectionPool, LeafReply, LeafRequest, exchange};
