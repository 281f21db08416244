//! Pool of RPC client connections to peers; each worker has its own.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use capnp_rpc::rpc_twoparty_capnp;
use client_connections::Clients;
use displaydoc::Display;
use medlarpin_core::ownership::GroupId;
use medlarpin_core::prelude::*;
use medlarpin_core::settings_tree::TransferTree;
use peer_rpc::Endpoint;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use wire::peer_capnp::{TeamLimit, peer};
use wire::{
    Batch, BatchReply, CallerAnswer, CallerQuery, GroupHistory, HeartbeatMessage, WireError,
};

use crate::logging::GOSSIP;

/// Timeout for opening a TCP connection to a peer; a live peer answers within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call to a peer failed.
#[derive(Debug, Clone, Display, Error)]
pub enum PeerError {
    /// cannot connect to {address}: {kind}
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Kind of the I/O error.
        kind: std::io::ErrorKind,
    },
    /// no reply within {0:?}
    Timeout(Duration),
    /// call failed: {0}
    Rpc(capnp::Error),
    /// invalid reply: {0}
    Wire(#[from] WireError),
}

impl PeerError {
    /// Returns true if the call was certainly not sent to the peer.
    #[must_use]
    pub fn was_not_sent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

impl From<capnp::Error> for PeerError {
    fn from(error: capnp::Error) -> Self {
        Self::Rpc(error)
    }
}

/// A request to borrow units of a team's limit.
#[derive(Debug, Clone, Copy)]
pub struct BorrowRequest<'a> {
    /// Team whose limit is shared.
    pub team: &'a TeamName,
    /// Limit of the team to borrow from.
    pub limit: TeamLimit,
    /// VM that borrows.
    pub borrower: &'a VmName,
    /// Total units to borrow from this lender, including those already leased.
    pub units: u64,
}

/// A connection slot; concurrent callers share the attempt to connect.
type ClientCell = Rc<OnceCell<PeerConnection>>;

/// An open connection to a peer.
struct PeerConnection {
    client: peer::Client,
    /// Set once the connection is closed.
    is_closed: Rc<Cell<bool>>,
}

/// Cached RPC connections, one for each peer address.
pub struct PeerPool {
    /// Memory for the messages of peers.
    messages: Clients,
    /// Sorted by address.
    cells: RefCell<Vec<(SocketAddr, ClientCell)>>,
}

impl PeerPool {
    /// Creates a pool without connections, whose incoming messages take memory of `messages`.
    #[must_use]
    pub fn new(messages: Clients) -> Self {
        Self {
            messages,
            cells: RefCell::default(),
        }
    }

    /// Sends a batch of shard requests to a gatherer.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or does not answer in time, the call fails or the reply
    /// is invalid.
    pub async fn gather(
        &self,
        address: SocketAddr,
        batch: &Batch,
        timeout: Duration,
    ) -> Result<BatchReply, PeerError> {
        self.call(address, timeout, async |client| {
            let mut request = client.gather_request();
            batch.write(request.get().init_batch());
            let response = request.send().promise.await?;
            Ok(BatchReply::read(response.get()?.get_reply()?)?)
        })
        .await
    }

    /// Forwards a ticketed query to the daemon that issued the ticket.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or does not answer in time, the call fails or the reply
    /// is invalid.
    pub async fn run(
        &self,
        address: SocketAddr,
        query: &CallerQuery,
        timeout: Duration,
    ) -> Result<CallerAnswer, PeerError> {
        self.call(address, timeout, async |client| {
            let mut request = client.run_request();
            query.write(request.get().init_query());
            let response = request.send().promise.await?;
            Ok(CallerAnswer::read(response.get()?.get_answer()?)?)
        })
        .await
    }

    /// Exchanges heartbeats with a peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or does not answer in time, the call fails or the reply
    /// is invalid.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        message: &HeartbeatMessage,
        timeout: Duration,
    ) -> Result<HeartbeatMessage, PeerError> {
        self.call(address, timeout, async |client| {
            let mut request = client.exchange_request();
            wire::write_heartbeat(message, request.get().init_heartbeat());
            let response = request.send().promise.await?;
            Ok(wire::read_heartbeat(response.get()?.get_heartbeat()?)?)
        })
        .await
    }

    /// Fetches a peer's settings tree if its revision is above the given one.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or does not answer in time, the call fails or the reply
    /// is invalid.
    pub async fn fetch_settings(
        &self,
        address: SocketAddr,
        above: Revision,
        timeout: Duration,
    ) -> Result<Option<TransferTree>, PeerError> {
        self.call(address, timeout, async |client| {
            let mut request = client.fetch_settings_request();
            request.get().set_above_revision(above.0);
            let response = request.send().promise.await?;
            Ok(wire::read_settings_tree(response.get()?.get_tree()?)?)
        })
        .await
    }

    /// Fetches a peer's VM list if its revision is above the given one.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or does not answer in time, the call fails or the reply
    /// is invalid.
    pub async fn fetch_vm_list(
        &self,
        address: SocketAddr,
        above: Revision,
        timeout: Duration,
    ) -> Result<Option<VmList>, PeerError> {
        self.call(address, timeout, async |client| {
            let mut request = client.fetch_vm_list_request();
            request.get().set_above_revision(above.0);
            let response = request.send().promise.await?;
            Ok(wire::read_vm_list(response.get()?.get_list()?)?)
        })
        .await
    }

    /// Fetches a peer's histories of the former holders of the given groups.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or does not answer in time, the call fails or the reply
    /// is invalid.
    pub async fn fetch_holder_history(
        &self,
        address: SocketAddr,
        groups: &[GroupId],
        timeout: Duration,
    ) -> Result<Vec<GroupHistory>, PeerError> {
        self.call(address, timeout, async |client| {
            let mut request = client.fetch_holder_history_request();
            let count = u32::try_from(groups.len()).unwrap_or(u32::MAX);
            wire::write_groups(groups, request.get().init_groups(count));
            let response = request.send().promise.await?;
            Ok(wire::read_histories(response.get()?.get_histories()?)?)
        })
        .await
    }

    /// Borrows units of a team's limit from a peer; returns the granted units and the lease
    /// duration.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or does not answer in time, the call fails or the reply
    /// is invalid.
    pub async fn borrow_share(
        &self,
        address: SocketAddr,
        borrow_request: &BorrowRequest<'_>,
        timeout: Duration,
    ) -> Result<(u64, Duration), PeerError> {
        self.call(address, timeout, async |client| {
            let mut request = client.borrow_share_request();
            request.get().set_team(borrow_request.team.as_str());
            request.get().set_limit(borrow_request.limit);
            request.get().set_borrower(borrow_request.borrower.as_str());
            request.get().set_units(borrow_request.units);
            let response = request.send().promise.await?;
            let reply = response.get()?;
            let lease = Duration::from_millis(reply.get_lease_ms());
            Ok((reply.get_granted_units(), lease))
        })
        .await
    }

    async fn call<T>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        send: impl AsyncFnOnce(peer::Client) -> Result<T, PeerError>,
    ) -> Result<T, PeerError> {
        let cell = self.cell(address);
        let connection = cell
            .get_or_try_init(|| connect(address, &self.messages))
            .await;
        let connection = connection.inspect_err(|_| self.evict(address, &cell))?;
        let client = connection.client.clone();
        let result = match tokio::time::timeout(timeout, send(client)).await {
            Ok(result) => result,
            Err(_elapsed) => Err(PeerError::Timeout(timeout)),
        };
        if let Err(PeerError::Rpc(error)) = &result
            && error.kind == capnp::ErrorKind::Disconnected
        {
            self.evict(address, &cell);
        }
        result
    }

    fn cell(&self, address: SocketAddr) -> ClientCell {
        let mut cells = self.cells.borrow_mut();
        match cells.binary_search_by_key(&address, |(key, _)| *key) {
            Ok(index) => {
                // A call on a closed connection, for example the first one after a restart of the
                // peer, would fail as if it might have been sent. Replace the connection first.
                let connection = cells[index].1.get();
                if connection.is_some_and(|connection| connection.is_closed.get()) {
                    cells[index].1 = ClientCell::default();
                }
                Rc::clone(&cells[index].1)
            }
            Err(index) => {
                let cell = ClientCell::default();
                cells.insert(index, (address, Rc::clone(&cell)));
                cell
            }
        }
    }

    /// Removes a connection from the pool, unless another task has already replaced it.
    fn evict(&self, address: SocketAddr, cell: &ClientCell) {
        let mut cells = self.cells.borrow_mut();
        if let Ok(index) = cells.binary_search_by_key(&address, |(key, _)| *key)
            && Rc::ptr_eq(&cells[index].1, cell)
        {
            cells.remove(index);
        }
    }
}

impl std::fmt::Debug for PeerPool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerPool")
            .field("connections", &self.cells.borrow().len())
            .finish_non_exhaustive()
    }
}

async fn connect(address: SocketAddr, messages: &Clients) -> Result<PeerConnection, PeerError> {
    let failed = |kind| PeerError::Connect { address, kind };
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_elapsed| failed(std::io::ErrorKind::TimedOut))?
        .map_err(|error| failed(error.kind()))?;
    stream
        .set_nodelay(true)
        .map_err(|error| failed(error.kind()))?;
    let endpoint = Endpoint {
        stream,
        side: rpc_twoparty_capnp::Side::Client,
        options: capnp::message::ReaderOptions::default(),
    };
    let mut system = endpoint.into_rpc_system(None, messages);
    let client: peer::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    let is_closed = Rc::new(Cell::new(false));
    let is_closed_setter = Rc::clone(&is_closed);
    tokio::task::spawn_local(async move {
        if let Err(error) = system.await {
            log::debug!(target: GOSSIP, "Connection to peer {address} failed: {error}.");
        }
        is_closed_setter.set(true);
    });
    Ok(PeerConnection { client, is_closed })
}
