//! Client of the platform's configuration service and VM list.
//!
//! It only reads. Both services have several replicas, any of which may be stale or unreachable.

mod client;
mod error;
mod messages;
pub mod prelude;

pub use crate::client::PlatformClient;
pub use crate::error::PlatformError;
pub use crate::messages::PublishedTree;
