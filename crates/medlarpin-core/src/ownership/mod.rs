//! Assignment of leaf groups to daemons.
//!
//! Each leaf group has up to [`HOLDERS_PER_GROUP`] holders, which depend only on the VM list. A
//! daemon sends requests for the group to the active holder: the first one that it considers
//! usable. See section 4.2 of the design page.

mod group;
mod handover;
mod holders;

pub use group::{GroupId, LeafGroup, MAX_GROUP_SIZE, group_leafs};
pub use handover::{FormerHolder, HandoverGate, HolderHistory};
pub use holders::{HOLDERS_PER_GROUP, active_holder, rank_holders};

/// Maximum number of former holders of a group that may still have connections to its leafs when a
/// new holder opens its own.
pub const MAX_UNACKNOWLEDGED_HOLDERS: usize = 2;

/// Number of equal parts of a leaf's connection limit: one for each daemon that may have
/// connections.
const CONNECTION_PARTS: u32 = 6;

const _: () = assert!(CONNECTION_PARTS as usize == HOLDERS_PER_GROUP + MAX_UNACKNOWLEDGED_HOLDERS);

/// How leaf requests get from the entry daemon to the leafs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Routing {
    /// The entry daemon sends them to the active holder of each leaf group.
    #[default]
    Owners,
    /// The entry daemon sends them to the leafs itself; every daemon has connections to every leaf.
    Direct,
}

/// Returns the number of connections that one holder may open to a leaf.
///
/// The result is at least 1. Settings with a connection limit below 6 are invalid, so
/// the sum over all holders, former ones included, stays within the limit.
#[must_use]
pub fn connection_share(connection_limit: u32) -> u32 {
    (connection_limit / CONNECTION_PARTS).max(1)
}

/// Returns the number of connections that each daemon may open to a leaf with [`Routing::Direct`].
///
/// Rounds down, so the result is 0 if there are more daemons than connections.
#[must_use]
pub fn direct_connection_share(connection_limit: u32, daemons: usize) -> u32 {
    let daemons = u32::try_from(daemons).unwrap_or(u32::MAX).max(1);
    connection_limit / daemons
}
