use std::net::SocketAddr;
use std::time::Instant;

/// Address and capacity of a daemon that serves published routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownDaemon {
    /// Address of the daemon's RPC listener for other daemons.
    pub address: SocketAddr,
    /// CPU capacity of its VM, in thousandths of a core; 0 if unknown.
    pub cpu_millicores: u32,
    /// Start of its process; `None` if unknown.
    pub started_at: Option<Instant>,
}
