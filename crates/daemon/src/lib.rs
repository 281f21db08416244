//! The daemon: entry, gatherer, upstream side, gossip, operators' endpoints and shutdown.

mod daemon;
mod entry;
mod fleet;
mod gather;
mod leafs;
mod lifecycle;
pub mod logging;
mod operators;
mod peers;
mod recorder;
mod routes;
mod shared;
pub mod view;
mod workers;

pub use crate::daemon::{Daemon, StartError};
pub use crate::entry::AdmissionTable;
pub use crate::fleet::FleetTable;
pub use crate::leafs::{ConnectionPool, LeafReply, LeafRequest, exchange};
