//! Clients of the configuration service and the VM list.
//!
//! Both services are only read. They have several replicas, any of which may be stale or lost.

mod client;
mod error;
mod messages;
pub mod prelude;

pub use crate::client::PlatformClient;
pub use crate::error::PlatformError;
pub use crate::messages::PublishedTree;
