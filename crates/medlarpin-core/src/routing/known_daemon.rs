use std::net::SocketAddr;

/// A daemon that serves published routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownDaemon {
    /// Address for other daemons.
    pub address: SocketAddr,
    /// Processor time that its VM has, in thousandths of a core; 0 if unknown.
    pub cpu_millicores: u32,
}
