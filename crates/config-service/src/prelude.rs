//! The types that most users of this crate need.

pub use crate::{PlatformClient, PlatformError, PublishedTree};
