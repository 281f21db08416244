use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use medlarpin_core::routing::{LeafEntry, LeafLoad};
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::attempt_end::LeafFailure;

/// Time for a new connection; a queued opening packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Part of a leaf's idle timeout after which this daemon no longer uses a connection.
const IDLE_USE_SHARE: f64 = 0.7;
/// Idle time after which a connection is not used if the leaf names no timeout.
const IDLE_USE_DEFAULT: Duration = Duration::from_secs(4);
/// Idle time up to which a connection carries a request that may not be repeated: the leaf is
/// unlikely to close it at the same moment.
const IDLE_USE_AT_MOST_ONCE: Duration = Duration::from_millis(1_500);
/// A peer that does not acknowledge sent bytes for this long is unreachable.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval of the probes of a silent connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

type Sender = SendRequest<Full<Bytes>>;

/// A connection that is not in use.
#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    since: Instant,
    use_until: Instant,
}

/// A connection to a leaf that carries one request at a time.
#[derive(Debug)]
pub(crate) struct LeafConnection {
    pub(crate) sender: Sender,
    /// True if earlier requests used the connection.
    pub(crate) is_kept: bool,
}

/// A published leaf with this daemon's connections and observations.
#[derive(Debug)]
pub(crate) struct Leaf {
    pub(crate) entry: LeafEntry,
    /// End of new requests, once the leaf is leaving.
    pub(crate) leaves_at: Mutex<Option<Instant>>,
    pub(crate) load: Mutex<LeafLoad>,
    /// The most recently used connection is last.
    idle: Mutex<Vec<IdleConnection>>,
    /// Connections that are open, in use or idle.
    open: AtomicU32,
}

/// Counts an open connection until it is dropped.
#[derive(Debug)]
struct OpenGuard(std::sync::Arc<Leaf>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Leaf {
    pub(crate) fn new(entry: LeafEntry, leaves_at: Option<Instant>) -> Self {
        Self {
            entry,
            leaves_at: Mutex::new(leaves_at),
            load: Mutex::new(LeafLoad::default()),
            idle: Mutex::new(Vec::new()),
            open: AtomicU32::new(0),
        }
    }

    /// Returns a connection: an idle one, or a new one within the limit.
    pub(crate) async fn connect(
        self: &std::sync::Arc<Self>,
        connections_max: u32,
        at_most_once: bool,
        now: Instant,
    ) -> Result<LeafConnection, LeafFailure> {
        if let Some(sender) = self.take_idle(at_most_once, now) {
            return Ok(LeafConnection {
                sender,
                is_kept: true,
            });
        }
        self.open_new(connections_max).await
    }

    /// Opens a connection.
    pub(crate) async fn open_new(
        self: &std::sync::Arc<Self>,
        connections_max: u32,
    ) -> Result<LeafConnection, LeafFailure> {
        if self.open.fetch_add(1, Ordering::Relaxed) >= connections_max {
            self.open.fetch_sub(1, Ordering::Relaxed);
            return Err(LeafFailure::ConnectionLimit);
        }
        let guard = OpenGuard(std::sync::Arc::clone(self));
        let opened = timeout(CONNECT_TIMEOUT, open(self.entry.address)).await;
        let Ok(Ok((sender, connection))) = opened else {
            return Err(LeafFailure::Connect);
        };
        tokio::spawn(async move {
            // The request that uses the connection reports its failure.
            let _ = connection.await;
            drop(guard);
        });
        Ok(LeafConnection {
            sender,
            is_kept: false,
        })
    }

    /// Keeps a connection for the next request; `idle_timeout` is the leaf's.
    pub(crate) fn put_back(&self, sender: Sender, idle_timeout: Option<Duration>, now: Instant) {
        let use_for = idle_timeout.map_or(IDLE_USE_DEFAULT, |idle| idle.mul_f64(IDLE_USE_SHARE));
        if sender.is_closed() || use_for.is_zero() {
            return;
        }
        self.idle.lock().push(IdleConnection {
            sender,
            since: now,
            use_until: now + use_for,
        });
    }

    /// Closes the connections that were idle for too long.
    pub(crate) fn close_idle(&self, now: Instant) {
        self.idle
            .lock()
            .retain(|kept| now < kept.use_until && !kept.sender.is_closed());
    }

    /// Returns the number of open connections.
    pub(crate) fn open_connections(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns true if a request finds an idle connection or may open one.
    pub(crate) fn has_connection(&self, connections_max: u32) -> bool {
        self.open_connections() < connections_max || !self.idle.lock().is_empty()
    }

    /// Returns true if the leaf may get new requests at all.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.leaves_at.lock().is_none_or(|at| now < at)
    }

    /// Returns true if the leaf has announced its end.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaves_at.lock().is_some()
    }

    fn take_idle(&self, at_most_once: bool, now: Instant) -> Option<Sender> {
        let mut idle = self.idle.lock();
        while let Some(kept) = idle.pop() {
            let idle_time = now.saturating_duration_since(kept.since);
            let is_fresh = !at_most_once || idle_time < IDLE_USE_AT_MOST_ONCE;
            if now < kept.use_until && !kept.sender.is_closed() && is_fresh {
                return Some(kept.sender);
            }
        }
        None
    }
}

type Connection = hyper::client::conn::http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

async fn open(address: SocketAddr) -> std::io::Result<(Sender, Connection)> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)
}
