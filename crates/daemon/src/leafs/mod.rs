//! The leafs that this daemon holds: their queues, states, connections and request attempts.

mod attempt;
mod connection;
mod latency;
mod maintenance;
mod permit;
mod protocol;
mod recorded;
mod slot;
mod table;

pub use attempt::{AttemptOutcome, NotSentReason, attempt};
pub use connection::ConnectionPool;
pub use maintenance::maintain;
pub use protocol::{LeafReply, LeafRequest, exchange};
pub use recorded::RecordedLeaf;
pub use slot::LeafSlot;
pub use table::{Holding, LeafTable};
