use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::time::timeout;
use wire::peer_capnp::route_peer;

use crate::peers::{CONNECTION_REUSE_TIME, PeerConnection};
use crate::shared::Shared;

/// Time limit for opening a connection to another daemon; a VM that no longer exists never answers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(40);

/// Reusable connections to other daemons, all on one thread.
#[derive(Default)]
pub(crate) struct PeerPool {
    /// Sorted by address, without duplicates.
    connections: RefCell<Vec<(SocketAddr, PooledConnection)>>,
}

struct PooledConnection {
    peer: PeerConnection,
    opened_at: Instant,
}

impl PeerPool {
    /// Returns a client on a pooled or a new connection; `None` if the daemon cannot be reached.
    pub(crate) async fn client(
        &self,
        daemon: SocketAddr,
        shared: &Shared,
    ) -> Option<route_peer::Client> {
        let now = shared.now();
        if let Ok(index) = self.position(daemon) {
            let pooled = &self.connections.borrow()[index].1;
            if !pooled.peer.is_closed()
                && now.saturating_duration_since(pooled.opened_at) < CONNECTION_REUSE_TIME
            {
                return Some(pooled.peer.client.clone());
            }
        }
        let opened = timeout(
            CONNECT_TIMEOUT,
            PeerConnection::open(daemon, &shared.clients),
        )
        .await;
        let peer = opened.ok()?.ok()?;
        let client = peer.client.clone();
        let pooled = PooledConnection {
            peer,
            opened_at: now,
        };
        let position = self.position(daemon);
        let mut connections = self.connections.borrow_mut();
        match position {
            Ok(index) => connections[index].1 = pooled,
            Err(index) => connections.insert(index, (daemon, pooled)),
        }
        Some(client)
    }

    /// Closes the connection to a daemon.
    pub(crate) fn remove(&self, daemon: SocketAddr) {
        if let Ok(index) = self.position(daemon) {
            self.connections.borrow_mut().remove(index);
        }
    }

    fn position(&self, daemon: SocketAddr) -> Result<usize, usize> {
        self.connections
            .borrow()
            .binary_search_by_key(&daemon, |(known, _)| *known)
    }
}
