//! RPC between daemons: the client side with its connection pool, and the served interface.

mod pool;
mod server;

pub use pool::{BorrowRequest, PeerError, PeerPool};
pub use server::serve_peer;
