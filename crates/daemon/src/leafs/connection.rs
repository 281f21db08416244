//! Connection pool of one leaf, bounded by this daemon's share of the leaf's connection limit.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use leaf_stream::{LeafStream, ProgressLimit};
use medlarpin_core::prelude::*;
use parking_lot::Mutex;
use thiserror::Error;
use tokio::net::TcpStream;

use crate::logging::LEAF;

/// Timeout for opening a connection; the slowest published leaf takes 6 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum size of the read buffer of a connection, and thus of the head of a reply.
const READ_BUFFER_BYTES_MAX: usize = 64 << 10;

/// Sends requests on one connection to a leaf.
#[derive(Debug)]
pub struct Sender {
    /// The HTTP side of the connection.
    pub http: SendRequest<Full<Bytes>>,
    /// Ends the connection if the leaf sends bytes that are no reply; restarted with each request
    /// and each part of the reply.
    pub progress_limit: ProgressLimit,
}

impl Sender {
    /// Creates the sender of a new connection, and the future that drives it.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn handshake(
        stream: TcpStream,
    ) -> Result<(Self, impl Future<Output = Result<(), hyper::Error>>), hyper::Error> {
        let (stream, progress_limit) = LeafStream::new(stream);
        let (http, driver) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await?;
        let sender = Self {
            http,
            progress_limit,
        };
        Ok((sender, driver))
    }
}

/// Why no connection to a leaf is available.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum ConnectError {
    /// all connections of this daemon's share are in use
    ShareExhausted,
    /// this daemon no longer holds the leaf
    Closed,
    /// the leaf refused the connection
    Refused,
    /// the leaf did not accept the connection in time
    Timeout,
}

/// Connections from this daemon to one leaf.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    authority: String,
    share: u32,
    state: Arc<Mutex<PoolState>>,
}

#[derive(Debug, Default)]
struct PoolState {
    /// Connections without a request in flight, the most recently used last.
    idle: Vec<Sender>,
    /// Number of connections open or being opened; at most the share.
    open: u32,
    /// Number of connections being opened.
    connecting: u32,
    /// Number of sockets not yet closed. A connection's driver closes its socket some time after
    /// the connection is dropped.
    sockets: u32,
    /// True once the leaf is no longer held; no connection is opened or kept from then on.
    closed: bool,
    /// Highest value of `open` so far.
    peak: u32,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(address: SocketAddr, share: u32) -> Self {
        Self {
            address,
            authority: address.to_string(),
            share,
            state: Arc::default(),
        }
    }

    /// Returns the maximum number of open connections.
    #[must_use]
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Returns the number of connections open or being opened.
    #[must_use]
    pub fn open(&self) -> u32 {
        self.state.lock().open
    }

    /// Returns the leaf's authority for the `Host` header.
    #[must_use]
    pub fn authority(&self) -> &str {
        &self.authority
    }

    /// Takes an idle connection, or opens a new one within the share.
    ///
    /// # Errors
    ///
    /// Fails if the share is exhausted, the pool is closed or the leaf cannot be reached.
    pub async fn acquire(&self) -> Result<Connection, ConnectError> {
        while let Some(mut connection) = self.take_idle() {
            if connection.is_usable().await {
                return Ok(connection);
            }
        }
        self.open_one().await
    }

    /// Opens connections within the share until `target` are idle or being opened.
    pub async fn open_idle(&self, target: u32) {
        while self.needs_idle(target) {
            match self.open_one().await {
                Ok(connection) => connection.recycle(),
                Err(_unreachable) => return,
            }
        }
    }

    /// Closes the pool: idle connections at once, those in use when their requests finish.
    pub fn close(&self) {
        let closed = {
            let mut state = self.state.lock();
            state.closed = true;
            let idle = std::mem::take(&mut state.idle);
            state.open -= u32::try_from(idle.len()).unwrap_or(0);
            idle
        };
        drop(closed);
    }

    /// Returns true if the pool was closed and its last socket is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        let state = self.state.lock();
        state.closed && state.open == 0 && state.sockets == 0
    }

    /// Removes closed idle connections and returns true if another one should be opened.
    fn needs_idle(&self, target: u32) -> bool {
        let mut state = self.state.lock();
        let before = state.idle.len();
        state.idle.retain(|sender| !sender.http.is_closed());
        let closed = before - state.idle.len();
        state.open -= u32::try_from(closed).unwrap_or(0);
        let ready = u32::try_from(state.idle.len()).unwrap_or(u32::MAX);
        ready.saturating_add(state.connecting) < target && state.open < self.share
    }

    fn take_idle(&self) -> Option<Connection> {
        let sender = self.state.lock().idle.pop()?;
        Some(Connection {
            sender: Some(sender),
            state: Arc::clone(&self.state),
        })
    }

    async fn open_one(&self) -> Result<Connection, ConnectError> {
        let mut reservation = self.reserve()?;
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_elapsed| ConnectError::Timeout)?
            .map_err(|_error| ConnectError::Refused)?;
        stream
            .set_nodelay(true)
            .map_err(|_error| ConnectError::Refused)?;
        let (sender, driver) = Sender::handshake(stream)
            .await
            .map_err(|_error| ConnectError::Refused)?;
        self.state.lock().sockets += 1;
        let socket = SocketGuard(Arc::clone(&self.state));
        let address = self.address;
        tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!(target: LEAF, "Connection to leaf at {address} failed: {error}.");
            }
            drop(socket);
        });
        reservation.is_fulfilled = true;
        Ok(Connection {
            sender: Some(sender),
            state: Arc::clone(&self.state),
        })
    }

    fn reserve(&self) -> Result<Reservation, ConnectError> {
        let mut state = self.state.lock();
        if state.closed {
            return Err(ConnectError::Closed);
        }
        if state.open >= self.share {
            return Err(ConnectError::ShareExhausted);
        }
        state.open += 1;
        state.connecting += 1;
        state.peak = state.peak.max(state.open);
        Ok(Reservation {
            is_fulfilled: false,
            state: Arc::clone(&self.state),
        })
    }
}

/// Reservation of a connection being opened.
///
/// It counts as open from the start, so that concurrent opens cannot exceed the share.
struct Reservation {
    /// True once a [`Connection`] has taken over the count in `open`.
    is_fulfilled: bool,
    state: Arc<Mutex<PoolState>>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.state.lock();
        state.connecting -= 1;
        if !self.is_fulfilled {
            state.open -= 1;
        }
    }
}

/// Counts a connection's socket as open; owned by the connection's driver.
struct SocketGuard(Arc<Mutex<PoolState>>);

impl Drop for SocketGuard {
    fn drop(&mut self) {
        self.0.lock().sockets -= 1;
    }
}

/// A connection in use; closed when dropped without being recycled.
#[derive(Debug)]
pub struct Connection {
    /// `None` once the connection is recycled.
    sender: Option<Sender>,
    state: Arc<Mutex<PoolState>>,
}

impl Connection {
    /// Returns the request sender, or `None` once the connection is recycled.
    pub fn sender(&mut self) -> Option<&mut Sender> {
        self.sender.as_mut()
    }

    /// Returns the connection to the pool for the next request.
    pub fn recycle(mut self) {
        let mut state = self.state.lock();
        if state.closed {
            // Unlock first, because dropping `self` takes the lock again.
            drop(state);
            return;
        }
        if let Some(sender) = self.sender.take_if(|sender| !sender.http.is_closed()) {
            state.idle.push(sender);
        }
        drop(state);
    }

    async fn is_usable(&mut self) -> bool {
        match &mut self.sender {
            Some(sender) => sender.http.ready().await.is_ok(),
            None => false,
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.sender.take().is_some() {
            self.state.lock().open -= 1;
        }
    }
}
