//! Division of the leafs among the daemons.
//!
//! Each leaf group has up to [`HOLDERS_PER_GROUP`] holders, which depend on the VM list only. Which of them is
//! active depends on what the asking daemon considers usable. See section 4.2 of the design page.

mod group;
mod handover;
mod holders;

pub use group::{GroupId, LeafGroup, MAX_GROUP_SIZE, group_leafs};
pub use handover::{FormerHolder, HandoverGate, HolderHistory};
pub use holders::{HOLDERS_PER_GROUP, active_holder, rank_holders};

/// Daemons outside the ranks that may still hold connections to a leaf.
pub const MAX_UNACKNOWLEDGED_HOLDERS: usize = 2;

/// Parts into which a leaf's connection limit is divided.
const CONNECTION_PARTS: u32 = 6;

const _: () = assert!(CONNECTION_PARTS as usize == HOLDERS_PER_GROUP + MAX_UNACKNOWLEDGED_HOLDERS);

/// How leaf requests travel from the entry to the leafs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Routing {
    /// Through the active holder of each leaf group.
    #[default]
    Owners,
    /// From the entry to the leafs; every daemon holds connections to every leaf.
    Direct,
}

/// Returns the connections that one holder may open to a leaf.
///
/// At least 1, because settings refuse a connection limit below 6.
#[must_use]
pub fn connection_share(connection_limit: u32) -> u32 {
    (connection_limit / CONNECTION_PARTS).max(1)
}

/// Returns the connections that each daemon may open to a leaf with [`Routing::Direct`].
///
/// Rounds down, so the share is 0 where there are more daemons than connections.
#[must_use]
pub fn direct_connection_share(connection_limit: u32, daemons: usize) -> u32 {
    let daemons = u32::try_from(daemons).unwrap_or(u32::MAX).max(1);
    connection_limit / daemons
}
