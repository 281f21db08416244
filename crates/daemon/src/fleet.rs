//! The daemon as a member of the fleet: membership, settings, VM list, leaf ownership and leases of
//! team limits.

mod gossip;
mod history;
mod housekeeping;
mod join;
mod platform_watch;
mod shares;
mod table;
mod updates;

pub use gossip::{announce_changes, answer_heartbeat, probe_members};
pub use history::{holder_histories, maintain_histories};
pub use housekeeping::housekeep;
pub use join::join;
pub use platform_watch::watch_platform;
pub use shares::renew_shares;
pub use table::FleetTable;
